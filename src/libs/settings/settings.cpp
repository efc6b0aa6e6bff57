#include "settings.h"

#include "tomlreader.h"

#include <fstream>
#include <sstream>

namespace lavenderdale {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t MaxConnectionLimit = 1'000'000;
constexpr std::uint64_t MinMessageBytes = 1024;
constexpr std::uint64_t MaxMessageBytes = 1024ULL * 1024 * 1024;
constexpr std::uint64_t MaxReceivingLimit = 1024 * MaxMessageBytes;
constexpr std::uint64_t MaxWorkers = 256;

void readHost(TomlReader &Reader, HostSettings &Host) {
  Reader.enter("host", true);
  Reader.requiredName("name", Host.Name);
  Reader.requiredName("failure_domain", Host.FailureDomain);
}

void readListen(TomlReader &Reader, ListenSettings &Listen) {
  Reader.enter("listen", true);
  Reader.requiredEndpoint("clients", Listen.Clients);
  Reader.requiredEndpoint("peers", Listen.Peers);
  Reader.optionalEndpoint("advertised_peers", Listen.AdvertisedPeers);
  Reader.requiredEndpoint("admin", Listen.Admin);
}

void readPlatform(TomlReader &Reader, PlatformSettings &Platform) {
  Reader.enter("platform", true);
  Reader.requiredEndpoints("endpoints", Platform.Endpoints);
}

void readLimits(TomlReader &Reader, LimitSettings &Limits) {
  Reader.enter("limits", false);
  Reader.optionalUnsigned("max_connections", 1, MaxConnectionLimit,
                          Limits.MaxConnections);
  Reader.optionalUnsigned("max_request_bytes", MinMessageBytes, MaxMessageBytes,
                          Limits.MaxRequestBytes);
  Reader.optionalUnsigned("max_result_bytes", MinMessageBytes, MaxMessageBytes,
                          Limits.MaxResultBytes);
  Reader.optionalUnsigned("max_receiving_bytes", MinMessageBytes,
                          MaxReceivingLimit, Limits.MaxReceivingBytes);
  Reader.optionalMilliseconds("idle_timeout_ms", seconds(1), hours(24),
                              Limits.IdleTimeout);
  Reader.optionalMilliseconds("header_timeout_ms", milliseconds(100),
                              minutes(5), Limits.HeaderTimeout);
}

void readTimeouts(TomlReader &Reader, TimeoutSettings &Timeouts) {
  Reader.enter("timeouts", false);
  Reader.optionalMilliseconds("stop_grace_ms", milliseconds(0), minutes(10),
                              Timeouts.StopGrace);
  Reader.optionalMilliseconds("stop_limit_ms", milliseconds(0), minutes(10),
                              Timeouts.StopLimit);
  Reader.optionalMilliseconds("max_deadline_ms", milliseconds(1), minutes(10),
                              Timeouts.MaxDeadline);
}

void readThreads(TomlReader &Reader, ThreadSettings &Threads) {
  Reader.enter("threads", false);
  Reader.optionalUnsigned("workers", 1, MaxWorkers, Threads.Workers);
}

void readLog(TomlReader &Reader, LogSettings &Log) {
  Reader.enter("log", false);
  Reader.optionalString("file", Log.File);
  Reader.optionalChoice("level", {"debug", "info", "warn", "error"}, Log.Level);
}

void readTraces(TomlReader &Reader, TraceSettings &Traces) {
  Reader.enter("traces", false);
  Reader.optionalString("file", Traces.File);
  Reader.optionalNumber("sample", 0.0, 1.0, Traces.Sample);
}

// A shorter time would replace a primary that pauses for a second.
void readExperiment(TomlReader &Reader, ExperimentSettings &Experiment) {
  Reader.enter("experiment", false);
  Reader.optionalChoice("queue", {"fair", "fifo"}, Experiment.Queue);
  Reader.optionalChoice("reads", {"freshest", "round-robin"}, Experiment.Reads);
  Reader.optionalMilliseconds("suspect_after_ms", milliseconds(1200),
                              minutes(1), Experiment.SuspectAfter);
}

} // namespace

Result<Settings> parseSettings(const std::string &Text,
                               const std::string &FileName) {
  TomlReader Reader(Text, FileName);
  Settings Read;
  readHost(Reader, Read.Host);
  readListen(Reader, Read.Listen);
  readPlatform(Reader, Read.Platform);
  readLimits(Reader, Read.Limits);
  readTimeouts(Reader, Read.Timeouts);
  readThreads(Reader, Read.Threads);
  readLog(Reader, Read.Log);
  readTraces(Reader, Read.Traces);
  readExperiment(Reader, Read.Experiment);
  BOOST_OUTCOME_TRY(Reader.finish());
  return Read;
}

Result<Settings> loadSettings(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  if (!File || !(Text << File.rdbuf()))
    return failure(ErrorKind::InvalidSettings,
                   Path + ": found no readable, non-empty file, expected a "
                          "TOML settings file");
  return parseSettings(Text.str(), Path);
}

} // namespace lavenderdale
