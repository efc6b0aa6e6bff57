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
// Time-out of a call to a rate owner. The rate client ignores answers that
// arrive after its own, shorter time-out.
constexpr std::chrono::milliseconds OwnerCallTimeout{200};
// The loop that requests tokens of a rate ends after this time without demand.
constexpr std::chrono::milliseconds IdleLoopTimeout{2000};
constexpr std::chrono::milliseconds MinLoopInterval{2};
constexpr std::chrono::milliseconds MaxLoopInterval{20};

/// The answer of a host that may not grant tokens now.
template <typename Answer, typename Request>
Answer notReadyAnswer(const Request &Asked) {
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
               LoanAnswer Answer = notReadyAnswer<LoanAnswer>(Request);
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
  std::map<std::string, RateAndBurst> NewOwnedRates;
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
    const bool IsOwner = !Owners.empty() && Owners.front() == Self->Name;
    if (IsOwner) {
      const std::lock_guard Guard(this->OwnerLock);
      this->Owner.configure(
          Rate.Name, Rate.Limit,
          {1, static_cast<std::uint32_t>(View->domains().size())},
          View->epoch(), steadyNow());
      this->Owner.setLenders(Rate.Name, Lenders);
      NewOwnedRates[Rate.Name] = Rate.Limit;
    }
    Shard &Place = this->shardOf(Rate.Name);
    const std::lock_guard Guard(Place.Lock);
    auto [Found, Added] = Place.Entries.try_emplace(
        Rate.Name,
        RateClient(Rate.Name, this->Context.hostName(), this->Incarnation));
    Found->second.Client.setOwners(Owners, View->epoch());
  }
  const std::lock_guard Guard(this->OwnerLock);
  for (const auto &[Name, Limit] : this->OwnedRates)
    if (!NewOwnedRates.contains(Name))
      this->Owner.remove(Name);
  this->OwnedRates = std::move(NewOwnedRates);
}

void RateService::renewLease(TimePoint ValidUntil) {
  const std::lock_guard Guard(this->OwnerLock);
  this->Owner.renewLease(ValidUntil, steadyNow());
}

bool RateService::trySpend(Shard &Place, const std::string &Name,
                           std::uint64_t Ticket, TimePoint GiveUpAt,
                           SpendAttempt Attempt, SpendDecision &Decision,
                           std::optional<AddressedGrantRequest> &Next,
                           bool &StartLoop) {
  const std::lock_guard Guard(Place.Lock);
  const auto Found = Place.Entries.find(Name);
  if (Found == Place.Entries.end())
    return false;
  Entry &ThisRate = Found->second;
  const bool Waits = !ThisRate.WaitingTickets.empty() &&
                     ThisRate.WaitingTickets.front() != Ticket;
  // Waiting requests are served in order: a newer one must not take the token
  // of an older one.
  if (Waits && Attempt == SpendAttempt::Retry && steadyNow() < GiveUpAt) {
    Decision = {SpendKind::WaitUntil,
                steadyNow() + std::chrono::milliseconds(1)};
  } else {
    Decision = ThisRate.Client.trySpend(steadyNow(), GiveUpAt, Attempt);
  }
  const auto OwnPosition = std::find(ThisRate.WaitingTickets.begin(),
                                     ThisRate.WaitingTickets.end(), Ticket);
  if (Decision.Kind == SpendKind::WaitUntil &&
      OwnPosition == ThisRate.WaitingTickets.end())
    ThisRate.WaitingTickets.push_back(Ticket);
  if (Decision.Kind != SpendKind::WaitUntil &&
      OwnPosition != ThisRate.WaitingTickets.end())
    ThisRate.WaitingTickets.erase(OwnPosition);
  Next = ThisRate.Client.poll(steadyNow());
  StartLoop = !ThisRate.LoopRunning;
  ThisRate.LoopRunning = true;
  return true;
}

asio::awaitable<Result<void>> RateService::spendToken(std::string Name,
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
    std::optional<AddressedGrantRequest> Next;
    bool StartLoop = false;
    if (!this->trySpend(Place, Name, Ticket, GiveUpAt, Attempt, Decision, Next,
                        StartLoop))
      co_return failure(ErrorKind::RateLimited,
                        "no rate limit is configured for " + Name);
    this->startDraw(Name, std::move(Next));
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
    Attempt = SpendAttempt::Retry;
    // Answers of rate owners arrive within milliseconds, mostly before RetryAt.
    co_await sleepUntil(
        std::min(Decision.RetryAt, steadyNow() + std::chrono::milliseconds(2)));
  }
}

