#pragma once

#include "base/result.h"
#include "statements/sessionstate.h"
#include "statements/statement.h"
#include "statements/upstreamcommand.h"
#include "statements/upstreamreply.h"

#include <optional>
#include <string>
#include <string_view>

namespace lavenderdale {

/// Ends each message of callers and of upstreams. A line feed or a carriage
/// return alone belongs to the last field of a message.
constexpr std::string_view MessageEnd = "\r\n";

/// The start message of a caller's session.
struct SessionStart {
  std::string Database;
  std::string Key; ///< Empty if the caller sent none.
};

/// Encodes and decodes the messages of callers' sessions. Each message is one
/// line, ended by MessageEnd, and is read and written as a whole.
class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  /// Errors: BadRequest.
  virtual Result<SessionStart> decodeStart(std::string_view Line) const = 0;

  /// \returns nothing for the end of the session; a statement of kind
  ///          Malformed if the line has an id but its text cannot be parsed.
  ///          Errors: BadRequest.
  virtual Result<std::optional<Statement>>
  decodeStatement(std::string_view Line) const = 0;

  /// Like all encode functions of this class, appends a message to \p Out.
  /// \param At log position of the upstream's reply, if there was one.
  virtual void encodeReady(TransactionPhase Phase,
                           const std::optional<Position> &At,
                           std::string &Out) const = 0;
  virtual void encodeError(const Error &Failure, std::string &Out) const = 0;
  /// Appends the rows and the completion, or the error of the upstream.
  virtual void encodeReply(const UpstreamReply &Reply,
                           std::string &Out) const = 0;
  /// Appends the completion of a statement that the proxy answers itself.
  virtual void encodeLocalCompletion(std::string &Out) const = 0;
};

/// What the proxy sends first on a connection to an upstream.
struct UpstreamGreeting {
  std::string Group;
  std::string Workspace;
  std::string UpstreamId; ///< Refused by any other upstream at the address.
};

/// Encodes commands to upstreams and decodes their replies.
class UpstreamProtocol {
public:
  enum class Progress {
    More,      ///< The reply is not complete yet.
    Done,      ///< The upstream is ready for the next command.
    Malformed, ///< Violates the protocol; the connection cannot be used.
  };

  virtual ~UpstreamProtocol() = default;

  virtual std::string
  encodeGreeting(const UpstreamGreeting &Greeting) const = 0;
  /// Appends the message for \p Command to \p Out.
  virtual void encode(const UpstreamCommand &Command,
                      std::string &Out) const = 0;
  /// Adds the contents of one line to \p Reply.
  virtual Progress decode(std::string_view Line,
                          UpstreamReply &Reply) const = 0;
  /// Decodes the reply to UpstreamCommand::Kind::Status and Demote.
  /// Errors: BadRequest.
  virtual Result<UpstreamStatus>
  decodeStatus(const UpstreamReply &Reply) const = 0;
};

} // namespace lavenderdale
