// Case: a stream goes on elsewhere beside its first server. See
// review/7/claim.txt.

#include "Cases.h"

#include <algorithm>

namespace review {
namespace {

constexpr int PieceMs = 50;
/// Pieces of the streams that keep the servers busy.
constexpr int LongPieces = 100;
constexpr int Pieces = 20;
/// Pieces after which the observed stream is preempted.
constexpr int PiecesBefore = 3;
constexpr int PreemptedMs = 2800;
/// From the arrival of a stream that is taken up to its first piece.
constexpr int ReadInMs = 150;
/// A sound server may fall silent for a second or so.
constexpr int SilentMs = 1200;
constexpr int MaxOverlapMs = 400;

/// What the servers tell each other through the case.
struct Stage {
  Record &Log;
  bool HasTrouble;
  std::mutex Mutex;
  std::map<std::string, std::string> FirstServer;  ///< By call.
  std::map<std::string, std::int64_t> FirstEnds;   ///< By call, in ms.
  std::map<std::string, std::int64_t> SecondEnds;  ///< By call, in ms.
  std::map<std::string, std::int64_t> GoesOnAt;    ///< By call, in ms.
  std::map<std::string, std::int64_t> SilentUntil; ///< By server, in ms.
};

class BusyServer {
public:
  BusyServer(std::string Id, Stage &On) : Id(std::move(Id)), On(On) {
    Listener.start("127.0.0.1", [this](const Message &Request, Stream &Peer) {
      return this->onCall(Request, Peer);
    });
  }
  ~BusyServer() { Listener.stop(); }

