#include "Journal.h"

#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace galenaroute::process_soak {

using Microseconds = std::chrono::microseconds;

Journal::Journal(const std::string &Path)
    : File(
          open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {
  if (this->File < 0)
    throw std::runtime_error("cannot write " + Path);
}

Journal::~Journal() { close(this->File); }

void Journal::write(std::string_view Event, std::string_view Call,
                    std::string_view Detail) const {
  const auto Now =
      std::chrono::duration_cast<Microseconds>(Clock::now().time_since_epoch());
  std::string Line = std::to_string(Now.count());
  Line.append(" ").append(Event).append(" ").append(Call);
  if (!Detail.empty())
    Line.append(" ").append(Detail);
  Line.append("\n");
  if (::write(this->File, Line.data(), Line.size()) !=
      static_cast<ssize_t>(Line.size()))
    std::cerr << "cannot write a line of the journal\n";
}

std::optional<JournalLine> parseJournalLine(const std::string &Text) {
  std::istringstream Parts(Text);
  std::int64_t Count = 0;
  JournalLine Line;
  if (!(Parts >> Count >> Line.Event >> Line.Call))
    return std::nullopt;
  Line.At = TimePoint(Microseconds(Count));
  Parts >> std::ws;
  std::getline(Parts, Line.Detail);
  return Line;
}

std::vector<JournalLine> readJournal(const std::string &Path) {
  std::ifstream File(Path);
  std::vector<JournalLine> Result;
  for (std::string Text; std::getline(File, Text);)
    if (auto Line = parseJournalLine(Text); Line && !File.eof())
      Result.push_back(std::move(*Line));
  return Result;
}

} // namespace galenaroute::process_soak
