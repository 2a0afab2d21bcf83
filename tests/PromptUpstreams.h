// Upstreams that stream answers to prompts and crash on certain prompt parts,
// and callers that send prompts, for tests of crash containment.
//
//   PromptUpstreams Upstreams(Loop, PutEntry, {.End = CrashEnd::Orderly});
//   Upstreams.addCrashingPart("dead");
//   PromptCallers Callers(Loop, [](std::size_t Gateway) { ... });
//   Callers.send(0, {.Path = "/chat/a", .Key = "k", .Parts = {"a", "dead"}});

#ifndef GALENAROUTE_TESTS_PROMPTUPSTREAMS_H
#define GALENAROUTE_TESTS_PROMPTUPSTREAMS_H

#include "LimitedUpstreams.h"
#include "RawSocket.h"
#include "connection/CallListener.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace galenaroute::testing_support {

/// Returns the ids of the prompt parts that a call lists.
inline std::vector<std::string> promptPartsIn(const HttpHeaders &Headers) {
  std::vector<std::string> Parts;
  std::string Rest(Headers.find("Prompt-Prefix").value_or(""));
  while (!Rest.empty()) {
    Parts.push_back(Rest.substr(0, Rest.find(':')));
    const std::size_t Comma = Rest.find(',');
    Rest = Comma == std::string::npos ? "" : Rest.substr(Comma + 1);
  }
  return Parts;
}

/// Makes the answer to \p Call come with neither a length nor chunks.
inline void answerWithoutFraming(IncomingCall &Call) {
  // As to a caller that knows no chunks.
  Call.Head.IsHttp11 = false;
}

/// How the connections of a crashed upstream end.
enum class CrashEnd {
  Reset,   ///< Answers without framing are reset.
  Orderly, ///< Answers without framing end in good order, inside an event.
  Mixed    ///< Each in turn.
};

struct PromptUpstreamSettings {
  std::size_t Count = 24;
  std::string Service = "d";
  CrashEnd End = CrashEnd::Reset;
  /// Second byte of the addresses; see PlatformDaemons.
  int Network = 0;
  /// From the arrival of a call to the first byte of its answer.
  Duration BeginTime = std::chrono::milliseconds(60);
  Duration EventGap = std::chrono::milliseconds(30);
  int Events = 4;
  /// One answer in this many breaks off inside an event; 0: none.
  int BrokenOffOneIn = 0;
  /// From a crash until the registry entry expires, and until the restart.
  Duration LapseTime = std::chrono::milliseconds(700);
  Duration RestartTime = std::chrono::milliseconds(2500);
};

/// A set of upstreams. One that begins to write an answer on a crashing part
/// sends the head and a part of an event, and then crashes. It restarts at its
/// address, every second one under its old id. Every second answer has neither
/// a length nor chunks.
class PromptUpstreams {
public:
  /// Writes a registry entry; a null \p Spec removes it.
  using PutEntry =
      std::function<void(const std::string &Id, const nlohmann::json &Spec)>;

  struct Arrival {
    std::string Part; ///< The crashing part.
    std::size_t Gateway = 0;
    TimePoint At;
  };

  PromptUpstreams(EventLoop &Loop, PutEntry Put,
                  const PromptUpstreamSettings &Given)
      : Loop(Loop), Put(std::move(Put)), Settings(Given) {
    this->All.resize(Given.Count);
    for (std::size_t I = 0; I < Given.Count; ++I) {
      // A port that the kernel gives to no client, since it must still be free
      // at a restart.
      this->All[I].Address = {"127." + std::to_string(Given.Network) + ".1." +
                                  std::to_string(I + 1),
                              Port};
      this->start(I);
    }
  }
  ~PromptUpstreams() {
    for (sigc::connection &Each : this->Timers)
      Each.disconnect();
  }
  PromptUpstreams(const PromptUpstreams &) = delete;
  PromptUpstreams &operator=(const PromptUpstreams &) = delete;

  void addCrashingPart(const std::string &Part) {
    this->CrashingParts.insert(Part);
  }
  /// Ends an upstream that no call has crashed.
  void crashWithoutCause(std::size_t Index) {
    if (this->All[Index].IsUp)
      this->crash(Index);
  }

  std::vector<Arrival> Arrivals; ///< Of calls with a crashing part, in order.
  std::map<std::string, std::vector<TimePoint>> Crashes; ///< By part.

private:
  struct Run {
    std::shared_ptr<IncomingCall> Call;
    bool IsUnframed = false;
    bool HasBegun = false;
    bool BreaksOff = false;
    int Events = 0;
  };
  struct Upstream {
    std::string Id;
    SocketAddress Address;
    std::shared_ptr<CallListener> Listener;
    std::vector<std::shared_ptr<Run>> Runs;
    int Incarnation = 0;
    bool IsUp = false;
  };

