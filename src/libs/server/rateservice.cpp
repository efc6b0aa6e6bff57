#include "rateservice.h"

#include "http/runon.h"
#include "http/sleepuntil.h"
#include "ratecodec.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <random>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
// Within this time a call to a rate owner is given up. The drawer ignores
// answers that come after its own, shorter limit.
constexpr std::chrono::milliseconds CallLimit{200};
// A drawer without demand for this long needs no loop.
constexpr std::chrono::milliseconds IdleLoopLimit{2000};
constexpr std::chrono::milliseconds LoopShortest{2};
constexpr std::chrono::milliseconds LoopLongest{20};

/// The answer of a host that may not use its share now.
template <typename Answer, typename Request>
Answer refusalOf(const Request &Asked) {
  Answer Refusal;
  Refusal.Workspace = Asked.Workspace;
  Refusal.Incarnation = Asked.Incarnation;
  Refusal.Sequence = Asked.Sequence;
  Refusal.Status = GrantStatus::NotReady;
  return Refusal;
}

} // namespace

RateService::RateService(const DaemonContext &Context, FleetSource Fleet,
                         OwnerCheck MayGrant)
    : Context(Context), Fleet(std::move(Fleet)), MayGrant(std::move(MayGrant)),
      Incarnation(std::random_device{}()),
      Owner(Context.hostName(), this->Incarnation) {}

void RateService::addMethods(RpcServer &Server) {
  Server.add("rate.draw",
             [this](const Json::Value &Params) -> Result<Json::Value> {
               BOOST_OUTCOME_TRY(const GrantRequest Request,
                                 grantRequestFromJson(Params));
               return toJson(this->grantLocally(Request));
             });
  Server.add("rate.borrow",
             [this](const Json::Value &Params) -> Result<Json::Value> {
               BOOST_OUTCOME_TRY(const LoanRequest Request,
                                 loanRequestFromJson(Params));
               LoanAnswer Answer = refusalOf<LoanAnswer>(Request);
               if (this->MayGrant(Request.Workspace)) {
                 const std::lock_guard Guard(this->OwnerLock);
                 Answer = this->Owner.lend(Request, steadyNow());
               }
               return toJson(Answer);
             });
}

RateService::Shard &RateService::shardOf(const std::string &Name) {
  return this->Shards[std::hash<std::string>()(Name) % this->Shards.size()];
}

void RateService::configure(const std::vector<CountedRate> &Rates) {
  const FleetPointer View = this->Fleet();
  const FleetView::Member *Self = View->find(this->Context.hostName());
  if (!Self)
    return;
  std::map<std::string, RateAndBurst> NowOwned;
  for (const CountedRate &Rate : Rates) {
    std::vector<std::string> Owners;
    std::vector<std::string> Lenders;
    for (const std::string &Domain : View->domains()) {
      const auto Name = rateOwnerOf(Rate.Name, Domain, View->hosts());
      if (!Name)
        continue;
      if (Domain == Self->FailureDomain)
        Owners.insert(Owners.begin(), *Name);
      else
        Owners.push_back(*Name);
      if (*Name != Self->Name)
        Lenders.push_back(*Name);
    }
    const bool Owns = !Owners.empty() && Owners.front() == Self->Name;
    if (Owns) {
      const std::lock_guard Guard(this->OwnerLock);
      this->Owner.configure(
          Rate.Name, Rate.Limit,
          {1, static_cast<std::uint32_t>(View->domains().size())},
          View->epoch(), steadyNow());
      this->Owner.setLenders(Rate.Name, Lenders);
      NowOwned[Rate.Name] = Rate.Limit;
    }
    Shard &Place = this->shardOf(Rate.Name);
    const std::lock_guard Guard(Place.Lock);
    auto [Found, Added] = Place.Entries.try_emplace(
        Rate.Name,
        RateDrawer(Rate.Name, this->Context.hostName(), this->Incarnation));
    Found->second.Drawer.setOwners(Owners, View->epoch());
  }
  const std::lock_guard Guard(this->OwnerLock);
  for (const auto &[Name, Limit] : this->Owned)
    if (!NowOwned.contains(Name))
      this->Owner.remove(Name);
  this->Owned = std::move(NowOwned);
}

