// Writes log lines to a file descriptor without blocking, at a bounded rate.
//
//   LogWriter Writer(STDOUT_FILENO, {});
//   Writer.write(Line, /*IsImportant=*/true, Now);
//
// Guarantees: write() never blocks on a slow reader; the line rate and the
// buffered bytes stay within LogLimits; unimportant lines are dropped first;
// dropped lines are counted, and the count is logged as soon as there is
// capacity again.

#ifndef GALENAROUTE_PROCESS_LOGWRITER_H
#define GALENAROUTE_PROCESS_LOGWRITER_H

#include "process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace galenaroute {

struct LogLimits {
  /// Sustained rate. A busy gateway writes about 150 lines per second.
  double LinesPerSecond = 500;
  /// Maximum burst.
  double BurstLines = 1500;
  /// Fraction of the burst that is reserved for important lines.
  double ImportantShare = 0.3;
  /// Maximum bytes buffered while the reader stalls.
  std::size_t BufferBytes = 256 << 10;
};

class LogWriter {
public:
  /// Makes \p Descriptor non-blocking.
  LogWriter(int Descriptor, LogLimits Limits);

  void write(std::string_view Line, bool IsImportant, TimePoint Now);
  std::uint64_t dropped() const { return this->Dropped; }

private:
  bool tryTakeToken(bool IsImportant, TimePoint Now);
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
