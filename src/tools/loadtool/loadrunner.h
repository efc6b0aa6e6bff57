#pragma once

#include "loadoptions.h"
#include "loadrecorder.h"
#include "statementsender.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <random>

namespace lavenderdale {

/// Runs the load of one command line on one thread.
class LoadRunner {
public:
  explicit LoadRunner(LoadOptions Load);

  /// Sends until the time is over, and waits for the last answers.
  /// \returns the summary.
  Json::Value run();

private:
  std::unique_ptr<StatementSender> makeSender(std::size_t Index);
  boost::asio::awaitable<void> work(std::size_t Index);
  boost::asio::awaitable<void> hold(std::size_t Index);
  /// Takes the next due time, which is the current time in a closed loop.
  TimePoint takeDueTime();
  LoadStatement takeStatement();

  LoadOptions Load;
  boost::asio::io_context Context{1};
  std::mt19937_64 Random;
  TimePoint Start;
  TimePoint End;
  TimePoint NextDue;
  LoadRecorder Recorder;
  std::uint64_t Number = 0;
  std::size_t Held = 0;
  std::size_t Failed = 0;
};

} // namespace lavenderdale
