#include "sessionproxy/fleetview.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

const BootTime Start{1000s};

HostReport makeReport(const std::string &Host, std::uint64_t Sequence,
                      std::uint64_t StartedAt = 1) {
  HostReport Report;
  Report.Host = Host;
  Report.Address = "10.0.0.1:7000";
  Report.StartedAt = StartedAt;
  Report.Sequence = Sequence;
  return Report;
}

} // namespace

TEST_CASE("host reports round-trip, and damaged ones are rejected") {
  HostReport Report = makeReport("a", 7);
  Report.Groups.push_back({"orders", 120, true, "i-2"});
  Report.Demands.push_back({"w", 12.5, 60});
  Report.FailureDomain = "d1";
  Report.WantsAnswer = true;
  const std::string Bytes = encodeReport(Report);
  const Result<HostReport> Read = decodeReport(Bytes);
  REQUIRE(Read);
  CHECK(Read.value().Groups[0].PromotionOrdered == "i-2");
  CHECK(Read.value().Demands[0].Used == 60);
  CHECK(Read.value().Demands[0].Demand == 12.5);
  CHECK(Read.value().Groups[0].PrimaryProofAgeMs == 120);
  CHECK(Read.value().FailureDomain == "d1");
  CHECK(Read.value().WantsAnswer);
  // Truncated and corrupted datagrams must not crash the process.
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK_FALSE(decodeReport(std::string_view(Bytes).substr(0, Size)));
  std::mt19937_64 Random(5);
  for (int I = 0; I < 2000; ++I) {
    std::string Corrupted = Bytes;
    Corrupted[Random() % Corrupted.size()] = static_cast<char>(Random());
    (void)decodeReport(Corrupted);
  }
}

TEST_CASE("a silent host is counted until the silence limit", "[rate]") {
  FleetView View("a");
  View.setRegistered({{"a", {}}, {"b", {}}, {"c", {}}}, Start);
  CHECK(View.size(Start) == 3);
  CHECK(View.recordReport(makeReport("b", 1), Start + 1s));
  CHECK(View.size(Start + 10s) == 3);
  CHECK(View.size(Start + FleetView::SilenceLimit + 500ms) == 2);
  CHECK(View.silentHosts(Start + FleetView::SilenceLimit + 500ms) ==
        std::vector<std::string>{"c"});
}

TEST_CASE("a host that is leaving is not counted") {
  FleetView View("a");
  View.setRegistered({{"a", {}}, {"b", {}}}, Start);
  HostReport Last = makeReport("b", 1);
  Last.Leaving = true;
  View.recordReport(Last, Start);
  CHECK(View.size(Start) == 1);
}

TEST_CASE(
    "outdated reports are ignored, those of a restarted process are accepted") {
  FleetView View("a");
  CHECK(View.recordReport(makeReport("b", 5), Start));
  CHECK_FALSE(View.recordReport(makeReport("b", 5), Start));
  CHECK_FALSE(View.recordReport(makeReport("b", 4), Start));
  CHECK(View.recordReport(makeReport("b", 1, 2), Start));
  CHECK_FALSE(View.recordReport(makeReport("a", 9), Start));
}

// Guards against hosts that, after all were restarted, choose different holders
// for an upstream until each has heard all others.
TEST_CASE("registered hosts are present until they had time to report") {
  FleetView View("a");
  View.setRegistered({{"a", {{}, "d1"}}, {"b", {{}, "d1"}}, {"c", {{}, "d2"}}},
                     Start);
  REQUIRE(View.present(Start).size() == 2);
  CHECK(View.present(Start).at("c")->FailureDomain == "d2");
  const std::chrono::milliseconds Lifetime = reportLifetime(3);
  View.recordReport(makeReport("b", 1), Start + Lifetime);
  CHECK(View.present(Start + Lifetime).size() == 1);
  CHECK(View.present(Start + Lifetime).contains("b"));
  CHECK(View.present(Start + 2 * Lifetime).empty());
}

// Guards against a host that was heard, fell silent, and comes back to life
// because its registration is still listed.
TEST_CASE("a host that fell silent is not present, though registered") {
  FleetView View("a");
  View.recordReport(makeReport("b", 1), Start);
  const BootTime Later = Start + reportLifetime(2);
  View.setRegistered({{"a", {{}, "d1"}}, {"b", {{}, "d1"}}}, Later);
  CHECK(View.present(Later).empty());
}

// Guards against two owners of a rate, on both sides of a network partition,
// that each admit the whole limit until the other side counts as gone, and
// against a host that acts for the fleet after it was cut off itself.
TEST_CASE("hosts without a recent report are not in contact",
          "[rate][fencing]") {
  constexpr std::size_t Hosts = 95;
  FleetView View("h0");
  std::map<std::string, FleetView::Registration> Registered;
  for (std::size_t Number = 0; Number < Hosts; ++Number)
    Registered["h" + std::to_string(Number)] = {{}, "d1"};
  View.setRegistered(Registered, Start);
  CHECK(View.inContact(Start) == 1);
  CHECK(View.assumedInContact(Start) == Hosts);
  for (std::size_t Number = 1; Number < Hosts; ++Number)
    View.recordReport(makeReport("h" + std::to_string(Number), 1), Start);
  CHECK(View.inContact(Start + 1s) == Hosts);
  const std::chrono::milliseconds Limit = contactLifetime(Hosts);
  CHECK(Limit < reportLifetime(Hosts) / 3);
  CHECK(View.inContact(Start + Limit) == 1);
  CHECK(View.assumedInContact(Start + Limit) == 1);
  CHECK(View.size(Start + Limit) == Hosts);
}

