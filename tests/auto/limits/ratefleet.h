#pragma once

#include "limits/rateclient.h"
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
/// Time from a host's failure until the other hosts learn of its removal.
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
  /// Takes one token.
  /// \returns false if there is none.
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

/// Counts of a simulation. RefusedWithinRate are requests that were refused
/// although the workspace was within rate and burst. The baseline gives each
/// host an equal, fixed share.
struct Outcome {
  std::uint64_t Requests = 0, Served = 0, Refused = 0, RefusedWithinRate = 0;
  std::uint64_t ServedAboveLimit = 0; ///< Served above rate and burst.
  std::uint64_t BaselineRefusedWithinRate = 0;
  std::uint64_t Messages = 0;
  std::uint64_t GrantRequests = 0; ///< Grant requests, including reports.
  std::uint64_t Granted = 0;       ///< Tokens granted.
};

/// Parameters of a simulation.
struct Load {
  RateAndBurst Limit;
  double LoadFactor = 0.9; ///< Demand as a multiple of the rate.
  Duration Length = seconds(20);
  std::function<std::size_t(Duration)> EntryHostAt =
      {}; ///< Entry host of a request by time.
  std::optional<std::size_t> FailingHost = {};
  Duration FailsAt = seconds(5);
  double LossProbability = 0; ///< Fraction of messages that are lost.
  Duration LeaseLength = seconds(1);
  Duration RenewalInterval = milliseconds(200);
  /// Waiting requests also retry after this time, as in the daemon.
  Duration RetryInterval = Duration::max();
  /// Hosts with demand also poll at this interval, as in the daemon.
  Duration PollInterval = Duration::max();
  Duration HandlingTime{}; ///< Per message, in addition to the network delay.
  /// Whether the other host in the failed host's domain cannot renew its lease
  /// until it learns of the removal, because heartbeats within the domain renew
  /// it.
  bool LeaseNeedsPartner = false;
};

/// Discrete-event simulation of six hosts in three failure domains.
class Fleet {
public:
  Fleet(const Load &Config, std::uint64_t Seed)
      : Config(Config), Random(Seed),
        WithinRate(Config.Limit.Rate, Config.Limit.Burst, this->Now),
        Spent(Config.Limit.Rate, Config.Limit.Burst, this->Now) {
    for (std::size_t I = 0; I < HostCount; ++I) {
      this->Hosts.push_back(std::make_unique<Host>(I));
      this->Baseline.emplace_back(double(Config.Limit.Rate) / HostCount,
                                  double(Config.Limit.Burst) / HostCount,
                                  this->Now);
    }
    for (std::size_t I = 0; I < HostCount; ++I) {
      this->applyHostSet(I, 1, this->Now - seconds(200));
      this->Hosts[I]->Owner.renewLease(this->Now + this->Config.LeaseLength,
                                       this->Now - seconds(199));
    }
  }

  Outcome run() {
    for (std::size_t I = 0; I < HostCount; ++I)
      this->renewLeases(I);
    this->scheduleArrival();
    if (this->Config.FailingHost)
      this->schedule(this->Start + this->Config.FailsAt,
                     [this] { this->failHost(); });
    const TimePoint End = this->Start + this->Config.Length;
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
    bool WithinRate;
  };
  struct Host {
    explicit Host(std::size_t Index)
        : Name("h" + std::to_string(Index)), Owner(Name, Index + 100),
          Client("w", Name, Index + 100) {}
    std::string Name;
    RateOwner Owner;
    RateClient Client;
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

  void schedule(TimePoint When, std::function<void()> Run) {
    this->Events.push({When, ++this->Number, std::move(Run)});
  }

  std::size_t ownerOf(std::size_t Domain, std::uint64_t Epoch) const {
    const std::size_t First = Domain * HostsPerDomain;
    return Epoch > 1 && this->Config.FailingHost == First ? First + 1 : First;
  }

  void applyHostSet(std::size_t Index, std::uint64_t Epoch, TimePoint When) {
    Host &Each = *this->Hosts[Index];
    Each.Epoch = Epoch;
    const std::size_t Domain = Index / HostsPerDomain;
    std::vector<std::string> Owners;
    for (std::size_t I = 0; I < DomainCount; ++I)
      Owners.push_back(
          this->Hosts[this->ownerOf((Domain + I) % DomainCount, Epoch)]->Name);
    Each.Client.setOwners(Owners, Epoch);
    if (this->ownerOf(Domain, Epoch) != Index)
      return;
    Each.Owner.configure("w", this->Config.Limit, {1, DomainCount}, Epoch,
                         When);
    Each.Owner.setLenders("w", {Owners.begin() + 1, Owners.end()});
  }

  void renewLeases(std::size_t Index) {
    if (this->Hosts[Index]->Dead)
      return;
    const Host &Partner = *this->Hosts[Index ^ 1];
    if (!this->Config.LeaseNeedsPartner || !Partner.Dead ||
        this->Hosts[Index]->Epoch > 1)
      this->Hosts[Index]->Owner.renewLease(this->Now + this->Config.LeaseLength,
                                           this->Now);
    this->schedule(this->Now + this->Config.RenewalInterval,
                   [this, Index] { this->renewLeases(Index); });
  }

