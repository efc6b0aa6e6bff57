#pragma once

#include "upstreamwork.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderdale {

/// A message to the host that holds an upstream's connections, which asks it to
/// run work.
struct RelayRequest {
  enum class Kind : std::uint8_t {
    Run,     ///< Run the work; answered by a RelayAnswer.
    Cancel,  ///< Stop waiting for a connection for request Id. Not answered.
    Release, ///< Release the connection Held. Not answered.
    Ping,    ///< Answered immediately with an empty RelayAnswer.
    /// Count an operation of Workspace against its rate limit, which the
    /// receiver owns. Answered with the Refusal.
    Admit,
  };

  Kind Type = Kind::Run;
  std::uint64_t Id = 0;
  std::string Upstream;
  std::string Workspace;
  unsigned Priority = 0;
  /// Deadlines are sent as the time left, because the hosts' clocks differ.
  /// This one is the latency objective, see PoolWaiter.
  std::chrono::milliseconds TargetIn{};
  std::chrono::milliseconds GiveUpIn{};   ///< End of the wait for a connection.
  std::chrono::milliseconds DeadlineIn{}; ///< Deadline of the work.
  /// Time since the sender last received a message of the receiver on this
  /// connection. The receiver compares it with the time since it last sent one
  /// to estimate how long the request was in transit.
  std::chrono::milliseconds SinceLastReceived{};
  /// Number of the connection that is held for the sender since an earlier
  /// request; 0 for any free connection.
  std::uint64_t Held = 0;
  /// Hold the connection for the sender while a transaction is open on it.
  bool Hold = false;
  UpstreamWork Work; ///< Its deadline is sent as DeadlineIn.
};

/// The answer to a RelayRequest.
struct RelayAnswer {
  std::uint64_t Id = 0;
  std::uint64_t Held = 0; ///< Number of the connection held for the sender;
                          ///< 0 if none is.
  /// For Admit: why the rate limit refuses the operation; empty if admitted.
  std::string Refusal;
  /// Number of statements of all hosts that run or wait at the upstream.
  std::size_t Load = 0;
  WorkResult Result; ///< Without SentAt, which the requesting host knows.
  /// The sender's learned limit of concurrent statements at the upstream; 0 if
  /// not told, in which case the following are not either.
  double Limit = 0;
  std::chrono::microseconds ServiceTime{}; ///< Smoothed; 0 if not told.
  /// Expected wait of a statement like the answered one.
  std::optional<std::chrono::microseconds> ExpectedWait;
  std::chrono::milliseconds RetryAfter{}; ///< See WorkResult.
};

/// A message consists of a header, which is the length of the body as four
/// bytes in big-endian order, and the body in CBOR.
constexpr std::size_t RelayHeaderBytes = 4;
/// Maximum length of a message body; it holds a statement, or a reply with its
/// rows.
constexpr std::size_t MaxRelayBytes = std::size_t{4} << 20;

/// Encode a message with its header.
std::string encodeRelay(const RelayRequest &Request);
std::string encodeRelay(const RelayAnswer &Answer);

/// Subtracts the estimated transit time of \p Request from its remaining times.
/// A host that resumes after a pause finds requests that their senders have
/// already given up; a write among them must not take effect after newer ones.
/// \param SinceLastSent time since the receiver last sent anything on the
///        connection.
/// \returns false if the request has no time left.
bool deductTransitTime(RelayRequest &Request,
                       std::chrono::milliseconds SinceLastSent);

/// Reads the length of the body from \p Header. Errors: BadRequest if it is
/// more than MaxRelayBytes.
Result<std::size_t> relayLength(std::string_view Header);

/// Reads the header of a message and returns the length of its body. Errors: as
/// those of readRelay().
boost::asio::awaitable<Result<std::size_t>>
readRelayLength(boost::asio::ip::tcp::socket &From);

/// Reads the body of a message into \p Bytes. Errors: Unavailable if the
/// connection fails or is closed.
boost::asio::awaitable<Result<void>>
readRelayBody(boost::asio::ip::tcp::socket &From, std::size_t Length,
              std::string &Bytes);

/// Reads one message from \p From and stores its body in \p Bytes. Errors:
/// Unavailable if the connection fails or is closed, BadRequest as from
/// relayLength().
boost::asio::awaitable<Result<void>>
readRelay(boost::asio::ip::tcp::socket &From, std::string &Bytes);

/// Decode a message body. Errors: BadRequest.
Result<RelayRequest> decodeRelayRequest(std::string_view Bytes);
Result<RelayAnswer> decodeRelayAnswer(std::string_view Bytes);

} // namespace lavenderdale
