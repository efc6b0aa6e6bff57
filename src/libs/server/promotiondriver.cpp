#include "promotiondriver.h"

#include "failover/failoverlimits.h"
#include "telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>
#include <variant>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr std::size_t CommandResultBytes = 65536;

TimePoint callDeadline() { return steadyNow() + failoverlimits::CallTimeout; }

} // namespace

/// Starts the coroutine that executes an action.
struct PromotionDriver::ActionVisitor {
  PromotionDriver &Driver;

  void operator()(const ReadStatus &Action) {
    Driver.spawn(Driver.readStatus(Action.Call));
  }
  void operator()(const ClaimStatus &Action) {
    logInfo("group " + Driver.Members.Name + ": claiming the promotion");
    Driver.spawn(Driver.update(Action.Call, Action.Status));
  }
  void operator()(const ReleaseClaim &Action) {
    Driver.spawn(Driver.update(Action.Call, Action.Status));
  }
  void operator()(const ChangeTerm &Action) {
    Driver.spawn(Driver.update(Action.Call, Action.Status));
  }
  void operator()(const CompleteTerm &Action) {
    Driver.spawn(Driver.update(Action.Call, Action.Status));
  }
  void operator()(const EndControlSessions &Action) {
    Driver.spawn(Driver.endSessions(Action.Call, Action.Member));
  }
  void operator()(const FenceMember &Action) {
    Driver.spawn(Driver.fence(Action.Call, Action.Member));
  }
  void operator()(const PollMember &Action) {
    Driver.spawn(Driver.poll(Action.Call, Action.Member));
  }
  void operator()(const OpenControlSession &Action) {
    Driver.spawn(Driver.openSession(Action.Call, Action.Member));
  }
  void operator()(const PromoteMember &Action) {
    Driver.spawn(
        Driver.command(Action.Call, Action.Session, {promoteStatement()}));
  }
  void operator()(const RepointMember &Action) {
    const Upstream *Primary = Driver.Members.upstream(Action.Primary);
    if (!Primary)
      return;
    Driver.spawn(
        Driver.command(Action.Call, Action.Session,
                       {conninfoStatement(conninfoOf(*Primary, Driver.Members)),
                        reloadStatement()}));
  }
  void operator()(const CatchUpMember &Action) {
    const Upstream *Primary = Driver.Members.upstream(Action.Primary);
    if (!Primary)
      return;
    Driver.spawn(Driver.command(
        Action.Call, Action.Session,
        {conninfoStatement(catchUpConninfoOf(*Primary, Driver.Members)),
         reloadStatement()}));
  }
  void operator()(const CloseControlSession &Action) {
    Driver.OpenSessions.erase(Action.Session);
  }
  void operator()(const Finished &Action) {
    logInfo("group " + Driver.Members.Name + ": promotion finished: primary " +
            Action.Primary + ", term " + std::to_string(Action.NewTerm.Value));
  }
  void operator()(const GiveUp &Action) {
    logWarn("group " + Driver.Members.Name + ": promotion " + Action.AttemptId +
            " ended without a new primary: " +
            std::string(toString(Action.Reason)));
  }
};

PromotionDriver::PromotionDriver(
    asio::io_context &Worker, std::string Host, const Group &Members,
    GroupStatusStore &Store, PollFunction Poll,
    std::function<void(const TermStatus &)> OnStatus)
    : Worker(Worker), Host(Host), Members(Members), Store(Store),
      Poll(std::move(Poll)), OnStatus(std::move(OnStatus)),
      StateMachine(std::move(Host), std::to_string(std::random_device{}())) {
  this->StateMachine.setMembers(memberNames(Members), steadyNow(),
                                leavingNames(Members));
}

void PromotionDriver::setMembers(const Group &NewMembers) {
  this->Members = NewMembers;
  this->perform(this->StateMachine.setMembers(
      memberNames(NewMembers), steadyNow(), leavingNames(NewMembers)));
}

void PromotionDriver::handle(const PromotionEvent &Event) {
  if (this->Stopped)
    return;
  this->perform(this->StateMachine.handle(Event, steadyNow()));
  const auto &Known = this->StateMachine.status();
  if (!Known || Known->Version <= this->ReportedVersion)
    return;
  this->ReportedVersion = Known->Version;
  this->OnStatus(*Known);
}

void PromotionDriver::perform(const std::vector<PromotionAction> &Actions) {
  for (const PromotionAction &Action : Actions)
    std::visit(ActionVisitor{*this}, Action);
}

void PromotionDriver::spawn(asio::awaitable<void> Work) {
  asio::co_spawn(
      this->Worker,
      [](std::shared_ptr<PromotionDriver>,
         asio::awaitable<void> Inner) -> asio::awaitable<void> {
        co_await std::move(Inner);
      }(this->shared_from_this(), std::move(Work)),
      asio::detached);
}

