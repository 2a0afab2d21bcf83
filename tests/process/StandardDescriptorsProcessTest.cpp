// Tests of daemons whose standard descriptors are closed or cannot be written.

#include "FakePlatformServer.h"
#include "PlainConfig.h"
#include "PlatformDaemons.h"
#include "ProcessHarness.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <gtest/gtest.h>
#include <sys/stat.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

class StandardDescriptorsProcessTest : public testing::Test {
protected:
  /// Starts a daemon with \p Redirections of a shell and waits until it
  /// answers.
  void start(const std::string &Redirections) {
    this->Api.put("config", "main", plainConfig());
    const std::string Settings = this->Places.writeSettings(
        this->Harness.folder(), 0, "z", this->Api.address());
    this->Daemon = std::make_unique<Program>(
        "/bin/sh",
        std::vector<std::string>{
            "-c", "exec \"$0\" \"$@\" " + Redirections,
            std::string(GALENAROUTE_BUILD_DIR) + "/galenaroute-platform",
            "--settings", Settings, "--log-level", "debug"},
        this->Harness.folder() + "/daemon.log");
    this->Harness.waitFor("the daemon", [&] { return this->answers(); });
  }
  bool answers() {
    return this->Harness.get(this->Places.readyAddress(0), "/api/ready")
               .Status != 0;
  }
  std::string targetOf(int Descriptor) const {
    return std::filesystem::read_symlink("/proc/" +
                                         std::to_string(this->Daemon->id()) +
                                         "/fd/" + std::to_string(Descriptor));
  }

  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  PlatformDaemons Places{.Count = 1, .Network = 59};
  std::unique_ptr<Program> Daemon;
};

// Guards against log lines that are written into a connection.
TEST_F(StandardDescriptorsProcessTest, ClosedOnesAreNotTakenByConnections) {
  ASSERT_NO_FATAL_FAILURE(this->start("<&- >&- 2>&-"));
  for (const int Descriptor : {0, 1, 2})
    EXPECT_EQ(this->targetOf(Descriptor), "/dev/null") << Descriptor;
  EXPECT_EQ(this->Daemon->stop(), 0);
}

// Guards against a log that ends or stops a daemon when its disk is full.
TEST_F(StandardDescriptorsProcessTest, AFullDeviceDoesNotEndADaemon) {
  ASSERT_NO_FATAL_FAILURE(this->start(">/dev/full 2>&1"));
  this->Daemon->signal(SIGHUP);
  EXPECT_TRUE(this->answers());
  EXPECT_EQ(this->Daemon->stop(), 0);
}

// Guards against a log that ends or stops a daemon when its reader is gone or
// stands still.
TEST_F(StandardDescriptorsProcessTest, APipeThatNobodyReadsDoesNotEndADaemon) {
  const std::string Path = this->Harness.folder() + "/log.pipe";
  ASSERT_EQ(mkfifo(Path.c_str(), 0600), 0);
  const int Reader = open(Path.c_str(), O_RDWR | O_NONBLOCK);
  ASSERT_GE(Reader, 0);
  // Nothing more fits into the pipe.
  const std::string Page(4096, 'x');
  while (::write(Reader, Page.data(), Page.size()) > 0) {
  }
  ASSERT_NO_FATAL_FAILURE(this->start(">" + Path + " 2>&1"));
  this->Daemon->signal(SIGHUP);
  EXPECT_TRUE(this->answers());
  ::close(Reader);
  this->Daemon->signal(SIGHUP);
  EXPECT_TRUE(this->answers());
  EXPECT_EQ(this->Daemon->stop(), 0);
}

} // namespace
} // namespace galenaroute
