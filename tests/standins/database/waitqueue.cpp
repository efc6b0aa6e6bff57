#include "waitqueue.h"

#include <algorithm>

namespace lavenderdale::standin {

bool WaitQueue::acquire(std::chrono::milliseconds Timeout,
                        const std::atomic<bool> &Cancelled) {
  std::unique_lock Lock(this->Mutex);
  const std::uint64_t Ticket = this->NextTicket++;
  this->Waiting.push_back(Ticket);
  this->Changed.wait_for(Lock, Timeout, [&] {
    return Cancelled ||
           (this->Waiting.front() == Ticket && this->InUse < this->Limit);
  });
  const bool Taken = !Cancelled && this->Waiting.front() == Ticket &&
                     this->InUse < this->Limit;
  this->Waiting.erase(
      std::find(this->Waiting.begin(), this->Waiting.end(), Ticket));
  if (Taken)
    ++this->InUse;
  this->Changed.notify_all();
  return Taken;
}

void WaitQueue::release() {
  const std::scoped_lock Lock(this->Mutex);
  --this->InUse;
  this->Changed.notify_all();
}

void WaitQueue::setLimit(unsigned NewLimit) {
  const std::scoped_lock Lock(this->Mutex);
  this->Limit = NewLimit;
  this->Changed.notify_all();
}

void WaitQueue::wake() {
  const std::scoped_lock Lock(this->Mutex);
  this->Changed.notify_all();
}

} // namespace lavenderdale::standin
