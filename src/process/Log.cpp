#include "process/Log.h"

#include "process/LogWriter.h"

#include <algorithm>
#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <sstream>
#include <unistd.h>

namespace galenaroute {

namespace {

/// Values are truncated, because one request with a long value may cause many
/// lines.
constexpr std::size_t MaxValueBytes = 256;

bool IsStarted = false;

int levelNumber(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

bool isPlain(unsigned char C) { return C > ' ' && C != '"' && C != 0x7f; }

void appendValue(std::string &Line, std::string_view Value) {
  Value = Value.substr(0, MaxValueBytes);
  if (!Value.empty() && std::all_of(Value.begin(), Value.end(), isPlain)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Line += '\\';
    Line += isPlain(static_cast<unsigned char>(C)) || C == ' ' || C == '"'
                ? C
                : '?';
  }
  Line += '"';
}

/// A log4cplus appender that writes to standard output through LogWriter.
class StandardOutputAppender : public log4cplus::Appender {
public:
  StandardOutputAppender() : Writer(STDOUT_FILENO, {}) {}
  ~StandardOutputAppender() override { this->destructorImpl(); }
  void close() override { this->closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    std::ostringstream Line;
    this->layout->formatAndAppend(Line, Event);
    this->Writer.write(Line.str(),
                       Event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL,
                       Clock::now());
  }

private:
  LogWriter Writer;
};

} // namespace

void startLog(std::string_view Level) {
  static const log4cplus::Initializer Runtime;
  log4cplus::SharedAppenderPtr Appender(new StandardOutputAppender());
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(levelNumber(Level == "debug"  ? LogLevel::Debug
                               : Level == "info" ? LogLevel::Info
                               : Level == "warn" ? LogLevel::Warn
                                                 : LogLevel::Error));
  IsStarted = true;
}

void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields) {
  if (!IsStarted)
    return;
  const log4cplus::Logger Root = log4cplus::Logger::getRoot();
  if (Root.isEnabledFor(levelNumber(Level)))
    Root.forcedLog(levelNumber(Level), formatLogLine(Event, Fields));
}

std::string formatLogLine(std::string_view Event,
                          std::initializer_list<LogField> Fields) {
  std::string Line = "event=";
  appendValue(Line, Event);
  for (const LogField &Each : Fields) {
    Line += ' ';
    Line += Each.Key;
    Line += '=';
    appendValue(Line, Each.Value);
  }
  return Line;
}

} // namespace galenaroute
