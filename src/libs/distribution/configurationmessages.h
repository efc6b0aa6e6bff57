#pragma once

#include "base/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lavenderdale {

/// A version of one configuration object. This library does not interpret the
/// payload.
struct ConfigurationObject {
  std::string Name; ///< Unique among all kinds, for example "routes/orders".
  std::uint64_t Version = 0; ///< The object's resourceVersion.
  bool Deleted = false;
  std::string Payload;

  bool operator==(const ConfigurationObject &) const = default;
};

/// Asks a host for the objects that have changed after a version.
struct PullRequest {
  /// The sender has all objects up to this version.
  std::uint64_t Since = 0;
  /// The sender has all deletions up to this version. Less than Since while it
  /// receives a configuration in several parts.
  std::uint64_t Base = 0;
};

/// One part of the changed objects, in the order of their versions. The
/// receiver installs them when it has received the part with More = false.
struct PullAnswer {
  std::uint64_t Version = 0; ///< The sender's version.
  std::uint64_t Since = 0;   ///< The part has all objects after this version,
  std::uint64_t UpTo = 0;    ///< up to and including this one.
  bool More = false;         ///< Whether more parts follow.
  /// Whether the transfer replaces all objects of the receiver.
  bool Replaces = false;
  std::vector<ConfigurationObject> Objects;
};

/// The answer to a version query: the sender's version and its information
/// about the platform.
struct VersionReport {
  std::string Host;
  std::string FailureDomain;
  std::uint64_t Version = 0;
  /// Age of the newest confirmation by the platform that is known to the
  /// sender, or nothing if there is none.
  std::optional<std::chrono::milliseconds> ConfirmedAge;
  std::uint64_t ConfirmedVersion = 0; ///< The platform's version at that time.
  /// For each failure domain whose relays cannot reach the platform, the age of
  /// the report about it.
  std::map<std::string, std::chrono::milliseconds> Unreachable;
};

/// Action: ask a host for its VersionReport, with a deadline of 1 s.
struct QueryVersion {
  std::string To;
};

/// Action: pull changes from a host. The host answers immediately if it has
/// changes, otherwise as soon as it gets some, or after Wait. Then call
/// ConfigurationState::onPullAnswer() or onPullFailed().
struct PullConfiguration {
  std::string To;
  PullRequest Message;
  std::chrono::milliseconds Wait{0};
};

/// Action: ask the platform for its current version, with a deadline of 2 s,
/// and pass the answer to ConfigurationState::onPlatformVersion().
struct CheckPlatform {};

/// Action: list the objects on the platform and watch their changes, or stop
/// watching.
struct WatchPlatform {
  bool Watch = false;
};

using ConfigurationAction =
    std::variant<QueryVersion, PullConfiguration, CheckPlatform, WatchPlatform>;

} // namespace lavenderdale
