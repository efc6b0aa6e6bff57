#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>

namespace lavenderdale::standin {

/// A counting semaphore that serves its waiters in order of arrival.
class WaitQueue {
public:
  explicit WaitQueue(unsigned Limit) : Limit(Limit) {}

  /// Waits for one unit.
  /// \param Cancelled ends the wait early; call wake() after setting it.
  /// \returns false if the wait was cancelled or took longer than \p Timeout.
  bool acquire(std::chrono::milliseconds Timeout,
               const std::atomic<bool> &Cancelled);

  void release();

  /// Changes the number of units; units in use are not taken back.
  void setLimit(unsigned NewLimit);

  /// Makes waiters look at their cancel flags.
  void wake();

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::uint64_t> Waiting; // Tickets in order of arrival.
  std::uint64_t NextTicket = 0;
  unsigned Limit;
  unsigned InUse = 0;
};

} // namespace lavenderdale::standin
