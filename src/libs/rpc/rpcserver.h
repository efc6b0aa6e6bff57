#pragma once

#include "base/result.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace lavenderdale {

/// Dispatches JSON-RPC 2.0 requests, whose text comes from HttpServer, to
/// registered methods. Methods may be called from several threads at once.
class RpcServer {
public:
  using Method = std::function<Result<Json::Value>(const Json::Value &Params)>;

  RpcServer();
  ~RpcServer();

  /// Registers a method with by-name parameters. Call before the first request.
  void add(const std::string &Name, Method Call);

  /// Handles one request or batch.
  /// \returns the response text.
  std::string handle(const std::string &Request);

private:
  class Private;
  std::unique_ptr<Private> P;
};

} // namespace lavenderdale