  void failHost() {
    this->Hosts[*this->Config.FailingHost]->Dead = true;
    for (std::size_t I = 0; I < HostCount; ++I) {
      const auto Delay = std::uniform_int_distribution(0, 200)(this->Random);
      this->schedule(this->Now + RemovalTime + milliseconds(Delay),
                     [this, I] { this->applyHostSet(I, 2, this->Now); });
    }
  }

  void scheduleArrival() {
    std::exponential_distribution<double> Gap(this->Config.Limit.Rate *
                                              this->Config.LoadFactor);
    const auto Pause = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Gap(this->Random)));
    this->schedule(this->Now + Pause, [this] {
      this->arrive(this->Config.EntryHostAt(this->Now - this->Start));
      this->scheduleArrival();
    });
  }

  void arrive(std::size_t Index) {
    Host &Entry = *this->Hosts[Index];
    if (Entry.Dead)
      return;
    ++this->Result.Requests;
    const bool IsWithinRate = this->WithinRate.take(this->Now);
    // A request of the baseline may wait as long as a simulated one.
    if (this->Baseline[Index].level(this->Now) < 1 &&
        !this->Baseline[Index].take(this->Now + MaxRateWait))
      this->Result.BaselineRefusedWithinRate += IsWithinRate ? 1 : 0;
    else
      this->Baseline[Index].take(this->Now);
    this->retryWaiting(Index);
    const SpendDecision Decision =
        Entry.Client.trySpend(this->Now, this->Now + MaxRateWait);
    if (Decision.Kind == SpendKind::Spent)
      this->countSpent();
    else
      Entry.Waiting.push_back({this->Now, IsWithinRate});
    this->poll(Index);
  }

  void countSpent() {
    ++this->Result.Served;
    if (!this->Spent.take(this->Now))
      ++this->Result.ServedAboveLimit;
  }

  void retryWaiting(std::size_t Index) {
    Host &Entry = *this->Hosts[Index];
    while (!Entry.Waiting.empty()) {
      const Request First = Entry.Waiting.front();
      const SpendDecision Decision = Entry.Client.trySpend(
          this->Now, First.Arrived + MaxRateWait, SpendAttempt::Retry);
      if (Decision.Kind == SpendKind::WaitUntil)
        break;
      Entry.Waiting.pop_front();
      if (Decision.Kind == SpendKind::Spent) {
        this->countSpent();
        continue;
      }
      ++this->Result.Refused;
      this->Result.RefusedWithinRate += First.WithinRate ? 1 : 0;
    }
  }

  void poll(std::size_t Index) {
    Host &Entry = *this->Hosts[Index];
    if (const auto Sent = Entry.Client.poll(this->Now)) {
      ++this->Result.GrantRequests;
      this->send(Index, indexOf(Sent->Owner), [this, Index, Sent] {
        const std::size_t At = indexOf(Sent->Owner);
        const GrantAnswer Answer =
            this->Hosts[At]->Owner.grant(Sent->Request, this->Now);
        this->send(At, Index, [this, Index, Sent, Answer] {
          this->Hosts[Index]->Client.receive(Sent->Owner, Answer, this->Now);
          this->retryWaiting(Index);
          this->poll(Index);
        });
        this->Result.Granted += Answer.Tokens;
        this->borrow(At);
      });
    }
    TimePoint Next = Entry.Client.nextPoll(this->Now);
    if (!Entry.Waiting.empty())
      Next = std::min(Next, Entry.Waiting.front().Arrived + MaxRateWait);
    if (!Entry.Waiting.empty() && this->Config.RetryInterval != Duration::max())
      Next = std::min(Next, this->Now + this->Config.RetryInterval);
    if (this->Config.PollInterval != Duration::max())
      Next = std::min(Next, this->Now + this->Config.PollInterval);
    if (Next == TimePoint::max() ||
        (Entry.TimerAt > this->Now && Entry.TimerAt <= Next))
      return;
    Entry.TimerAt = std::max(Next, this->Now + microseconds(1));
    this->schedule(Entry.TimerAt, [this, Index, When = Entry.TimerAt] {
      Host &Each = *this->Hosts[Index];
      if (Each.Dead || Each.TimerAt != When)
        return;
      this->retryWaiting(Index);
      this->poll(Index);
    });
  }

  void borrow(std::size_t Index) {
    for (const AddressedLoanRequest &Loan :
         this->Hosts[Index]->Owner.pollLoans("w", this->Now))
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
    if (std::bernoulli_distribution(this->Config.LossProbability)(this->Random))
      return;
    const bool SameDomain = From / HostsPerDomain == To / HostsPerDomain;
    std::exponential_distribution<double> Jitter(1.0 / 200);
    const auto Delay = microseconds((SameDomain ? 200 : 600) +
                                    std::int64_t(Jitter(this->Random)));
    this->schedule(this->Now + Delay + this->Config.HandlingTime,
                   [this, To, Run = std::move(Run)] {
                     if (!this->Hosts[To]->Dead)
                       Run();
                   });
  }

  const Load &Config;
  std::mt19937_64 Random;
  TimePoint Start = TimePoint{} + std::chrono::hours(1);
  TimePoint Now = Start;
  ReferenceBucket WithinRate;
  ReferenceBucket Spent;
  std::vector<ReferenceBucket> Baseline;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::priority_queue<Event> Events;
  std::uint64_t Number = 0;
  Outcome Result;
};

} // namespace lavenderdale::test