  static constexpr std::uint16_t Port = 18010;
  /// From the last bytes of a crashing upstream to the end of its connections,
  /// so that they reach the gateway.
  static constexpr auto FlushTime = std::chrono::milliseconds(10);

  void start(std::size_t Index) {
    Upstream &Each = this->All[Index];
    ++Each.Incarnation;
    const bool KeepsId = Index % 2 == 1;
    Each.Id = "u" + std::to_string(Index) +
              (KeepsId ? "" : "-" + std::to_string(Each.Incarnation));
    Each.IsUp = true;
    Each.Listener = std::make_shared<CallListener>(
        this->Loop, Each.Address, CallerLimits{},
        [this, Index,
         Of = Each.Incarnation](const std::shared_ptr<IncomingCall> &Call) {
          this->onCall(Index, Of, Call);
        });
    this->Put(Each.Id, {{"service", this->Settings.Service},
                        {"address", Each.Address.toString()},
                        {"zone", "z"},
                        {"version", "1"},
                        {"slots", 50},
                        {"state", "ready"},
                        {"sequence", 1},
                        {"born", ++this->Born}});
  }

  bool isRunning(std::size_t Index, int Incarnation) const {
    const Upstream &Each = this->All[Index];
    return Each.IsUp && Each.Incarnation == Incarnation;
  }

  /// Returns the crashing part of \p Call, or "".
  std::string crashingPartIn(const IncomingCall &Call) const {
    for (const std::string &Each : promptPartsIn(Call.Head.Headers))
      if (this->CrashingParts.contains(Each))
        return Each;
    return "";
  }

  void onCall(std::size_t Index, int Incarnation,
              const std::shared_ptr<IncomingCall> &Call) {
    const auto Id = Call->Head.Headers.find("Request-Id").value_or("");
    if (!this->isRunning(Index, Incarnation)) {
      Call->abort();
      return;
    }
    const std::string Part = this->crashingPartIn(*Call);
    if (!Part.empty())
      this->Arrivals.push_back({Part, gatewayOf(Id), EventLoop::now()});
    Upstream &Each = this->All[Index];
    if (Call->Head.Headers.find("Expect-Instance") != Each.Id) {
      Call->send(421, {{"Request-Id", std::string(Id)}, {"Not-Executed", "1"}},
                 "");
      return;
    }
    const auto Added = std::make_shared<Run>();
    Added->Call = Call;
    Added->IsUnframed = ++this->Calls % 2 == 0;
    // Odd and even ones, so that it strikes both kinds of framing.
    const int OneIn = this->Settings.BrokenOffOneIn;
    Added->BreaksOff = OneIn > 0 && this->Calls % (2 * OneIn) < 2;
    Each.Runs.push_back(Added);
    this->after(this->Settings.BeginTime, [this, Index, Incarnation, Added] {
      if (this->isRunning(Index, Incarnation))
        this->begin(Index, Added);
    });
  }

  void begin(std::size_t Index, const std::shared_ptr<Run> &Begun) {
    IncomingCall &Call = *Begun->Call;
    if (Begun->IsUnframed)
      answerWithoutFraming(Call);
    Begun->HasBegun = true;
    Call.begin(
        200, {{"Request-Id",
               std::string(Call.Head.Headers.find("Request-Id").value_or(""))},
              {"Server-Stamp", "x"},
              {"Content-Type", "text/event-stream"}});
    const std::string Part = this->crashingPartIn(Call);
    if (Part.empty()) {
      this->writeEvent(Index, Begun);
      return;
    }
    Call.write("id: 1\ndata: wo");
    this->Crashes[Part].push_back(EventLoop::now());
    this->crash(Index);
  }

  void writeEvent(std::size_t Index, const std::shared_ptr<Run> &To) {
    To->Call->write("id: " + std::to_string(++To->Events) + "\ndata: word\n\n");
    if (To->Events == this->Settings.Events) {
      To->Call->finish();
      std::erase(this->All[Index].Runs, To);
      return;
    }
    this->after(this->Settings.EventGap,
                [this, Index, Of = this->All[Index].Incarnation, To] {
                  if (!this->isRunning(Index, Of))
                    return;
                  if (To->BreaksOff && To->Events > 1)
                    this->breakOff(Index, To);
                  else
                    this->writeEvent(Index, To);
                });
  }

  /// Ends an answer inside an event.
  void breakOff(std::size_t Index, const std::shared_ptr<Run> &Broken) {
    Broken->Call->write("id: " + std::to_string(Broken->Events + 1) +
                        "\ndata: wo");
    std::erase(this->All[Index].Runs, Broken);
    if (Broken->IsUnframed)
      Broken->Call->finish();
    else
      this->after(FlushTime, [Broken] { Broken->Call->abort(); });
  }

