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

/// The first message of a caller's session.
struct SessionStart {
  std::string Database;
  std::string Key; ///< Empty without one.
};

/// Encodes and decodes the messages of callers' sessions. Messages are lines;
/// the proxy reads and writes them whole.
class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  /// Errors: BadRequest.
  virtual Result<SessionStart> decodeStart(std::string_view Line) const = 0;

  /// \returns nothing for the end of the session; a statement of kind
  ///          Malformed if the line has an id but cannot be understood.
  ///          Errors: BadRequest.
  virtual Result<std::optional<Statement>>
  decodeStatement(std::string_view Line) const = 0;

  /// Each appends to \p Out.
  virtual void encodeReady(TransactionPhase Phase,
                           const std::optional<Position> &At,
                           std::string &Out) const = 0;
  virtual void encodeError(const Error &Failure, std::string &Out) const = 0;
  /// Rows and completion, or the upstream's error.
  virtual void encodeReply(const UpstreamReply &Reply,
                           std::string &Out) const = 0;
  /// Completion of a statement that the proxy answers itself.
  virtual void encodeLocalCompletion(std::string &Out) const = 0;
};

/// Whom a connection to an upstream is for.
struct UpstreamGreeting {
  std::string Group;
  std::string Workspace;
  std::string UpstreamId; ///< Another upstream at the address refuses.
};

/// Encodes commands to upstreams and decodes their answers.
class UpstreamProtocol {
public:
  enum class Progress {
    More,      ///< The reply goes on.
    Done,      ///< The upstream is ready for the next command.
    Malformed, ///< Not of the protocol; the connection cannot be used.
  };

  virtual ~UpstreamProtocol() = default;

  virtual std::string
  encodeGreeting(const UpstreamGreeting &Greeting) const = 0;
  virtual void encode(const UpstreamCommand &Command,
                      std::string &Out) const = 0;
  /// Adds one line to \p Reply.
  virtual Progress decode(std::string_view Line,
                          UpstreamReply &Reply) const = 0;
  /// Reads the reply to UpstreamCommand::Kind::Status. Errors: BadRequest.
  virtual Result<UpstreamStatus>
  decodeStatus(const UpstreamReply &Reply) const = 0;
};

} // namespace lavenderdale
