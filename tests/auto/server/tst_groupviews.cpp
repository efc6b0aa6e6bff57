#include "server/groupviews.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;
using namespace std::chrono_literals;

// Guards against a call for a view on every third of a second while the known
// one is good enough, and against requests that keep to a view which fails.
TEST_CASE("a view is asked for again when it does not suffice", "[control]") {
  const TimePoint Start{1h};
  PublishedGroupView View;
  View.At = Start;
  const TimePoint Never = TimePoint::min();
  CHECK_FALSE(isOutdated(View, Never, true, Start + 999ms));
  CHECK(isOutdated(View, Never, true, Start + 1000ms));
  CHECK_FALSE(isOutdated(View, Never, false, Start + 299ms));
  CHECK(isOutdated(View, Never, false, Start + 300ms));
  // A failure before the view was made says nothing about it.
  CHECK_FALSE(isOutdated(View, Start - 1ms, true, Start + 300ms));
  CHECK_FALSE(isOutdated(View, Start + 10ms, true, Start + 299ms));
  CHECK(isOutdated(View, Start + 10ms, true, Start + 300ms));
}

// Guards against a doubt about one group that makes others ask too.
TEST_CASE("doubts are kept by group", "[control]") {
  GroupViews Views;
  const TimePoint Start{1h};
  Views.doubt("orders", Start);
  CHECK(Views.doubtedAt("orders") == Start);
  CHECK(Views.doubtedAt("stock") == TimePoint::min());
}

// Guards against reads that wait for a position which an answer has told, and
// against positions of another timeline.
TEST_CASE("answers tell the position of a replica", "[control]") {
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
  Views.reached("orders", "a", {Term{2}, LogPosition{150}});
  Views.reached("orders", "b", {Term{1}, LogPosition{150}});
  CHECK(ReplayedOf(0) == 150);
  CHECK(ReplayedOf(1) == 100);
  Views.reached("orders", "a", {Term{2}, LogPosition{50}});
  CHECK(ReplayedOf(0) == 100);
}