// spendToken() sends the first grant request itself. The loop sends the
// messages that become due later: usage reports and repeated grant requests.
asio::awaitable<void> RateService::drawLoop(std::string Name) {
  Shard &Place = this->shardOf(Name);
  TimePoint LastDue = steadyNow();
  while (true) {
    std::optional<AddressedGrantRequest> Next;
    TimePoint Again;
    {
      const std::lock_guard Guard(Place.Lock);
      Entry &ThisRate = Place.Entries.at(Name);
      Next = ThisRate.Client.poll(steadyNow());
      Again = ThisRate.Client.nextPoll(steadyNow());
      if (Next || Again != TimePoint::max())
        LastDue = steadyNow();
      if (steadyNow() > LastDue + IdleLoopTimeout) {
        ThisRate.LoopRunning = false;
        co_return;
      }
    }
    this->startDraw(Name, std::move(Next));
    co_await sleepUntil(std::clamp(Again, steadyNow() + MinLoopInterval,
                                   steadyNow() + MaxLoopInterval));
  }
}

GrantAnswer RateService::grantLocally(const GrantRequest &Request) {
  GrantAnswer Answer = notReadyAnswer<GrantAnswer>(Request);
  if (this->MayGrant(Request.Workspace)) {
    const std::lock_guard Guard(this->OwnerLock);
    Answer = this->Owner.grant(Request, steadyNow());
  }
  this->startLoans(Request.Workspace);
  return Answer;
}

asio::awaitable<void> RateService::draw(std::string Name,
                                        AddressedGrantRequest Request) {
  std::optional<GrantAnswer> Answer;
  const FleetPointer View = this->Fleet();
  if (Request.Owner == this->Context.hostName()) {
    Answer = this->grantLocally(Request.Request);
  } else if (const FleetView::Member *Peer = View->find(Request.Owner)) {
    const auto Reply = co_await this->Context.Rpc.call(
        Peer->Peer, "rate.draw", toJson(Request.Request),
        steadyNow() + OwnerCallTimeout);
    if (Reply)
      if (const auto Read = grantAnswerFromJson(Reply.value()))
        Answer = Read.value();
  }
  if (!Answer)
    co_return;
  std::optional<AddressedGrantRequest> Next;
  {
    Shard &Place = this->shardOf(Name);
    const std::lock_guard Guard(Place.Lock);
    RateClient &Client = Place.Entries.at(Name).Client;
    Client.receive(Request.Owner, *Answer, steadyNow());
    Next = Client.poll(steadyNow());
  }
  this->startDraw(Name, std::move(Next));
}

void RateService::startDraw(const std::string &Name,
                            std::optional<AddressedGrantRequest> Request) {
  if (!Request)
    return;
  asio::co_spawn(
      this->Context.Workers.next(),
      [Self = this->shared_from_this(), Name, Request = std::move(*Request)]()
          -> asio::awaitable<void> { co_await Self->draw(Name, Request); },
      asio::detached);
}

void RateService::startLoans(const std::string &Name) {
  std::vector<AddressedLoanRequest> Loans;
  {
    const std::lock_guard Guard(this->OwnerLock);
    Loans = this->Owner.pollLoans(Name, steadyNow());
  }
  for (AddressedLoanRequest &Loan : Loans)
    asio::co_spawn(
        this->Context.Workers.next(),
        [Self = this->shared_from_this(), Name, Loan = std::move(Loan)]()
            -> asio::awaitable<void> { co_await Self->borrow(Name, Loan); },
        asio::detached);
}

asio::awaitable<void> RateService::borrow(std::string Name,
                                          AddressedLoanRequest Loan) {
  const FleetPointer View = this->Fleet();
  const FleetView::Member *Peer = View->find(Loan.Lender);
  if (!Peer)
    co_return;
  const Endpoint Where = Peer->Peer;
  const auto Reply = co_await this->Context.Rpc.call(
      Where, "rate.borrow", toJson(Loan.Request),
      steadyNow() + OwnerCallTimeout);
  if (!Reply)
    co_return;
  const auto Answer = loanAnswerFromJson(Reply.value());
  if (!Answer)
    co_return;
  {
    const std::lock_guard Guard(this->OwnerLock);
    this->Owner.receiveLoan(Loan.Lender, Answer.value(), steadyNow());
  }
  this->startLoans(Name);
}

} // namespace lavenderdale