void RateService::renewLease(TimePoint ValidUntil) {
  const std::lock_guard Guard(this->OwnerLock);
  this->Owner.renewLease(ValidUntil, steadyNow());
}

bool RateService::trySpend(Shard &Place, const std::string &Name,
                           std::uint64_t Ticket, TimePoint GiveUpAt,
                           SpendAttempt Attempt, SpendDecision &Decision,
                           std::optional<DrawRequest> &Next, bool &StartLoop) {
  const std::lock_guard Guard(Place.Lock);
  const auto Found = Place.Entries.find(Name);
  if (Found == Place.Entries.end())
    return false;
  Entry &Each = Found->second;
  const bool Waits = !Each.Waiting.empty() && Each.Waiting.front() != Ticket;
  // Waiting requests keep their order: a newer one must not take their token.
  if (Waits && Attempt == SpendAttempt::Again && steadyNow() < GiveUpAt) {
    Decision = {SpendKind::WaitUntil,
                steadyNow() + std::chrono::milliseconds(1)};
  } else {
    Decision = Each.Drawer.trySpend(steadyNow(), GiveUpAt, Attempt);
  }
  const auto Mine = std::find(Each.Waiting.begin(), Each.Waiting.end(), Ticket);
  if (Decision.Kind == SpendKind::WaitUntil && Mine == Each.Waiting.end())
    Each.Waiting.push_back(Ticket);
  if (Decision.Kind != SpendKind::WaitUntil && Mine != Each.Waiting.end())
    Each.Waiting.erase(Mine);
  Next = Each.Drawer.poll(steadyNow());
  StartLoop = !Each.Drawing;
  Each.Drawing = true;
  return true;
}

asio::awaitable<Result<void>> RateService::spend(std::string Name,
                                                 TimePoint Deadline) {
  Shard &Place = this->shardOf(Name);
  std::uint64_t Ticket = 0;
  {
    const std::lock_guard Guard(Place.Lock);
    Ticket = ++Place.LastTicket;
  }
  const TimePoint GiveUpAt = std::min(steadyNow() + MaxRateWait, Deadline);
  SpendAttempt Attempt = SpendAttempt::First;
  while (true) {
    SpendDecision Decision;
    std::optional<DrawRequest> Next;
    bool StartLoop = false;
    if (!this->trySpend(Place, Name, Ticket, GiveUpAt, Attempt, Decision, Next,
                        StartLoop))
      co_return failure(ErrorKind::RateLimited, "no rate for " + Name);
    this->startDrawing(Name, std::move(Next));
    if (StartLoop)
      asio::co_spawn(
          this->Context.Workers.next(),
          [Self = this->shared_from_this(), Name]() -> asio::awaitable<void> {
            co_await Self->drawLoop(Name);
          },
          asio::detached);
    if (Decision.Kind == SpendKind::Spent)
      co_return success();
    if (Decision.Kind == SpendKind::Refused)
      co_return failure(ErrorKind::RateLimited, Name);
    Attempt = SpendAttempt::Again;
    // Answers arrive within milliseconds, before RetryAt in most cases.
    co_await sleepUntil(
        std::min(Decision.RetryAt, steadyNow() + std::chrono::milliseconds(2)));
  }
}