asio::awaitable<void> PromotionDriver::readStatus(CallId Call) {
  std::optional<TermStatus> Status =
      co_await this->Store.read(this->Members.Name, callDeadline());
  this->handle(StatusRead{Call, std::move(Status)});
}

asio::awaitable<void> PromotionDriver::update(CallId Call, TermStatus Status) {
  const GroupStatusStore::Update Answer = co_await this->Store.replaceIf(
      this->Members.Name, std::move(Status), callDeadline());
  this->handle(UpdateAnswered{Call, Answer.Outcome, Answer.NewVersion});
}

asio::awaitable<std::shared_ptr<PostgresConnection>>
PromotionDriver::connect(std::string Member, TimePoint Deadline) {
  const Upstream *Target = this->Members.upstream(Member);
  if (!Target)
    co_return nullptr;
  Result<std::unique_ptr<PostgresConnection>> Opened =
      co_await PostgresConnection::open(
          connectOptionsOf(this->Members, *Target, ControlName), Deadline);
  if (!Opened)
    co_return nullptr;
  co_return std::shared_ptr<PostgresConnection>(std::move(Opened.value()));
}

asio::awaitable<bool>
PromotionDriver::runStatements(std::shared_ptr<PostgresConnection> Session,
                               std::vector<Statement> Statements,
                               TimePoint Deadline) {
  if (!Session)
    co_return false;
  // ALTER SYSTEM cannot run inside a transaction, so each statement is sent as
  // a group of its own.
  std::vector<std::vector<Statement>> Groups;
  Groups.reserve(Statements.size());
  for (Statement &Each : Statements)
    Groups.push_back({std::move(Each)});
  const auto Results =
      co_await Session->run(std::move(Groups), Deadline, CommandResultBytes);
  if (!Results)
    co_return false;
  for (const auto &Group : Results.value())
    if (Group[0].Failure)
      co_return false;
  co_return true;
}

// PostgreSQL terminates sessions asynchronously, so the remaining ones are
// counted until there are none.
asio::awaitable<void> PromotionDriver::endSessions(CallId Call,
                                                   std::string Member) {
  const TimePoint Deadline = callDeadline();
  const auto Session = co_await this->connect(Member, Deadline);
  bool AllEnded = false;
  std::vector<Statement> End(1, endSessionsStatement());
  bool Reachable =
      co_await this->runStatements(Session, std::move(End), Deadline);
  while (Reachable && !AllEnded && steadyNow() < Deadline) {
    std::vector<std::vector<Statement>> Groups(1);
    Groups.front().push_back(countSessionsStatement());
    const auto Counted =
        co_await Session->run(std::move(Groups), Deadline, CommandResultBytes);
    Reachable = Counted.has_value() && !Counted.value()[0][0].Failure &&
                Counted.value()[0][0].Rows.size() == 1;
    AllEnded = Reachable && Counted.value()[0][0].Rows[0][0] == "0";
  }
  this->handle(MemberAnswered{Call, AllEnded});
}

asio::awaitable<void> PromotionDriver::fence(CallId Call, std::string Member) {
  const TimePoint Deadline = callDeadline();
  const auto Session = co_await this->connect(Member, Deadline);
  std::vector<Statement> Fence(1, conninfoStatement(""));
  Fence.push_back(reloadStatement());
  const bool Done =
      co_await this->runStatements(Session, std::move(Fence), Deadline);
  this->handle(MemberAnswered{Call, Done});
}

asio::awaitable<void> PromotionDriver::poll(CallId Call, std::string Member) {
  const std::optional<ReplicaPoll> Answer =
      co_await this->Poll(Member, callDeadline());
  if (Answer)
    this->handle(MemberPolled{Call, *Answer});
  else
    this->handle(MemberAnswered{Call, false});
}

asio::awaitable<void> PromotionDriver::openSession(CallId Call,
                                                   std::string Member) {
  const auto Session = co_await this->connect(Member, callDeadline());
  if (Session)
    this->OpenSessions[Call] = Session;
  this->handle(MemberAnswered{Call, Session != nullptr});
}

asio::awaitable<void>
PromotionDriver::command(CallId Call, CallId Session,
                         std::vector<Statement> Statements) {
  const auto Found = this->OpenSessions.find(Session);
  std::shared_ptr<PostgresConnection> Connection;
  if (Found != this->OpenSessions.end()) {
    Connection = Found->second;
    this->OpenSessions.erase(Found);
  }
  const bool Done = co_await this->runStatements(
      Connection, std::move(Statements), callDeadline());
  this->handle(MemberAnswered{Call, Done});
}

} // namespace lavenderdale
