#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lavenderdale::slopes {

struct Point {
  double Size = 0;
  double Value = 0;
};

/// A straight line Value = Intercept + Slope * Size by least squares.
struct Fit {
  double Slope = 0;
  double Intercept = 0;
  double RSquared = 0; ///< 1 if all values are equal.
};

/// Measurements of one quantity while one size varies.
struct Series {
  std::string Name;
  std::string Size; ///< What varies, for example "hosts".
  std::string Unit; ///< Of the values.
  std::vector<Point> Points;

  Fit fit() const;
};

/// \returns the processor time that this process has used, in microseconds.
double processorMicroseconds();

/// \returns the bytes that this process has allocated and not freed.
double allocatedBytes();

} // namespace lavenderdale::slopes
