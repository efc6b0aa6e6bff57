#pragma once

#include "base/result.h"

#include <string>

namespace lavenderdale {

/// Sets up the log. Lines are written for state changes only; what happens
/// per request is counted. A line has the time (UTC), level, host and text.
/// \param File appended to; empty for standard error.
/// \param Level "debug", "info", "warn" or "error".
/// \param Host name of this host.
/// \returns success, or InvalidSettings.
Result<void> startLogging(const std::string &File, const std::string &Level,
                          const std::string &Host);

/// Sets up the log on standard output, bounded in volume and without ever
/// waiting for its reader.
void startBoundedLogging(const std::string &Host);

/// Writes what is still buffered and ends the process with \p Code, without
/// destroying static objects. Those of the logging library join its threads,
/// which does not end on a host that runs only one thread at a time.
[[noreturn]] void endProcess(int Code);

/// Each writes one line. Control characters and key secrets are replaced.
void logDebug(const std::string &Text);
void logInfo(const std::string &Text);
void logWarn(const std::string &Text);
void logError(const std::string &Text);

} // namespace lavenderdale
