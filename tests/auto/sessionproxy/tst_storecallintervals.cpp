#include "sessionproxy/hostreport.h"
#include "sessionproxy/storecallintervals.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

// Guards against a call rate at the store that grows with the number of hosts.
// The store serves 6,000 read calls a second, and all proxies together may use
// a tenth of them.
TEST_CASE("an idle fleet uses at most a tenth of the store's call rate") {
  for (const std::size_t Hosts : {6, 30, 69, 100, 300, 490}) {
    INFO(Hosts << " hosts");
    const StoreCallIntervals Intervals = storeCallIntervals(Hosts);
    const double Calls =
        static_cast<double>(Hosts) *
        (1.0 / std::chrono::duration<double>(Intervals.CatalogueWait).count() +
         1.0 / std::chrono::duration<double>(Intervals.UpstreamWait).count());
    CHECK(Calls < 600);
    CHECK(Intervals.UpstreamWait <= 7s); // A leaving upstream serves for 10 s.
    CHECK(Intervals.CatalogueWait >= Intervals.ChangePause);
  }
  CHECK(storeCallIntervals(6).CatalogueWait < 3s);
}

// Guards against sending a report to all hosts of a large fleet in one burst,
// which overflows slow links.
TEST_CASE("reports to a large fleet are spread over the interval") {
  CHECK(reportParts(6) == 1);
  for (const std::size_t Hosts : {30, 69, 490}) {
    INFO(Hosts << " hosts");
    CHECK(Hosts / reportParts(Hosts) <= 12);
    CHECK(reportInterval(Hosts) / static_cast<int>(reportParts(Hosts)) >=
          100ms);
  }
}
