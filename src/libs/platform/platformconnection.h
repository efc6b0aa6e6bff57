#pragma once

#include "base/result.h"
#include "base/timepoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace lavenderdale {

enum class HttpMethod { Get, Post, Put, Delete };

struct PlatformRequest {
  HttpMethod Method = HttpMethod::Get;
  std::string Target;
  std::string Body;
};

struct PlatformResponse {
  int Status = 0;
  std::string Body;
};

/// One HTTP connection to the platform.
class PlatformConnection {
public:
  explicit PlatformConnection(const boost::asio::any_io_executor &Executor);
  ~PlatformConnection();
  PlatformConnection(const PlatformConnection &) = delete;
  PlatformConnection &operator=(const PlatformConnection &) = delete;

  boost::asio::awaitable<Result<void>>
  connect(boost::asio::ip::tcp::endpoint Endpoint, TimePoint Deadline);

  /// Sends a request and reads the answer.
  /// \returns PlatformUnavailable when there is none before the deadline.
  boost::asio::awaitable<Result<PlatformResponse>>
  exchange(PlatformRequest Request, TimePoint Deadline);

  /// Whether another request can be sent.
  bool isReusable() const;

  /// Sends a request and passes each line of the answer to \p Handler, which
  /// returns a failure to end the stream.
  /// \returns the status and body of an answer other than 200, or a failure.
  boost::asio::awaitable<Result<PlatformResponse>>
  streamLines(PlatformRequest Request, Duration SilenceLimit,
              std::function<Result<void>(const std::string &Line)> Handler);

  void close();

private:
  struct State;
  std::unique_ptr<State> Data;
};

} // namespace lavenderdale
