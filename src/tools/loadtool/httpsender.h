#pragma once

#include "loadoptions.h"
#include "statementsender.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace lavenderdale {

/// Sends statements to daemons. A connection that cannot be opened at one
/// daemon is opened at the next, as a balancer in front of them does.
class HttpSender : public StatementSender {
public:
  /// \param Load must outlive the sender.
  /// \param First index of the first target to connect to.
  HttpSender(boost::asio::any_io_executor Executor, const LoadOptions &Load,
             std::size_t First);

  boost::asio::awaitable<bool> open(TimePoint Deadline) override;
  boost::asio::awaitable<LoadAnswer> send(LoadStatement Statement,
                                          TimePoint Deadline) override;

private:
  boost::asio::any_io_executor Executor;
  const LoadOptions &Load;
  std::size_t Target;
  std::unique_ptr<boost::beast::tcp_stream> Stream;
  boost::beast::flat_buffer Buffer;
  std::string Session;
};

} // namespace lavenderdale
