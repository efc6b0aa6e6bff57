#include "workerpool.h"

#include "base/softassert.h"

#include <algorithm>

namespace lavenderdale {
namespace {

thread_local std::size_t CurrentWorkerIndex = 0;

} // namespace

class WorkerPool::Worker : public boost::asio::io_context {
public:
  Worker() : io_context(1) {}

  /// Destroys suspended coroutines. They may own sockets of other workers, so
  /// this has to happen on all workers before the first one is destroyed.
  void destroyHandlers() { this->shutdown(); }
};

WorkerPool::WorkerPool(std::size_t Workers) {
  for (std::size_t I = 0; I < std::max<std::size_t>(Workers, 1); ++I) {
    this->Contexts.push_back(std::make_unique<Worker>());
    this->Guards.emplace_back(this->Contexts.back()->get_executor());
  }
}

WorkerPool::~WorkerPool() {
  this->stop();
  for (const auto &Context : this->Contexts)
    Context->destroyHandlers();
}

std::size_t WorkerPool::size() const { return this->Contexts.size(); }

boost::asio::io_context &WorkerPool::worker(std::size_t Index) {
  softAssert(Index < this->Contexts.size(), "worker index is in range");
  return *this->Contexts[Index % this->Contexts.size()];
}

boost::asio::io_context &WorkerPool::next() {
  return this->worker(this->Turn.fetch_add(1, std::memory_order_relaxed) %
                      this->Contexts.size());
}

std::size_t WorkerPool::currentWorker() { return CurrentWorkerIndex; }

void WorkerPool::start() {
  for (std::size_t I = 0; I < this->Contexts.size(); ++I)
    this->Threads.emplace_back([this, I] {
      CurrentWorkerIndex = I;
      this->Contexts[I]->run();
    });
}

void WorkerPool::stop() {
  this->Guards.clear();
  for (const auto &Context : this->Contexts)
    Context->stop();
  for (std::thread &Thread : this->Threads)
    if (Thread.joinable())
      Thread.join();
  this->Threads.clear();
}

} // namespace lavenderdale
