#pragma once

#include "base/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lavenderdale {

/// The newest state of one object. The payload is not interpreted here.
struct ConfigurationObject {
  std::string Name; ///< Unique over all kinds, for example "routes/orders".
  std::uint64_t Version = 0; ///< The object's resourceVersion.
  bool Deleted = false;
  std::string Payload;

  bool operator==(const ConfigurationObject &) const = default;
};

/// Asks for the objects that changed after a version.
struct PullRequest {
  /// Objects up to this version are known.
  std::uint64_t Since = 0;
  /// Deletions up to this version are known. Less than Since while a
  /// configuration is received in several parts.
  std::uint64_t Base = 0;
};

/// Changed objects in the order of their versions. The receiver puts them in
/// force when it has the part with More = false.
struct PullAnswer {
  std::uint64_t Version = 0; ///< The sender's version.
  std::uint64_t Since = 0;   ///< Objects after this version are here,
  std::uint64_t UpTo = 0;    ///< up to this version.
  bool More = false;
  /// The objects that the receiver had are dropped first.
  bool Replaces = false;
  std::vector<ConfigurationObject> Objects;
};

/// The answer to a version query.
struct VersionReport {
  std::string Host;
  std::string FailureDomain;
  std::uint64_t Version = 0;
  /// Age of the newest confirmation by the platform that the sender knows
  /// of, and the version that the platform had. Nothing if there is none.
  std::optional<std::chrono::milliseconds> ConfirmedAge;
  std::uint64_t ConfirmedVersion = 0;
  /// For failure domains whose relays cannot reach the platform: the age of
  /// the report that says so.
  std::map<std::string, std::chrono::milliseconds> Unreachable;
};

/// Ask a host for its VersionReport, with a deadline of 1 s.
struct QueryVersion {
  std::string To;
};

/// Pull from a host. It answers at once if it has changes, otherwise when it
/// gets some or after \p Wait. Ends with ConfigurationState::onPullAnswer()
/// or onPullFailed().
struct PullConfiguration {
  std::string To;
  PullRequest Message;
  std::chrono::milliseconds Wait{0};
};

/// Ask the platform for its present version, with a deadline of 2 s. An
/// answer goes to ConfigurationState::onPlatformVersion().
struct CheckPlatform {};

/// List, then watch the platform, or stop that.
struct WatchPlatform {
  bool Watch = false;
};

using ConfigurationAction =
    std::variant<QueryVersion, PullConfiguration, CheckPlatform, WatchPlatform>;

} // namespace lavenderdale
