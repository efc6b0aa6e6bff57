#include "sessionproxy/hostreport.h"
#include "sessionproxy/storepace.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

// Guards against calls to the store that grow with the number of hosts: a
// store serves 6,000 reading calls a second for all of them, a tenth of which
// is the share of the proxies.
TEST_CASE("a calm fleet stays within a tenth of the store's calls") {
  for (const std::size_t Hosts : {6, 30, 69, 100, 300, 490}) {
    INFO(Hosts << " hosts");
    const StorePace Pace = storePace(Hosts);
    const double Calls =
        static_cast<double>(Hosts) *
        (1.0 / std::chrono::duration<double>(Pace.CatalogueWait).count() +
         1.0 / std::chrono::duration<double>(Pace.UpstreamWait).count());
    CHECK(Calls < 600);
    CHECK(Pace.UpstreamWait <= 7s); // Leaving upstreams have 10 s.
    CHECK(Pace.CatalogueWait >= Pace.ChangePause);
  }
  CHECK(storePace(6).CatalogueWait < 3s);
}

// Guards against reports to a large fleet in one burst, which overflows the
// link of a weak host.
TEST_CASE("reports to a large fleet go out in parts") {
  CHECK(reportParts(6) == 1);
  for (const std::size_t Hosts : {30, 69, 490}) {
    INFO(Hosts << " hosts");
    CHECK(Hosts / reportParts(Hosts) <= 12);
    CHECK(reportInterval(Hosts) / static_cast<int>(reportParts(Hosts)) >=
          100ms);
  }
}
