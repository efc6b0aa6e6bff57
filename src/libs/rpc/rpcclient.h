#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "http/endpoint.h"

#include <boost/asio/awaitable.hpp>

#include <json/value.h>

#include <cstddef>
#include <memory>
#include <string>

namespace lavenderdale {

/// Sends JSON-RPC calls to peers. libjsonrpccpp's connectors block, so calls
/// run on threads of their own and never on a worker.
class RpcClient {
public:
  /// \param Threads number of calls that can be under way at once.
  explicit RpcClient(std::size_t Threads);
  ~RpcClient();

  /// Calls \p Method of the peer and resumes on the caller's executor.
  /// \returns the result, or Unavailable when none came until \p Deadline.
  boost::asio::awaitable<Result<Json::Value>> call(Endpoint Peer,
                                                   std::string Method,
                                                   Json::Value Params,
                                                   TimePoint Deadline);

  /// Waits for running calls and stops.
  void stop();

private:
  class Private;
  std::shared_ptr<Private> P;
};

} // namespace lavenderdale
