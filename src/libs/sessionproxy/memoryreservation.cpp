#include "memoryreservation.h"

#include "http/sleepuntil.h"

namespace lavenderdale {

namespace asio = boost::asio;

asio::awaitable<bool> awaitMemory(MemoryBudget::Account &For,
                                  MemoryBudget::Use Use, std::size_t Bytes) {
  MemoryBudget &Budget = For.budget();
  bool Granted = false;
  if (Budget.startWaiting()) {
    const TimePoint End = steadyNow() + MaxMemoryWait;
    while (!Granted && !For.isClosing() && steadyNow() < End) {
      co_await sleepUntil(steadyNow() + MemoryRetryInterval);
      Granted = For.reserve(Use, Bytes) == MemoryBudget::Grant::Given;
    }
    Budget.stopWaiting();
  }
  if (!Granted)
    Budget.countRefusal(For);
  co_return Granted;
}

} // namespace lavenderdale
