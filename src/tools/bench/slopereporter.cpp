#include "slopereporter.h"

#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <iostream>

namespace lavenderdale::bench {
namespace {

// Slope of the straight line fitted to the points by least squares.
template <typename Points, typename X, typename Y>
double fittedSlope(const Points &Measured, X AtX, Y AtY) {
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  for (const auto &Each : Measured) {
    SumX += AtX(Each);
    SumY += AtY(Each);
    SumXX += AtX(Each) * AtX(Each);
    SumXY += AtX(Each) * AtY(Each);
  }
  const auto Count = static_cast<double>(Measured.size());
  return (Count * SumXY - SumX * SumY) / (Count * SumXX - SumX * SumX);
}

} // namespace

void SlopeReporter::ReportRuns(const std::vector<Run> &Runs) {
  constexpr double MicrosecondsPerSecond = 1e6;
  ConsoleReporter::ReportRuns(Runs);
  for (const Run &Each : Runs) {
    if (Each.run_type != Run::RT_Iteration || Each.error_occurred)
      continue;
    // The argument follows the name: "report/300".
    const std::string &Args = Each.run_name.args;
    const double Seconds =
        Each.real_accumulated_time / static_cast<double>(Each.iterations);
    this->Points[Each.run_name.function_name].push_back(
        {std::strtod(Args.c_str(), nullptr), Seconds * MicrosecondsPerSecond});
  }
}

void SlopeReporter::Finalize() {
  ConsoleReporter::Finalize();
  std::ostream &Out = this->GetOutputStream();
  Out << "\nGrowth with the number of hosts: time ~ hosts ^ exponent\n"
      << std::left << std::setw(28) << "benchmark" << std::right
      << std::setw(10) << "exponent" << std::setw(14) << "us per host"
      << "  us at each size\n";
  for (const auto &[Name, Measured] : this->Points) {
    if (Measured.size() < 2)
      continue;
    const double Exponent = fittedSlope(
        Measured, [](const Point &Each) { return std::log(Each.Hosts); },
        [](const Point &Each) { return std::log(Each.Microseconds); });
    const double PerHost = fittedSlope(
        Measured, [](const Point &Each) { return Each.Hosts; },
        [](const Point &Each) { return Each.Microseconds; });
    Out << std::left << std::setw(28) << Name << std::right << std::fixed
        << std::setprecision(2) << std::setw(10) << Exponent << std::setw(14)
        << std::setprecision(4) << PerHost << " ";
    for (const Point &Each : Measured)
      Out << " " << std::setprecision(0) << Each.Hosts << ":"
          << std::setprecision(2) << Each.Microseconds;
    Out << "\n";
  }
  Out.flush();
}

} // namespace lavenderdale::bench
