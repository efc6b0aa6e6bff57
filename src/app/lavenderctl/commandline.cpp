#include "commandline.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <iostream>

namespace lavenderdale {
namespace {

enum OptionCode {
  PlatformCode = 256,
  TimeoutCode,
  JsonCode,
  WaitCode,
  PruneCode,
  KeyIdCode,
  ReadOnlyCode,
  MaxAgeCode,
  PrimaryCode,
  TermCode,
  HelpCode,
};

constexpr std::array<option, 12> Options = {{
    {"platform", required_argument, nullptr, PlatformCode},
    {"timeout", required_argument, nullptr, TimeoutCode},
    {"json", no_argument, nullptr, JsonCode},
    {"wait", no_argument, nullptr, WaitCode},
    {"prune", no_argument, nullptr, PruneCode},
    {"key-id", required_argument, nullptr, KeyIdCode},
    {"read-only", no_argument, nullptr, ReadOnlyCode},
    {"max-age", required_argument, nullptr, MaxAgeCode},
    {"primary", required_argument, nullptr, PrimaryCode},
    {"term", required_argument, nullptr, TermCode},
    {"help", no_argument, nullptr, HelpCode},
    {nullptr, 0, nullptr, 0},
}};

constexpr std::chrono::milliseconds LongestTime{86400000};
// A PostgreSQL timeline has 32 bits.
constexpr std::uint64_t MaxTerm = 0xffffffffU;

std::optional<std::chrono::milliseconds> parseTime(const char *Name,
                                                   const std::string &Text) {
  std::int64_t Number = -1;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec == std::errc() && Parsed.ptr == End && Number >= 0 &&
      Number <= LongestTime.count())
    return std::chrono::milliseconds(Number);
  std::cerr << "lavenderctl: " << Name << ": expected milliseconds from 0 to "
            << LongestTime.count() << ", found \"" << Text << "\"\n";
  return std::nullopt;
}

std::optional<std::uint64_t> parseTerm(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec == std::errc() && Parsed.ptr == End && Number >= 1 &&
      Number <= MaxTerm)
    return Number;
  std::cerr << "lavenderctl: --term: expected a number from 1 to " << MaxTerm
            << ", found \"" << Text << "\"\n";
  return std::nullopt;
}

/// \returns whether the option's value is valid.
bool applyOption(CommandLine &Line, int Code, const char *Value) {
  switch (Code) {
  case PlatformCode:
    Line.Platform = Value;
    return true;
  case TimeoutCode: {
    const auto Time = parseTime("--timeout", Value);
    Line.Timeout = Time.value_or(Line.Timeout);
    return Time.has_value();
  }
  case JsonCode:
    Line.Json = true;
    return true;
  case WaitCode:
    Line.Wait = true;
    return true;
  case PruneCode:
    Line.Prune = true;
    return true;
  case KeyIdCode:
    Line.KeyId = Value;
    return true;
  case ReadOnlyCode:
    Line.ReadOnly = true;
    return true;
  case MaxAgeCode:
    Line.MaxAge = parseTime("--max-age", Value);
    return Line.MaxAge.has_value();
  case PrimaryCode:
    Line.Primary = Value;
    return true;
  case TermCode: {
    const auto Term = parseTerm(Value);
    Line.Term = Term.value_or(Line.Term);
    return Term.has_value();
  }
  case HelpCode:
    Line.Help = true;
    return true;
  default:
    return false;
  }
}

} // namespace

std::optional<CommandLine> parseCommandLine(int Count, char **Arguments) {
  CommandLine Line;
  int Code = 0;
  while ((Code = getopt_long(Count, Arguments, "", Options.data(), nullptr)) !=
         -1)
    if (!applyOption(Line, Code, optarg))
      return std::nullopt;
  Line.Words.assign(Arguments + optind, Arguments + Count);
  return Line;
}

const char *helpText() {
  return "usage: lavenderctl --platform ADDR:PORT [OPTION]... COMMAND\n"
         "\n"
         "Commands:\n"
         "  plan FILE|DIR         show what apply would change\n"
         "  apply FILE|DIR        validate everything, then write the changes\n"
         "  get [KIND [NAME]]     show stored objects\n"
         "  keys grant WORKSPACE  create a key and print it once\n"
         "  keys withdraw ID      withdraw a key\n"
         "  keys list             list keys without their secrets\n"
         "  secrets create        create a session signing secret and print\n"
         "                        its name\n"
         "  secrets list          list the names of the signing secrets\n"
         "  groups init NAME      store the first status of a group; needs\n"
         "                        --primary\n"
         "  status                show groups, hosts, workspaces and limits\n"
         "  explain ROUTE         show what a request on a route would meet\n"
         "  completion bash       print a completion script\n"
         "\n"
         "Options:\n"
         "  --platform ADDR:PORT  object API of the platform\n"
         "  --timeout MS          time for the whole command (15000)\n"
         "  --json                print JSON\n"
         "  --wait                apply, withdraw: wait until all hosts show\n"
         "                        the change\n"
         "  --prune               plan, apply: delete workspaces, routes and\n"
         "                        groups that are not in the files\n"
         "  --key-id ID           explain: id of the key sent\n"
         "  --read-only           explain: the request is a read\n"
         "  --max-age MS          explain: stated age of the read\n"
         "  --primary UPSTREAM    groups init: primary of the first term\n"
         "  --term N              groups init: timeline of the primary (1)\n"
         "  --help                show this text\n"
         "\n"
         "Files are JSON (.json) or TOML (.toml). An object with a\n"
         "metadata.resourceVersion is only applied to that version.\n"
         "\n"
         "Exit codes: 0 done, 1 usage, 2 refused or invalid, 3 lost race,\n"
         "4 not in force in time, 5 platform not reachable\n";
}

} // namespace lavenderdale
