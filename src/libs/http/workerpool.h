#pragma once

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace lavenderdale {

/// One io_context per thread. A connection lives on one worker, so that its
/// handlers need no lock.
class WorkerPool {
public:
  /// \param Workers number of threads, at least 1.
  explicit WorkerPool(std::size_t Workers);
  ~WorkerPool();

  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  std::size_t size() const;
  boost::asio::io_context &worker(std::size_t Index);

  /// Returns the workers in turn.
  boost::asio::io_context &next();

  /// The worker that runs the calling thread; worker 0 for other threads.
  static std::size_t currentWorker();

  void start();

  /// Stops all workers and joins their threads.
  void stop();

private:
  class Worker;
  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<Worker>> Contexts;
  std::vector<WorkGuard> Guards;
  std::vector<std::thread> Threads;
  std::atomic<std::size_t> Turn{0};
};

} // namespace lavenderdale
