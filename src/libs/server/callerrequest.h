#pragma once

#include "base/result.h"
#include "base/timepoint.h"
#include "executionrequest.h"
#include "http/httpmessage.h"

#include <optional>
#include <string>

namespace lavenderdale {

/// A caller's request whose syntax was checked.
struct CallerRequest {
  Operation Action = Operation::Run;
  std::string Route;
  std::string Transaction;
  std::optional<std::string> KeyText;
  std::string SessionText;
  std::optional<std::chrono::milliseconds> MaxAge;
  std::optional<std::chrono::milliseconds> Deadline;
  std::string IdempotencyKey;
  bool NeverRepeat = false;
  std::string TraceParent;
  Statement Sql;
  bool ReadOnly = false;
};

/// Longest accepted idempotency key, in bytes.
inline constexpr std::size_t MaxIdempotencyKeyBytes = 200;

/// Parses path, headers and body of a request.
/// \returns the request; NotFound for an unknown path; BadRequest with the
/// header or member, what was found and what was expected.
Result<CallerRequest> readCallerRequest(const HttpRequest &Request);

} // namespace lavenderdale
