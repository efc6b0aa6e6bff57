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

/// Carries out the actions of a Promotion and reports their answers to it.
/// Runs on the group's worker.
class PromotionDriver : public std::enable_shared_from_this<PromotionDriver> {
public:
  /// Asks a member's monitor for a poll.
  using PollFunction =
      std::function<boost::asio::awaitable<std::optional<ReplicaPoll>>(
          std::string, TimePoint)>;

  /// \param OnStatus called when a newer status is known.
  PromotionDriver(boost::asio::io_context &Home, std::string Host,
                  const Group &Members, GroupStatusStore &Store,
                  PollFunction Poll,
                  std::function<void(const TermStatus &)> OnStatus);

  /// Passes an event to the promotion.
  void handle(const PromotionEvent &Event);

  void setMembers(const Group &Members);
  void stop() { this->Stopped = true; }
  bool isPromoting() const { return this->Machine.isPromoting(); }

private:
  using Sessions = std::map<CallId, std::shared_ptr<PostgresConnection>>;

  struct Performer;
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
  runAll(std::shared_ptr<PostgresConnection> Session,
         std::vector<Statement> Statements, TimePoint Deadline);

  boost::asio::io_context &Home;
  std::string Host;
  Group Members;
  GroupStatusStore &Store;
  PollFunction Poll;
  std::function<void(const TermStatus &)> OnStatus;
  Promotion Machine;
  Sessions Open;
  std::uint64_t ReportedVersion = 0;
  bool Stopped = false;
};

} // namespace lavenderdale
