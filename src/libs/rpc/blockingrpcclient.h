#pragma once

#include <json/value.h>

#include <memory>
#include <string>

namespace lavenderdale {
namespace detail {

/// A JSON-RPC client over HTTP that blocks its thread. This header has to
/// compile as C++14, see CMakeLists.txt.
class BlockingRpcClient {
public:
  /// \param Url for example "http://127.0.0.1:7001/rpc".
  explicit BlockingRpcClient(const std::string &Url);
  ~BlockingRpcClient();

  /// Calls \p Method and waits at most \p TimeoutMilliseconds.
  /// \returns whether an answer came; then \p Answer has it. Otherwise
  /// \p Failure says why.
  bool call(const std::string &Method, const Json::Value &Params,
            long TimeoutMilliseconds, Json::Value &Answer,
            std::string &Failure);

private:
  class Private;
  std::unique_ptr<Private> P;
};

} // namespace detail
} // namespace lavenderdale
