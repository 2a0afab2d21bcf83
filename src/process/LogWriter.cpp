#include "process/LogWriter.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace galenaroute {

LogWriter::LogWriter(int Descriptor, LogLimits Limits)
    : Descriptor(Descriptor), Limits(Limits), Tokens(Limits.BurstLines) {
  const int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

/// Takes a token from the bucket. Returns false if the line exceeds the rate.
bool LogWriter::tryTakeToken(bool IsImportant, TimePoint Now) {
  this->Tokens = std::min(this->Limits.BurstLines,
                          this->Tokens + toSeconds(Now - this->FilledAt) *
                                             this->Limits.LinesPerSecond);
  this->FilledAt = Now;
  const double Reserved =
      IsImportant ? 0 : this->Limits.BurstLines * this->Limits.ImportantShare;
  if (this->Tokens < Reserved + 1)
    return false;
  this->Tokens -= 1;
  return true;
}

void LogWriter::write(std::string_view Line, bool IsImportant, TimePoint Now) {
  this->flush();
  const std::size_t Room =
      this->Limits.BufferBytes -
      std::min(this->Limits.BufferBytes, this->Buffer.size());
  if (Line.size() > Room || !this->tryTakeToken(IsImportant, Now)) {
    ++this->Dropped;
    return;
  }
  if (this->Dropped > this->Reported) {
    this->Buffer += "level=WARN event=log.dropped lines=" +
                    std::to_string(this->Dropped - this->Reported) + "\n";
    this->Reported = this->Dropped;
  }
  this->Buffer += Line;
  this->flush();
}

void LogWriter::flush() {
  if (this->Buffer.empty())
    return;
  const ssize_t Written =
      ::write(this->Descriptor, this->Buffer.data(), this->Buffer.size());
  // Unwritten bytes stay in the buffer. Write errors are ignored: there is
  // nowhere to report a failure to log.
  if (Written > 0)
    this->Buffer.erase(0, static_cast<std::size_t>(Written));
}

} // namespace galenaroute
