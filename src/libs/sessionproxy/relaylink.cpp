#include "relaylink.h"

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

struct RelayLink::Pending {
  explicit Pending(const asio::any_io_executor &Executor) : Signal(Executor) {}

  asio::steady_timer Signal;
  bool Done = false;
  std::optional<RelayAnswer> Answer;
};

RelayLink::RelayLink(const asio::any_io_executor &Executor, Endpoint Where)
    : Executor(Executor), Where(std::move(Where)), Socket(Executor),
      Opened(Executor) {}

asio::awaitable<RelayOutcome>
RelayLink::run(RelayRequest Request, std::uint64_t &Id, TimePoint Deadline) {
  const std::shared_ptr<RelayLink> Keep = this->shared_from_this();
  RelayOutcome Outcome;
  const bool Ready = co_await this->ensureOpen(Deadline);
  if (!Ready)
    co_return Outcome;
  Pending Slot(this->Executor);
  Request.Id = this->NextId++;
  Request.HeardAgo = std::chrono::duration_cast<std::chrono::milliseconds>(
      BootClock::now() - this->HeardAtBoot);
  Id = Request.Id;
  this->Waiting[Request.Id] = &Slot;
  Slot.Signal.expires_at(Deadline + AnswerSlack);
  const TimePoint SentAt = steadyNow();
  const std::uint64_t SentOn = this->Generation;
  this->queue(encodeRelay(Request));
  Outcome.Sent = true;
  error_code Ignored;
  while (!Slot.Done && steadyNow() < Slot.Signal.expiry())
    co_await Slot.Signal.async_wait(resumeWith(Ignored));
  this->Waiting.erase(Request.Id);
  Id = 0;
  Outcome.Answer = std::move(Slot.Answer);
  // A link that was silent all the while may be dead in one direction.
  if (!Slot.Done && this->HeardAt < SentAt && this->Generation == SentOn)
    this->close();
  co_return Outcome;
}

void RelayLink::tell(const RelayRequest &Request) {
  if (this->Open)
    this->queue(encodeRelay(Request));
}

void RelayLink::close() {
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

asio::awaitable<bool> RelayLink::ensureOpen(TimePoint Deadline) {
  if (this->Open)
    co_return true;
  if (!this->Connecting) {
    this->Connecting = true;
    this->Opened.expires_at(steadyNow() + ConnectLimit);
    asio::co_spawn(this->Executor, this->connect(), asio::detached);
  }
  error_code Ignored;
  while (this->Connecting && steadyNow() < Deadline &&
         steadyNow() < this->Opened.expiry())
    co_await this->Opened.async_wait(resumeWith(Ignored));
  if (this->Connecting) {
    // Ends the connect, which has taken too long.
    error_code Failure;
    this->Socket.close(Failure);
  }
  co_return this->Open;
}

asio::awaitable<void> RelayLink::connect() {
  const std::shared_ptr<RelayLink> Keep = this->shared_from_this();
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
    setLivenessOptions(this->Socket, UnacknowledgedLimit);
    this->Open = true;
    ++this->Generation;
    this->HeardAt = steadyNow();
    this->HeardAtBoot = BootClock::now();
    this->Writing = false;
    asio::co_spawn(this->Executor, this->read(), asio::detached);
  }
  this->Opened.cancel();
}

asio::awaitable<void> RelayLink::read() {
  const std::shared_ptr<RelayLink> Keep = this->shared_from_this();
  const std::uint64_t ReadFrom = this->Generation;
  std::string Bytes;
  while (true) {
    const Result<void> Read = co_await readRelay(this->Socket, Bytes);
    if (this->Generation != ReadFrom)
      co_return;
    if (!Read && Read.error().Kind != ErrorKind::Unavailable)
      logWarn("event=relay_answer_unreadable host=" + toString(this->Where) +
              " error=\"" + Read.error().Detail + "\"");
    if (!Read)
      break;
    this->HeardAt = steadyNow();
    this->HeardAtBoot = BootClock::now();
    Result<RelayAnswer> Answer = decodeRelayAnswer(Bytes);
    if (!Answer) {
      logWarn("event=relay_answer_unreadable host=" + toString(this->Where) +
              " error=\"" + Answer.error().Detail + "\"");
      break;
    }
    const std::uint64_t Held = Answer.value().Held;
    const auto Found = this->Waiting.find(Answer.value().Id);
    if (Found == this->Waiting.end()) {
      // Nobody waits any more; a connection held for it is not needed.
      if (Held != 0) {
        RelayRequest Unneeded;
        Unneeded.Type = RelayRequest::Kind::Release;
        Unneeded.Held = Held;
        this->tell(Unneeded);
      }
      continue;
    }
    Found->second->Answer = std::move(Answer.value());
    Found->second->Done = true;
    Found->second->Signal.cancel();
  }
  this->close();
}

void RelayLink::queue(const std::string &Bytes) {
  this->Outgoing += Bytes;
  if (this->Writing)
    return;
  this->Writing = true;
  asio::co_spawn(this->Executor, this->write(), asio::detached);
}

asio::awaitable<void> RelayLink::write() {
  const std::shared_ptr<RelayLink> Keep = this->shared_from_this();
  const std::uint64_t WrittenTo = this->Generation;
  while (!this->Outgoing.empty()) {
    const std::string Bytes = std::exchange(this->Outgoing, {});
    error_code Failure;
    co_await asio::async_write(this->Socket, asio::buffer(Bytes),
                               resumeWith(Failure));
    if (this->Generation != WrittenTo)
      co_return;
    if (Failure) {
      this->close();
      break;
    }
  }
  this->Writing = false;
}

} // namespace lavenderdale
