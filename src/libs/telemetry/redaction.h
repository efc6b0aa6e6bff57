#pragma once

#include <string>

namespace lavenderdale::detail {

/// Replaces the secret part of workspace keys ("ldk_<id>_<secret>") in
/// \p Text. Callers never pass keys to telemetry; this is the second barrier,
/// for text of other origin such as a database's error message.
std::string redactKeys(std::string Text);

/// redactKeys(), with control characters replaced by blanks, so that the
/// result stays on one line.
std::string toLogLine(std::string Text);

} // namespace lavenderdale::detail
