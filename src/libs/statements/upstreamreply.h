#pragma once

#include "consistency/position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// The reason why an upstream did not complete a command.
enum class UpstreamFailure {
  None,
  Busy,             ///< Not run: no free slot, and the queue is full.
  UnknownStatement, ///< Not run: there is no prepared statement of this name.
  Behind,           ///< Not run: the log lacks the required position.
  ReadOnly,         ///< Not run: the upstream is not the primary.
  WrongUpstream,    ///< A different upstream answers at this address.
  ConnectionLimit,  ///< The upstream has too many connections.
  Failed,           ///< Run, but failed.
  Timeout,          ///< Run, but exceeded its time limit.
  Malformed,
  Other,
};

/// The state of the transaction on the upstream connection.
enum class TransactionState { None, Open, Failed };

/// The reply to an UpstreamCommand.
struct UpstreamReply {
  std::vector<std::string> Rows;
  std::string Signature;
  UpstreamFailure Failure = UpstreamFailure::None;
  std::string FailureCode; ///< As sent by the upstream.
  std::string FailureText;
  TransactionState State = TransactionState::None;
  std::optional<Position> At; ///< End of the upstream's log at the reply.

  bool ok() const { return this->Failure == UpstreamFailure::None; }
};

/// The content of the reply to UpstreamCommand::Kind::Status and Demote.
struct UpstreamStatus {
  bool Primary = false;
  Term InTerm;
  Position Received; ///< Last log position received from the primary.
};

} // namespace lavenderdale
