// Structured log lines over log4cplus: one event name and key=value fields.
//
//   startLog("info");
//   log(LogLevel::Info, "request.finished", {{"request", Id}, {"status",
//   "200"}});
//
// Lines go to standard output, at a bounded rate and without blocking; see
// LogWriter. Values with spaces, quotes or control bytes are quoted
// and escaped, so that what comes from outside cannot forge a line.

#ifndef GALENAROUTE_PROCESS_LOG_H
#define GALENAROUTE_PROCESS_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace galenaroute {

enum class LogLevel { Debug, Info, Warn, Error };

/// One key=value field.
struct LogField {
  std::string_view Key;
  std::string Value;
};

/// Sets up logging for the process. \p Level is one of `debug`, `info`, `warn`
/// and `error`. Before this is called, nothing is logged.
void startLog(std::string_view Level);

void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields = {});

/// Returns the line that log() writes, without the time and level.
std::string formatLogLine(std::string_view Event,
                          std::initializer_list<LogField> Fields);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_LOG_H
