#pragma once

#include "http/endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

enum class LoadMode { Http, Direct, Idle };

/// Command line of lavenderdale-load.
struct LoadOptions {
  LoadMode Mode = LoadMode::Http;
  std::vector<Endpoint> Targets;
  std::string Route;
  std::string Key;
  std::string WriteSql;
  std::string ReadSql;
  double ReadShare = 1;
  double Rate = 0; ///< Statements/s; 0 is a closed loop.
  bool Sessions = false;
  std::chrono::milliseconds Time{5000};
  std::chrono::milliseconds Timeout{10000};
  std::size_t Connections = 16;
  std::uint64_t Seed = 1;
  bool Json = false;
  bool Arrivals = false; ///< Print when each statement was due.
  bool Help = false;
};

/// \returns the options, or nothing after an error was printed.
std::optional<LoadOptions> parseLoadOptions(int Count, char **Arguments);

const char *loadHelpText();

} // namespace lavenderdale