  void crash(std::size_t Index) {
    Upstream &Each = this->All[Index];
    Each.IsUp = false;
    ++this->CrashCount;
    this->after(FlushTime, [this, Index] { this->end(Index); });
    this->after(this->Settings.LapseTime,
                [this, Id = Each.Id] { this->Put(Id, {}); });
    this->after(this->Settings.RestartTime,
                [this, Index] { this->start(Index); });
  }

  bool endsOrderly() const {
    return this->Settings.End == CrashEnd::Orderly ||
           (this->Settings.End == CrashEnd::Mixed && this->CrashCount % 2 == 0);
  }
  void end(std::size_t Index) {
    Upstream &Each = this->All[Index];
    Each.Listener->stopAccepting();
    if (this->endsOrderly()) {
      const auto Begun = Each.Runs;
      for (const auto &Run : Begun)
        if (Run->IsUnframed && Run->HasBegun)
          this->breakOff(Index, Run);
    }
    Each.Runs.clear();
    this->after(FlushTime, [Listener = std::move(Each.Listener)] {
      Listener->abortAll();
    });
  }

  void after(Duration Delay, const std::function<void()> &Action) {
    this->Timers.push_back(this->Loop.timers().after(Delay, Action));
  }

  EventLoop &Loop;
  PutEntry Put;
  PromptUpstreamSettings Settings;
  std::set<std::string> CrashingParts;
  std::vector<Upstream> All;
  int Born = 0;
  int Calls = 0;
  int CrashCount = 0;
  std::vector<sigc::connection> Timers;
};

/// A call with a prompt.
struct PromptCall {
  std::string Path;
  std::string Key;
  std::vector<std::string> Parts; ///< A last part of its own is added.
};

/// Callers that send prompts which are never alike, each on a connection of its
/// own. Their calls are not sent again.
class PromptCallers {
public:
  using AddressOf = std::function<SocketAddress(std::size_t Gateway)>;

  explicit PromptCallers(AddressOf At) : At(std::move(At)) {}

  struct SentCall {
    std::size_t Gateway = 0;
    TimePoint At;
    int Events = 0;       ///< Whole events of the answer received.
    bool IsWhole = false; ///< The answer was ended as a whole one.
  };

  /// Returns the index of the call in calls(), or nothing if the gateway does
  /// not accept connections.
  std::optional<std::size_t> send(std::size_t To, const PromptCall &Call) {
    const int Number = static_cast<int>(this->Calls.size()) + 1;
    std::string Prefix;
    for (const std::string &Each : Call.Parts)
      Prefix += Each + ":200,";
    char Last[16];
    std::snprintf(Last, sizeof Last, "f%07x:40", static_cast<unsigned>(Number));
    const std::string Body = "prompt " + std::to_string(Number);
    try {
      auto Socket =
          std::make_unique<RawSocket>(RawSocket::connectTo(this->At(To)));
      Socket->writeSome("POST " + Call.Path +
                        " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        "Request-Id: " +
                        callIdOf(To, Number) + "\r\nAuthorization: Bearer " +
                        Call.Key + "\r\nModel: m\r\nToken-Usage: 640,40\r\n" +
                        "Prompt-Prefix: " + Prefix + Last +
                        "\r\nContent-Length: " + std::to_string(Body.size()) +
                        "\r\n\r\n" + Body);
      this->Open.push_back({this->Calls.size(), std::move(Socket)});
    } catch (const std::runtime_error &) {
      return std::nullopt;
    }
    this->Calls.push_back({.Gateway = To, .At = EventLoop::now()});
    return this->Calls.size() - 1;
  }

  /// Reads what has been received; call it often.
  void collect() {
    std::erase_if(this->Open, [this](const OpenCall &Each) {
      const bool HasEnded = Each.Socket->hasEnded();
      const std::string &Text = Each.Socket->read();
      SentCall &Of = this->Calls[Each.Index];
      if (Text.starts_with("HTTP/1.1 200 "))
        Of.Events = countIn(Text, "data: word\n\n");
      Of.IsWhole = Of.Events > 0 && Text.ends_with("\r\n0\r\n\r\n");
      return HasEnded;
    });
  }
  const std::vector<SentCall> &calls() const { return this->Calls; }

private:
  static int countIn(const std::string &Text, std::string_view Part) {
    int Count = 0;
    for (std::size_t At = Text.find(Part); At != std::string::npos;
         At = Text.find(Part, At + 1))
      ++Count;
    return Count;
  }
  struct OpenCall {
    std::size_t Index;
    std::unique_ptr<RawSocket> Socket;
  };

  AddressOf At;
  std::vector<SentCall> Calls;
  std::vector<OpenCall> Open;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_PROMPTUPSTREAMS_H
