// Registry entries that lapse although their upstreams run, as while the
// platform is away or upstreams are cut off from it.

#include "GatewayFleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;
using testing::StartsWith;

class LapsedEntriesTest : public testing::Test {
protected:
  LapsedEntriesTest() {
    for (std::size_t I = 0; I < UpstreamCount; ++I) {
      const SocketAddress Address = freeAddress();
      this->Upstreams.push_back(std::make_unique<CallListener>(
          this->Fleet.Loop, Address, CallerLimits{},
          [this](const std::shared_ptr<IncomingCall> &Call) {
            this->run(Call);
          }));
      this->Fleet.registerUpstream("u" + std::to_string(I), Address);
    }
    this->Fleet.Loop.runUntil([&] { return this->Fleet.isReady(); }, 3s);
    this->wait(600ms);
  }
  ~LapsedEntriesTest() override {
    for (sigc::connection &Each : this->Timers)
      Each.disconnect();
  }

  void wait(Duration Time) {
    this->Fleet.Loop.runUntil([] { return false; }, Time);
  }

  /// Answers a call; one whose body begins with "slow" after a second.
  void run(const std::shared_ptr<IncomingCall> &Call) {
    const auto Answer = [Call] {
      const auto Id = Call->Head.Headers.find("Request-Id");
      Call->send(
          200,
          {{"Request-Id", std::string(Id.value_or(""))}, {"Server-Stamp", "x"}},
          "answer");
    };
    if (Call->Body.starts_with("slow"))
      this->Timers.push_back(this->Fleet.Loop.timers().after(1s, Answer));
    else
      Answer();
  }

  /// Sends a call whose prompt begins with the part \p Part.
  std::unique_ptr<RawSocket> send(const std::string &Body,
                                  const std::string &Part) {
    const std::string Own = std::to_string(++this->Sent);
    auto Caller = std::make_unique<RawSocket>(RawSocket::connectTo(
        this->Fleet.callerAddress(this->Sent % this->Fleet.size())));
    Caller->write(
        "POST /safe/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r" + Own +
        "\r\nContent-Length: " + std::to_string(Body.size() + Own.size()) +
        "\r\nPrompt-Prefix: " + Part + ":10," + Own + ":5\r\n\r\n" + Body +
        Own);
    return Caller;
  }

  /// Sends calls that take a second; their callers leave after half of it.
  void abandonCalls(const std::string &Part) {
    std::vector<std::unique_ptr<RawSocket>> Callers;
    for (std::size_t I = 0; I < 3 * UpstreamCount; ++I)
      Callers.push_back(this->send("slow", Part));
    this->wait(500ms);
    for (const auto &Each : Callers)
      EXPECT_EQ(Each->read(), "");
  }

  /// Removes all upstreams from the registry for \p Time.
  void lapseAll(Duration Time) {
    std::map<std::string, nlohmann::json> Entries;
    for (std::size_t I = 0; I < UpstreamCount; ++I) {
      const std::string Id = "u" + std::to_string(I);
      Entries[Id] = this->Fleet.Api.read({"servers", Id}).Object.Value;
      this->Fleet.unregisterUpstream(Id);
    }
    this->wait(Time);
    for (const auto &[Id, Value] : Entries)
      this->Fleet.Api.put({"servers", Id}, Value, Platform::MustNotExist,
                          [](const PlatformResult &) {});
    this->wait(300ms);
  }

  /// Returns the answer that a call gets.
  std::string answerTo(const std::string &Body, const std::string &Part) {
    const auto Caller = this->send(Body, Part);
    this->Fleet.Loop.runUntil([&] { return !Caller->read().empty(); }, 3s);
    return Caller->text();
  }

  static constexpr std::size_t UpstreamCount = 5;
  GatewayFleet Fleet{2};
  std::vector<std::unique_ptr<CallListener>> Upstreams;
  std::vector<sigc::connection> Timers;
  std::size_t Sent = 0;
};

// Guards against a prompt part that is refused as crashing upstreams, because
// the entries of all upstreams lapsed after callers had left.
TEST_F(LapsedEntriesTest, APartIsNotBlamedForUpstreamsThatReturn) {
  this->abandonCalls("aa");
  this->wait(100ms);
  this->lapseAll(2s);
  EXPECT_THAT(this->answerTo("sound", "aa"), StartsWith("HTTP/1.1 200 "));
}

// The same, with upstreams that stay away from the registry but have begun to
// answer other calls after the callers had left.
TEST_F(LapsedEntriesTest, APartIsNotBlamedForUpstreamsThatWentOn) {
  this->abandonCalls("aa");
  std::vector<std::unique_ptr<RawSocket>> Others;
  for (std::size_t I = 0; I < 4 * UpstreamCount; ++I)
    Others.push_back(this->send("slow", "b" + std::to_string(I)));
  this->wait(1300ms);
  for (const auto &Each : Others)
    EXPECT_THAT(Each->read(), StartsWith("HTTP/1.1 200 "));
  for (std::size_t I = 0; I < UpstreamCount; ++I)
    this->Fleet.unregisterUpstream("u" + std::to_string(I));
  this->wait(300ms);
  const SocketAddress Address = freeAddress();
  this->Upstreams.push_back(std::make_unique<CallListener>(
      this->Fleet.Loop, Address, CallerLimits{},
      [this](const std::shared_ptr<IncomingCall> &Call) { this->run(Call); }));
  this->Fleet.registerUpstream("v", Address);
  this->wait(300ms);
  EXPECT_THAT(this->answerTo("sound", "aa"), StartsWith("HTTP/1.1 200 "));
}

} // namespace
} // namespace galenaroute
