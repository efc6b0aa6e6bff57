#include "blockingrpcclient.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace lavenderdale {
namespace detail {

class BlockingRpcClient::Private {
public:
  explicit Private(const std::string &Url)
      : Connector(Url), Client(Connector) {}

  jsonrpc::HttpClient Connector;
  jsonrpc::Client Client;
};

BlockingRpcClient::BlockingRpcClient(const std::string &Url)
    : P(new Private(Url)) {}

BlockingRpcClient::~BlockingRpcClient() = default;

bool BlockingRpcClient::call(const std::string &Method,
                             const Json::Value &Params,
                             long TimeoutMilliseconds, Json::Value &Answer,
                             std::string &Failure) {
  try {
    this->P->Connector.SetTimeout(TimeoutMilliseconds);
    Answer = this->P->Client.CallMethod(Method, Params);
    return true;
  } catch (const jsonrpc::JsonRpcException &Caught) {
    Failure = Caught.what();
    return false;
  }
}

} // namespace detail
} // namespace lavenderdale
