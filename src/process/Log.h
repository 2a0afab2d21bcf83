// Structured logging through log4cplus: an event name and key=value fields.
//
//   startLog("info");
//   log(LogLevel::Info, "request.finished", {{"request", Id}, {"status",
//   "200"}});
//
// Lines go to standard output, at a bounded rate and without blocking; see
// LogWriter. Values with spaces, quotes or control bytes are quoted and
// escaped, so that untrusted input can't forge a log line.

#ifndef GALENAROUTE_PROCESS_LOG_H
#define GALENAROUTE_PROCESS_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace galenaroute {

enum class LogLevel { Debug, Info, Warn, Error };

/// A key=value field of a log line.
struct LogField {
  std::string_view Key;
  std::string Value;
};

/// Initializes logging for the process. \p Level is `debug`, `info`, `warn` or
/// `error`. Log calls before this are discarded.
void startLog(std::string_view Level);

void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields = {});

/// Returns the line that log() writes, without time and level.
std::string formatLogLine(std::string_view Event,
                          std::initializer_list<LogField> Fields);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_LOG_H
