#pragma once

#include "base/timepoint.h"
#include "placement.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {

/// Chooses the host through whose connections a statement reaches an
/// upstream: one of the two holders of the upstream, or this host itself.
///
/// Upstreams bound their connections over all hosts, and a connection belongs
/// to one workspace. Load pattern: more pairs of host and workspace than
/// connections (48 before 16 on a fleet of six hosts, thousands before 35 on
/// one of 69), where hosts that keep their own connections need a handshake
/// for nearly every statement, and each handshake holds a slot of the
/// upstream for longer than most statements.
class HolderChoice {
public:
  /// A host through which an upstream could not be reached is passed over for
  /// this long; about the time in which reports tell of a host that is gone.
  static constexpr std::chrono::milliseconds AvoidAfterFailure{1000};
  /// Answers in a row that an upstream has to leave out before its path counts
  /// as failed; single ones are lost without any fault of the path.
  static constexpr unsigned LossesOfFailedPath = 2;

  explicit HolderChoice(std::string Self) : Self(std::move(Self)) {}

  /// \param Live the hosts that can be asked, this one included.
  void setHosts(std::vector<PlacementHost> Live);

  /// \returns the host to use; the own name for own connections.
  std::string choose(const std::string &Upstream,
                     const std::string &FailureDomain, TimePoint Now);

  /// Place of \p Host among the holders of \p Upstream: 0 for the first, 1 for
  /// the second, 2 for all others.
  std::size_t rank(const std::string &Host, const std::string &Upstream,
                   const std::string &FailureDomain);

  /// \p Host did not answer; it is avoided for all upstreams.
  void hostFailed(const std::string &Host, TimePoint Now);
  /// \p Host answered that it cannot reach \p Upstream.
  void pathFailed(const std::string &Host, const std::string &Upstream,
                  TimePoint Now);
  /// The host answered.
  void hostAnswered(const std::string &Host);

  /// \p Upstream left \p Answers answers out that \p Host waited for.
  void answersLost(const std::string &Host, const std::string &Upstream,
                   unsigned Answers, TimePoint Now);
  /// \p Upstream answered over \p Host.
  void pathAnswered(const std::string &Host, const std::string &Upstream);

private:
  const std::vector<std::string> &holders(const std::string &Upstream,
                                          const std::string &FailureDomain);
  bool avoided(const std::string &Host, const std::string &Upstream,
               TimePoint Now) const;

  const std::string Self;
  std::vector<PlacementHost> Live;
  std::map<std::string, std::vector<std::string>> Holders; ///< By upstream.
  std::map<std::string, TimePoint> HostsAvoidedUntil;
  using Path = std::pair<std::string, std::string>; ///< Host and upstream.
  std::map<Path, TimePoint> PathsAvoidedUntil;
  std::map<Path, unsigned> Losses; ///< In a row.
};

} // namespace lavenderdale
