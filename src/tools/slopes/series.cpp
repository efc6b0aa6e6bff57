#include "series.h"

#include <ctime>
#include <malloc.h>

namespace lavenderdale::slopes {

Fit Series::fit() const {
  Fit Line;
  const auto Count = static_cast<double>(this->Points.size());
  if (this->Points.empty())
    return Line;
  double SizeMean = 0;
  double ValueMean = 0;
  for (const Point &Each : this->Points) {
    SizeMean += Each.Size / Count;
    ValueMean += Each.Value / Count;
  }
  double SizeSquares = 0;
  double ValueSquares = 0;
  double Products = 0;
  for (const Point &Each : this->Points) {
    const double Size = Each.Size - SizeMean;
    const double Value = Each.Value - ValueMean;
    SizeSquares += Size * Size;
    ValueSquares += Value * Value;
    Products += Size * Value;
  }
  Line.Slope = SizeSquares > 0 ? Products / SizeSquares : 0;
  Line.Intercept = ValueMean - Line.Slope * SizeMean;
  const double Spread = SizeSquares * ValueSquares;
  Line.RSquared = Spread > 0 ? Products * Products / Spread : 1;
  return Line;
}

double processorMicroseconds() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return static_cast<double>(Used.tv_sec) * 1e6 +
         static_cast<double>(Used.tv_nsec) / 1e3;
}

double allocatedBytes() {
  const struct mallinfo2 Heap = mallinfo2();
  return static_cast<double>(Heap.uordblks + Heap.hblkhd);
}

} // namespace lavenderdale::slopes
