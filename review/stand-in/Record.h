// The record of a case: one line for each thing that was sent, answered or run.

#ifndef GALENAROUTE_REVIEW_RECORD_H
#define GALENAROUTE_REVIEW_RECORD_H

#include "Net.h"

#include <cstdio>
#include <stdexcept>

namespace review {

class Record {
public:
  explicit Record(const std::string &Path)
      : File(std::fopen(Path.c_str(), "w")) {
    if (!this->File)
      throw std::runtime_error("cannot write " + Path);
  }
  ~Record() { std::fclose(this->File); }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void line(const std::string &Text) {
    const std::lock_guard Guard(this->Lock);
    std::fprintf(this->File, "%9.3f %s\n", static_cast<double>(nowMs()) / 1000,
                 Text.c_str());
    std::fflush(this->File);
  }
  /// Also shows the line on standard output.
  void note(const std::string &Text) {
    this->line(Text);
    std::printf("%9.3f %s\n", static_cast<double>(nowMs()) / 1000,
                Text.c_str());
    std::fflush(stdout);
  }

private:
  std::mutex Lock;
  std::FILE *File;
};

} // namespace review

#endif // GALENAROUTE_REVIEW_RECORD_H
