#pragma once

#include <log4cplus/appender.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace lavenderdale::detail {

/// Writes log lines to a file descriptor without ever waiting for its reader.
/// Lines beyond a rate, and lines that find the buffer full, are dropped and
/// counted; the count is written as soon as there is room.
class BoundedAppender : public log4cplus::Appender {
public:
  /// Well above what a host writes while many statements fail; writing a line
  /// takes about as long as forwarding a statement.
  static constexpr std::uint64_t MaxLinesPerSecond = 300;
  static constexpr std::size_t MaxBufferBytes = std::size_t{256} * 1024;

  /// \param Descriptor made non-blocking.
  explicit BoundedAppender(int Descriptor);
  ~BoundedAppender() override;

  void close() override;

  /// Lines that were dropped since the start.
  std::uint64_t dropped() const { return this->Dropped; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  bool takeBudget(std::chrono::steady_clock::time_point Now);
  void flush();

  const int Descriptor;
  std::string Buffer;
  std::chrono::steady_clock::time_point SecondEnds{};
  std::uint64_t LinesInSecond = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedReported = 0;
};

} // namespace lavenderdale::detail
