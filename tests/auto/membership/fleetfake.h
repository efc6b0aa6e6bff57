#pragma once

#include "membership/membership.h"

#include <functional>
#include <map>
#include <memory>

namespace lavenderdale {

/// Simulates a fleet of Membership objects, their network, the platform and the
/// clock.
class FleetFake {
public:
  struct Host {
    HostMember Self;
    std::unique_ptr<Membership> Agent; ///< Null while the host is down.
    TimePoint PausedUntil;
    int Side = 0; ///< Hosts on different sides cannot reach each other.
    bool ReachesPlatform = true;
    std::uint64_t BytesSent = 0;
    std::uint64_t Messages = 0;
    /// Until when this host's grants can be spent, by workspace.
    std::map<std::string, TimePoint> GrantEnds;
  };

  struct ShareUse {
    int Owners = 0;
    /// Whether a host may use the share while grants of another host can still
    /// be spent.
    bool Overlaps = false;
  };

  FleetFake(std::uint64_t Seed, int HostCount, int DomainCount);

  /// Simulates \p Time; calls \p EachStep every 10 ms.
  void run(Duration Time, const std::function<void()> &EachStep = {});

  void start(Host &Which);
  void crash(Host &Which);
  bool isRunning(const Host &Which) const;
  bool isMember(const Host &Which) const;
  /// \returns the number of hosts that may now use the domain's share of the
  ///          workspace's rate.
  int ownerCount(const std::string &Workspace, const std::string &Domain);
  /// Counts like ownerCount(), and records until when grants that are given now
  /// can be spent. Must be called in each step.
  ShareUse useShare(const std::string &Workspace, const std::string &Domain);

  std::vector<Host> Hosts;
  MemberSet Stored; ///< The platform's host set.
  TimePoint Now{std::chrono::hours(1)};
  double LossRate = 0;              ///< Probability that a message is lost.
  bool LosePlatformAnswers = false; ///< Proposals are stored, but not answered.
  bool CountBytes = false;
  std::mt19937_64 Random;

private:
  struct Event {
    TimePoint Due;
    std::size_t To;
    std::uint64_t Generation;
    std::function<void(Membership &)> Deliver;
  };

  bool reaches(const Host &From, const Host &To) const;
  Duration latency();
  Host *byName(const std::string &Name);
  void send(Host &From, Host &To, std::function<void(Membership &)> Deliver);
  void deliverDue();
  void tick(Host &Which);
  void perform(Host &Which, const SendHeartbeat &Action);
  void perform(Host &Which, const SendRemovalRequest &Action);
  void perform(Host &Which, const ProposeHostSet &Action);
  void perform(Host &Which, const FetchHostSet &Action);
  template <typename Message> void count(Host &From, const Message &Sent);

  std::vector<Event> Events;
  std::uint64_t NextGeneration = 1;
};

} // namespace lavenderdale
