#pragma once

#include "failover/promotion.h"
#include "groupstatusstore.h"
#include "membermonitor.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lavenderdale {

/// Executes the actions of a Promotion and passes the results back to it as
/// events. Runs on the group's worker.
class PromotionDriver : public std::enable_shared_from_this<PromotionDriver> {
public:
  /// Polls a member through its monitor, until a deadline.
  using PollFunction =
      std::function<boost::asio::awaitable<std::optional<ReplicaPoll>>(
          std::string, TimePoint)>;

  /// \param Host the name of this host, which owns the promotions it claims.
  /// \param OnStatus called when a newer status of the group becomes known.
  PromotionDriver(boost::asio::io_context &Worker, std::string Host,
                  const Group &Members, GroupStatusStore &Store,
                  PollFunction Poll,
                  std::function<void(const TermStatus &)> OnStatus);

  /// Passes \p Event to the promotion and executes the resulting actions.
  void handle(const PromotionEvent &Event);

  /// Applies a change of the group's members.
  void setMembers(const Group &Members);

  /// Ignores all later events.
  void stop() { this->Stopped = true; }
  bool isPromoting() const { return this->StateMachine.isPromoting(); }

private:
  using SessionMap = std::map<CallId, std::shared_ptr<PostgresConnection>>;

  struct ActionVisitor;
  void perform(const std::vector<PromotionAction> &Actions);
  void spawn(boost::asio::awaitable<void> Work);

  boost::asio::awaitable<void> readStatus(CallId Call);
  boost::asio::awaitable<void> update(CallId Call, TermStatus Status);
  boost::asio::awaitable<void> endSessions(CallId Call, std::string Member);
  boost::asio::awaitable<void> fence(CallId Call, std::string Member);
  boost::asio::awaitable<void> poll(CallId Call, std::string Member);
  boost::asio::awaitable<void> openSession(CallId Call, std::string Member);
  boost::asio::awaitable<void> command(CallId Call, CallId Session,
                                       std::vector<Statement> Statements);
  boost::asio::awaitable<std::shared_ptr<PostgresConnection>>
  connect(std::string Member, TimePoint Deadline);
  boost::asio::awaitable<bool>
  runStatements(std::shared_ptr<PostgresConnection> Session,
                std::vector<Statement> Statements, TimePoint Deadline);

  boost::asio::io_context &Worker;
  std::string Host;
  Group Members;
  GroupStatusStore &Store;
  PollFunction Poll;
  std::function<void(const TermStatus &)> OnStatus;
  Promotion StateMachine;
  SessionMap OpenSessions;
  std::uint64_t ReportedVersion = 0;
  bool Stopped = false;
};

} // namespace lavenderdale
