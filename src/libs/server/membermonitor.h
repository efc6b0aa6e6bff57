#pragma once

#include "groupqueries.h"
#include "postgres/postgresconnection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lavenderdale {

/// The outcome of one poll of a member.
enum class PollOutcome {
  Answered,
  /// The database answered that its connection limit is reached.
  ConnectionLimitReached,
  Refused,
  TimedOut,
};

/// One finished poll of a member.
struct PollReport {
  std::string Upstream;
  TimePoint SentAt;
  PollOutcome Outcome = PollOutcome::TimedOut;
  std::optional<ReplicaPoll> Poll; ///< Set if Answered.
};

/// Polls one member of a group over a dedicated connection. Runs on the group's
/// worker.
class MemberMonitor : public std::enable_shared_from_this<MemberMonitor> {
public:
  /// Called with the upstream and the time when a regular poll is sent.
  using SentHandler = std::function<void(const std::string &, TimePoint)>;
  /// Called when a regular poll has ended.
  using ReportHandler = std::function<void(const PollReport &)>;

  MemberMonitor(boost::asio::io_context &Worker, Group Members,
                std::string Upstream, SentHandler OnSent,
                ReportHandler OnReport);

  /// Starts the regular polls.
  void start();

  /// Ends the regular polls and closes the connection.
  void stop();

  /// Moves the next poll forward, because a write waits for a replica's
  /// position.
  void pollSoon();

  /// Polls once outside the regular schedule, over the same connection.
  /// \returns nothing if there was no answer until \p Deadline.
  boost::asio::awaitable<std::optional<ReplicaPoll>>
  pollNow(TimePoint Deadline);

private:
  boost::asio::awaitable<void> loop();
  boost::asio::awaitable<void> waitForNextPoll();
  boost::asio::awaitable<PollReport> pollOnce(TimePoint SentAt,
                                              TimePoint Deadline);

  boost::asio::io_context &Worker;
  Group Members;
  std::string Upstream;
  SentHandler OnSent;
  ReportHandler OnReport;
  boost::asio::steady_timer Timer;
  std::shared_ptr<PostgresConnection> Connection;
  Term LastTimeline;
  TimePoint NextAt;          ///< When the next regular poll is due.
  bool PollInFlight = false; ///< The connection is in use by a poll.
  bool Stopped = false;
};

/// \returns the options of a connection to \p Target.
/// \param ApplicationName the name that the database shows for the session.
ConnectOptions connectOptionsOf(const Group &Members, const Upstream &Target,
                                std::string ApplicationName);

} // namespace lavenderdale
