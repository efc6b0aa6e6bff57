#include "rpcclient.h"

#include "blockingrpcclient.h"
#include "http/runon.h"

#include <boost/asio/thread_pool.hpp>

#include <map>
#include <mutex>
#include <vector>

namespace lavenderdale {
namespace asio = boost::asio;
using detail::BlockingRpcClient;

class RpcClient::Private {
public:
  explicit Private(std::size_t Threads) : Pool(Threads) {}

  Result<Json::Value> callNow(const Endpoint &Peer, const std::string &Method,
                              const Json::Value &Params, TimePoint Deadline) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - steadyNow());
    if (Left.count() <= 0)
      return failure(ErrorKind::Unavailable, "the deadline has passed");
    std::unique_ptr<BlockingRpcClient> Client = this->take(Peer);
    Json::Value Answer;
    std::string Reason;
    if (!Client->call(Method, Params, static_cast<long>(Left.count()), Answer,
                      Reason))
      return failure(ErrorKind::Unavailable,
                     Method + " to " + toString(Peer) + ": " + Reason);
    this->putBack(Peer, std::move(Client));
    return Answer;
  }

  asio::thread_pool Pool;

private:
  std::unique_ptr<BlockingRpcClient> take(const Endpoint &Peer) {
    const std::lock_guard Guard(this->Lock);
    auto &Clients = this->Idle[Peer];
    if (Clients.empty())
      return std::make_unique<BlockingRpcClient>("http://" + toString(Peer) +
                                                 "/rpc");
    std::unique_ptr<BlockingRpcClient> Client = std::move(Clients.back());
    Clients.pop_back();
    return Client;
  }

  void putBack(const Endpoint &Peer,
               std::unique_ptr<BlockingRpcClient> Client) {
    constexpr std::size_t MaxIdlePerPeer = 2;
    const std::lock_guard Guard(this->Lock);
    auto &Clients = this->Idle[Peer];
    if (Clients.size() < MaxIdlePerPeer)
      Clients.push_back(std::move(Client));
  }

  std::mutex Lock;
  std::map<Endpoint, std::vector<std::unique_ptr<BlockingRpcClient>>> Idle;
};

RpcClient::RpcClient(std::size_t Threads)
    : P(std::make_shared<Private>(Threads)) {}

RpcClient::~RpcClient() { this->stop(); }

asio::awaitable<Result<Json::Value>> RpcClient::call(Endpoint Peer,
                                                     std::string Method,
                                                     Json::Value Params,
                                                     TimePoint Deadline) {
  const std::shared_ptr<Private> Keep = this->P;
  co_return co_await runOn<Result<Json::Value>>(
      Keep->Pool.get_executor(), [&]() -> asio::awaitable<Result<Json::Value>> {
        co_return Keep->callNow(Peer, Method, Params, Deadline);
      });
}

void RpcClient::stop() {
  this->P->Pool.stop();
  this->P->Pool.join();
}

} // namespace lavenderdale
