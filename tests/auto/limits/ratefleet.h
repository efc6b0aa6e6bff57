#pragma once

#include "limits/ratedrawer.h"
#include "limits/rateowner.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace lavenderdale::test {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::size_t HostCount = 6;
inline constexpr std::size_t HostsPerDomain = 2;
inline constexpr std::size_t DomainCount = HostCount / HostsPerDomain;
/// Time from a host's death until the others learn of its removal.
inline constexpr Duration RemovalTime = milliseconds(1500);

/// A token bucket that starts full.
class ReferenceBucket {
public:
  ReferenceBucket(double Rate, double Burst, TimePoint Start)
      : Rate(Rate), Burst(Burst), Level(Burst), At(Start) {}
  double level(TimePoint Now) {
    const double Elapsed =
        std::chrono::duration<double>(std::max(Now - this->At, {})).count();
    this->At = std::max(this->At, Now);
    return this->Level =
               std::min(this->Burst, this->Level + Elapsed * this->Rate);
  }
  bool take(TimePoint Now) {
    if (this->level(Now) < 1 - 1e-6)
      return false;
    this->Level -= 1;
    return true;
  }

private:
  double Rate, Burst, Level;
  TimePoint At;
};

struct Outcome {
  std::uint64_t Requests = 0, Served = 0, Refused = 0, Wrongful = 0;
  std::uint64_t Above = 0; ///< Spent above rate and burst.
  std::uint64_t BaselineWrongful = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Draws = 0;   ///< Grant requests, reports included.
  std::uint64_t Granted = 0; ///< Tokens.
};

struct Load {
  RateAndBurst Limit;
  double Factor = 0.9; ///< Of the rate.
  Duration Length = seconds(20);
  std::function<std::size_t(Duration)> HostAt = {}; ///< Where requests arrive.
  std::optional<std::size_t> Dies = {};
  Duration DiesAt = seconds(5);
  double LossShare = 0; ///< Of messages.
  Duration LeaseLength = seconds(1);
  Duration RenewalInterval = milliseconds(200);
  /// Waiting requests also try again after this time, as in the daemon.
  Duration RetryInterval = Duration::max();
  /// Hosts with demand also poll after this time, as in the daemon.
  Duration PollInterval = Duration::max();
  Duration HandlingTime{}; ///< Of each message, besides the network.
  /// Whether the other host of the dead one's domain has no lease until it
  /// learns of the removal, as heartbeats of its own domain renew it.
  bool LeaseNeedsPartner = false;
};

/// Six hosts in three domains, with a clock that the test moves.
class Fleet {
public:
  Fleet(const Load &Of, std::uint64_t Seed)
      : Of(Of), Random(Seed), Inside(Of.Limit.Rate, Of.Limit.Burst, this->Now),
        Spent(Of.Limit.Rate, Of.Limit.Burst, this->Now) {
    for (std::size_t I = 0; I < HostCount; ++I) {
      this->Hosts.push_back(std::make_unique<Host>(I));
      this->Baseline.emplace_back(double(Of.Limit.Rate) / HostCount,
                                  double(Of.Limit.Burst) / HostCount,
                                  this->Now);
    }
    for (std::size_t I = 0; I < HostCount; ++I) {
      this->learn(I, 1, this->Now - seconds(200));
      this->Hosts[I]->Owner.renewLease(this->Now + this->Of.LeaseLength,
                                       this->Now - seconds(199));
    }
  }