  json entry() const {
    return {{"service", "models"},
            {"address", Listener.address().text()},
            {"zone", "zone-0"},
            {"version", "v1"},
            {"slots", 128},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"stage", "both"},
            {"models",
             {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
            {"born", 1700000000000},
            {"sequence", 0}};
  }

private:
  /// Nothing goes on while the server is silent.
  void rest(int Ms) {
    pause(Ms);
    while (isSilent())
      pause(5);
  }
  bool isSilent() {
    const std::lock_guard Lock(On.Mutex);
    return On.Log.now() < On.SilentUntil[Id];
  }

  bool onCall(const Message &Request, Stream &Peer) {
    rest(0);
    const std::string Call = Request.field("request-id");
    if (Request.field("expect-instance") != Id)
      return answer(Peer, 421, {{"Instance-Id", Id}}, "");
    const bool IsObserved = Call.rfind("observed-", 0) == 0;
    const int After = std::atoi(Request.field("last-event-id").c_str());
    const int Last = IsObserved ? Pieces : LongPieces;
    bool IsFirst = false;
    if (IsObserved) {
      const std::lock_guard Lock(On.Mutex);
      IsFirst = On.FirstServer.try_emplace(Call, Id).first->second == Id;
      On.Log.line("server " + Id + " gets " + Call + " from piece " +
                  std::to_string(After + 1) + " on");
      if (!IsFirst && On.HasTrouble) {
        const std::string &First = On.FirstServer[Call];
        On.SilentUntil[First] = On.Log.now() + SilentMs;
        On.Log.line("server " + First + " falls silent for " +
                    std::to_string(SilentMs) + " ms");
      }
    }
    const int Running = ++Active;
    bool IsWhole = Peer.write(
        headOf(200, {{"Request-Id", Call},
                     {"Server-Stamp", Id + "." + Call},
                     {"Server-Load", std::to_string(Running) + ",0,128,100"},
                     {"Weight-Versions", "1"},
                     {"Content-Type", "text/event-stream"},
                     {"Transfer-Encoding", "chunked"}}));
    if (IsObserved && !IsFirst) {
      rest(ReadInMs);
      const std::lock_guard Lock(On.Mutex);
      if (Peer.isClosed()) {
        IsWhole = false;
      } else {
        On.GoesOnAt[Call] = On.Log.now();
        On.Log.line("server " + Id + " goes on with " + Call);
      }
    }
    for (int I = After + 1; IsWhole && I <= Last; ++I) {
      rest(PieceMs);
      if (IsFirst && I == PiecesBefore + 1) {
        On.Log.line("server " + Id + " preempts " + Call);
        for (int Ms = 0; Ms < PreemptedMs && !Peer.isClosed(); Ms += 20)
          rest(20);
      }
      const std::string Event =
          "id: " + std::to_string(I) + "\ndata: " + std::to_string(I) + "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof Size, "%zx\r\n", Event.size());
      IsWhole = !Peer.isClosed() && Peer.write(Size + Event + "\r\n");
    }
    --Active;
    if (IsObserved) {
      const std::lock_guard Lock(On.Mutex);
      (IsFirst ? On.FirstEnds : On.SecondEnds)[Call] = On.Log.now();
      On.Log.line("server " + Id + " ends its work on " + Call);
    }
    return IsWhole && Peer.write("0\r\n\r\n");
  }

  std::string Id;
  Stage &On;
  std::atomic<int> Active{0};
  Server Listener;
};

/// Reads a whole stream; returns the number of its last piece.
int readStream(const Address &To, const std::string &Id, int Last) {
  const auto Peer = connectTo(To);
  Message Head;
  if (!Peer ||
      !Peer->write(
          "POST /s/ask HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + Id +
          "\r\nModel: m0\r\nToken-Usage: 200,40\r\nPrompt-Prefix: "
          "aa01:100," +
          Id + ":100\r\nDeadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi") ||
      !Peer->readHead(Head) || Head.Status != 200)
    return -Head.Status;
  int Read = 0;
  std::string Line;
  while (Read < Last && Peer->readLine(Line))
    if (Line.rfind("id: ", 0) == 0)
      Read = std::atoi(Line.c_str() + 4);
  return Read;
}

} // namespace

Verdict playTwice(Setting &At) {
  constexpr int Rounds = 4;
  Store Platform(At.Log);
  Stage On{At.Log, At.HasTrouble, {}, {}, {}, {}, {}, {}};
  BusyServer First("model-1", On);
  BusyServer Second("model-2", On);
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
                {"services", {modelService("models", "m0")}},
                {"limits", callerLimits()}});
  Platform.put("versions", "m0", {{"model", "m0"}, {"version", 1}});
  Platform.put("servers", "model-1", First.entry());
  Platform.put("servers", "model-2", Second.entry());
  Daemons Fleet(At.Program, At.Folder, 2, Platform, At.Log);
  for (std::size_t I = 0; I < Fleet.count(); ++I)
    Fleet.start(I);
  if (!Fleet.waitReady(15000)) {
    Platform.stop();
    return Verdict::NotRun;
  }
  pause(4000);
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Others;
  for (int I = 0; I < 8; ++I)
    Others.emplace_back([&, I] {
      for (int Next = 0; !IsOver; ++Next) {
        readStream(Fleet.callers(0),
                   "other-" + std::to_string(I) + "-" + std::to_string(Next),
                   LongPieces);
        pause(100);
      }
    });
  pause(2000);
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::string Id = "observed-" + std::to_string(Round);
    const int Read = readStream(Fleet.callers(0), Id, Pieces);
    At.Log.line("client has read " + std::to_string(Read) + " pieces of " + Id);
    pause(2500);
  }
  IsOver = true;
  for (std::thread &Each : Others)
    Each.join();
  int Twice = 0;
  const std::lock_guard Lock(On.Mutex);
  for (const auto &[Call, GoesOnAt] : On.GoesOnAt) {
    // Where the first server goes on in time, the other one is given up.
    const std::int64_t Overlap =
        std::min(On.FirstEnds[Call], On.SecondEnds[Call]) - GoesOnAt;
    At.Log.line("both servers worked on " + Call + " for " +
                std::to_string(Overlap) + " ms");
    Twice += Overlap > MaxOverlapMs;
  }
  At.Log.line(std::to_string(Twice) + " of " + std::to_string(Rounds) +
              " streams were worked on at two servers for over 400 ms");
  const bool HasGoneOn = !On.GoesOnAt.empty();
  Platform.stop();
  if (!HasGoneOn)
    return Verdict::NotRun;
  return Twice > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace review
