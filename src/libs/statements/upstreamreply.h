#pragma once

#include "consistency/position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Why an upstream did not complete a command.
enum class UpstreamFailure {
  None,
  Busy,             ///< Not run: no slot and no room to wait.
  UnknownStatement, ///< Not run: the prepared name is not known.
  Behind,           ///< Not run: the log lacks the required position.
  ReadOnly,         ///< Not run: the upstream does not lead.
  WrongUpstream,    ///< Another upstream answers at this address.
  ConnectionLimit,  ///< The upstream has too many connections.
  Failed,           ///< Run, without success.
  Timeout,          ///< Run, without success in time.
  Malformed,
  Other,
};

enum class TransactionState { None, Open, Failed };

/// The answer to one command.
struct UpstreamReply {
  std::vector<std::string> Rows;
  std::string Signature;
  UpstreamFailure Failure = UpstreamFailure::None;
  std::string FailureCode; ///< As the upstream spells it.
  std::string FailureText;
  TransactionState State = TransactionState::None;
  std::optional<Position> At; ///< End of the upstream's log.

  bool ok() const { return this->Failure == UpstreamFailure::None; }
};

/// Answer to UpstreamCommand::Kind::Status.
struct UpstreamStatus {
  bool Primary = false;
  Term InTerm;
  Position Received; ///< Newest position that was received from the primary.
};

} // namespace lavenderdale
