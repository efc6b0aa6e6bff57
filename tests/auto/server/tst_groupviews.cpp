#include "server/groupviews.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

// Guards against refreshing a view every 300 ms although a newer one would not
// route better, and against routing by a view that leads to failed attempts.
TEST_CASE("a view is refreshed when it is old or does not suffice",
          "[control]") {
  const TimePoint Start{1h};
  PublishedGroupView View;
  View.At = Start;
  const TimePoint Never = TimePoint::min();
  CHECK_FALSE(isOutdated(View, Never, true, Start + 999ms));
  CHECK(isOutdated(View, Never, true, Start + 1000ms));
  CHECK_FALSE(isOutdated(View, Never, false, Start + 299ms));
  CHECK(isOutdated(View, Never, false, Start + 300ms));
  // A failure before the view was created does not concern it.
  CHECK_FALSE(isOutdated(View, Start - 1ms, true, Start + 300ms));
  CHECK_FALSE(isOutdated(View, Start + 10ms, true, Start + 299ms));
  CHECK(isOutdated(View, Start + 10ms, true, Start + 300ms));
}

// Guards against a failure in one group that refreshes the views of others.
TEST_CASE("failures are recorded by group", "[control]") {
  GroupViews Views;
  const TimePoint Start{1h};
  Views.recordFailure("orders", Start);
  CHECK(Views.lastFailureAt("orders") == Start);
  CHECK(Views.lastFailureAt("stock") == TimePoint::min());
}

// Guards against reads that wait for a position already reported by an answer,
// and against using positions of another timeline.
TEST_CASE("answers update the replay position of a replica", "[control]") {
  PublishedGroupView View;
  View.Routing.Upstreams.resize(2);
  View.Routing.Upstreams[0].Name = "a";
  View.Routing.Upstreams[0].Timeline = Term{2};
  View.Routing.Upstreams[0].Replayed = LogPosition{100};
  View.Routing.Upstreams[1] = View.Routing.Upstreams[0];
  View.Routing.Upstreams[1].Name = "b";
  GroupViews Views;
  const auto ReplayedOf = [&](std::size_t Index) {
    return Views.routingOf("orders", View).Upstreams[Index].Replayed.Value;
  };
  CHECK(ReplayedOf(0) == 100);
  Views.recordReplayed("orders", "a", {Term{2}, LogPosition{150}});
  Views.recordReplayed("orders", "b", {Term{1}, LogPosition{150}});
  CHECK(ReplayedOf(0) == 150);
  CHECK(ReplayedOf(1) == 100);
  Views.recordReplayed("orders", "a", {Term{2}, LogPosition{50}});
  CHECK(ReplayedOf(0) == 100);
}
