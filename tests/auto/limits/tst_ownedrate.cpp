#include "limits/contactfraction.h"
#include "limits/ownedrate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <random>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 187;
constexpr double Burst = 187;
constexpr double Limit = Rate * 5 + Burst;
constexpr double Allowed = Limit * 1.1 + 20;
constexpr std::size_t Hosts = 95;
constexpr std::chrono::milliseconds ContactLifetime{2970};
const BootTime Cut{1000s};

OwnedRate newOwner(std::optional<double> ReportedUse, BootTime Now) {
  OwnedRate Owner(ReportedUse, Now);
  Owner.rate().setLimits(Rate, Burst);
  Owner.rate().setPriorUseTolerance((Limit * 0.1 + 20) / 2);
  return Owner;
}

} // namespace

// Load pattern: a workspace sends eight times its rate to 95 hosts. 34 of them
// are cut off, each from all others, together with the owner of the rate, which
// had admitted half of the limit. Seen as 1,523 operations in 5 s of 1,254
// allowed.
// Guards against hosts that each grant what the silent owner left.
TEST_CASE("hosts that are cut off one by one do not each grant the rest",
          "[rate]") {
  constexpr std::size_t CutOff = 34;
  constexpr double Reported = Limit / 2;
  constexpr double DemandOfHost = Rate * 8 / Hosts;
  std::mt19937_64 Random{667222912383};
  std::vector<OwnedRate> Owners;
  for (std::size_t Host = 0; Host < CutOff; ++Host)
    Owners.push_back(newOwner(Reported, Cut));
  double Admitted = Reported;
  for (BootTime Now = Cut; Now < Cut + ContactLifetime; Now += 1ms) {
    std::poisson_distribution<int> Arrivals(DemandOfHost / 1000);
    for (OwnedRate &Owner : Owners)
      for (int Left = Arrivals(Random); Left > 0; --Left)
        Admitted += Owner.admit({1, 1, Hosts, ContactLifetime}, Now) ? 1 : 0;
  }
  CHECK(Admitted <= Allowed);
}

// Guards against a new owner that refuses although most of the fleet turned to
// it, because it does not notice how much of the fleet it reaches.
TEST_CASE("a new owner grants the rest once it has heard most hosts",
          "[rate]") {
  constexpr double Reported = Limit / 2;
  OwnedRate Owner = newOwner(Reported, Cut);
  constexpr std::size_t HeardFirst = 2;
  int Admitted = 0;
  for (int Asked = 0; Asked < 1000; ++Asked)
    Admitted += Owner.admit({1, HeardFirst, Hosts, ContactLifetime}, Cut + 50ms)
                    ? 1
                    : 0;
  const auto Part =
      static_cast<double>(HeardFirst) / static_cast<double>(Hosts);
  CHECK(Admitted <= (Limit - Reported) * Part);
  // Each host reports once in 1.98 s.
  for (BootTime Now = Cut + 1s; Now < Cut + 3s; Now += 2ms) {
    const double HeardPart = std::min(
        1.0,
        std::chrono::duration<double>(Now - Cut) /
            std::chrono::duration<double>(std::chrono::milliseconds(1980)));
    const auto Heard =
        static_cast<std::size_t>(static_cast<double>(Hosts) * HeardPart);
    Admitted += Owner.admit({1, Heard, Hosts, ContactLifetime}, Now) ? 1 : 0;
  }
  // Up to MaxPriorUse may have been admitted before, as far as it knows.
  CHECK(Admitted >= Limit * (1 - SharedRate::MaxPriorUse));
  CHECK(Admitted + Reported <= Allowed);
}

// Guards against refusals after a planned stop of the owner, and after a
// workspace was quiet: nothing was admitted elsewhere.
TEST_CASE("an owner without a report of another one grants at once", "[rate]") {
  OwnedRate Owner = newOwner(std::nullopt, Cut);
  CHECK(Owner.admit({1, 1, Hosts, ContactLifetime}, Cut + 1ms));
  CHECK_FALSE(Owner.isExpired(Cut + 4s));
  CHECK(Owner.isExpired(Cut + 6s));
}

