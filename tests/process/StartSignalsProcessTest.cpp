// Tests of signals that reach a daemon while it starts, and of what a fatal one
// leaves behind.

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

class StartSignalsProcessTest : public testing::Test {
protected:
  /// Starts a daemon whose settings come from a pipe, so that it waits for
  /// them before it has installed a handler.
  void startWaiting() {
    this->Api.put("config", "main", plainConfig());
    this->Settings = this->Places.writeSettings(this->Harness.folder(), 0, "z",
                                                this->Api.address());
    this->Pipe = this->Settings + ".pipe";
    ASSERT_EQ(mkfifo(this->Pipe.c_str(), 0600), 0);
    this->Daemon = &this->Harness.start("galenaroute-platform",
                                        {"--settings", this->Pipe});
    // Succeeds once the daemon has opened the other end.
    this->Harness.waitFor("the daemon", [&] {
      if (this->Writer < 0)
        this->Writer = open(this->Pipe.c_str(), O_WRONLY | O_NONBLOCK);
      return this->Writer >= 0;
    });
  }
  void writeSettings() {
    std::ifstream File(this->Settings);
    const std::string Text{std::istreambuf_iterator<char>(File), {}};
    // The next read, on SIGHUP, finds a regular file.
    std::filesystem::copy_file(this->Settings, this->Settings + ".copy");
    std::filesystem::rename(this->Settings + ".copy", this->Pipe);
    ASSERT_EQ(::write(this->Writer, Text.data(), Text.size()),
              static_cast<ssize_t>(Text.size()));
    ::close(this->Writer);
  }

  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  PlatformDaemons Places{.Count = 1, .Network = 58};
  std::string Settings, Pipe;
  int Writer = -1;
  Program *Daemon = nullptr;
};

// Guards against a change of the settings that ends a process which has just
// been started, by the default action of SIGHUP.
TEST_F(StartSignalsProcessTest, AReloadDuringTheStartIsHandled) {
  ASSERT_NO_FATAL_FAILURE(this->startWaiting());
  this->Daemon->signal(SIGHUP);
  ASSERT_NO_FATAL_FAILURE(this->writeSettings());
  this->Harness.waitFor("the daemon", [&] {
    return this->Harness.get(this->Places.readyAddress(0), "/api/ready")
               .Status != 0;
  });
  EXPECT_EQ(this->Daemon->stop(), 0);
}

// Guards against a planned stop that ends a process as a kill would.
TEST_F(StartSignalsProcessTest, AStopDuringTheStartIsAPlannedStop) {
  ASSERT_NO_FATAL_FAILURE(this->startWaiting());
  this->Daemon->signal(SIGTERM);
  ASSERT_NO_FATAL_FAILURE(this->writeSettings());
  EXPECT_EQ(this->Daemon->wait(15s), 0);
}

// Guards against a crash that leaves no trace of where it happened.
TEST_F(StartSignalsProcessTest, AFatalSignalLeavesABacktrace) {
  ASSERT_NO_FATAL_FAILURE(this->startWaiting());
  this->Daemon->signal(SIGSEGV);
  EXPECT_EQ(this->Daemon->wait(15s), -SIGSEGV);
  const std::string Output = this->Daemon->output();
  EXPECT_NE(Output.find("event=process.fatal program=galenaroute-platform "
                        "signal=SIGSEGV\n"),
            std::string::npos)
      << Output;
  EXPECT_NE(Output.find("galenaroute-platform("), std::string::npos) << Output;
  ::close(this->Writer);
}

} // namespace
} // namespace galenaroute
