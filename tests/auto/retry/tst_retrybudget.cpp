#include "retry/retrybudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace lavenderdale;
using std::chrono::milliseconds;

// Guards against retries that multiply the load of a failing upstream.
TEST_CASE("retries are at most a tenth of the requests in any ten seconds",
          "[answers]") {
  RetryBudget Budget;
  std::vector<TimePoint> Requests;
  std::vector<TimePoint> Retries;
  TimePoint Now = TimePoint{} + std::chrono::hours(1);
  for (int I = 0; I < 30'000; ++I, Now += milliseconds(1 + I % 7)) {
    // During the pause, most counted requests leave the window.
    if (I == 15'000)
      Now += std::chrono::seconds(8);
    Budget.countRequest(Now);
    Requests.push_back(Now);
    if (Budget.tryRetry(Now))
      Retries.push_back(Now);
  }
  const auto CountIn = [](const std::vector<TimePoint> &Times, TimePoint End) {
    return std::upper_bound(Times.begin(), Times.end(), End) -
           std::upper_bound(Times.begin(), Times.end(),
                            End - RetryBudget::Window);
  };
  CHECK(Retries.size() * 100 > Requests.size() * 8);
  bool IsWithinLimit = true;
  for (const TimePoint Each : Retries)
    IsWithinLimit &= CountIn(Retries, Each) <=
                     std::max<std::ptrdiff_t>(3, CountIn(Requests, Each) / 10);
  CHECK(IsWithinLimit);
}

// Guards against a workspace with few requests that never gets a retry.
TEST_CASE("a minimum of retries is allowed without requests") {
  RetryBudget Budget;
  const TimePoint Now = TimePoint{} + std::chrono::hours(1);
  for (int I = 0; I < 3; ++I)
    CHECK(Budget.tryRetry(Now));
  CHECK_FALSE(Budget.tryRetry(Now + milliseconds(10'000)));
  CHECK(Budget.tryRetry(Now + milliseconds(11'000)));
}
