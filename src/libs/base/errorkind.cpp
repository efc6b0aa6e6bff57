#include "errorkind.h"

#include "softassert.h"

#include <algorithm>
#include <array>

namespace lavenderdale {
namespace {

using enum ErrorKind;
using enum RunOutcome;
using enum RetryAdvice;

// Rows are in the order of ErrorKind, so that a kind is an index.
constexpr std::array Answers = {
    ErrorAnswer{BadRequest, "bad-request", 400, NotRun, Never,
                "The request is malformed"},
    ErrorAnswer{PayloadTooLarge, "payload-too-large", 413, NotRun, Never,
                "The request is too large"},
    ErrorAnswer{UnknownRoute, "unknown-route", 404, NotRun, Never,
                "No such route"},
    ErrorAnswer{MissingKey, "missing-key", 401, NotRun, Never,
                "The route needs a workspace key"},
    ErrorAnswer{BadKey, "bad-key", 401, NotRun, Never,
                "The workspace key is not valid"},
    ErrorAnswer{KeyWithdrawn, "key-withdrawn", 401, NotRun, Never,
                "The workspace key was withdrawn"},
    ErrorAnswer{Forbidden, "forbidden", 403, NotRun, Never,
                "The key's workspace does not own this resource"},
    ErrorAnswer{BadSession, "bad-session", 400, NotRun, Never,
                "The session token is not valid"},
    ErrorAnswer{SessionLost, "session-lost", 409, RunOutcome::Unknown, Never,
                "A write of this session was lost with a replaced primary"},
    ErrorAnswer{RateLimited, "rate-limited", 429, NotRun, After,
                "The workspace has used up its rate and burst"},
    ErrorAnswer{QueueFull, "queue-full", 503, NotRun, After,
                "The workspace's queue is full"},
    ErrorAnswer{QueueDeadline, "queue-deadline", 503, NotRun, After,
                "The request cannot be answered before its deadline"},
    ErrorAnswer{DeadlineExceeded, "deadline-exceeded", 504, NotRun, After,
                "The deadline passed before the request was run"},
    ErrorAnswer{TooManyConnections, "too-many-connections", 503, NotRun, After,
                "The host has reached its connection limit"},
    ErrorAnswer{Stopping, "stopping", 503, NotRun, Same,
                "The host is stopping"},
    ErrorAnswer{NoPrimary, "no-primary", 503, NotRun, After,
                "The group has no primary that may acknowledge writes"},
    ErrorAnswer{Unavailable, "unavailable", 503, NotRun, After,
                "No upstream can serve the request now"},
    ErrorAnswer{ReplicaBehind, "replica-behind", 503, RunOutcome::Unknown,
                After, "The replica has not replayed the required position"},
    ErrorAnswer{ConfigurationStale, "configuration-stale", 503, NotRun, After,
                "The host cannot confirm that its configuration is current"},
    ErrorAnswer{UnknownTransaction, "unknown-transaction", 404, NotRun, Never,
                "No such transaction"},
    ErrorAnswer{UnknownStatement, "unknown-statement", 404, NotRun, Never,
                "No such prepared statement"},
    ErrorAnswer{TransactionLost, "transaction-lost", 409, NotRun, Never,
                "The transaction was rolled back"},
    ErrorAnswer{TransactionBusy, "transaction-busy", 409, NotRun, After,
                "Another statement of the transaction is running"},
    ErrorAnswer{StatementFailed, "statement-failed", 422, Run, Never,
                "The database reported an error"},
    ErrorAnswer{StatementNotAllowed, "statement-not-allowed", 422, Run, Never,
                "The statement changes the state of the connection"},
    ErrorAnswer{ResultTooLarge, "result-too-large", 422, Run, Never,
                "The result is larger than the limit"},
    ErrorAnswer{OutcomeUnknown, "outcome-unknown", 504, Unknown, WithKey,
                "The request may or may not have been run"},
    ErrorAnswer{IdempotencyConflict, "idempotency-conflict", 409, NotRun, Never,
                "The idempotency key was used for another request"},
    ErrorAnswer{InvalidSettings, "invalid-settings", 500, NotRun, Never,
                "The settings are not valid"},
    ErrorAnswer{InvalidCatalogue, "invalid-catalogue", 422, NotRun, Never,
                "The catalogue object is not valid"},
    ErrorAnswer{NotFound, "not-found", 404, NotRun, Never, "Not found"},
    ErrorAnswer{VersionConflict, "version-conflict", 409, NotRun, Never,
                "The object was changed by somebody else"},
    ErrorAnswer{PlatformUnavailable, "platform-unavailable", 503, Unknown,
                After, "The platform did not answer"},
    ErrorAnswer{Internal, "internal", 500, Unknown, WithKey, "Internal error"},
};

constexpr bool rowsAreInOrder() {
  for (std::size_t I = 0; I < Answers.size(); ++I)
    if (Answers[I].Kind != static_cast<ErrorKind>(I))
      return false;
  return Answers.size() == static_cast<std::size_t>(Internal) + 1;
}
static_assert(rowsAreInOrder());

constexpr std::array<std::string_view, 3> OutcomeNames = {"not-run", "run",
                                                          "unknown"};
constexpr std::array<std::string_view, 4> AdviceNames = {"never", "same",
                                                         "after", "with-key"};

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind Kind) {
  const auto Index = static_cast<std::size_t>(Kind);
  if (!softAssert(Index < Answers.size(), "error kind is in the table"))
    return Answers.back();
  return Answers[Index];
}

std::optional<ErrorKind> errorKindFromName(std::string_view Name) {
  const auto *Row = std::find_if(
      Answers.begin(), Answers.end(),
      [Name](const ErrorAnswer &Answer) { return Answer.Name == Name; });
  if (Row == Answers.end())
    return std::nullopt;
  return Row->Kind;
}

std::string_view toString(RunOutcome Outcome) {
  return OutcomeNames[static_cast<std::size_t>(Outcome)];
}

std::string_view toString(RetryAdvice Advice) {
  return AdviceNames[static_cast<std::size_t>(Advice)];
}

} // namespace lavenderdale
