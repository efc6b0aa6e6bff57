#pragma once

#include "failover/evidence.h"
#include "failover/failuredetector.h"
#include "failover/promotion.h"
#include "failover/writepermission.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale::matrix {

struct GroupFakeOptions {
  std::uint64_t Seed = 1;
  PromotionTimes Times;
  bool PermissionIgnored = false; ///< Holders start and acknowledge anything.
  Duration QueueWait{0};          ///< Of writes at their holder.
  AcknowledgeMode Mode = AcknowledgeMode::Primary;
};

/// A group of three databases in three failure domains with their watchers,
/// holders, writers, platform, network and clock.
class GroupFake {
public:
  struct Member {
    std::string Name;
    std::string FailureDomain;
    bool InRecovery = true;
    Term Timeline{1};
    std::vector<unsigned> Log; ///< Numbers of writes; the size is the position.
    std::string Follows;
    std::set<std::pair<std::size_t, CallId>> Sessions;
    bool Stalled = false; ///< Receives nothing.
  };
  struct WatcherHost {
    Watcher Self;
    std::optional<Promotion> Agent; ///< Empty while the host is down.
    FailureDetector Detector;
    EvidenceAggregator Board;
    TimePoint PausedUntil;
  };
  /// The holder of one term's primary. None learns that its term has ended.
  struct Holder {
    WritePermission Permission;
    std::string FailureDomain;
    TimePoint PausedUntil;
  };
  struct Write {
    std::size_t By = 0; ///< Index of the holder.
    TimePoint StartAt;
    TimePoint SentAt;
    unsigned Number = 0;
    LogPosition Commit;
    Term AnsweredIn; ///< Timeline of the answer.
    enum class State { Queued, Sent, Answered, Over } Now = State::Queued;
  };

  explicit GroupFake(const GroupFakeOptions &Options);

  /// Runs for \p Time in steps of 10 ms.
  void run(Duration Time);

  void startWatcher(std::size_t Index);
  void setMembers(const std::vector<std::string> &Names);
  void addReplica(const std::string &Name, const std::string &FailureDomain);
  /// Stores a change of the group's spec, which raises the version.
  void editSpec() { ++this->Status.Version; }
  /// Ends all faults.
  void heal();

  bool isWritable() const;
  bool allFollow() const;
  const std::string &violation() const { return this->Violation; }
  unsigned acknowledged() const { return this->AcknowledgedCount; }

  std::vector<Member> Members;
  std::vector<WatcherHost> Watchers;
  std::vector<Holder> Holders; ///< One for each term.
  std::vector<Write> Writes;
  std::vector<std::string> Names;
  TermStatus Status; ///< As the platform stores it.
  TimePoint Now{std::chrono::hours(1)};
  std::mt19937_64 Random;

  bool PrimaryCut = false; ///< Only its holder reaches the first primary.
  bool PlatformDown = false;
  bool LosePlatformAnswers = false;
  bool SilentSessions = false; ///< Control sessions and polls get no answer.
  std::set<std::string> CutDomains;

  /// Called before a watcher's request leaves, and before a write is sent or
  /// decided.
  std::function<void(std::size_t Watcher, const PromotionAction &)> OnRequest;
  std::function<void(const Write &)> OnWrite;

private:
  struct Event {
    TimePoint Due;
    std::function<bool()> Run; ///< False: its receiver is paused.
  };
  struct Executor;

  Member *find(const std::string &Name);
  bool reaches(const std::string &FromDomain, const Member &M) const;
  bool reachesPlatform(const std::string &FromDomain) const;
  ReplicaPoll poll(const Member &M, TimePoint SentAt) const;
  Duration latency();
  void post(Duration After, std::function<bool()> Run);
  void deliver(std::size_t Index, const PromotionEvent &Event);
  void send(std::size_t Index, const PromotionAction &Action);
  void tickWatcher(std::size_t Index);
  void detect(std::size_t Index);
  void tickHolder(std::size_t Index);
  void replicate();
  void rebuild();
  void advance(Write &W);
  void start(Write &W);
  void decide(Write &W);
  void changed(const TermStatus &New);
  void completed(const TermStatus &New);
  void violate(const std::string &What);

  GroupFakeOptions Options;
  std::vector<Event> Events;
  std::map<Term, std::string> Primaries;
  std::set<unsigned> KeptWrites; ///< Acknowledged after a replica had them.
  unsigned LastWrite = 0;
  unsigned LastInstance = 0;
  unsigned AcknowledgedCount = 0;
  std::string Violation;
};

} // namespace lavenderdale::matrix
