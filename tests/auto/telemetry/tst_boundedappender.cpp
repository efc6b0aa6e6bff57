#include "telemetry/boundedappender.h"

#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <catch2/catch.hpp>

#include <array>
#include <fcntl.h>
#include <memory>
#include <unistd.h>

using lavenderdale::detail::BoundedAppender;

namespace {

struct Pipe {
  Pipe() { REQUIRE(pipe(this->Ends.data()) == 0); }
  ~Pipe() {
    close(this->Ends[0]);
    close(this->Ends[1]);
  }
  std::array<int, 2> Ends{};
};

void writeLines(BoundedAppender &Appender, int Count, std::size_t Length) {
  for (int I = 0; I < Count; ++I)
    Appender.doAppend(log4cplus::spi::InternalLoggingEvent(
        "test", log4cplus::INFO_LOG_LEVEL, std::string(Length, 'x'), __FILE__,
        __LINE__));
}

} // namespace

// A reader of the log that stopped must not stop the daemon, and lines must
// not pile up in its memory.
TEST_CASE("a log that nobody reads is dropped, not waited for") {
  const Pipe Channel;
  BoundedAppender Appender(Channel.Ends[1]);
  Appender.setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  // More than pipe and buffer hold.
  writeLines(Appender, 200, 4096);
  CHECK(Appender.dropped() > 0);
  Appender.close();
}

TEST_CASE("the number of lines a second is bounded") {
  const Pipe Channel;
  fcntl(Channel.Ends[0], F_SETPIPE_SZ, 1 << 20);
  BoundedAppender Appender(Channel.Ends[1]);
  Appender.setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  writeLines(Appender, 5000, 10);
  // A slow machine may take several seconds, each with its own budget.
  CHECK(Appender.dropped() > 0);
  Appender.close();
}
