#include "logging.h"

#include "boundedappender.h"
#include "redaction.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <unistd.h>

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif

namespace lavenderdale {
namespace {

// The initializer has to be constructed before any logger and destroyed
// after the last one.
log4cplus::Logger &logger() {
  static const log4cplus::Initializer Started;
  static log4cplus::Logger Instance =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("lavenderdale"));
  return Instance;
}

std::string patternFor(const std::string &Host) {
  std::string Escaped;
  for (const char Character : detail::toLogLine(Host))
    Escaped += Character == '%' ? std::string("%%") : std::string(1, Character);
  return "%d{%Y-%m-%dT%H:%M:%S.%qZ} %-5p " + Escaped + " %m%n";
}

log4cplus::SharedAppenderPtr makeAppender(const std::string &File) {
  if (File.empty())
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(true, true));
  return log4cplus::SharedAppenderPtr(
      new log4cplus::FileAppender(File, std::ios::app));
}

void install(const log4cplus::SharedAppenderPtr &Appender,
             const std::string &Host, log4cplus::LogLevel Level) {
  log4cplus::Logger &Target = logger();
  Appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(patternFor(Host)));
  Target.removeAllAppenders();
  Target.addAppender(Appender);
  Target.setAdditivity(false);
  Target.setLogLevel(Level);
}

void log(log4cplus::LogLevel Level, const std::string &Text) {
  log4cplus::Logger &Target = logger();
  if (Target.isEnabledFor(Level))
    Target.forcedLog(Level, detail::toLogLine(Text));
}

} // namespace

Result<void> startLogging(const std::string &File, const std::string &Level,
                          const std::string &Host) {
  static const std::map<std::string, log4cplus::LogLevel> Levels = {
      {"debug", log4cplus::DEBUG_LOG_LEVEL},
      {"info", log4cplus::INFO_LOG_LEVEL},
      {"warn", log4cplus::WARN_LOG_LEVEL},
      {"error", log4cplus::ERROR_LOG_LEVEL}};
  const auto Found = Levels.find(Level);
  if (Found == Levels.end())
    return failure(ErrorKind::InvalidSettings, "no such log level: " + Level);
  if (!File.empty() && !std::ofstream(File, std::ios::app))
    return failure(ErrorKind::InvalidSettings,
                   "the log file cannot be opened: " + File);
  install(makeAppender(File), Host, Found->second);
  return success();
}

void startBoundedLogging(const std::string &Host) {
  install(
      log4cplus::SharedAppenderPtr(new detail::BoundedAppender(STDOUT_FILENO)),
      Host, log4cplus::INFO_LOG_LEVEL);
}

void endProcess(int Code) {
  logger().removeAllAppenders();
#ifdef __SANITIZE_ADDRESS__
  __lsan_do_leak_check();
#endif
  std::_Exit(Code);
}

void logDebug(const std::string &Text) {
  log(log4cplus::DEBUG_LOG_LEVEL, Text);
}
void logInfo(const std::string &Text) { log(log4cplus::INFO_LOG_LEVEL, Text); }
void logWarn(const std::string &Text) { log(log4cplus::WARN_LOG_LEVEL, Text); }
void logError(const std::string &Text) {
  log(log4cplus::ERROR_LOG_LEVEL, Text);
}

} // namespace lavenderdale
