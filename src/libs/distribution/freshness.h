#pragma once

#include "configurationmessages.h"

#include <set>

namespace lavenderdale {

/// Determines whether the configuration is known to be current. This needs
/// either a recent confirmation by the platform, or recent reports of all
/// failure domains that they cannot reach the platform, so that the
/// configuration cannot change. Reports of a majority do not suffice: in a
/// partition between regions, the majority can be on the side without the
/// platform while a key is withdrawn on the other side. A domain without a
/// report may be able to reach the platform.
///
/// All times count from the sending of a query, so answers that were delayed,
/// or had to wait for a paused process, do not count as new.
class Freshness {
public:
  /// How long a confirmation by the platform counts as recent.
  static constexpr std::chrono::seconds ConfirmationValid{5};
  /// How long a report about an unreachable platform counts as recent.
  static constexpr std::chrono::seconds ReportValid{2};
  /// How long keys are accepted after the last confirmation or outage. This is
  /// the time within which a withdrawn key stops working everywhere.
  static constexpr std::chrono::seconds KeysValid{10};

  /// \param Own failure domain of this host.
  explicit Freshness(std::string Own);

  /// Sets all failure domains of the fleet, whether reachable or not.
  void setDomains(std::set<std::string> Domains);

  /// Records a version of the platform that was read at \p At or later.
  /// \param VersionInForce version of this host's configuration.
  void confirm(std::uint64_t PlatformVersion, TimePoint At,
               std::uint64_t VersionInForce);

  /// Records a change of this host's version.
  void versionChanged(std::uint64_t VersionInForce);

  /// Records that the relays of a domain could not reach the platform at \p At.
  void reportUnreachable(const std::string &Domain, TimePoint At);
  /// Records that a relay of the domain can reach the platform.
  void reportReachable(const std::string &Domain);

  /// If there are valid reports of all domains, including this host's domain,
  /// records an outage at the time of the oldest report.
  /// \param UpToDate whether no host is known to have a newer version.
  void update(TimePoint Now, bool UpToDate);

  /// Whether there was a confirmation within ConfirmationValid, or an outage
  /// within ReportValid.
  bool isFresh(TimePoint Now) const;
  /// Whether there was a confirmation or an outage within KeysValid.
  bool mayAcceptKeys(TimePoint Now) const;

  /// Whether the last confirmation or outage is so long ago that other hosts
  /// should be asked.
  bool needsConfirmation(TimePoint Now) const;

  std::optional<TimePoint> confirmedAt() const { return this->ConfirmedAt; }
  /// \returns when all domains were last known not to reach the platform.
  std::optional<TimePoint> outageAt() const { return this->OutageAt; }
  std::uint64_t confirmedVersion() const { return this->ConfirmedVersion; }
  /// \returns the domains that cannot reach the platform, and the times of the
  ///          reports.
  const std::map<std::string, TimePoint> &unreachable() const {
    return this->Unreachable;
  }

private:
  const std::string Own;
  std::set<std::string> Domains;
  std::optional<TimePoint> ConfirmedAt;
  std::uint64_t ConfirmedVersion = 0;
  /// A confirmation of a version that this host does not have yet.
  std::optional<TimePoint> AwaitedAt;
  std::uint64_t AwaitedVersion = 0;
  std::map<std::string, TimePoint> Unreachable;
  std::optional<TimePoint> OutageAt;
};

} // namespace lavenderdale
