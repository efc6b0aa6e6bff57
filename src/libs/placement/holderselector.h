#pragma once

#include "base/timepoint.h"
#include "placement.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {

/// Selects the host whose connection carries a statement to an upstream: one
/// of the two holders of the upstream (see holdersOf()), or the first host
/// after them in the same order that answers.
///
/// Load pattern: a network partition leaves an upstream and most of the fleet
/// on one side and the holders of the upstream on the other. All hosts of a
/// side then go over the same host of their side, instead of each opening its
/// own connections, which are more than the upstream permits.
///
/// An upstream limits the number of connections from all hosts together, and
/// each connection serves one workspace. If every host kept its own
/// connections, a fleet could have more pairs of host and workspace than
/// connections: 48 pairs for 16 connections with six hosts, thousands of pairs
/// for 35 connections with 69 hosts. Nearly every statement would then need a
/// handshake, which occupies a slot of the upstream for longer than most
/// statements do.
class HolderSelector {
public:
  /// How long a host is skipped after an upstream could not be reached through
  /// it. Host reports reveal a failed host in about this time.
  static constexpr std::chrono::milliseconds AvoidAfterFailure{1000};
  /// Number of consecutive missing answers after which a path counts as
  /// failed. A single answer can be lost without a fault of the path.
  static constexpr unsigned LostAnswersOfFailedPath = 2;

  /// Number of hosts of a failure domain without an answer, or all of a smaller
  /// domain, after which the other hosts of the domain are skipped too. A
  /// domain that is cut off is thus noticed with its first hosts, instead of by
  /// one timeout for each of them.
  static constexpr std::size_t FailedHostsOfCutDomain = 3;

  explicit HolderSelector(std::string Self) : Self(std::move(Self)) {}

  /// Replaces the hosts to select from. Drops the recorded failures of hosts
  /// that are no longer among them. A host that joins costs one hash for each
  /// known upstream, and one that leaves a new selection for the upstreams that
  /// it held, so that a fleet that starts at once does not select all holders
  /// anew with each host that appears.
  /// \param Live the live hosts, including this one, ordered by name.
  void setHosts(std::vector<PlacementHost> Live);

  /// \param FailureDomain failure domain of \p Upstream.
  /// \returns the first host that is not skipped because of a failure, in the
  ///          order of their preference as holders.
  std::string choose(const std::string &Upstream,
                     const std::string &FailureDomain, TimePoint Now);

  /// \returns the position of \p Host among the holders of \p Upstream: 0 for
  ///          the first, 1 for the second, 2 for all other hosts.
  std::size_t rank(const std::string &Host, const std::string &Upstream,
                   const std::string &FailureDomain);

  /// Records that \p Host did not answer. It is skipped for all upstreams. If
  /// several hosts of its domain did not, while none answered lately, the whole
  /// domain is skipped.
  void hostFailed(const std::string &Host, TimePoint Now);
  /// Records that \p Host cannot reach \p Upstream. It is skipped for this
  /// upstream only.
  void pathFailed(const std::string &Host, const std::string &Upstream,
                  TimePoint Now);
  /// Records that \p Host answered, which ends its avoidance and that of its
  /// domain.
  void hostAnswered(const std::string &Host, TimePoint Now);

  /// Records that \p Answers answers of \p Upstream did not reach \p Host.
  void answersLost(const std::string &Host, const std::string &Upstream,
                   unsigned Answers, TimePoint Now);
  /// Records that \p Upstream answered through \p Host, which resets the count
  /// of missing answers.
  void pathAnswered(const std::string &Host, const std::string &Upstream);

  /// Returns whether all failure domains with hosts, except that of this host,
  /// are skipped at \p Now; false if there are no others.
  bool otherDomainsSkipped(TimePoint Now) const;

private:
  /// The holders of one upstream, the preferred one first.
  struct HolderList {
    std::string FailureDomain; ///< Of the upstream.
    std::vector<RankedHolder> Holders;
    /// Indices of all hosts in Live, in the same order; filled when both
    /// holders are skipped. There may be one for each upstream and workspace.
    std::vector<std::uint32_t> All;
  };

  const std::vector<RankedHolder> &holders(const std::string &Upstream,
                                           const std::string &FailureDomain);
  /// Indices of all hosts in Live, the preferred holder first.
  std::vector<std::uint32_t>
  rankedHosts(const std::string &Upstream,
              const std::string &FailureDomain) const;
  void hostJoined(const PlacementHost &Host);
  void hostLeft(const std::string &Host);
  bool isAvoided(const std::string &Host, const std::string &Upstream,
                 TimePoint Now) const;
  /// Failure domain of a live host; nullptr if the host is not live.
  const std::string *domainOf(const std::string &Host) const;
  void updateDomain(const std::string &FailureDomain, TimePoint Now);

  const std::string Self;
  std::vector<PlacementHost> Live;
  std::map<std::string, HolderList> Holders; ///< By upstream.
  std::map<std::string, TimePoint> HostsAvoidedUntil;
  std::map<std::string, TimePoint> DomainsAvoidedUntil;
  std::map<std::string, TimePoint> DomainsAnsweredAt;
  using Path = std::pair<std::string, std::string>; ///< Host and upstream.
  std::map<Path, TimePoint> PathsAvoidedUntil;
  std::map<Path, unsigned> ConsecutiveLosses; ///< Missing answers.
};

} // namespace lavenderdale