// Guards against a rolling restart in which reports of the other version are
// rejected, and against extensions of a faulty host.
TEST_CASE("reports with, without and with damaged extensions are read") {
  HostReport Report = makeReport("a", 7);
  Report.Capacity = 0.5;
  CHECK(decodeReport(encodeReport(Report)).value().Capacity == 0.5);
  const nlohmann::json Full = nlohmann::json::from_cbor(encodeReport(Report));
  const auto Read = [](const nlohmann::json &Message) {
    std::string Bytes;
    nlohmann::json::to_cbor(Message, Bytes);
    return decodeReport(Bytes);
  };
  nlohmann::json Older = Full;
  Older.erase(Older.size() - 1);
  CHECK(Read(Older).value().Capacity == 0);
  for (const char *Extensions :
       {"null", "[]", "{}", R"({"weight": "x"})", R"({"weight": -1})",
        R"({"weight": 1e300})", R"({"later": [1]})"}) {
    nlohmann::json Changed = Full;
    Changed.back() = nlohmann::json::parse(Extensions);
    const Result<HostReport> Decoded = Read(Changed);
    REQUIRE(Decoded);
    CHECK(Decoded.value().Capacity == 0);
  }
}

// Guards against counts that are kept from before a report, a registration or
// the passing of time changed them. The reference counts anew at each step.
TEST_CASE("cached counts of hosts equal those of a fresh view") {
  struct Event {
    BootTime At;
    std::optional<HostReport> Report; ///< Otherwise a list of registrations.
    std::map<std::string, FleetView::Registration> Registered;
  };
  constexpr unsigned Seed = 271828;
  std::mt19937 Random(Seed);
  std::vector<Event> Events;
  FleetView Cached("h3");
  const auto Apply = [](FleetView &View, const Event &Each) {
    if (Each.Report)
      View.recordReport(*Each.Report, Each.At);
    else
      View.setRegistered(Each.Registered, Each.At);
  };
  BootTime Now = Start;
  std::uint64_t Sequence = 0;
  for (int Step = 0; Step < 400; ++Step) {
    Now += std::chrono::milliseconds(Random() % 4 == 0 ? Random() % 9000
                                                       : Random() % 300);
    Event Next{Now, std::nullopt, {}};
    if (Random() % 8 == 0) {
      for (int Host = 0; Host < 10; ++Host)
        if (Random() % 2 == 0)
          Next.Registered["h" + std::to_string(Host)] = {{"10.0.0.1", 7000},
                                                         "d1"};
    } else {
      Next.Report = makeReport("h" + std::to_string(Random() % 10), ++Sequence);
      Next.Report->Leaving = Random() % 10 == 0;
    }
    Apply(Cached, Next);
    Events.push_back(std::move(Next));
    for (const int Later : {0, 700, 1400, 6000}) {
      const BootTime Asked = Now + std::chrono::milliseconds(Later);
      FleetView Fresh("h3");
      for (const Event &Each : Events)
        Apply(Fresh, Each);
      INFO("step " << Step << " later " << Later);
      CHECK(Cached.size(Asked) == Fresh.size(Asked));
      CHECK(Cached.inContact(Asked) == Fresh.inContact(Asked));
      CHECK(Cached.assumedInContact(Asked) == Fresh.assumedInContact(Asked));
      CHECK(Cached.rank(Asked) == Fresh.rank(Asked));
    }
  }
}

// Guards against work that still goes to the former address of a host.
TEST_CASE("the revision of the present hosts changes with them") {
  FleetView View("a");
  View.recordReport(makeReport("b", 1), Start);
  const std::uint64_t Joined = View.presentRevision(Start);
  View.recordReport(makeReport("b", 2), Start + 100ms);
  CHECK(View.presentRevision(Start + 100ms) == Joined);
  HostReport Moved = makeReport("b", 3);
  Moved.Address = "10.0.0.2:7000";
  View.recordReport(Moved, Start + 200ms);
  const std::uint64_t AfterMove = View.presentRevision(Start + 200ms);
  CHECK(AfterMove != Joined);
  CHECK(View.presentRevision(Start + 60s) != AfterMove);
}

// Guards against an owner of a rate that counts hosts as heard that were lost
// or removed since, or counts one twice. The reference is the former walk.
TEST_CASE("the hosts heard since a time equal those of a walk over all") {
  const unsigned Seed = GENERATE(1U, 2U, 3U);
  INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  FleetView View("h0");
  std::vector<BootTime> Asked = {Start};
  BootTime Now = Start;
  std::uint64_t Sequence = 0;
  for (int Step = 0; Step < 500; ++Step) {
    Now += std::chrono::milliseconds(Random() % 3 == 0 ? Random() % 700 : 0);
    if (Random() % 10 == 0) {
      std::map<std::string, FleetView::Registration> Registered;
      for (int Host = 0; Host < 12; ++Host)
        if (Random() % 2 == 0)
          Registered["h" + std::to_string(Host)] = {{"10.0.0.1", 7000}, "d1"};
      View.setRegistered(Registered, Now);
    } else {
      View.recordReport(
          makeReport("h" + std::to_string(Random() % 12), ++Sequence), Now);
    }
    Asked.push_back(Now);
    for (int Question = 0; Question < 3; ++Question) {
      const BootTime Since =
          Asked[Random() % Asked.size()] +
          std::chrono::milliseconds(static_cast<int>(Random() % 3) - 1);
      const auto Others =
          std::ranges::count_if(View.hosts(), [Since](const auto &Each) {
            return Each.second.Last && Each.second.HeardAt >= Since;
          });
      CHECK(View.heardSince(Since) == static_cast<std::size_t>(Others) + 1);
    }
  }
}
