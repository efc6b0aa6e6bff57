#include "daemonarguments.h"

#include <getopt.h>

#include <iostream>
#include <utility>

namespace lavenderdale {
namespace {

constexpr int ExitDone = 0;
constexpr int ExitUsage = 1;
constexpr const char *Version = "0.1.0";

constexpr option Options[] = {{"settings", required_argument, nullptr, 's'},
                              {"check", no_argument, nullptr, 'c'},
                              {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'V'},
                              {nullptr, 0, nullptr, 0}};

} // namespace

std::optional<DaemonArguments>
readDaemonArguments(int Count, char **Arguments, const char *Usage,
                    const char *Program, std::string DefaultFile, int &Exit) {
  DaemonArguments Read{std::move(DefaultFile), false};
  optind = 1;
  for (int Each = 0; Each != -1;) {
    Each = getopt_long(Count, Arguments, "s:chV", Options, nullptr);
    switch (Each) {
    case -1:
      break;
    case 's':
      Read.SettingsFile = optarg;
      break;
    case 'c':
      Read.CheckOnly = true;
      break;
    case 'h':
      std::cout << Usage;
      Exit = ExitDone;
      return std::nullopt;
    case 'V':
      std::cout << Program << ' ' << Version << '\n';
      Exit = ExitDone;
      return std::nullopt;
    default: // getopt_long has printed the fault.
      Exit = ExitUsage;
      return std::nullopt;
    }
  }
  if (!Read.SettingsFile.empty() && optind == Count)
    return Read;
  std::cerr << Usage;
  Exit = ExitUsage;
  return std::nullopt;
}

} // namespace lavenderdale
