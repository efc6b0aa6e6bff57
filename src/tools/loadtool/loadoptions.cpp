#include "loadoptions.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <cstring>
#include <iostream>

namespace lavenderdale {
namespace {

constexpr std::array<option, 17> Options = {{
    {"mode", required_argument, nullptr, 'm'},
    {"target", required_argument, nullptr, 't'},
    {"route", required_argument, nullptr, 'r'},
    {"key", required_argument, nullptr, 'k'},
    {"write-sql", required_argument, nullptr, 'w'},
    {"read-sql", required_argument, nullptr, 'q'},
    {"read-share", required_argument, nullptr, 's'},
    {"rate", required_argument, nullptr, 'R'},
    {"sessions", no_argument, nullptr, 'S'},
    {"duration", required_argument, nullptr, 'd'},
    {"timeout", required_argument, nullptr, 'T'},
    {"connections", required_argument, nullptr, 'c'},
    {"seed", required_argument, nullptr, 'e'},
    {"json", no_argument, nullptr, 'j'},
    {"arrivals", no_argument, nullptr, 'a'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
}};

// Bounds that keep a mistyped option from loading the machine for long.
constexpr double LongestSeconds = 600;
constexpr double HighestRate = 100000;
constexpr double MostConnections = 20000;
constexpr double LargestSeed = 4294967295.0;
constexpr double MillisecondsPerSecond = 1000;

/// Reads a number from \p Min to \p Max.
/// \returns whether the text is one.
bool readNumber(const char *Text, double Min, double Max, double &Value) {
  const char *End = Text + std::strlen(Text);
  const auto Parsed = std::from_chars(Text, End, Value);
  return Parsed.ec == std::errc() && Parsed.ptr == End && Value >= Min &&
         Value <= Max;
}

bool readMode(const std::string &Text, LoadMode &Mode) {
  if (Text == "http")
    Mode = LoadMode::Http;
  else if (Text == "direct")
    Mode = LoadMode::Direct;
  else if (Text == "idle")
    Mode = LoadMode::Idle;
  else
    return false;
  return true;
}

bool readTime(const char *Text, std::chrono::milliseconds &Time) {
  double Seconds = 0;
  if (!readNumber(Text, 0.1, LongestSeconds, Seconds))
    return false;
  Time = std::chrono::milliseconds(
      static_cast<std::int64_t>(Seconds * MillisecondsPerSecond));
  return true;
}

template <typename Number>
bool readWhole(const char *Text, double Min, double Max, Number &Value) {
  double Read = 0;
  if (!readNumber(Text, Min, Max, Read))
    return false;
  Value = static_cast<Number>(Read);
  return true;
}

bool readTarget(const char *Text, std::vector<Endpoint> &Targets) {
  const Result<Endpoint> Target = parseEndpoint(Text);
  if (Target)
    Targets.push_back(Target.value());
  return Target.has_value();
}

/// \returns whether the option's value is valid.
bool applyOption(LoadOptions &Load, int Code, const char *Value) {
  switch (Code) {
  case 'm':
    return readMode(Value, Load.Mode);
  case 't':
    return readTarget(Value, Load.Targets);
  case 'r':
    Load.Route = Value;
    return true;
  case 'k':
    Load.Key = Value;
    return true;
  case 'w':
    Load.WriteSql = Value;
    return true;
  case 'q':
    Load.ReadSql = Value;
    return true;
  case 's':
    return readNumber(Value, 0, 1, Load.ReadShare);
  case 'R':
    return readNumber(Value, 0, HighestRate, Load.Rate);
  case 'S':
    Load.Sessions = true;
    return true;
  case 'd':
    return readTime(Value, Load.Time);
  case 'T':
    return readTime(Value, Load.Timeout);
  case 'c':
    return readWhole(Value, 1, MostConnections, Load.Connections);
  case 'e':
    return readWhole(Value, 0, LargestSeed, Load.Seed);
  case 'j':
    Load.Json = true;
    return true;
  case 'a':
    Load.Arrivals = true;
    return true;
  case 'h':
    Load.Help = true;
    return true;
  default:
    return false;
  }
}

/// \returns what is missing or contradictory, or nullptr.
const char *findFault(const LoadOptions &Load) {
  if (Load.Targets.empty())
    return "--target is missing";
  if (Load.Mode == LoadMode::Idle)
    return nullptr;
  if (Load.Mode == LoadMode::Http && Load.Route.empty())
    return "--route is missing";
  if (Load.ReadShare < 1 && Load.WriteSql.empty())
    return "--write-sql is missing, as --read-share is below 1";
  if (Load.ReadShare > 0 && Load.ReadSql.empty())
    return "--read-sql is missing, as --read-share is above 0";
  return nullptr;
}

} // namespace

std::optional<LoadOptions> parseLoadOptions(int Count, char **Arguments) {
  LoadOptions Load;
  int Index = 0;
  int Code = 0;
  while ((Code = getopt_long(Count, Arguments, "", Options.data(), &Index)) !=
         -1) {
    if (applyOption(Load, Code, optarg))
      continue;
    if (Code != '?')
      std::cerr << "lavenderdale-load: --" << Options.at(Index).name
                << ": invalid value \"" << optarg << "\"; see --help\n";
    return std::nullopt;
  }
  if (Load.Help)
    return Load;
  const char *Fault = optind < Count ? "unexpected argument" : findFault(Load);
  if (Fault == nullptr)
    return Load;
  std::cerr << "lavenderdale-load: " << Fault << "; see --help\n";
  return std::nullopt;
}

const char *loadHelpText() {
  return R"(Usage: lavenderdale-load --target ADDR:PORT [options]
Sends statements at a steady rate and prints what came back.

  --mode http|direct|idle  through daemons, straight to a database (database
                           and user app), or connections without statements
  --target ADDR:PORT       may be repeated; connections use them in turn
  --route NAME             route of the statements (http)
  --key KEY                key of the workspace (http)
  --read-sql SQL           statement that only reads; {n} is a unique number
  --write-sql SQL          statement that writes
  --read-share X           share of reads, 0 to 1 (default 1)
  --rate N                 statements/s with random gaps; 0 (default) sends as
                           fast as answers come
  --sessions               each connection is a session and sends its token
  --duration S             seconds, at most 600 (default 5)
  --timeout S              seconds that an answer is waited for (default 10)
  --connections N          connections, at most 20000 (default 16)
  --seed N                 seed of gaps and of the choice of reads (default 1)
  --json                   print one JSON object on a line
  --arrivals               also print when each statement was due, in ms
  --help                   print this text

Latency counts from the time at which a statement was due, so that a slow
answer also counts for the statements that waited behind it.
)";
}

} // namespace lavenderdale
