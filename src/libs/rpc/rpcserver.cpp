#include "rpcserver.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace lavenderdale {
namespace {

// Application error code in the range that JSON-RPC 2.0 leaves to servers.
constexpr int MethodFailed = -32000;

} // namespace

class RpcServer::Private : public jsonrpc::IProcedureInvokationHandler {
public:
  Private()
      : Protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    const Result<Json::Value> Answer =
        this->Methods.at(Procedure.GetProcedureName())(Input);
    if (!Answer)
      throw jsonrpc::JsonRpcException(MethodFailed, Answer.error().Detail);
    Output = Answer.value();
  }

  void HandleNotificationCall(jsonrpc::Procedure &,
                              const Json::Value &) override {}

  std::map<std::string, Method> Methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol;
};

RpcServer::RpcServer() : P(std::make_unique<Private>()) {}

RpcServer::~RpcServer() = default;

void RpcServer::add(const std::string &Name, Method Call) {
  this->P->Methods[Name] = std::move(Call);
  this->P->Protocol->AddProcedure(jsonrpc::Procedure(
      Name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string RpcServer::handle(const std::string &Request) {
  std::string Response;
  this->P->Protocol->HandleRequest(Request, Response);
  return Response;
}

} // namespace lavenderdale
