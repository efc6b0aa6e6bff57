#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// The command line of lavenderctl.
struct CommandLine {
  static constexpr std::chrono::milliseconds DefaultTimeout{15000};

  std::vector<std::string> Words; ///< Command and its arguments.
  std::string Platform;           ///< ADDR:PORT.
  std::chrono::milliseconds Timeout = DefaultTimeout;
  bool Json = false;
  bool Wait = false;
  bool Prune = false;
  bool ReadOnly = false;
  bool Help = false;
  std::string KeyId;
  std::optional<std::chrono::milliseconds> MaxAge;
};

/// Parses the arguments.
/// \returns the command line, or nothing with a message on stderr.
std::optional<CommandLine> parseCommandLine(int Count, char **Arguments);

/// The text of --help.
const char *helpText();

} // namespace lavenderdale
