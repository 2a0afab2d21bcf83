// Case: streams of two software versions. See review/6/claim.txt.

#include "Cases.h"

#include <csignal>
#include <random>

namespace review {
namespace {

constexpr int Pieces = 40;
constexpr int PieceMs = 60;

/// A server of streams. Each event tells the software version that wrote it.
class StreamServer {
public:
  StreamServer(std::string Id, std::string Version, Record &Log)
      : Id(std::move(Id)), Version(std::move(Version)), Log(Log) {
    Listener.start("127.0.0.1", [this](const Message &Request, Stream &Peer) {
      return this->onCall(Request, Peer);
    });
  }
  ~StreamServer() { Listener.stop(); }

  json entry() const {
    return {{"service", "models"},
            {"address", Listener.address().text()},
            {"zone", "zone-0"},
            {"version", Version},
            {"slots", 128},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"stage", "both"},
            {"models",
             {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
            {"born", 1700000000000},
            {"sequence", 0}};
  }
  const std::string &id() const { return Id; }

private:
  bool onCall(const Message &Request, Stream &Peer) {
    const std::string Call = Request.field("request-id");
    if (Request.field("expect-instance") != Id)
      return answer(Peer, 421, {{"Instance-Id", Id}}, "");
    const std::string After = Request.field("last-event-id");
    Log.line("server " + Id + " (" + Version + ") runs " + Call +
             (After.empty() ? "" : " from event " + After + " on"));
    const int Running = ++Active;
    const bool IsSent = Peer.write(
        headOf(200, {{"Request-Id", Call},
                     {"Server-Stamp", Id + "." + Call},
                     {"Server-Load", std::to_string(Running) + ",0,128,100"},
                     {"Weight-Versions", "1"},
                     {"Content-Type", "text/event-stream"},
                     {"Transfer-Encoding", "chunked"}}));
    bool IsWhole = IsSent;
    for (int I = std::atoi(After.c_str()) + 1; IsWhole && I <= Pieces; ++I) {
      pause(PieceMs);
      const std::string Event = "id: " + std::to_string(I) +
                                "\ndata: " + Version + " " + std::to_string(I) +
                                "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof Size, "%zx\r\n", Event.size());
      IsWhole = !Peer.isClosed() && Peer.write(Size + Event + "\r\n");
    }
    --Active;
    return IsWhole && Peer.write("0\r\n\r\n");
  }

  std::string Id;
  std::string Version;
  Record &Log;
  std::atomic<int> Active{0};
  Server Listener;
};

/// What a client has received of one stream, over its tries.
struct Received {
  std::set<std::string> Versions;
  int Last = 0;
  bool IsWhole = false;
  std::string Tries;
};

/// Tries one stream once. Returns false if it may be tried again.
bool tryStream(const Address &To, const std::string &Id,
               const std::string &First, Received &Of) {
  const auto Peer = connectTo(To);
  if (!Peer)
    return false;
  std::string Text =
      "POST /s/ask HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + Id +
      "\r\nModel: m0\r\nToken-Usage: 200,40\r\nPrompt-Prefix: "
      "aa01:100," +
      First + ":100\r\nDeadline-Ms: 12000\r\nContent-Length: 2\r\n";
  if (Of.Last > 0)
    Text += "Last-Event-Id: " + std::to_string(Of.Last) +
            "\r\nResumes: " + First + "\r\n";
  Message Head;
  if (!Peer->write(Text + "\r\nhi") || !Peer->readHead(Head))
    return false;
  Of.Tries += " " + To.Host + "=" + std::to_string(Head.Status);
  if (Head.Status != 200)
    return false;
  std::string Line;
  while (Peer->readLine(Line)) {
    if (Line.rfind("id: ", 0) == 0) {
      Of.Last = std::atoi(Line.c_str() + 4);
    } else if (Line.rfind("data: ", 0) == 0) {
      Of.Versions.insert(Line.substr(6, Line.find(' ', 6) - 6));
      Of.IsWhole = Of.Last == Pieces;
    }
    // The connection stays open after the last event.
    if (Of.IsWhole && Line.empty())
      return true;
  }
  return Of.IsWhole;
}

} // namespace

Verdict playVersions(Setting &At) {
  Store Platform(At.Log);
  std::vector<std::unique_ptr<StreamServer>> Servers;
  const auto AddServer = [&](const std::string &Id,
                             const std::string &Version) {
    Servers.push_back(std::make_unique<StreamServer>(Id, Version, At.Log));
    Platform.put("servers", Id, Servers.back()->entry());
    At.Log.line("server " + Id + " of software " + Version + " registers");
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
                {"services", {modelService("models", "m0")}},
                {"limits", callerLimits()}});
  Platform.put("versions", "m0", {{"model", "m0"}, {"version", 1}});
  AddServer("old-1", "v1");
  AddServer("old-2", "v1");
  Daemons Fleet(At.Program, At.Folder, 3, Platform, At.Log);
  for (std::size_t I = 0; I < Fleet.count(); ++I)
    Fleet.start(I);
  if (!Fleet.waitReady(15000)) {
    Platform.stop();
    return Verdict::NotRun;
  }
  // From here on the machines are in touch.
  pause(8000);
  const std::vector<Address> Names = Fleet.resolve(1);
  At.Log.line("the directory names " + std::to_string(Names.size()) +
              " addresses");
  const Address TurnedAway = Fleet.callers(0);
  const Address Killed = Fleet.callers(1);
  if (At.HasTrouble) {
    At.Log.line("the store is silent towards front-0");
    Platform.setSilent(0, true);
  }
  pause(100);
  AddServer("new-1", "v2");
  AddServer("new-2", "v2");
  pause(50);

