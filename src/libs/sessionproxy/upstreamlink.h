#pragma once

#include "base/boottime.h"
#include "base/result.h"
#include "base/timepoint.h"
#include "http/endpoint.h"
#include "protocols.h"
#include "statements/connectionimage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// What became of commands that were sent together.
struct ExchangeResult {
  std::vector<UpstreamReply> Replies; ///< One for each answered command.
  BootTime SentAt{};
  bool Sent = false;         ///< Some bytes may have reached the upstream.
  std::optional<Error> Lost; ///< The connection cannot be used any more.
};

/// One connection to an upstream. Used by one owner at a time.
class UpstreamLink : public std::enable_shared_from_this<UpstreamLink> {
public:
  /// A peer that does not acknowledge bytes for this long is taken as gone;
  /// links between failure domains take milliseconds.
  static constexpr std::chrono::milliseconds UnacknowledgedLimit{1500};
  static constexpr std::size_t MaxLineBytes = std::size_t{1} << 20;

  UpstreamLink(const boost::asio::any_io_executor &Executor,
               const UpstreamProtocol &Protocol);

  /// Connects and introduces the workspace. Errors: TooManyConnections,
  /// NotFound if another upstream answers, Unavailable.
  boost::asio::awaitable<Result<void>>
  connect(Endpoint Where, UpstreamGreeting Greeting, TimePoint Deadline);

  /// Sends \p Commands at once and reads a reply to each. The link is closed
  /// when \p Deadline passes.
  boost::asio::awaitable<ExchangeResult>
  exchange(std::vector<UpstreamCommand> Commands, TimePoint Deadline);

  /// Whether the peer has closed an idle link, as far as is known here.
  bool closedByPeer();

  void close();
  bool isOpen() const { return this->Open; }

  ConnectionImage Image;

private:
  boost::asio::awaitable<std::optional<Error>> readReply(UpstreamReply &Reply);
  boost::asio::awaitable<std::optional<Error>> readLine(std::string &Line);
  void limit(TimePoint Deadline);
  void armTimer();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  const UpstreamProtocol &Protocol;
  std::string Buffer;
  bool Open = false;
  std::optional<TimePoint> Deadline;
  bool TimerArmed = false;
  TimePoint TimerAt{};
};

} // namespace lavenderdale
