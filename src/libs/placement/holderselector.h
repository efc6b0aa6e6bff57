#pragma once

#include "base/timepoint.h"
#include "placement.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {

/// Selects the host whose connection carries a statement to an upstream: one
/// of the two holders of the upstream (see holdersOf()), or this host itself.
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

  explicit HolderSelector(std::string Self) : Self(std::move(Self)) {}

  /// Replaces the hosts to select from. Drops the recorded failures of hosts
  /// that are no longer among them.
  /// \param Live the live hosts, including this one.
  void setHosts(std::vector<PlacementHost> Live);

  /// \param FailureDomain failure domain of \p Upstream.
  /// \returns the first holder that is not skipped because of a failure, or
  ///          this host if there is none.
  std::string choose(const std::string &Upstream,
                     const std::string &FailureDomain, TimePoint Now);

  /// \returns the position of \p Host among the holders of \p Upstream: 0 for
  ///          the first, 1 for the second, 2 for all other hosts.
  std::size_t rank(const std::string &Host, const std::string &Upstream,
                   const std::string &FailureDomain);

  /// Records that \p Host did not answer. It is skipped for all upstreams.
  void hostFailed(const std::string &Host, TimePoint Now);
  /// Records that \p Host cannot reach \p Upstream. It is skipped for this
  /// upstream only.
  void pathFailed(const std::string &Host, const std::string &Upstream,
                  TimePoint Now);
  /// Records that \p Host answered, which ends its avoidance.
  void hostAnswered(const std::string &Host);

  /// Records that \p Answers answers of \p Upstream did not reach \p Host.
  void answersLost(const std::string &Host, const std::string &Upstream,
                   unsigned Answers, TimePoint Now);
  /// Records that \p Upstream answered through \p Host, which resets the count
  /// of missing answers.
  void pathAnswered(const std::string &Host, const std::string &Upstream);

private:
  const std::vector<std::string> &holders(const std::string &Upstream,
                                          const std::string &FailureDomain);
  bool isAvoided(const std::string &Host, const std::string &Upstream,
                 TimePoint Now) const;

  const std::string Self;
  std::vector<PlacementHost> Live;
  std::map<std::string, std::vector<std::string>> Holders; ///< By upstream.
  std::map<std::string, TimePoint> HostsAvoidedUntil;
  using Path = std::pair<std::string, std::string>; ///< Host and upstream.
  std::map<Path, TimePoint> PathsAvoidedUntil;
  std::map<Path, unsigned> ConsecutiveLosses; ///< Missing answers.
};

} // namespace lavenderdale
