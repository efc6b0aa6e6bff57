#pragma once

#include "upstreamwork.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lavenderdale {

/// Asks the host that holds an upstream's connections to carry work out.
struct RelayRequest {
  enum class Kind : std::uint8_t {
    Run,     ///< Carry the work out; answered by a RelayAnswer.
    Cancel,  ///< Stop waiting for a connection for request Id; no answer.
    Release, ///< The held connection Held is not needed; no answer.
    Ping,    ///< Answered at once by an empty RelayAnswer.
    Spend,   ///< Count an operation of Workspace, whose rate the other owns.
  };

  Kind Type = Kind::Run;
  std::uint64_t Id = 0;
  std::string Upstream;
  std::string Workspace;
  unsigned Priority = 0;
  /// Deadlines travel as time left, because the hosts' clocks differ.
  std::chrono::milliseconds TargetIn{};
  std::chrono::milliseconds GiveUpIn{};
  std::chrono::milliseconds DeadlineIn{};
  /// Since the sender last heard the receiver on this link. A receiver that
  /// knows when it spoke can tell how long the request was on its way.
  std::chrono::milliseconds HeardAgo{};
  /// The connection that an earlier request held; 0 for any.
  std::uint64_t Held = 0;
  /// Keep the connection for the sender while a transaction is open on it.
  bool Hold = false;
  UpstreamWork Work; ///< Without its deadline.
};

struct RelayAnswer {
  std::uint64_t Id = 0;
  std::uint64_t Held = 0; ///< The connection that is kept for the sender.
  /// To Spend: why the operation is outside of the rate; empty if it is inside.
  std::string Refusal;
  /// Statements of all hosts that run or wait at the upstream.
  std::size_t Load = 0;
  WorkResult Result; ///< Without SentAt, which the asking host knows.
};

/// Messages are sent as a length of four bytes, most significant first, and
/// CBOR of that length.
constexpr std::size_t RelayHeaderBytes = 4;
/// Bounds a message: one line of a caller or an upstream, with its rows.
constexpr std::size_t MaxRelayBytes = std::size_t{4} << 20;

/// Encode with the header.
std::string encodeRelay(const RelayRequest &Request);
std::string encodeRelay(const RelayAnswer &Answer);

/// Takes the time that \p Request was on its way off what it has left. A host
/// that wakes from a pause finds requests that were given up meanwhile; a
/// write among them must not take effect after newer ones.
/// \param SpokeAgo since the receiver last sent anything on the link.
/// \returns false if the request has no time left.
bool countDelay(RelayRequest &Request, std::chrono::milliseconds SpokeAgo);

/// Length that \p Header announces. Errors: BadRequest beyond MaxRelayBytes.
Result<std::size_t> relayLength(std::string_view Header);

/// Reads one message from \p From into \p Bytes, without its header. Errors:
/// Unavailable when the connection ends, BadRequest as relayLength().
boost::asio::awaitable<Result<void>>
readRelay(boost::asio::ip::tcp::socket &From, std::string &Bytes);

/// Decode without the header. Errors: BadRequest.
Result<RelayRequest> decodeRelayRequest(std::string_view Bytes);
Result<RelayAnswer> decodeRelayAnswer(std::string_view Bytes);

} // namespace lavenderdale
