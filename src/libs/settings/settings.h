#pragma once

#include "base/result.h"
#include "ipendpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Section [host]: who this process is.
struct HostSettings {
  std::string Name;
  std::string FailureDomain;
};

/// Section [listen]. Port 0 lets the system choose a port.
struct ListenSettings {
  IpEndpoint Clients;
  IpEndpoint Peers;
  /// Address that peers are told to use; Peers if unset.
  std::optional<IpEndpoint> AdvertisedPeers;
  IpEndpoint Admin;
};

/// Section [platform].
struct PlatformSettings {
  std::vector<IpEndpoint> Endpoints;
};

/// Section [limits].
struct LimitSettings {
  std::uint64_t MaxConnections = 10'000;
  std::uint64_t MaxRequestBytes = std::uint64_t{1} << 20U;
  std::uint64_t MaxResultBytes = std::uint64_t{16} << 20U;
  /// Bodies that are received or worked on, of all callers together; 0 for 256
  /// MiB, or 16 of the largest requests if that is more.
  std::uint64_t MaxReceivingBytes = 0;
  std::chrono::milliseconds IdleTimeout{300'000};
  std::chrono::milliseconds HeaderTimeout{10'000};
};

/// Section [timeouts].
struct TimeoutSettings {
  /// How long requests are still accepted after SIGTERM, while the balancer
  /// detects the change.
  std::chrono::milliseconds StopGrace{3'000};
  /// After this time a stop no longer waits for requests in flight.
  std::chrono::milliseconds StopLimit{30'000};
  std::chrono::milliseconds MaxDeadline{60'000};
};

/// Section [threads].
struct ThreadSettings {
  std::uint64_t Workers = 4;
};

/// Section [log].
struct LogSettings {
  std::string File; ///< Empty for standard error.
  std::string Level = "info";
};

/// Section [traces].
struct TraceSettings {
  std::string File; ///< Empty: no spans are written.
  double Sample = 0.01;
};

/// Section [experiment]: policies that other ones are measured against. For
/// measurements only. Fencing and read-your-writes hold under all of them.
struct ExperimentSettings {
  std::string Queue = "fair";     ///< "fair" or "fifo".
  std::string Reads = "freshest"; ///< "freshest" or "round-robin".
  /// Time without an answer, or with refused connections, after which a
  /// primary is suspected; 0 for the times of the failure detector.
  std::chrono::milliseconds SuspectAfter{0};

  bool operator==(const ExperimentSettings &) const = default;
};

/// The settings of one process.
struct Settings {
  HostSettings Host;
  ListenSettings Listen;
  PlatformSettings Platform;
  LimitSettings Limits;
  TimeoutSettings Timeouts;
  ThreadSettings Threads;
  LogSettings Log;
  TraceSettings Traces;
  ExperimentSettings Experiment;
};

/// Reads the TOML file \p Path. Only host, listen and platform are required.
/// \returns the settings, or InvalidSettings with one line for each problem:
///          "FILE:LINE: key: found VALUE, expected ...".
Result<Settings> loadSettings(const std::string &Path);

/// Like loadSettings(), for text that was already read.
/// \param FileName used in error texts.
Result<Settings> parseSettings(const std::string &Text,
                               const std::string &FileName);

} // namespace lavenderdale
