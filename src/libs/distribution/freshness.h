#pragma once

#include "configurationmessages.h"

#include <set>

namespace lavenderdale {

/// Whether the configuration in force is known to be current: the platform
/// has confirmed it lately, or all failure domains report that they cannot
/// reach the platform, so that nothing can change. A majority is not enough: in
/// a cut between regions it can be the side without the platform, while a key
/// is withdrawn on the other side. A domain that is not heard from may be able
/// to reach the platform.
///
/// All times are counted from when a question was sent, so an answer that
/// was delayed, or waited for a paused process, does not count as new.
class Freshness {
public:
  static constexpr std::chrono::seconds ConfirmationValid{5};
  static constexpr std::chrono::seconds ReportValid{2};
  /// Keyed routes stop this time after the last evidence, which is the time
  /// within which a withdrawn key stops working everywhere.
  static constexpr std::chrono::seconds KeysValid{10};

  /// \param Own the own failure domain.
  explicit Freshness(std::string Own);

  /// All failure domains of the fleet, whether reachable or not.
  void setDomains(std::set<std::string> Domains);

  /// The platform had \p PlatformVersion at \p At or later.
  void confirm(std::uint64_t PlatformVersion, TimePoint At,
               std::uint64_t VersionInForce);

  /// The version in force has changed.
  void versionChanged(std::uint64_t VersionInForce);

  /// The relays of a domain could not reach the platform at \p At.
  void reportUnreachable(const std::string &Domain, TimePoint At);
  /// A relay of the domain can reach the platform.
  void reportReachable(const std::string &Domain);

  /// Takes the time of the oldest report as that of an outage if there are
  /// valid reports of all domains, the own one included.
  /// \param UpToDate whether no host is known to have a newer version.
  void update(TimePoint Now, bool UpToDate);

  bool isFresh(TimePoint Now) const;
  bool mayServeKeyed(TimePoint Now) const;

  /// Whether the last evidence is so old that other hosts should be asked.
  bool isDoubtful(TimePoint Now) const;

  std::optional<TimePoint> confirmedAt() const { return this->ConfirmedAt; }
  /// When all domains were last known not to reach the platform.
  std::optional<TimePoint> outageAt() const { return this->OutageAt; }
  std::uint64_t confirmedVersion() const { return this->ConfirmedVersion; }
  const std::map<std::string, TimePoint> &unreachable() const {
    return this->Unreachable;
  }

private:
  const std::string Own;
  std::set<std::string> Domains;
  std::optional<TimePoint> ConfirmedAt;
  std::uint64_t ConfirmedVersion = 0;
  /// A confirmation of a version that is not in force here yet.
  std::optional<TimePoint> AwaitedAt;
  std::uint64_t AwaitedVersion = 0;
  std::map<std::string, TimePoint> Unreachable;
  std::optional<TimePoint> OutageAt;
};

} // namespace lavenderdale
