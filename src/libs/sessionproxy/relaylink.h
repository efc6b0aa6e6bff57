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

/// What became of a request to another host.
struct RelayOutcome {
  std::optional<RelayAnswer> Answer;
  /// Without an answer: whether the other host may have got the request.
  bool Sent = false;
};

/// The connection to another host over which it is asked to carry work out.
/// Many requests share it; it is opened when the first one needs it.
class RelayLink : public std::enable_shared_from_this<RelayLink> {
public:
  /// A connect between hosts takes a few milliseconds.
  static constexpr std::chrono::milliseconds ConnectLimit{150};
  /// Unacknowledged bytes end the link after this time, so that a host that
  /// lost power does not keep requests until their deadlines.
  static constexpr std::chrono::milliseconds UnacknowledgedLimit{1000};
  /// Time for the answer beyond the request's deadline.
  static constexpr std::chrono::milliseconds AnswerSlack{20};

  RelayLink(const boost::asio::any_io_executor &Executor, Endpoint Where);

  /// Sends \p Request, whose Id is set here, and waits for its answer.
  boost::asio::awaitable<RelayOutcome>
  run(RelayRequest Request, std::uint64_t &Id, TimePoint Deadline);
  /// Sends a message that has no answer, if the link is open.
  void tell(const RelayRequest &Request);
  void close();

  bool isOpen() const { return this->Open; }
  /// Tells the connections of the link apart: a transaction that is held over
  /// one of them is lost with it.
  std::uint64_t generation() const { return this->Generation; }
  const Endpoint &where() const { return this->Where; }
  /// When the other host was last heard on this link.
  TimePoint heardAt() const { return this->HeardAt; }

private:
  struct Pending;

  boost::asio::awaitable<bool> ensureOpen(TimePoint Deadline);
  boost::asio::awaitable<void> connect();
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write();
  void queue(const std::string &Bytes);

  boost::asio::any_io_executor Executor;
  const Endpoint Where;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Opened; ///< Cancelled when connecting ends.
  std::string Outgoing;
  std::map<std::uint64_t, Pending *> Waiting;
  std::uint64_t NextId = 1;
  std::uint64_t Generation = 0; ///< Counts connections.
  TimePoint HeardAt{};
  BootTime HeardAtBoot{}; ///< The same, counting suspended time.
  bool Open = false;
  bool Connecting = false;
  bool Writing = false;
};

} // namespace lavenderdale