// Requests are drawn for where they are spent; the loop sends what is due
// later, reports and repeated requests.
asio::awaitable<void> RateService::drawLoop(std::string Name) {
  Shard &Place = this->shardOf(Name);
  TimePoint LastDue = steadyNow();
  while (true) {
    std::optional<DrawRequest> Next;
    TimePoint Again;
    {
      const std::lock_guard Guard(Place.Lock);
      Entry &Each = Place.Entries.at(Name);
      Next = Each.Drawer.poll(steadyNow());
      Again = Each.Drawer.nextPoll(steadyNow());
      if (Next || Again != TimePoint::max())
        LastDue = steadyNow();
      if (steadyNow() > LastDue + IdleLoopLimit) {
        Each.Drawing = false;
        co_return;
      }
    }
    this->startDrawing(Name, std::move(Next));
    co_await sleepUntil(std::clamp(Again, steadyNow() + LoopShortest,
                                   steadyNow() + LoopLongest));
  }
}

GrantAnswer RateService::grantLocally(const GrantRequest &Request) {
  GrantAnswer Answer = refusalOf<GrantAnswer>(Request);
  if (this->MayGrant(Request.Workspace)) {
    const std::lock_guard Guard(this->OwnerLock);
    Answer = this->Owner.grant(Request, steadyNow());
  }
  this->startBorrowing(Request.Workspace);
  return Answer;
}

asio::awaitable<void> RateService::draw(std::string Name, DrawRequest Request) {
  std::optional<GrantAnswer> Answer;
  const FleetPointer View = this->Fleet();
  if (Request.Owner == this->Context.hostName()) {
    Answer = this->grantLocally(Request.Request);
  } else if (const FleetView::Member *Peer = View->find(Request.Owner)) {
    const auto Reply = co_await this->Context.Rpc.call(Peer->Peer, "rate.draw",
                                                       toJson(Request.Request),
                                                       steadyNow() + CallLimit);
    if (Reply)
      if (const auto Read = grantAnswerFromJson(Reply.value()))
        Answer = Read.value();
  }
  if (!Answer)
    co_return;
  std::optional<DrawRequest> Next;
  {
    Shard &Place = this->shardOf(Name);
    const std::lock_guard Guard(Place.Lock);
    RateDrawer &Drawer = Place.Entries.at(Name).Drawer;
    Drawer.receive(Request.Owner, *Answer, steadyNow());
    Next = Drawer.poll(steadyNow());
  }
  this->startDrawing(Name, std::move(Next));
}

void RateService::startDrawing(const std::string &Name,
                               std::optional<DrawRequest> Request) {
  if (!Request)
    return;
  asio::co_spawn(
      this->Context.Workers.next(),
      [Self = this->shared_from_this(), Name, Request = std::move(*Request)]()
          -> asio::awaitable<void> { co_await Self->draw(Name, Request); },
      asio::detached);
}

void RateService::startBorrowing(const std::string &Name) {
  std::vector<LoanDraw> Draws;
  {
    const std::lock_guard Guard(this->OwnerLock);
    Draws = this->Owner.loansWanted(Name, steadyNow());
  }
  for (LoanDraw &Draw : Draws)
    asio::co_spawn(
        this->Context.Workers.next(),
        [Self = this->shared_from_this(), Name, Draw = std::move(Draw)]()
            -> asio::awaitable<void> { co_await Self->borrow(Name, Draw); },
        asio::detached);
}

asio::awaitable<void> RateService::borrow(std::string Name, LoanDraw Draw) {
  const FleetPointer View = this->Fleet();
  const FleetView::Member *Peer = View->find(Draw.Lender);
  if (!Peer)
    co_return;
  const Endpoint Where = Peer->Peer;
  const auto Reply = co_await this->Context.Rpc.call(
      Where, "rate.borrow", toJson(Draw.Request), steadyNow() + CallLimit);
  if (!Reply)
    co_return;
  const auto Answer = loanAnswerFromJson(Reply.value());
  if (!Answer)
    co_return;
  {
    const std::lock_guard Guard(this->OwnerLock);
    this->Owner.receiveLoan(Draw.Lender, Answer.value(), steadyNow());
  }
  this->startBorrowing(Name);
}

} // namespace lavenderdale
