#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "endpoint.h"
#include "httpmessage.h"
#include "workerpool.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace lavenderdale {

/// Limits of an HttpServer.
struct HttpServerLimits {
  std::size_t MaxConnections = 10000;
  std::size_t MaxHeaderBytes = std::size_t{16} * 1024;
  std::size_t MaxBodyBytes = std::size_t{1024} * 1024;
  /// Bodies that are received or worked on, of all connections together. Those
  /// of up to OrdinaryBodyBytes are not counted and never refused.
  std::size_t MaxReceivingBytes = std::size_t{256} << 20;
  /// At MaxConnections, close the oldest connection that waits for a request or
  /// has not sent it completely, instead of refusing the new one.
  bool ReplaceOldest = false;
  std::chrono::milliseconds IdleTimeout{60000};
  /// From the first byte of a request to its last one.
  std::chrono::milliseconds ReceiveTimeout{10000};
  /// For writing a response to a slow reader.
  std::chrono::milliseconds SendTimeout{30000};
};

/// An HTTP/1.1 server on Boost.Beast. Each connection lives on one worker.
/// Malformed and oversized requests are answered here with problem documents.
class HttpServer {
public:
  using Handler =
      std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  static constexpr std::size_t OrdinaryBodyBytes = 16384;

  HttpServer(WorkerPool &Workers, HttpServerLimits Limits, Handler Handle);
  ~HttpServer();

  /// Binds and starts to accept.
  /// \returns the bound endpoint, or Unavailable with the reason.
  Result<Endpoint> listen(const Endpoint &Where);

  /// From now on each response closes its connection.
  void closeAfterResponses();

  /// Stops accepting and closes connections without a request under way.
  void closeIdle();

  /// \returns whether the listener is closed and all connections have ended.
  bool isDrained() const;

  /// Number of open connections.
  std::size_t connections() const;

  /// Number of requests whose response has not been written yet.
  std::size_t requestsInFlight() const;

  /// Number of connections refused since MaxConnections was reached.
  std::uint64_t refusedConnections() const;

  /// Bytes counted towards MaxReceivingBytes.
  std::size_t receivingBytes() const;

  /// Number of requests refused since MaxReceivingBytes was reached.
  std::uint64_t refusedBodies() const;

private:
  class Private;
  std::shared_ptr<Private> P;
};

} // namespace lavenderdale
