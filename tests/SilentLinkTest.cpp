// Calls whose links to sound upstreams go silent for good.

#include "ForwardRunFixture.h"

namespace galenaroute {
namespace {

class SilentLinkTest : public ForwardRunFixture {
protected:
  static constexpr std::size_t UpstreamCount = 5;

  SilentLinkTest() {
    for (ForwardRoute &Each : this->Config.Routes)
      Each.Timeout = 6s;
    this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
    for (std::size_t I = 2; I < UpstreamCount; ++I) {
      RegisteredUpstream Each;
      Each.Id = "u" + std::to_string(I);
      Each.Service = "s";
      Each.Address = this->Added[I - 2].Address;
      this->Table.put(Each, EventLoop::now());
    }
  }

  /// Sends the call of the test with \p LastPart and returns its caller's
  /// connection.
  std::unique_ptr<RawSocket> send(const std::string &LastPart) {
    auto Result =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    Result->write("POST /once/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                  "Authorization: Bearer key\r\nPrompt-Prefix: aa:10,bb:10," +
                  LastPart + ":5\r\nContent-Length: " +
                  std::to_string(LastPart.size()) + "\r\n\r\n" + LastPart);
    return Result;
  }
  /// Returns the connection on which an upstream receives a call, or null.
  std::unique_ptr<RawSocket> arrival() {
    std::unique_ptr<RawSocket> Result;
    this->Loop.runUntil(
        [&] {
          for (std::size_t I = 0; I < UpstreamCount && !Result; ++I)
            if (const int Socket = I < 2 ? this->Servers[I].accept()
                                         : this->Added[I - 2].accept();
                Socket >= 0)
              Result = std::make_unique<RawSocket>(Socket);
          return Result && Result->read().find("\r\n\r\n") != std::string::npos;
        },
        500ms);
    return Result;
  }
  /// Sends a call to each upstream and lets their links go silent. The calls
  /// are alike, or have the first parts of their prompts in common only.
  void silenceAllLinks(bool AreAlike) {
    for (std::size_t I = 0; I < UpstreamCount; ++I) {
      this->Callers.push_back(
          this->send(AreAlike ? "same" : "own" + std::to_string(I)));
      this->Peers.push_back(this->arrival());
      ASSERT_NE(this->Peers.back(), nullptr);
      this->Peers.back()->dropArriving();
    }
  }
  void waitForFailures() {
    for (const auto &Each : this->Callers)
      EXPECT_TRUE(this->Loop.runUntil(
          [&] { return Each->read().starts_with("HTTP/1.1 502 "); }, 5s))
          << Each->read();
  }

  RawListener Added[UpstreamCount - 2];
  std::vector<std::unique_ptr<RawSocket>> Callers;
  std::vector<std::unique_ptr<RawSocket>> Peers;
};

// Guards against sound content that is refused since the links of five calls
// went silent, which is no crash of their upstreams.
TEST_F(SilentLinkTest, SilentLinksDoNotGetContentRefused) {
  this->silenceAllLinks(true);
  this->waitForFailures();
  const auto Caller = this->send("same");
  EXPECT_NE(this->arrival(), nullptr) << Caller->read();
}

// Guards against the same for a prompt part that unlike calls have in common.
TEST_F(SilentLinkTest, SilentLinksDoNotGetASharedPartRefused) {
  this->silenceAllLinks(false);
  this->waitForFailures();
  const auto Caller = this->send("other");
  EXPECT_NE(this->arrival(), nullptr) << Caller->read();
}

// Guards against missing crashes that silence their upstreams: these have ended
// by the time at which the kernel gives up their links.
TEST_F(SilentLinkTest, SilentLinksOfEndedUpstreamsCountAsCrashes) {
  this->silenceAllLinks(true);
  for (std::size_t I = 0; I < UpstreamCount; ++I)
    this->Table.remove("u" + std::to_string(I), EventLoop::now());
  this->waitForFailures();
  EXPECT_FALSE(this->Services.Crashes.Established.empty());
}

} // namespace
} // namespace galenaroute
