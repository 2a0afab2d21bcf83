// Writes log lines to a descriptor without ever blocking, at a bounded rate.
//
//   LogWriter Writer(STDOUT_FILENO, {});
//   Writer.write(Line, /*IsImportant=*/true, Now);
//
// Guarantees: write() never waits for a reader; at most the limits' lines a
// second and buffered bytes; lines that are not important are dropped first;
// what was dropped is counted, and the count is written as a line of its own
// as soon as there is room again.

#ifndef GALENAROUTE_PROCESS_LOGWRITER_H
#define GALENAROUTE_PROCESS_LOGWRITER_H

#include "process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace galenaroute {

struct LogLimits {
  /// A busy entry writes about 150 lines a second.
  double LinesPerSecond = 500;
  /// Lines that may come at once.
  double BurstLines = 1500;
  /// Part of the burst that is kept for important lines.
  double ImportantShare = 0.3;
  /// Held while nobody reads.
  std::size_t BufferBytes = 256 << 10;
};

class LogWriter {
public:
  /// Makes \p Descriptor non-blocking.
  LogWriter(int Descriptor, LogLimits Limits);

  void write(std::string_view Line, bool IsImportant, TimePoint Now);
  std::uint64_t dropped() const { return this->Dropped; }

private:
  bool take(bool IsImportant, TimePoint Now);
  void flush();

  int Descriptor;
  LogLimits Limits;
  std::string Buffer;
  double Tokens;
  TimePoint FilledAt;
  std::uint64_t Dropped = 0;
  std::uint64_t Reported = 0;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_LOGWRITER_H