  Outcome run() {
    for (std::size_t I = 0; I < HostCount; ++I)
      this->beat(I);
    this->arriveNext();
    if (this->Of.Dies)
      this->at(this->Start + this->Of.DiesAt, [this] { this->die(); });
    const TimePoint End = this->Start + this->Of.Length;
    while (!this->Events.empty() && this->Events.top().At <= End) {
      const Event Next = this->Events.top();
      this->Events.pop();
      this->Now = Next.At;
      Next.Run();
    }
    return this->Result;
  }

private:
  struct Request {
    TimePoint Arrived;
    bool Inside;
  };
  struct Host {
    explicit Host(std::size_t Index)
        : Name("h" + std::to_string(Index)), Owner(Name, Index + 100),
          Drawer("w", Name, Index + 100) {}
    std::string Name;
    RateOwner Owner;
    RateDrawer Drawer;
    std::deque<Request> Waiting;
    std::uint64_t Epoch = 0;
    bool Dead = false;
    TimePoint TimerAt = TimePoint::max();
  };
  struct Event {
    TimePoint At;
    std::uint64_t Number;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::tie(this->At, this->Number) >
             std::tie(Other.At, Other.Number);
    }
  };

  void at(TimePoint When, std::function<void()> Run) {
    this->Events.push({When, ++this->Number, std::move(Run)});
  }

  std::size_t ownerOf(std::size_t Domain, std::uint64_t Epoch) const {
    const std::size_t First = Domain * HostsPerDomain;
    return Epoch > 1 && this->Of.Dies == First ? First + 1 : First;
  }

  void learn(std::size_t Index, std::uint64_t Epoch, TimePoint When) {
    Host &Each = *this->Hosts[Index];
    Each.Epoch = Epoch;
    const std::size_t Domain = Index / HostsPerDomain;
    std::vector<std::string> Owners;
    for (std::size_t I = 0; I < DomainCount; ++I)
      Owners.push_back(
          this->Hosts[this->ownerOf((Domain + I) % DomainCount, Epoch)]->Name);
    Each.Drawer.setOwners(Owners, Epoch);
    if (this->ownerOf(Domain, Epoch) != Index)
      return;
    Each.Owner.configure("w", this->Of.Limit, {1, DomainCount}, Epoch, When);
    Each.Owner.setLenders("w", {Owners.begin() + 1, Owners.end()});
  }

  void beat(std::size_t Index) {
    if (this->Hosts[Index]->Dead)
      return;
    const Host &Partner = *this->Hosts[Index ^ 1];
    if (!this->Of.LeaseNeedsPartner || !Partner.Dead ||
        this->Hosts[Index]->Epoch > 1)
      this->Hosts[Index]->Owner.renewLease(this->Now + this->Of.LeaseLength,
                                           this->Now);
    this->at(this->Now + this->Of.RenewalInterval,
             [this, Index] { this->beat(Index); });
  }

  void die() {
    this->Hosts[*this->Of.Dies]->Dead = true;
    for (std::size_t I = 0; I < HostCount; ++I) {
      const auto Delay = std::uniform_int_distribution(0, 200)(this->Random);
      this->at(this->Now + RemovalTime + milliseconds(Delay),
               [this, I] { this->learn(I, 2, this->Now); });
    }
  }

  void arriveNext() {
    std::exponential_distribution<double> Gap(this->Of.Limit.Rate *
                                              this->Of.Factor);
    const auto Pause = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Gap(this->Random)));
    this->at(this->Now + Pause, [this] {
      this->arrive(this->Of.HostAt(this->Now - this->Start));
      this->arriveNext();
    });
  }

  void arrive(std::size_t Index) {
    Host &Entry = *this->Hosts[Index];
    if (Entry.Dead)
      return;
    ++this->Result.Requests;
    const bool IsInside = this->Inside.take(this->Now);
    // The baseline's request may wait as long as the real one.
    if (this->Baseline[Index].level(this->Now) < 1 &&
        !this->Baseline[Index].take(this->Now + MaxRateWait))
      this->Result.BaselineWrongful += IsInside ? 1 : 0;
    else
      this->Baseline[Index].take(this->Now);
    this->serve(Index);
    const SpendDecision Decision =
        Entry.Drawer.trySpend(this->Now, this->Now + MaxRateWait);
    if (Decision.Kind == SpendKind::Spent)
      this->countSpent();
    else
      Entry.Waiting.push_back({this->Now, IsInside});
    this->poll(Index);
  }

  void countSpent() {
    ++this->Result.Served;
    if (!this->Spent.take(this->Now))
      ++this->Result.Above;
  }

  void serve(std::size_t Index) {
    Host &Entry = *this->Hosts[Index];
    while (!Entry.Waiting.empty()) {
      const Request First = Entry.Waiting.front();
      const SpendDecision Decision = Entry.Drawer.trySpend(
          this->Now, First.Arrived + MaxRateWait, SpendAttempt::Again);
      if (Decision.Kind == SpendKind::WaitUntil)
        break;
      Entry.Waiting.pop_front();
      if (Decision.Kind == SpendKind::Spent) {
        this->countSpent();
        continue;
      }
      ++this->Result.Refused;
      this->Result.Wrongful += First.Inside ? 1 : 0;
    }
  }

  void poll(std::size_t Index) {
    Host &Entry = *this->Hosts[Index];
    if (const auto Draw = Entry.Drawer.poll(this->Now)) {
      ++this->Result.Draws;
      this->send(Index, indexOf(Draw->Owner), [this, Index, Draw] {
        const std::size_t At = indexOf(Draw->Owner);
        const GrantAnswer Answer =
            this->Hosts[At]->Owner.grant(Draw->Request, this->Now);
        this->send(At, Index, [this, Index, Draw, Answer] {
          this->Hosts[Index]->Drawer.receive(Draw->Owner, Answer, this->Now);
          this->serve(Index);
          this->poll(Index);
        });
        this->Result.Granted += Answer.Tokens;
        this->borrow(At);
      });
    }
    TimePoint Next = Entry.Drawer.nextPoll(this->Now);
    if (!Entry.Waiting.empty())
      Next = std::min(Next, Entry.Waiting.front().Arrived + MaxRateWait);
    if (!Entry.Waiting.empty() && this->Of.RetryInterval != Duration::max())
      Next = std::min(Next, this->Now + this->Of.RetryInterval);
    if (this->Of.PollInterval != Duration::max())
      Next = std::min(Next, this->Now + this->Of.PollInterval);
    if (Next == TimePoint::max() ||
        (Entry.TimerAt > this->Now && Entry.TimerAt <= Next))
      return;
    Entry.TimerAt = std::max(Next, this->Now + microseconds(1));
    this->at(Entry.TimerAt, [this, Index, When = Entry.TimerAt] {
      Host &Each = *this->Hosts[Index];
      if (Each.Dead || Each.TimerAt != When)
        return;
      this->serve(Index);
      this->poll(Index);
    });
  }

  void borrow(std::size_t Index) {
    for (const LoanDraw &Loan :
         this->Hosts[Index]->Owner.loansWanted("w", this->Now))
      this->send(Index, indexOf(Loan.Lender), [this, Index, Loan] {
        const std::size_t At = indexOf(Loan.Lender);
        const LoanAnswer Answer =
            this->Hosts[At]->Owner.lend(Loan.Request, this->Now);
        this->send(At, Index, [this, Index, Loan, Answer] {
          this->Hosts[Index]->Owner.receiveLoan(Loan.Lender, Answer, this->Now);
          this->borrow(Index);
        });
      });
  }

  static std::size_t indexOf(const std::string &Name) {
    return std::size_t(Name[1] - '0');
  }

  void send(std::size_t From, std::size_t To, std::function<void()> Run) {
    ++this->Result.Messages;
    if (std::bernoulli_distribution(this->Of.LossShare)(this->Random))
      return;
    const bool Near = From / HostsPerDomain == To / HostsPerDomain;
    std::exponential_distribution<double> Jitter(1.0 / 200);
    const auto Delay =
        microseconds((Near ? 200 : 600) + std::int64_t(Jitter(this->Random)));
    this->at(this->Now + Delay + this->Of.HandlingTime,
             [this, To, Run = std::move(Run)] {
               if (!this->Hosts[To]->Dead)
                 Run();
             });
  }

  const Load &Of;
  std::mt19937_64 Random;
  TimePoint Start = TimePoint{} + std::chrono::hours(1);
  TimePoint Now = Start;
  ReferenceBucket Inside;
  ReferenceBucket Spent;
  std::vector<ReferenceBucket> Baseline;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::priority_queue<Event> Events;
  std::uint64_t Number = 0;
  Outcome Result;
};

} // namespace lavenderdale::test
