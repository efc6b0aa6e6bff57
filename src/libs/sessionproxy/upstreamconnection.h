#pragma once

#include "base/boottime.h"
#include "base/result.h"
#include "base/timepoint.h"
#include "http/endpoint.h"
#include "protocols.h"
#include "statements/upstreamconnectionstate.h"

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

/// The result of sending a batch of commands.
struct ExchangeResult {
  /// One for each command that was answered.
  std::vector<UpstreamReply> Replies;
  BootTime SentAt{};         ///< Before the first byte was sent.
  bool Sent = false;         ///< Bytes may have reached the upstream.
  std::optional<Error> Lost; ///< Set if the connection failed and is closed.
};

/// One connection to an upstream. Only one exchange can be in progress at a
/// time.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
public:
  /// A peer that does not acknowledge bytes for this long is considered down;
  /// round trips between failure domains take milliseconds.
  static constexpr std::chrono::milliseconds UnacknowledgedTimeout{1500};
  /// Timeout of the TCP connect, which takes one round trip of milliseconds,
  /// however busy the upstream is.
  static constexpr std::chrono::milliseconds ConnectTimeout{120};
  /// Maximum length of one line of a reply.
  static constexpr std::size_t MaxLineBytes = std::size_t{1} << 20;

  UpstreamConnection(const boost::asio::any_io_executor &Executor,
                     const UpstreamProtocol &Protocol);

  /// Connects and sends \p Greeting, which names the workspace. Errors:
  /// TooManyConnections if the upstream has reached its limit, NotFound if
  /// another upstream answers, Unavailable.
  boost::asio::awaitable<Result<void>>
  connect(Endpoint Where, UpstreamGreeting Greeting, TimePoint Deadline);

  /// Sends \p Commands as one batch and reads a reply to each. The connection
  /// is closed when \p Deadline passes.
  boost::asio::awaitable<ExchangeResult>
  exchange(std::vector<UpstreamCommand> Commands, TimePoint Deadline);

  /// Whether the peer is known to have closed this idle connection, or sent
  /// unexpected bytes on it.
  bool closedByPeer();

  void close();
  bool isOpen() const { return this->Open; }
  /// Whether commands were sent whose replies are awaited.
  bool awaitsReplies() const { return this->Open && this->Deadline; }

  /// Session state that is set up on this connection.
  UpstreamConnectionState Image;

private:
  boost::asio::awaitable<std::optional<Error>> readReply(UpstreamReply &Reply);
  boost::asio::awaitable<std::optional<Error>> readLine(std::string &Line);
  void setDeadline(TimePoint Deadline);
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
