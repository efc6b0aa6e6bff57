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

/// How one poll of a member ended.
enum class PollEnd {
  Answered,
  Full, ///< The database answered that its connection limit is reached.
  Refused,
  TimedOut,
};

struct PollReport {
  std::string Upstream;
  TimePoint SentAt;
  PollEnd End = PollEnd::TimedOut;
  std::optional<ReplicaPoll> Poll; ///< Set if Answered.
};

/// Polls one member of a group over a connection of its own. Runs on the
/// group's worker.
class MemberMonitor : public std::enable_shared_from_this<MemberMonitor> {
public:
  /// Called when a poll is sent, and when it has ended.
  using SentHandler = std::function<void(const std::string &, TimePoint)>;
  using ReportHandler = std::function<void(const PollReport &)>;

  MemberMonitor(boost::asio::io_context &Home, Group Members,
                std::string Upstream, SentHandler OnSent,
                ReportHandler OnReport);

  void start();
  void stop();

  /// Sends the next poll soon, since a write waits for a replica's position.
  void hasten();

  /// Polls now, aside from the regular polls, over the same connection.
  boost::asio::awaitable<std::optional<ReplicaPoll>>
  pollNow(TimePoint Deadline);

private:
  boost::asio::awaitable<void> loop();
  boost::asio::awaitable<void> pause();
  boost::asio::awaitable<PollReport> pollOnce(TimePoint SentAt,
                                              TimePoint Deadline);

  boost::asio::io_context &Home;
  Group Members;
  std::string Upstream;
  SentHandler OnSent;
  ReportHandler OnReport;
  boost::asio::steady_timer Timer;
  std::shared_ptr<PostgresConnection> Connection;
  Term LastTimeline;
  TimePoint NextAt;     ///< When the next regular poll is due.
  bool Running = false; ///< A poll is under way on the connection.
  bool Stopped = false;
};

/// Connection options of \p Upstream for \p ApplicationName.
ConnectOptions connectOptionsOf(const Group &Members, const Upstream &Target,
                                std::string ApplicationName);

} // namespace lavenderdale
