#include "slopes/series.h"

#include <catch2/catch.hpp>

using namespace lavenderdale::slopes;

// Guards against a wrong slope on the capacity page.
TEST_CASE("A line through exact points is found with a fit of one") {
  const Series Exact{"name", "size", "unit", {{1, 5}, {2, 7}, {4, 11}}};
  const Fit Line = Exact.fit();
  CHECK(Line.Slope == Approx(2));
  CHECK(Line.Intercept == Approx(3));
  CHECK(Line.RSquared == Approx(1));
}

// Guards against a fit that looks better than the points are.
TEST_CASE("Points off the line lower the fit") {
  const Series Scattered{"name", "size", "unit", {{0, 0}, {1, 2}, {2, 1}}};
  const Fit Line = Scattered.fit();
  CHECK(Line.Slope == Approx(0.5));
  CHECK(Line.Intercept == Approx(0.5));
  CHECK(Line.RSquared == Approx(0.25));
}

// Guards against a division by zero in the results.
TEST_CASE("Equal values, equal sizes and no points give a level line") {
  const Series Level{"name", "size", "unit", {{1, 4}, {2, 4}}};
  CHECK(Level.fit().Slope == Approx(0).margin(1e-12));
  CHECK(Level.fit().RSquared == Approx(1));
  const Series Single{"name", "size", "unit", {{3, 4}}};
  CHECK(Single.fit().Slope == Approx(0).margin(1e-12));
  CHECK(Single.fit().Intercept == Approx(4));
  CHECK(Series{}.fit().Intercept == Approx(0).margin(1e-12));
}
