#include "sessionserver.h"

#include "http/listenon.h"
#include "http/resumewith.h"
#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>
#include <vector>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

} // namespace

SessionServer::SessionServer(const asio::any_io_executor &Executor,
                             ProxyState &State, StatementExecutor &Statements,
                             const CallerProtocol &Protocol)
    : Executor(Executor), State(State), Statements(Statements),
      Protocol(Protocol), Acceptor(Executor) {}

Result<void> SessionServer::listen(const Endpoint &Where) {
  BOOST_OUTCOME_TRY(listenOn(this->Acceptor, Where, Backlog));
  asio::co_spawn(this->Executor, this->accept(), asio::detached);
  asio::co_spawn(this->Executor, this->checkLimits(), asio::detached);
  return success();
}

asio::awaitable<void> SessionServer::accept() {
  const std::shared_ptr<SessionServer> Keep = this->shared_from_this();
  constexpr std::chrono::milliseconds PauseAfterFailure{20};
  while (!this->Stopped) {
    error_code Failure;
    tcp::socket Socket(this->Executor);
    tcp::endpoint Peer;
    co_await this->Acceptor.async_accept(Socket, Peer, resumeWith(Failure));
    if (this->Stopped)
      co_return;
    if (Failure) {
      logWarn("event=accept_failed sessions=" +
              std::to_string(this->Sessions.size()) + " error=\"" +
              Failure.message() + "\"");
      co_await sleepUntil(steadyNow() + PauseAfterFailure);
      continue;
    }
    const std::string From = Peer.address().to_string();
    if (this->State.memory().admitConnection(
            MemoryBudget::Role::Caller, From) == MemoryBudget::Grant::Refused)
      continue; // Closes the connection.
    auto Session = std::make_shared<CallerSession>(
        std::move(Socket), From, this->State, this->Statements, this->Protocol);
    asio::co_spawn(this->Executor, this->serve(std::move(Session)),
                   asio::detached);
  }
}

asio::awaitable<void>
SessionServer::serve(std::shared_ptr<CallerSession> Session) {
  const std::shared_ptr<SessionServer> Keep = this->shared_from_this();
  const auto Place = this->Sessions.insert(this->Sessions.end(), Session);
  co_await Session->run();
  this->Sessions.erase(Place);
}

asio::awaitable<void> SessionServer::checkLimits() {
  const std::shared_ptr<SessionServer> Keep = this->shared_from_this();
  TimePoint Summarised = steadyNow();
  while (!this->Stopped) {
    co_await sleepUntil(steadyNow() + CheckInterval);
    const TimePoint Now = steadyNow();
    this->State.memory().advance(Now);
    if (Now - Summarised >= SummaryInterval) {
      Summarised = Now;
      this->summarise();
    }
    for (const std::shared_ptr<CallerSession> &Each : this->Sessions)
      Each->checkLimits(Now);
  }
}

// Instead of one line for each refusal.
void SessionServer::summarise() {
  MemoryBudget &Memory = this->State.memory();
  const MemoryBudget::Counts Counts = Memory.takeCounts();
  if (Counts.empty())
    return;
  this->State.metrics().countLimited(Counts);
  std::string Largest;
  for (const auto &[Owner, Events] : Counts.Largest)
    Largest +=
        (Largest.empty() ? "" : ", ") + Owner + " " + std::to_string(Events);
  logWarn(
      "event=connections_limited refused=" + std::to_string(Counts.Refused) +
      " closed=" + std::to_string(Counts.Closed) +
      " connections_refused=" + std::to_string(Counts.ConnectionsRefused) +
      " idle_closed=" + std::to_string(Counts.ConnectionsClosed) +
      " too_slow=" + std::to_string(Counts.TooSlow) + " sessions=" +
      std::to_string(this->Sessions.size()) + " receiving_bytes=" +
      std::to_string(Memory.used(MemoryBudget::Use::Receiving)) +
      " state_bytes=" +
      std::to_string(Memory.used(MemoryBudget::Use::SessionState)) +
      " answer_bytes=" +
      std::to_string(Memory.used(MemoryBudget::Use::Answers)) +
      " relayed_bytes=" +
      std::to_string(Memory.used(MemoryBudget::Use::Relayed)) + " largest=\"" +
      Largest + "\"");
}

void SessionServer::closeIdle() {
  this->Stopped = true;
  error_code Ignored;
  this->Acceptor.close(Ignored);
  this->moveSessions();
}

void SessionServer::moveSessions() {
  for (const std::shared_ptr<CallerSession> &Each : this->Sessions)
    Each->closeWhenIdle();
}

void SessionServer::endTransactions() {
  for (const std::shared_ptr<CallerSession> &Each : this->Sessions)
    Each->closeAfterStatement();
}

void SessionServer::stopWaiting() {
  for (const std::shared_ptr<CallerSession> &Each : this->Sessions)
    Each->stopWaiting();
}

} // namespace lavenderdale
