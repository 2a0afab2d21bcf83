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

std::size_t countOf(std::string_view Text, std::string_view Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string_view::npos;
       At = Text.find(Part, At + Part.size()))
    ++Count;
  return Count;
}

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

/// Returns whether the process runs the daemon and has begun to load the C++
/// library.
bool hasBegunToLoad(pid_t Process) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/maps");
  const std::string Maps{std::istreambuf_iterator<char>(File), {}};
  return Maps.find("/galenaroute-platform") != std::string::npos &&
         Maps.find("/libstdc++") != std::string::npos;
}

// Guards against a signal that ends a process while its libraries are loaded.
TEST_F(StartSignalsProcessTest, AReloadWhileLibrariesAreLoadedIsHandled) {
  static constexpr int Starts = 20;
  const std::string Settings = this->Harness.folder() + "/settings.pipe";
  ASSERT_EQ(mkfifo(Settings.c_str(), 0600), 0);
  for (int I = 0; I < Starts; ++I) {
    Program &Started =
        this->Harness.start("galenaroute-platform", {"--settings", Settings});
    const TimePoint Begun = Clock::now();
    while (!hasBegunToLoad(Started.id()) && Clock::now() - Begun < 15s) {
    }
    Started.signal(SIGHUP);
    // The daemon opens its settings once it is loaded.
    int Writer = -1;
    this->Harness.waitFor("the daemon or its end", [&] {
      Writer = open(Settings.c_str(), O_WRONLY | O_NONBLOCK);
      return Writer >= 0 || !Started.isRunning();
    });
    ASSERT_GE(Writer, 0) << "start " << I << " ended with " << Started.wait(1s);
    Started.signal(SIGKILL);
    Started.wait(15s);
    ::close(Writer);
  }
}

// Guards against a planned stop that ends a process as a kill would.
TEST_F(StartSignalsProcessTest, AStopDuringTheStartIsAPlannedStop) {
  ASSERT_NO_FATAL_FAILURE(this->startWaiting());
  this->Daemon->signal(SIGTERM);
  ASSERT_NO_FATAL_FAILURE(this->writeSettings());
  EXPECT_EQ(this->Daemon->wait(15s), 0);
}

// Guards against a start that fails for good because the settings file is
// missing, empty or half written for a moment.
TEST_F(StartSignalsProcessTest, AnUnfinishedSettingsFileIsReadAgain) {
  this->Api.put("config", "main", plainConfig());
  const std::string Path = this->Places.writeSettings(this->Harness.folder(), 0,
                                                      "z", this->Api.address());
  std::ifstream File(Path);
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  const std::vector<std::optional<std::string>> Unfinished = {
      std::nullopt, "", Text.substr(0, Text.size() / 2)};
  for (const auto &Each : Unfinished) {
    std::filesystem::remove(Path);
    if (Each)
      std::ofstream(Path) << *Each;
    Program &Started =
        this->Harness.start("galenaroute-platform", {"--settings", Path});
    this->Harness.loop().runUntil([] { return false; }, 300ms);
    EXPECT_TRUE(Started.isRunning()) << Started.output();
    std::ofstream(Path) << Text;
    this->Harness.loop().runUntil(
        [&] {
          return !Started.isRunning() ||
                 this->Harness.get(this->Places.readyAddress(0), "/api/ready")
                         .Status != 0;
        },
        5s);
    EXPECT_TRUE(Started.isRunning()) << Started.output();
    EXPECT_EQ(countOf(Started.output(), "event=settings.waiting"), 1U)
        << Started.output();
    EXPECT_EQ(Started.stop(), 0);
  }
}

// Guards against a process that waits forever for settings that stay missing or
// invalid, and against one that ends without the reason.
TEST_F(StartSignalsProcessTest, MissingSettingsEndTheStart) {
  Program &Started = this->Harness.start(
      "galenaroute-platform", {"--settings", this->Harness.folder() + "/none"});
  EXPECT_EQ(Started.wait(10s), 1);
  EXPECT_NE(
      Started.output().find("galenaroute-platform: cannot open settings file"),
      std::string::npos)
      << Started.output();
}

// Guards against a stop that ends with an error, or late, because the process
// waits for its settings.
TEST_F(StartSignalsProcessTest, AStopWhileTheSettingsAreMissingIsAPlannedStop) {
  for (const int Each : {SIGTERM, SIGINT}) {
    Program &Started =
        this->Harness.start("galenaroute-platform",
                            {"--settings", this->Harness.folder() + "/none"});
    this->Harness.waitFor("the wait", [&] {
      return countOf(Started.output(), "event=settings.waiting") > 0;
    });
    Started.signal(SIGHUP);
    Started.signal(Each);
    EXPECT_EQ(Started.wait(2s), 0);
  }
}

// Guards against a start that fails, or never gets ready, because the store
// does not answer at that time.
TEST_F(StartSignalsProcessTest, AStoreThatAnswersLateDelaysTheStartOnly) {
  this->Api.put("config", "main", plainConfig());
  this->Api.put("servers", "u0",
                {{"service", "d"},
                 {"address", "127.0.0.1:9"},
                 {"zone", "z"},
                 {"version", "1"},
                 {"slots", 50},
                 {"state", "ready"},
                 {"sequence", 1},
                 {"born", 1}});
  const std::string Path = this->Places.writeSettings(this->Harness.folder(), 0,
                                                      "z", this->Api.address());
  this->Api.setSilent(true);
  Program &Started =
      this->Harness.start("galenaroute-platform", {"--settings", Path});
  const auto IsReady = [&] {
    return this->Harness.get(this->Places.readyAddress(0), "/api/ready")
               .Status == 200;
  };
  EXPECT_FALSE(this->Harness.loop().runUntil(IsReady, 2s));
  EXPECT_TRUE(Started.isRunning()) << Started.output();
  this->Api.setSilent(false);
  EXPECT_TRUE(this->Harness.loop().runUntil(IsReady, 10s)) << Started.output();
}

// Guards against a crash that leaves no trace of where it happened.
TEST_F(StartSignalsProcessTest, AFatalSignalLeavesABacktrace) {
  ASSERT_NO_FATAL_FAILURE(this->startWaiting());
  this->Daemon->signal(SIGSEGV);
  EXPECT_EQ(this->Daemon->wait(15s), -SIGSEGV);
  const std::string Output = this->Daemon->output();
  // Once where the log is, and once beside the backtrace.
  const std::string Line =
      "Z level=ERROR event=process.fatal program=galenaroute-platform "
      "signal=SIGSEGV address=- stack_bytes=- call=- frames=";
  const std::size_t First = Output.find(Line);
  ASSERT_NE(First, std::string::npos) << Output;
  EXPECT_NE(Output.find(Line, First + 1), std::string::npos) << Output;
  EXPECT_NE(Output.find(",+0x", First), std::string::npos) << Output;
  EXPECT_NE(Output.find("galenaroute-platform("), std::string::npos) << Output;
  ::close(this->Writer);
}

} // namespace
} // namespace galenaroute
