// A daemon on the test's event loop, with scripted upstreams and an in-memory
// claim gate.

#ifndef GALENAROUTE_TESTS_DAEMONFIXTURE_H
#define GALENAROUTE_TESTS_DAEMONFIXTURE_H

#include "process/Daemon.h"
#include "process/Sha256.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace galenaroute::testing_support {

using ReplyPtr = std::shared_ptr<HttpReply>;

/// An upstream whose responses are scripted by the test.
class ScriptedUpstream {
public:
  using Script = std::function<void(const HttpRequest &, const ReplyPtr &)>;

  explicit ScriptedUpstream(EventLoop &Loop) : Server(Loop, {}) {
    this->Server.handle([this](const HttpRequest &Request,
                               const ReplyPtr &Reply) {
      // Load and cache polls run in the background and aren't scripted.
      if (Request.Path == "/v1/load" || Request.Path.starts_with("/v1/cache/"))
        return Reply->send(404, {}, "");
      this->Requests.push_back(Request);
      if (this->Answer)
        this->Answer(Request, Reply);
      this->Held.push_back(Reply);
    });
    this->Address = {"127.0.0.1", this->Server.listen({"127.0.0.1", 0})};
  }

  /// Returns how many requests had a path that starts with \p Prefix.
  long count(std::string_view Prefix) const {
    return std::count_if(
        this->Requests.begin(), this->Requests.end(),
        [&](const HttpRequest &Each) { return Each.Path.starts_with(Prefix); });
  }

  void stop() { this->Server.stopListening(); }

  Script Answer;
  SocketAddress Address;
  std::vector<HttpRequest> Requests;
  /// Keeps unanswered replies open, to simulate a connection without traffic.
  std::vector<ReplyPtr> Held;

private:
  HttpServer Server;
};

inline std::string textLine(std::string_view Attempt, int Offset,
                            std::string_view Text) {
  return nlohmann::json{
             {"attempt", Attempt}, {"offset", Offset}, {"text", Text}}
             .dump() +
         "\n";
}

inline std::string doneLine(std::string_view Attempt, int Tokens) {
  return nlohmann::json{{"attempt", Attempt},
                        {"done", true},
                        {"tokens", Tokens},
                        {"cached_tokens", 0},
                        {"finish", "stop"}}
             .dump() +
         "\n";
}

/// Returns the attempt id in a generate or resume request.
inline std::string attemptOf(const HttpRequest &Request) {
  static constexpr std::string_view Resume = "/v1/attempts/";
  if (Request.Path.starts_with(Resume))
    return Request.Path.substr(Resume.size());
  return nlohmann::json::parse(Request.Body).at("attempt");
}

/// An in-memory claim gate. Calls back on the next turn of the loop.
class MemoryClaims : public ClaimGate {
public:
  explicit MemoryClaims(EventLoop &Loop) : Loop(Loop) {}

  void claim(const ClaimKey &Key, std::string_view, OnClaim Done) override {
    const std::string Name = Key.Customer + "/" + Key.Service + "/" + Key.Key;
    ClaimAnswer Answer;
    if (const auto It = this->Stored.find(Name); this->IsDown) {
      Answer.Status = ClaimStatus::Unavailable;
    } else if (It == this->Stored.end()) {
      Answer = {ClaimStatus::Granted, {Key, "holder"}, {}, {}};
      this->Stored[Name] = std::nullopt;
    } else if (!It->second) {
      Answer.Status = ClaimStatus::InProgress;
    } else {
      Answer.Status =
          It->second->Ran ? ClaimStatus::Ran : ClaimStatus::MayHaveRun;
      Answer.Outcome = *It->second;
    }
    this->Loop.timers().after(Duration::zero(), [=] { Done(Answer); });
  }
  void finish(const ClaimToken &Token, const ClaimOutcome &Outcome) override {
    this->Stored[nameOf(Token)] = Outcome;
  }
  void release(const ClaimToken &Token, OnRelease Done) override {
    this->Stored.erase(nameOf(Token));
    ++this->Releases;
    this->Loop.timers().after(Duration::zero(), [Done] { Done(true); });
  }

