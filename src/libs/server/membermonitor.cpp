#include "membermonitor.h"

#include "failover/failoverlimits.h"
#include "http/resumewith.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr std::size_t PollResultBytes = 4096;
// An unanswered poll times out after this time. Its connection is replaced,
// since it may be dead while new connections work.
constexpr std::chrono::milliseconds PollTimeout{200};
// A longer gap after a poll that timed out would count as a pause of this host
// and restart failure detection, so a primary that answers on none of its
// connections would never be suspected.
static_assert(PollTimeout + failoverlimits::PollInterval <=
              failoverlimits::MaxPollGap);
// Shortest interval between polls while a write waits for a replica.
constexpr std::chrono::milliseconds MinPollInterval{5};

} // namespace

ConnectOptions connectOptionsOf(const Group &Members, const Upstream &Target,
                                std::string ApplicationName) {
  return {Target.Address, Target.Port, Members.Database, Members.User,
          std::move(ApplicationName)};
}

MemberMonitor::MemberMonitor(asio::io_context &Worker, Group Members,
                             std::string Upstream, SentHandler OnSent,
                             ReportHandler OnReport)
    : Worker(Worker), Members(std::move(Members)),
      Upstream(std::move(Upstream)), OnSent(std::move(OnSent)),
      OnReport(std::move(OnReport)), Timer(Worker) {}

void MemberMonitor::start() {
  asio::co_spawn(
      this->Worker,
      [Self = this->shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->loop();
      },
      asio::detached);
}

void MemberMonitor::stop() {
  this->Stopped = true;
  this->Timer.cancel();
  if (this->Connection)
    this->Connection->close();
}

asio::awaitable<void> MemberMonitor::loop() {
  while (!this->Stopped) {
    const TimePoint SentAt = steadyNow();
    this->NextAt = SentAt + failoverlimits::PollInterval;
    this->OnSent(this->Upstream, SentAt);
    const PollReport Report =
        co_await this->pollOnce(SentAt, SentAt + PollTimeout);
    if (this->Stopped)
      co_return;
    this->OnReport(Report);
    co_await this->waitForNextPoll();
  }
}

asio::awaitable<void> MemberMonitor::waitForNextPoll() {
  while (!this->Stopped && steadyNow() < this->NextAt) {
    this->Timer.expires_at(this->NextAt);
    boost::system::error_code Ignored;
    co_await this->Timer.async_wait(resumeWith(Ignored));
  }
}

void MemberMonitor::pollSoon() {
  const TimePoint Soonest =
      this->NextAt - failoverlimits::PollInterval + MinPollInterval;
  this->NextAt = std::min(this->NextAt, Soonest);
  this->Timer.cancel();
}

asio::awaitable<PollReport> MemberMonitor::pollOnce(TimePoint SentAt,
                                                    TimePoint Deadline) {
  PollReport Report{this->Upstream, SentAt, PollOutcome::TimedOut,
                    std::nullopt};
  if (this->Connection && this->Connection->isBroken())
    this->Connection.reset();
  if (!this->Connection) {
    const auto *Target = this->Members.upstream(this->Upstream);
    Result<std::unique_ptr<PostgresConnection>> Opened =
        co_await PostgresConnection::open(
            connectOptionsOf(this->Members, *Target, "lavenderdale-monitor"),
            Deadline);
    if (!Opened) {
      if (Opened.error().Kind == ErrorKind::Unavailable)
        Report.Outcome = PollOutcome::Refused;
      if (Opened.error().Kind == ErrorKind::TooManyConnections)
        Report.Outcome = PollOutcome::ConnectionLimitReached;
      co_return Report;
    }
    this->Connection = std::move(Opened.value());
  }
  const auto PollConnection = this->Connection;
  this->PollInFlight = true;
  std::vector<std::vector<Statement>> Groups(1);
  Groups.front().push_back(pollStatement());
  const auto Results = co_await PollConnection->run(std::move(Groups), Deadline,
                                                    PollResultBytes);
  this->PollInFlight = false;
  if (!Results) {
    this->Connection.reset();
    co_return Report;
  }
  Report.Poll = readPoll(Results.value()[0][0], this->Members, this->Upstream,
                         SentAt, this->LastTimeline);
  if (Report.Poll) {
    Report.Outcome = PollOutcome::Answered;
    this->LastTimeline = std::max(this->LastTimeline, Report.Poll->Timeline);
  }
  co_return Report;
}

asio::awaitable<std::optional<ReplicaPoll>>
MemberMonitor::pollNow(TimePoint Deadline) {
  const auto Self = this->shared_from_this();
  constexpr std::chrono::milliseconds BusyPause{2};
  while (this->PollInFlight && steadyNow() < Deadline) {
    asio::steady_timer Pause(this->Worker);
    Pause.expires_after(BusyPause);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  if (this->PollInFlight)
    co_return std::nullopt;
  const PollReport Report = co_await this->pollOnce(steadyNow(), Deadline);
  co_return Report.Poll;
}

} // namespace lavenderdale
