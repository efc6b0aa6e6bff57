#include "boottime.h"

#include <ctime>

namespace lavenderdale {

BootTime BootClock::now() {
  timespec Value{};
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return BootTime(std::chrono::seconds(Value.tv_sec) +
                  std::chrono::nanoseconds(Value.tv_nsec));
}

} // namespace lavenderdale