  constexpr int Streams = 110;
  // About 200 a second, as the site's streams come in a burst.
  constexpr int ApartMs = 5;
  constexpr int Tries = 2;
  std::vector<Received> All(Streams);
  std::vector<std::thread> Clients;
  for (int I = 0; I < Streams; ++I)
    Clients.emplace_back([&, I] {
      std::mt19937 Random(static_cast<unsigned>(I * 7919 + 17));
      pause(I * ApartMs);
      const std::string First = "c" + std::to_string(I) + "a0";
      std::vector<Address> Left = Names;
      for (int Try = 0; Try < Tries && !Left.empty(); ++Try) {
        const std::size_t Which = Random() % Left.size();
        const std::string Id =
            Try == 0 ? First
                     : "c" + std::to_string(I) + "a" + std::to_string(Try);
        if (tryStream(Left[Which], Id, First, All[static_cast<std::size_t>(I)]))
          return;
        Left.erase(Left.begin() + static_cast<std::ptrdiff_t>(Which));
      }
    });
  pause(Streams * ApartMs + 100);
  if (At.HasTrouble)
    Fleet.signal(1, SIGKILL);
  for (std::thread &Each : Clients)
    Each.join();
  pause(2000);
  int Mixed = 0;
  int Whole = 0;
  for (std::size_t I = 0; I < All.size(); ++I) {
    const Received &Each = All[I];
    Whole += Each.IsWhole;
    Mixed += Each.Versions.size() > 1;
    std::string Versions;
    for (const std::string &Of : Each.Versions)
      Versions += " " + Of;
    At.Log.line("client of stream c" + std::to_string(I) + "a0 has events of" +
                Versions + ", last " + std::to_string(Each.Last) +
                (Each.IsWhole ? ", whole" : ", not whole") + "; tries" +
                Each.Tries);
  }
  At.Log.line(std::to_string(Whole) + " of " + std::to_string(Streams) +
              " streams are whole; " + std::to_string(Mixed) +
              " hold events of two software versions (the rule allows 2)");
  Platform.stop();
  if (Whole == 0)
    return Verdict::NotRun;
  return Mixed > 2 ? Verdict::Broken : Verdict::Held;
}

} // namespace review
