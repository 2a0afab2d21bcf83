// Tests LogWriter's limits on rate and buffered bytes.

#include "process/LogWriter.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1000s};

class LogWriterTest : public testing::Test {
protected:
  LogWriterTest() {
    if (pipe(this->Ends) != 0)
      throw std::runtime_error("cannot create a pipe");
    fcntl(this->Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~LogWriterTest() override {
    close(this->Ends[0]);
    close(this->Ends[1]);
  }
  std::string read() {
    std::string Text(1 << 20, '\0');
    const ssize_t Length = ::read(this->Ends[0], Text.data(), Text.size());
    Text.resize(Length > 0 ? static_cast<std::size_t>(Length) : 0);
    return Text;
  }

  int Ends[2];
};

// Guards against a flood of log lines exhausting CPU or disk.
TEST_F(LogWriterTest, LimitsTheRateAndPrefersImportantLines) {
  LogWriter Writer(this->Ends[1], {.LinesPerSecond = 100, .BurstLines = 50});
  for (int I = 0; I < 1000; ++I)
    Writer.write("success\n", false, Start);
  for (int I = 0; I < 1000; ++I)
    Writer.write("failure\n", true, Start);
  const std::string Text = this->read();
  EXPECT_NE(Text.find("failure"), std::string::npos);
  EXPECT_LE(std::count(Text.begin(), Text.end(), '\n'), 52);
  EXPECT_EQ(Writer.dropped(), 1950U);
  Writer.write("later\n", false, Start + 1s);
  EXPECT_NE(this->read().find("log.dropped lines="), std::string::npos);
}

// Guards against an event loop that blocks on the reader of its log.
TEST_F(LogWriterTest, AStalledReaderDoesNotBlockWriters) {
  LogWriter Writer(
      this->Ends[1],
      {.LinesPerSecond = 1e9, .BurstLines = 1e9, .BufferBytes = 4096});
  const std::string Line(1000, 'x');
  const TimePoint Before = Clock::now();
  for (int I = 0; I < 10000; ++I)
    Writer.write(Line + "\n", true, Start);
  EXPECT_LT(Clock::now() - Before, 2s);
  EXPECT_GT(Writer.dropped(), 9000U);
  const std::string Text = this->read();
  EXPECT_EQ(Text.size() % 1001, 0U) << "lines are whole";
}

} // namespace
} // namespace galenaroute
