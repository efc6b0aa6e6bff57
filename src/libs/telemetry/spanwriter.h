#pragma once

#include "base/result.h"
#include "tracecontext.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lavenderdale {

/// One hop of a request.
struct Span {
  TraceContext Context;
  std::string Name;
  std::chrono::system_clock::time_point Start;
  std::chrono::nanoseconds Duration{0};
  std::map<std::string, std::string> Attributes;
};

/// Writes spans to a file, one JSON object a line, on a thread of its own.
/// Spans that arrive while the buffer is full are dropped and counted, so
/// that a slow disk never holds up a request.
class SpanWriter {
public:
  static constexpr std::size_t DefaultBufferSpans = 10'000;

  /// Opens \p Path for appending.
  /// \param Host name of this host, written with each span.
  /// \param BufferSpans number of spans that may wait.
  /// \returns the writer, or InvalidSettings if the file cannot be opened.
  static Result<std::unique_ptr<SpanWriter>>
  open(const std::string &Path, std::string Host,
       std::size_t BufferSpans = DefaultBufferSpans);

  /// Writes what is buffered, then ends the thread.
  ~SpanWriter();

  SpanWriter(const SpanWriter &) = delete;
  SpanWriter &operator=(const SpanWriter &) = delete;

  /// Queues \p Finished if its trace is sampled. Does not block on the file.
  void write(Span Finished);

  /// Number of spans that were lost: buffer full, or the file failed.
  std::uint64_t dropped() const;

private:
  SpanWriter(std::ofstream File, std::string Host, std::size_t BufferSpans);
  void run();
  void writeBatch(const std::deque<Span> &Batch);

  std::ofstream File;
  const std::string Host;
  const std::size_t BufferSpans;
  mutable std::mutex Lock;
  std::condition_variable Changed;
  std::deque<Span> Buffer;
  std::uint64_t Dropped = 0;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace lavenderdale