  bool IsDown = false;
  int Releases = 0;
  std::map<std::string, std::optional<ClaimOutcome>> Stored;

private:
  static std::string nameOf(const ClaimToken &Token) {
    return Token.Key.Customer + "/" + Token.Key.Service + "/" + Token.Key.Key;
  }
  EventLoop &Loop;
};

class DaemonFixture : public testing::Test {
protected:
  DaemonFixture() {
    auto Config = std::make_shared<Configuration>();
    Config->Epoch = 1;
    ServiceConfig Model;
    Model.Name = Model.Model = "steward";
    Model.WeightVersion = "v1";
    Model.Upstreams = {{"one", this->One.Address, "a"},
                       {"two", this->Two.Address, "a"}};
    Model.Deadline = Milliseconds(3000);
    ServiceConfig Desk;
    Desk.Name = "desk";
    Desk.Kind = ServiceKind::Plain;
    Desk.Upstreams = Model.Upstreams;
    Desk.Deadline = Milliseconds(1000);
    Config->Services = {{"steward", Model}, {"desk", Desk}};
    Config->Customers = {
        {"marshals", {"marshals", sha256Hex("marshal-key"), 1, 64}},
        {"others", {"others", sha256Hex("other-key"), 1, 64}}};
    this->Source->set(Config);
    this->Settings.Listen = {"127.0.0.1", 0};
    this->Settings.Advertise = {"127.0.0.1", 9};
    this->Settings.Zone = "a";
    // The tests rely on a fixed order of upstreams; the expected-time policy
    // breaks ties at random.
    this->Settings.RoutingPolicy = "round-robin";
    this->Settings.StallTimeout = Milliseconds(100);
    this->Settings.Linger = Milliseconds(100);
    this->Settings.EntriesTtl = Milliseconds(100);
  }

  void start() {
    this->Node = DaemonBuilder(this->Loop, this->Settings)
                     .config(this->Source)
                     .claims(this->Claims)
                     .build();
    this->To = {"127.0.0.1", this->Node->start()};
  }

  static HttpHeaders credentials(const std::string &Key = "marshal-key") {
    return {{"Authorization", "Bearer " + Key}};
  }

  HttpResult call(const std::string &Method, const std::string &Path,
                  const std::string &Body, HttpHeaders Headers) {
    if (!this->Node)
      this->start();
    HttpCall Call =
        HttpCallBuilder(this->To).method(Method, Path, Body).build();
    Call.Headers = std::move(Headers);
    std::optional<HttpResult> Last;
    const auto Exchange = this->Client.start(
        std::move(Call),
        {.OnDone = [&](const HttpResult &Result) { Last = Result; }});
    EXPECT_TRUE(this->Loop.runUntil([&] { return Last.has_value(); },
                                    std::chrono::seconds(5)));
    return Last.value_or(HttpResult{});
  }

  HttpResult prompt(bool Stream, HttpHeaders Headers = credentials()) {
    const nlohmann::json Body = {{"prompt", "which bib?"}, {"stream", Stream}};
    return this->call("POST", "/v1/completions", Body.dump(),
                      std::move(Headers));
  }

  static std::string errorOf(const HttpResult &Result, const char *Field) {
    const auto Body = nlohmann::json::parse(Result.Body, nullptr, false);
    return Body.is_object() ? Body["error"].value(Field, "") : Result.Body;
  }

  EventLoop Loop;
  ScriptedUpstream One{Loop};
  ScriptedUpstream Two{Loop};
  std::shared_ptr<FixedConfig> Source = std::make_shared<FixedConfig>();
  std::shared_ptr<MemoryClaims> Claims = std::make_shared<MemoryClaims>(Loop);
  DaemonSettings Settings;
  HttpClient Client{Loop};
  std::unique_ptr<Daemon> Node;
  SocketAddress To;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_DAEMONFIXTURE_H
