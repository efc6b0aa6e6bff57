#pragma once

#include <optional>
#include <string>

namespace lavenderdale {

/// What the command line of a daemon asks for.
struct DaemonArguments {
  std::string SettingsFile;
  bool CheckOnly = false;
};

/// Reads --settings, --check, --help and --version and prints what the last
/// two ask for on standard output, a wrong use on standard error.
/// @param Count Number of arguments as given to main().
/// @param Arguments The arguments as given to main().
/// @param Usage Text for --help.
/// @param Program Name printed by --version.
/// @param DefaultFile Settings file if the command line names none; may be
///        empty.
/// @param [out] Exit Exit code if there is nothing to run: 0 done, 1 usage.
/// @returns The arguments, or nothing if the program has to end with \p Exit.
std::optional<DaemonArguments>
readDaemonArguments(int Count, char **Arguments, const char *Usage,
                    const char *Program, std::string DefaultFile, int &Exit);

} // namespace lavenderdale
