// Tests of the command-line tool against the platform emulator, with daemons
// that only answer GET /v1/status and GET /v1/timeline.

#include "cli/Cli.h"
#include "PlatformEmulator.h"
#include "cli/TimelineView.h"
#include "connection/HttpServer.h"
#include "version/Listing.h"

#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;

/// A daemon as far as the tool sees it.
class StatusServer {
public:
  StatusServer(EventLoop &Loop, std::uint64_t Epoch)
      : Epoch(Epoch), Server(Loop, {}) {
    this->Server.handle([this](const HttpRequest &,
                               const std::shared_ptr<HttpReply> &Reply) {
      Reply->send(200, {},
                  nlohmann::json{{"epoch", this->Epoch}, {"zone", "z"}}.dump());
    });
    this->Address =
        "127.0.0.1:" + std::to_string(this->Server.listen({"127.0.0.1", 0}));
  }

  std::uint64_t Epoch;
  std::string Address;

private:
  HttpServer Server;
};

class CliTest : public testing::Test {
protected:
  int run(std::vector<std::string> Arguments) {
    this->Out.str("");
    this->Err.str("");
    Arguments.insert(Arguments.begin(),
                     {"--platform", this->Platform, "--timeout-ms", "500"});
    return runCli(std::move(Arguments), this->Loop, this->Out, this->Err);
  }

  std::string listing(double Weight) {
    std::string File = testing::TempDir() + "galenaroute-" +
                       std::to_string(getpid()) + ".toml";
    Configuration Config;
    Config.Deployment = {"d", "r", {"z"}};
    Config.Customers["c"] = {"c", std::string(64, 'a'), Weight, 64};
    std::ofstream(File) << writeListing(Config);
    return File;
  }

  EventLoop Loop;
  emulator::PlatformEmulator Emulated{Loop, {}};
  emulator::EmulatorServer Served{Loop, Emulated, {"127.0.0.1", 0}};
  std::string Platform = Served.address().toString();
  std::ostringstream Out, Err;
};

TEST_F(CliTest, AppliesShowsAndWritesBackAListing) {
  const std::string File = this->listing(2);
  EXPECT_EQ(this->run({"get"}), ExitUnavailable);
  EXPECT_EQ(this->run({"check", File}), ExitOk);
  EXPECT_EQ(this->run({"apply", File}), ExitOk);
  EXPECT_EQ(this->run({"get"}), ExitOk);
  EXPECT_THAT(this->Out.str(), HasSubstr("weight = 2.0"));
  this->listing(3);
  EXPECT_EQ(this->run({"diff", File, "--exit-code"}), ExitDifferent);
  EXPECT_THAT(this->Out.str(), HasSubstr("~ customer/c weight: 2.0 -> 3.0"));
}

// Guards against a conflict that leaves the operator without what differs.
TEST_F(CliTest, ShowsTheDifferenceOnAConflict) {
  EXPECT_EQ(this->run({"apply", this->listing(2)}), ExitOk);
  EXPECT_EQ(this->run({"--output", "json", "apply", this->listing(3), "--epoch",
                       "0"}),
            ExitConflict);
  const auto Body = nlohmann::json::parse(this->Out.str());
  EXPECT_EQ(Body["epoch"], 1);
  EXPECT_EQ(Body["difference"][0]["record"], "customer/c");
}

// Guards against --wait that returns before every daemon has the epoch, or
// does not name those that have not.
TEST_F(CliTest, WaitNamesDaemonsThatAreBehind) {
  StatusServer Good(this->Loop, 1);
  StatusServer Late(this->Loop, 0);
  EXPECT_EQ(this->run({"apply", this->listing(2), "--wait", "--entries",
                       Good.Address + "," + Late.Address}),
            ExitPartial);
  EXPECT_THAT(this->Err.str(),
              HasSubstr("not in force at " + Late.Address + ": epoch 0"));
  // The daemon catches up while the tool waits.
  this->Loop.timers().after(100ms, [&] { Late.Epoch = 1; });
  EXPECT_EQ(this->run({"apply", this->listing(2), "--wait", "--entries",
                       Good.Address + "," + Late.Address}),
            ExitOk);
  EXPECT_THAT(this->Out.str(), HasSubstr("in force at 2 of 2"));
}

// Guards against faults that exit like a success.
TEST_F(CliTest, ErrorsHaveTheirExitCodes) {
  EXPECT_EQ(this->run({"apply"}), ExitUsage);
  EXPECT_EQ(this->run({"check", "/nonexistent"}), ExitUsage);
  EXPECT_EQ(this->run({"drain"}), ExitUsage);
  EXPECT_EQ(this->run({"--help"}), ExitOk);
  EXPECT_THAT(this->Out.str(), HasSubstr("Exit codes"));
  this->Platform = "127.0.0.1:1";
  EXPECT_EQ(this->run({"apply", this->listing(2)}), ExitUnavailable);
  EXPECT_EQ(this->run({"status"}), ExitInternal);
  EXPECT_EQ(this->run({"status", "--entries", "127.0.0.1:1"}), ExitUnavailable);
}

// Guards against events in the order of local clocks, against malformed rings
// that end the tool, and against HTML in events that becomes part of the page.
TEST(TimelineViewTest, MergesByHybridTimeAndEscapes) {
  const auto Event = [](int Micros, int Counter, const char *Kind) {
    return nlohmann::json{{"micros", Micros},
                          {"counter", Counter},
                          {"kind", Kind},
                          {"request", "r"},
                          {"detail", "<script>"}};
  };
  const std::vector<nlohmann::json> Rings = {
      {{"process", "b"}, {"events", {Event(5, 1, "second"), Event(9, 0, "x")}}},
      {{"process", "a"}, {"events", {Event(5, 0, "first"), 7, nullptr}}},
      nlohmann::json("damaged"),
      {{"events", 3}}};
  const auto Merged = mergeTimelines(Rings, 8);
  ASSERT_EQ(Merged.size(), 2U);
  EXPECT_EQ(Merged[0].Event.Kind, "first");
  EXPECT_EQ(Merged[1].Process, "b");
  const std::string Page = timelinePage(Merged, "r");
  EXPECT_THAT(Page, HasSubstr("&lt;script&gt;"));
  EXPECT_EQ(Page.find("<script"), std::string::npos);
  EXPECT_EQ(Page.find("src="), std::string::npos);
}

} // namespace
} // namespace galenaroute
