#include "loadrunner.h"

#include "directsender.h"
#include "httpsender.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

// Time in which all connections are opened before the first statement is due.
constexpr std::chrono::milliseconds OpeningTime{300};

// Idle connections are opened one after another. Thousands at once overflow
// the listener's backlog, and a repeated SYN takes longer than the limit of
// connecting.
constexpr std::chrono::microseconds HoldSpacing{200};

asio::awaitable<void> waitUntil(asio::io_context &Context, TimePoint When) {
  asio::steady_timer Timer(Context, When);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace

LoadRunner::LoadRunner(LoadOptions Options)
    : Load(std::move(Options)), Random(Load.Seed),
      Start(steadyNow() + OpeningTime), End(Start + Load.Time), NextDue(Start),
      Recorder(Start) {}

std::unique_ptr<StatementSender> LoadRunner::makeSender(std::size_t Index) {
  if (this->Load.Mode == LoadMode::Direct)
    return std::make_unique<DirectSender>(
        this->Load.Targets[Index % this->Load.Targets.size()]);
  return std::make_unique<HttpSender>(this->Context.get_executor(), this->Load,
                                      Index);
}

TimePoint LoadRunner::takeDueTime() {
  if (this->Load.Rate <= 0)
    return steadyNow();
  std::exponential_distribution<double> Gap(this->Load.Rate);
  this->NextDue += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Gap(this->Random)));
  return this->NextDue;
}

LoadStatement LoadRunner::takeStatement() {
  constexpr std::string_view Placeholder = "{n}";
  LoadStatement Next;
  std::uniform_real_distribution<double> Share(0, 1);
  Next.ReadOnly = Share(this->Random) < this->Load.ReadShare;
  Next.Sql = Next.ReadOnly ? this->Load.ReadSql : this->Load.WriteSql;
  // Seeds keep the numbers of runs against one database apart.
  constexpr std::uint64_t NumbersPerSeed = 1000000;
  const std::string Unique =
      std::to_string(this->Load.Seed * NumbersPerSeed + this->Number++);
  const std::size_t Found = Next.Sql.find(Placeholder);
  if (Found != std::string::npos)
    Next.Sql.replace(Found, Placeholder.size(), Unique);
  return Next;
}

asio::awaitable<void> LoadRunner::work(std::size_t Index) {
  const std::unique_ptr<StatementSender> Sender = this->makeSender(Index);
  co_await Sender->open(steadyNow() + this->Load.Timeout);
  co_await waitUntil(this->Context, this->Start);
  while (true) {
    const TimePoint Due = this->takeDueTime();
    if (Due >= this->End)
      co_return;
    if (Due > steadyNow())
      co_await waitUntil(this->Context, Due);
    const LoadStatement Next = this->takeStatement();
    const LoadAnswer Answer =
        co_await Sender->send(Next, steadyNow() + this->Load.Timeout);
    this->Recorder.record(Answer, Next.ReadOnly, Due, steadyNow());
  }
}

asio::awaitable<void> LoadRunner::hold(std::size_t Index) {
  const std::unique_ptr<StatementSender> Sender = this->makeSender(Index);
  co_await waitUntil(this->Context, this->Start + HoldSpacing * Index);
  const bool Open = co_await Sender->open(steadyNow() + this->Load.Timeout);
  ++(Open ? this->Held : this->Failed);
  co_await waitUntil(this->Context, this->End);
}

Json::Value LoadRunner::run() {
  const bool Idle = this->Load.Mode == LoadMode::Idle;
  for (std::size_t Index = 0; Index < this->Load.Connections; ++Index)
    asio::co_spawn(this->Context, Idle ? this->hold(Index) : this->work(Index),
                   asio::detached);
  this->Context.run();
  Json::Value Summary;
  if (!Idle) {
    Summary = this->Recorder.summary(this->End);
    if (this->Load.Arrivals)
      Summary["arrivalsMs"] = this->Recorder.arrivals();
    return Summary;
  }
  Summary["held"] = Json::UInt64(this->Held);
  Summary["failed"] = Json::UInt64(this->Failed);
  return Summary;
}

} // namespace lavenderdale
