#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "endpoint.h"
#include "httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace lavenderdale {

/// What to do with a connection that was idle for more than a second, and may
/// have gone silent meanwhile.
enum class IdleConnections {
  Check,     ///< Send GET /healthz first; for our own servers.
  Reconnect, ///< Open a new one; for servers without that path.
};

/// An HTTP/1.1 client of one endpoint with kept-alive connections. Used on
/// its own executor only, which must not run on several threads.
class HttpClient {
public:
  HttpClient(boost::asio::any_io_executor Executor, Endpoint Where,
             IdleConnections Idle = IdleConnections::Check);
  ~HttpClient();

  /// Sends \p Request and reads the whole response.
  /// \returns the response; Unavailable if no byte of the request was sent;
  /// OutcomeUnknown if some was and no whole response came until \p Deadline.
  boost::asio::awaitable<Result<HttpResponse>> send(HttpRequest Request,
                                                    TimePoint Deadline);

  /// Number of idle connections.
  std::size_t idleConnections() const;

private:
  class Private;
  std::shared_ptr<Private> P;
};

} // namespace lavenderdale
