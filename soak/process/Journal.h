// Lines that the parts of a process soak write about requests.
//
//   Journal Log(Path);
//   Log.write("accepted", Call, "0");
//
// A line is "MICROSECONDS EVENT CALL DETAIL", where the time is that of
// CLOCK_MONOTONIC, which all processes of a machine share. Each line is written
// by one system call, so that a process that is killed loses none.

#ifndef GALENAROUTE_SOAK_PROCESS_JOURNAL_H
#define GALENAROUTE_SOAK_PROCESS_JOURNAL_H

#include "process/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroute::process_soak {

class Journal {
public:
  explicit Journal(const std::string &Path);
  ~Journal();
  Journal(const Journal &) = delete;
  Journal &operator=(const Journal &) = delete;

  void write(std::string_view Event, std::string_view Call,
             std::string_view Detail = "") const;

private:
  int File;
};

struct JournalLine {
  TimePoint At;
  std::string Event;
  std::string Call;
  std::string Detail;
};

/// Returns the line's parts, or nothing if it is not whole.
std::optional<JournalLine> parseJournalLine(const std::string &Text);

/// Returns all whole lines of a file.
std::vector<JournalLine> readJournal(const std::string &Path);

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_JOURNAL_H
