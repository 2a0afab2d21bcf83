// Case: answers of a KV store that are not answers. See review/10/claim.txt.

#include "Cases.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace review {
namespace {

/// A busy KV store, of whose answers one in SpoiledOf is wrong bytes.
class FaultyStore {
public:
  FaultyStore(bool IsFaulty, Record &Log) : IsFaulty(IsFaulty), Log(Log) {
    Listener.start("127.0.0.1", [this](const Message &Request, Stream &Peer) {
      return this->onCall(Request, Peer);
    });
  }
  ~FaultyStore() { Listener.stop(); }
  const Address &address() const { return Listener.address(); }

private:
  bool onCall(const Message &Request, Stream &Peer) {
    const std::int64_t Number = ++Answers;
    json Body = {{"epoch", 77120},
                 {"next", 100 + Number},
                 {"lost", false},
                 {"clock_ms", Log.now()}};
    if (Request.path() == "/api/kv-list") {
      Body["held"] = json::array();
    } else if (Request.path() == "/api/kv-events") {
      pause(50);
      Body["events"] = {{100 + Number, "+", "s1",
                         "aa" + std::to_string(Number % 64), 800, "m0"}};
    } else {
      return answer(Peer, 404, {}, "");
    }
    if (IsFaulty && Number % SpoiledOf == 0) {
      Log.line("the KV store answers " + Request.path() + " with " +
               std::to_string(WrongBytes) + " wrong bytes");
      return answer(Peer, 200, {{"Content-Type", "application/json"}},
                    std::string(WrongBytes, '['));
    }
    return answer(Peer, 200, {{"Content-Type", "application/json"}},
                  Body.dump());
  }

  static constexpr std::int64_t SpoiledOf = 20;
  static constexpr std::size_t WrongBytes = 4 << 20;
  bool IsFaulty;
  Record &Log;
  std::atomic<std::int64_t> Answers{0};
  Server Listener;
};

} // namespace

Verdict playNested(Setting &At) {
  constexpr int MemoryMb = 260;
  constexpr int MaxEnds = 3;
  Store Platform(At.Log);
  FaultyStore Cache(At.HasTrouble, At.Log);
  FaultyStore Sound(false, At.Log);
  const auto StoreService = [](const std::string &Name, const Address &Of) {
    return json{{"name", Name},         {"kvStore", Of.text()},
                {"zone", "zone-0"},     {"kvCapacity", 288932},
                {"linkMbps", 130000.0}, {"maxInflight", 12},
                {"managed", true},      {"first_ms", 0.5}};
  };
  Platform.put("config", "main",
               {{"version", 7},
                {"routes",
                 {{{"name", "ask"},
                   {"host", "h.example"},
                   {"pathPrefix", "/s/"},
                   {"kind", "stream"},
                   {"timeoutMs", 15000},
                   {"targetLatencyMs", 800},
                   {"priority", 2},
                   {"service", "models"},
                   {"maxAttempts", 2},
                   {"public", false},
                   {"sticky", true},
                   {"resumable", true},
                   {"gapAimMs", 300}}}},
                {"services",
                 {modelService("models", "m0"),
                  StoreService("handbook-cache", Cache.address()),
                  StoreService("photo-cache", Sound.address())}},
                {"limits", callerLimits()}});
  Platform.put("versions", "m0", {{"model", "m0"}, {"version", 1}});
  Platform.put(
      "servers", "model-1",
      {{"service", "models"},
       {"address", "127.0.0.1:9"},
       {"zone", "zone-0"},
       {"version", "v1"},
       {"slots", 128},
       {"state", "ready"},
       {"coldLeftMs", 0},
       {"stage", "both"},
       {"models",
        {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
       {"born", 1700000000000},
       {"sequence", 0}});
  Daemons Fleet(At.Program, At.Folder, 3, Platform, At.Log);
  for (std::size_t I = 0; I < Fleet.count(); ++I)
    Fleet.start(I);
  std::vector<int> Ends(Fleet.count());
  std::vector<long> Peaks(Fleet.count());
  const auto CountEnded = [&] {
    int Result = 0;
    for (const int Each : Ends)
      Result += Each >= MaxEnds;
    return Result;
  };
  while (At.Log.now() < 60000 && CountEnded() < 2) {
    pause(20);
    for (std::size_t I = 0; I < Fleet.count(); ++I) {
      const long Peak = Fleet.peakKb(I);
      Peaks[I] = std::max(Peaks[I], Peak);
      if (Peak <= MemoryMb * 1024L)
        continue;
      // As the platform does.
      At.Log.line("daemon front-" + std::to_string(I) + " has used " +
                  std::to_string(Peak / 1024) + " MB, more than memoryMb");
      Fleet.signal(I, SIGKILL);
      Fleet.wait(I, 2000);
      ++Ends[I];
      pause(200);
      Fleet.start(I);
    }
  }
  for (std::size_t I = 0; I < Fleet.count(); ++I)
    At.Log.line("daemon front-" + std::to_string(I) + " ended " +
                std::to_string(Ends[I]) + " times; peak " +
                std::to_string(Peaks[I] / 1024) + " MB");
  const bool IsBroken = CountEnded() >= 2;
  Platform.stop();
  return IsBroken                                            ? Verdict::Broken
         : *std::min_element(Peaks.begin(), Peaks.end()) > 0 ? Verdict::Held
                                                             : Verdict::NotRun;
}

} // namespace review
