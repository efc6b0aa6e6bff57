#include "relayclient.h"

#include "http/resumewith.h"
#include "http/sleepuntil.h"
#include "socketoptions.h"
#include "telemetry/logging.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

} // namespace

struct RelayClient::Pending {
  explicit Pending(const asio::any_io_executor &Executor) : Signal(Executor) {}

  asio::steady_timer Signal;
  bool Done = false;
  std::optional<RelayAnswer> Answer;
};

RelayClient::RelayClient(const asio::any_io_executor &Executor, Endpoint Where)
    : Executor(Executor), Where(std::move(Where)), Socket(Executor),
      Opened(Executor) {}

asio::awaitable<RelayOutcome>
RelayClient::run(RelayRequest Request, std::uint64_t &Id, TimePoint Deadline) {
  const std::shared_ptr<RelayClient> Self = this->shared_from_this();
  RelayOutcome Outcome;
  const bool Ready = co_await this->ensureOpen(Deadline);
  if (!Ready) {
    Outcome.HostSilent = true;
    co_return Outcome;
  }
  Pending Slot(this->Executor);
  Request.Id = this->NextId++;
  Request.SinceLastReceived =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          BootClock::now() - this->LastReceivedAtBoot);
  Id = Request.Id;
  this->Waiting[Request.Id] = &Slot;
  Slot.Signal.expires_at(Deadline + AnswerSlack);
  const TimePoint SentAt = steadyNow();
  const std::uint64_t SentGeneration = this->Generation;
  this->enqueue(encodeRelay(Request));
  Outcome.Sent = true;
  error_code Ignored;
  while (!Slot.Done && steadyNow() < Slot.Signal.expiry())
    co_await Slot.Signal.async_wait(resumeWith(Ignored));
  this->Waiting.erase(Request.Id);
  Id = 0;
  Outcome.Answer = std::move(Slot.Answer);
  if (Outcome.Answer)
    co_return Outcome;
  const bool SameConnection = this->Open && this->Generation == SentGeneration;
  Outcome.HostSilent = !SameConnection || this->LastReceivedAt < SentAt;
  // If nothing has arrived since the request was sent, the connection may be
  // broken in one direction.
  if (SameConnection && Outcome.HostSilent)
    this->close();
  co_return Outcome;
}

void RelayClient::sendOneWay(const RelayRequest &Request) {
  if (this->Open)
    this->enqueue(encodeRelay(Request));
}

void RelayClient::close() {
  if (this->Open)
    logInfo("event=relay_link_closed host=" + toString(this->Where) +
            " waiting=" + std::to_string(this->Waiting.size()));
  this->Open = false;
  this->Outgoing.clear();
  error_code Ignored;
  this->Socket.close(Ignored);
  for (const auto &[Id, Each] : this->Waiting) {
    Each->Done = true;
    Each->Signal.cancel();
  }
}

asio::awaitable<bool> RelayClient::ensureOpen(TimePoint Deadline) {
  if (this->Open)
    co_return true;
  if (!this->Connecting) {
    this->Connecting = true;
    this->Opened.expires_at(steadyNow() + ConnectTimeout);
    asio::co_spawn(this->Executor, this->connect(), asio::detached);
  }
  error_code Ignored;
  while (this->Connecting && steadyNow() < Deadline &&
         steadyNow() < this->Opened.expiry())
    co_await this->Opened.async_wait(resumeWith(Ignored));
  if (this->Connecting) {
    // Aborts a connect that takes too long.
    error_code Failure;
    this->Socket.close(Failure);
  }
  co_return this->Open;
}

asio::awaitable<void> RelayClient::connect() {
  const std::shared_ptr<RelayClient> Self = this->shared_from_this();
  error_code Failure;
  const auto Address = asio::ip::make_address(this->Where.Address, Failure);
  const asio::ip::tcp::endpoint Peer(Address, this->Where.Port);
  this->Socket = asio::ip::tcp::socket(this->Executor);
  if (!Failure)
    co_await this->Socket.async_connect(Peer, resumeWith(Failure));
  this->Connecting = false;
  if (Failure) {
    logInfo("event=relay_connect_failed host=" + toString(this->Where) +
            " error=\"" + Failure.message() + "\"");
  } else {
    setLivenessOptions(this->Socket, UnacknowledgedTimeout);
    this->Open = true;
    ++this->Generation;
    this->LastReceivedAt = steadyNow();
    this->LastReceivedAtBoot = BootClock::now();
    this->Writing = false;
    asio::co_spawn(this->Executor, this->read(), asio::detached);
  }
  this->Opened.cancel();
}

asio::awaitable<void> RelayClient::read() {
  const std::shared_ptr<RelayClient> Self = this->shared_from_this();
  const std::uint64_t ReadGeneration = this->Generation;
  std::string Bytes;
  while (true) {
    const Result<void> Read = co_await readRelay(this->Socket, Bytes);
    if (this->Generation != ReadGeneration)
      co_return;
    if (!Read && Read.error().Kind != ErrorKind::Unavailable)
      logWarn("event=relay_answer_unreadable host=" + toString(this->Where) +
              " error=\"" + Read.error().Detail + "\"");
    if (!Read)
      break;
    this->LastReceivedAt = steadyNow();
    this->LastReceivedAtBoot = BootClock::now();
    Result<RelayAnswer> Answer = decodeRelayAnswer(Bytes);
    if (!Answer) {
      logWarn("event=relay_answer_unreadable host=" + toString(this->Where) +
              " error=\"" + Answer.error().Detail + "\"");
      break;
    }
    const std::uint64_t Held = Answer.value().Held;
    const auto Found = this->Waiting.find(Answer.value().Id);
    if (Found == this->Waiting.end()) {
      // The requester no longer waits, so a connection held for it is released.
      if (Held != 0) {
        RelayRequest Release;
        Release.Type = RelayRequest::Kind::Release;
        Release.Held = Held;
        this->sendOneWay(Release);
      }
      continue;
    }
    Found->second->Answer = std::move(Answer.value());
    Found->second->Done = true;
    Found->second->Signal.cancel();
  }
  this->close();
}

void RelayClient::enqueue(const std::string &Bytes) {
  this->Outgoing += Bytes;
  if (this->Writing)
    return;
  this->Writing = true;
  asio::co_spawn(this->Executor, this->write(), asio::detached);
}

asio::awaitable<void> RelayClient::write() {
  const std::shared_ptr<RelayClient> Self = this->shared_from_this();
  const std::uint64_t WriteGeneration = this->Generation;
  while (!this->Outgoing.empty()) {
    const std::string Bytes = std::exchange(this->Outgoing, {});
    error_code Failure;
    co_await asio::async_write(this->Socket, asio::buffer(Bytes),
                               resumeWith(Failure));
    if (this->Generation != WriteGeneration)
      co_return;
    if (Failure) {
      this->close();
      break;
    }
  }
  this->Writing = false;
}

} // namespace lavenderdale
