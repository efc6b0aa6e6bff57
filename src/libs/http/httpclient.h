#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "endpoint.h"
#include "httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace lavenderdale {

/// An HTTP/1.1 client of one endpoint with kept-alive connections. Used on
/// its own executor only, which must not run on several threads.
class HttpClient {
public:
  HttpClient(boost::asio::any_io_executor Executor, Endpoint Where);
  ~HttpClient();

  /// Sends \p Request and reads the whole response. A connection that was idle
  /// for more than a second is checked with GET /healthz first, so that one
  /// that went silent costs no request.
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
