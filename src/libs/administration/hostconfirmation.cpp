#include "hostconfirmation.h"

#include "base/strictjson.h"
#include "platform/platformconnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

// A host that does not answer within this time is asked again.
constexpr std::chrono::seconds AskTimeout{1};
constexpr std::chrono::milliseconds AskInterval{200};

/// \returns the version that the host shows, or 0.
asio::awaitable<std::uint64_t> askVersion(Host Asked, TimePoint Deadline) {
  boost::system::error_code Invalid;
  const auto Address = asio::ip::make_address(Asked.AdminAddress, Invalid);
  if (Invalid)
    co_return 0;
  PlatformConnection Connection(co_await asio::this_coro::executor);
  const Result<void> Connected = co_await Connection.connect(
      asio::ip::tcp::endpoint(Address, Asked.AdminPort), Deadline);
  if (!Connected)
    co_return 0;
  PlatformRequest Request;
  Request.Target = "/status";
  const Result<PlatformResponse> Answer =
      co_await Connection.exchange(std::move(Request), Deadline);
  if (!Answer || Answer.value().Status != 200)
    co_return 0;
  const Result<Json::Value> Body = parseStrictJson(Answer.value().Body);
  if (!Body || !Body.value().isObject() ||
      !Body.value()["configurationVersion"].isUInt64())
    co_return 0;
  co_return Body.value()["configurationVersion"].asUInt64();
}

/// Asks one host until it shows the version. \returns whether it did.
asio::awaitable<bool> confirm(Host Asked, std::uint64_t Version,
                              TimePoint Deadline) {
  if (Asked.AdminAddress.empty())
    co_return false;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    const TimePoint Now = steadyNow();
    if (Now >= Deadline)
      co_return false;
    const TimePoint Until = std::min<TimePoint>(Now + AskTimeout, Deadline);
    const std::uint64_t Shown = co_await askVersion(Asked, Until);
    if (Shown >= Version)
      co_return true;
    Timer.expires_after(AskInterval);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

} // namespace

asio::awaitable<std::vector<std::string>> hostsWithout(std::uint64_t Version,
                                                       std::vector<Host> Hosts,
                                                       TimePoint Deadline) {
  const auto Executor = co_await asio::this_coro::executor;
  asio::steady_timer AllDone(Executor, TimePoint::max());
  std::vector<std::string> Missing;
  std::size_t Running = Hosts.size();
  for (const Host &Asked : Hosts)
    asio::co_spawn(
        Executor, confirm(Asked, Version, Deadline),
        [&, Name = Asked.Name](const std::exception_ptr &Failure, bool Shown) {
          if (Failure || !Shown)
            Missing.push_back(Name);
          if (--Running == 0)
            AllDone.cancel();
        });
  if (Running > 0)
    co_await AllDone.async_wait(asio::as_tuple(asio::use_awaitable));
  std::sort(Missing.begin(), Missing.end());
  co_return Missing;
}

std::string unconfirmedSentence(const std::vector<std::string> &Names) {
  if (Names.empty())
    return {};
  std::string List = Names.front();
  for (std::size_t I = 1; I < Names.size(); ++I)
    List += (I + 1 == Names.size() ? " and " : ", ") + Names[I];
  const bool IsOne = Names.size() == 1;
  return std::string(IsOne ? "Host " : "Hosts ") + List + " did not confirm. " +
         (IsOne ? "It stops" : "They stop") + " accepting keys 10 s after " +
         (IsOne ? "it was" : "they were") +
         " cut off, except on routes marked serveWhenCutOff.";
}

} // namespace lavenderdale
