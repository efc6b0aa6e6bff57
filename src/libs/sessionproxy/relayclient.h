#pragma once

#include "http/endpoint.h"
#include "relaymessages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lavenderdale {

/// The result of a request to another host.
struct RelayOutcome {
  std::optional<RelayAnswer> Answer;
  /// Whether the other host may have received the request.
  bool Sent = false;
  /// Whether nothing at all arrived from the other host since the request was
  /// sent, or it cannot be reached. A host that answers others is only busy.
  bool HostSilent = false;
};

/// The connection over which work is relayed to another host. It is shared by
/// concurrent requests, and opened when a request finds it closed.
class RelayClient : public std::enable_shared_from_this<RelayClient> {
public:
  /// Timeout of a connect, which takes a few milliseconds between hosts.
  static constexpr std::chrono::milliseconds ConnectTimeout{150};
  /// The connection is closed when bytes stay unacknowledged for this long, so
  /// that requests to a host that lost power fail before their deadlines.
  static constexpr std::chrono::milliseconds UnacknowledgedTimeout{1000};
  /// Extra time beyond the request's deadline for the answer to arrive.
  static constexpr std::chrono::milliseconds AnswerSlack{20};

  RelayClient(const boost::asio::any_io_executor &Executor, Endpoint Where);

  /// Sends \p Request and waits for its answer.
  /// \param [out] Id id of the request while it is in progress, for a cancel
  ///        message; 0 before it is sent and after it has ended.
  boost::asio::awaitable<RelayOutcome>
  run(RelayRequest Request, std::uint64_t &Id, TimePoint Deadline);
  /// Sends a message that has no answer. Discards it if the connection is
  /// closed.
  void sendOneWay(const RelayRequest &Request);
  void close();

  bool isOpen() const { return this->Open; }
  /// Number of the current connection, counted up with each reconnect. A
  /// transaction that is held over an earlier connection is lost.
  std::uint64_t generation() const { return this->Generation; }
  const Endpoint &endpoint() const { return this->Where; }
  /// When the last message of the other host arrived.
  TimePoint lastReceivedAt() const { return this->LastReceivedAt; }

private:
  struct Pending;

  boost::asio::awaitable<bool> ensureOpen(TimePoint Deadline);
  boost::asio::awaitable<void> connect();
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write();
  void enqueue(const std::string &Bytes);

  boost::asio::any_io_executor Executor;
  const Endpoint Where;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Opened; ///< Cancelled when connecting has ended.
  std::string Outgoing;
  std::map<std::uint64_t, Pending *> Waiting;
  std::uint64_t NextId = 1;
  std::uint64_t Generation = 0; ///< Number of connections opened so far.
  TimePoint LastReceivedAt{};
  BootTime LastReceivedAtBoot{}; ///< The same, counting suspended time.
  bool Open = false;
  bool Connecting = false;
  bool Writing = false;
};

} // namespace lavenderdale