namespace {

/// Plays a network partition of 137 hosts into one and two thirds for 7 s. The
/// owner of the rate is on the smaller side; the other side finds it silent and
/// asks another owner until the partition ends.
class Partition {
public:
  static constexpr std::size_t Hosts = 137;
  static constexpr double SmallSide = 1.0 / 3;
  static constexpr std::chrono::milliseconds ReportInterval{2854};
  static constexpr std::chrono::milliseconds Lifetime = ReportInterval * 3 / 2;
  static constexpr std::chrono::milliseconds Length{7000};

  /// \param Demand operations per second of all hosts.
  void run(double Demand) {
    std::poisson_distribution<int> Arrivals(Demand / 1000);
    std::bernoulli_distribution AtSmallSide(SmallSide);
    OwnedRate First = newOwner(std::nullopt, Cut - 20s);
    std::optional<OwnedRate> Second;
    for (BootTime Now = Cut - 10s; Now < Cut + Length + 10s; Now += 1ms) {
      const bool Separated = Now >= Cut && Now < Cut + Length;
      this->FirstContact.record(contact(SmallSide, Now), Now);
      this->SecondContact.record(contact(1 - SmallSide, Now), Now);
      for (int Left = Arrivals(this->Random); Left > 0; --Left) {
        const bool AskFirst = !Separated || AtSmallSide(this->Random);
        if (!AskFirst && !Second)
          Second = newOwner(First.rate().used(1, Now), Now);
        OwnedRate &Asked = AskFirst ? First : *Second;
        FleetContact Contact{
            (AskFirst ? this->FirstContact : this->SecondContact)
                .sustained(Now),
            Hosts, Hosts, Lifetime};
        if (!AskFirst)
          Contact.HeardSince = static_cast<std::size_t>(
              static_cast<double>(Hosts) * (1 - SmallSide) *
              std::min(1.0, std::chrono::duration<double>(Now - Cut) /
                                std::chrono::duration<double>(ReportInterval)));
        if (Asked.admit(Contact, Now))
          this->Admitted.push_back(Now);
        else if (Now >= Cut + ReportInterval)
          ++this->RefusedAfterTakeOver;
      }
    }
  }

  std::size_t busiestWindow() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < this->Admitted.size(); ++Last) {
      while (this->Admitted[Last] - this->Admitted[First] >= 5s)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  /// Operations refused after the second owner had time to hear its side.
  std::size_t RefusedAfterTakeOver = 0;
  std::vector<BootTime> Admitted;

private:
  /// What a side knows of its contact: it loses the other side when the last
  /// reports before the partition are too old, and hears of one host after the
  /// other when it has ended.
  static double contact(double OwnSide, BootTime Now) {
    if (Now < Cut + Lifetime)
      return 1;
    const std::chrono::duration<double> SinceEnd = Now - (Cut + Length);
    const double Heard =
        SinceEnd / std::chrono::duration<double>(ReportInterval);
    return OwnSide + (1 - OwnSide) * std::clamp(Heard, 0.0, 1.0);
  }

  ContactFraction FirstContact;
  ContactFraction SecondContact;
  std::mt19937_64 Random{137};
};

} // namespace

// Load pattern: a workspace sends its usual load, five eighths of its limit,
// while a third of the fleet is separated from the rest.
// Guards against owners that count what all hosts sent before the partition
// against their part of the limit, and that keep to that part long after it.
TEST_CASE("a partition refuses nothing of a usual load", "[rate]") {
  Partition Played;
  Played.run(Limit / 5 / 1.6);
  CHECK(Played.RefusedAfterTakeOver == 0);
}

// Guards against a second limit that a partition grants to a workspace whose
// demand rises to its limit.
TEST_CASE("a partition grants a busy workspace no second limit", "[rate]") {
  Partition Played;
  Played.run(Limit / 5);
  CHECK(static_cast<double>(Played.busiestWindow()) <= Allowed);
}
