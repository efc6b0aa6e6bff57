#pragma once

#include <chrono>
#include <cstdint>
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
  std::string Primary;    ///< Upstream; empty when not given.
  std::uint64_t Term = 1; ///< PostgreSQL timeline.
};

/// Parses the arguments.
/// \returns the command line, or nothing with a message on stderr.
std::optional<CommandLine> parseCommandLine(int Count, char **Arguments);

/// The text of --help.
const char *helpText();

} // namespace lavenderdale
