// Streams of servers with two software versions, whose clients take them up
// after a daemon was killed. Plays the store, the servers and the clients;
// starts three daemons.
//
//   order: the store turns one daemon away; 0.3 s later the first servers of a
//          new version register; 1.5 s later another daemon is killed. Do its
//          streams go on at the version that began them?
//   lost:  both versions serve; the store turns one daemon away, which is
//          killed 3.5 s later. Do its streams go on?
//
//   two-versions PROGRAM FOLDER RECORD TROUBLE order|lost
//
// TROUBLE is 1, 0, or cut or kill for one of the two disruptions alone.

#include "Daemons.h"
#include "Streams.h"

using namespace standin;

static constexpr std::int64_t ClientsFromMs = 6000;
static constexpr std::int64_t ClientsUntilMs = 15500;
static constexpr std::int64_t LengthMs = 22000;
static constexpr std::int64_t ClientEveryMs = 16;
static constexpr int MaxJoined = 2;
/// LOST counts take-ups if there are at least so many.
static constexpr int MinTakenUp = 12;
/// Take-ups and new streams of this time after the kill are compared.
static constexpr std::int64_t JudgedMs = 2500;

/// When what happens, in ms from the start, and at which daemon.
struct Plan {
  std::size_t CutFront;
  std::int64_t CutAtMs;
  std::int64_t CutMs;
  std::int64_t ReleaseAtMs;
  std::int64_t KillAtMs;
};
static constexpr std::size_t KilledFront = 0;
static constexpr Plan OrderPlan = {1, 9000, 5000, 9300, 10800};
static constexpr Plan LostPlan = {0, 9000, 5000, 7500, 12500};

namespace {

class Case {
public:
  Case(const std::string &Program, const std::string &Folder,
       const std::string &RecordPath, const std::string &Trouble, bool IsLost)
      : IsLost(IsLost), When(IsLost ? LostPlan : OrderPlan),
        Cuts(Trouble != "0" && Trouble != "kill"),
        Kills(Trouble != "0" && Trouble != "cut"), Record(RecordPath),
        Store(Events, at(9, 7, 0)), CutDoor(Store.door(at(9, 8, 0))),
        Fronts(Folder, Program, network(), 3, Store.address()),
        Random(static_cast<std::uint64_t>(wallMs())) {
    Fronts.All[When.CutFront].Store = CutDoor->address();
  }

  int run() {
    Store.put("config", "main", config());
    Store.put("versions", "weights-a",
              {{"model", "weights-a"}, {"version", 1}});
    for (int I = 0; I < 3; ++I)
      addServer(I, "v1");
    for (std::size_t I = 0; I < Fronts.All.size(); ++I)
      Fronts.start(I);
    Events.after(ClientsFromMs, [this] { nextClient(); });
    Events.after(When.CutAtMs, [this] {
      if (!Cuts)
        return;
      note("the store turns " + Fronts.All[When.CutFront].Node +
           " away, in silence");
      CutDoor->setSilent(true);
    });
    Events.after(When.CutAtMs + When.CutMs, [this] {
      if (Cuts)
        note("the store answers " + Fronts.All[When.CutFront].Node + " again");
      CutDoor->setSilent(false);
    });
    Events.after(When.ReleaseAtMs, [this] {
      note("a release begins: two servers of version v2 register");
      addServer(3, "v2");
      addServer(4, "v2");
    });
    Events.after(When.KillAtMs, [this] {
      if (!Kills)
        return;
      note(Fronts.All[KilledFront].Node + " is killed");
      Fronts.signal(KilledFront, SIGKILL);
    });
    Events.after(LengthMs, [this] { Events.stop(); });
    watchProcesses();
    Events.run();
    return judge();
  }

private:
  static int network() {
    static const int Found = freeNetwork();
    return Found;
  }
  static Address at(int Third, int Fourth, int Port) {
    return {"127." + std::to_string(network()) + "." + std::to_string(Third) +
                "." + std::to_string(Fourth),
            Port};
  }
  static json config() {
    return {{"version", 1},
            {"routes",
             {{{"name", "r-1"},
               {"host", "one.example"},
               {"pathPrefix", "/a/"},
               {"kind", "stream"},
               {"timeoutMs", 15000},
               {"targetLatencyMs", 800},
               {"priority", 1},
               {"service", "models"},
               {"maxAttempts", 2},
               {"public", false},
               {"sticky", true},
               {"resumable", true},
               {"gapAimMs", 300}}}},
            {"services",
             {{{"name", "models"},
               {"healthPath", "/health"},
               {"maxConns", 620},
               {"protocol", "h1"},
               {"tls", false},
               {"engine",
                {{"slots", 128},
                 {"kvCapacity", 213382},
                 {"kvTokenBytes", 18432},
                 {"linkMbps", 180000.0},
                 {"managed", true},
                 {"maxInflight", 12},
                 {"models", {{{"name", "weights-a"}}}}}}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants",
             {{{"name", "t-1"}, {"apiKeys", {"key-1"}}, {"priority", 1}}}}};
  }
  void note(const std::string &Text) {
    Record << nowMs() << " ms  " << Text << '\n';
  }
  void addServer(int I, const std::string &Version) {
    static const char *Zones[] = {"derwent", "wellington", "huon"};
    Servers.push_back(std::make_unique<StreamServer>(
        Events, Store, "i-" + std::to_string(I + 1), Zones[I % 3], Version,
        at(8, 10 + I, 0)));
    Servers.back()->Note = [this](const std::string &Text) { note(Text); };
  }
  void nextClient() {
    if (nowMs() >= ClientsUntilMs)
      return;
    std::vector<Address> All;
    for (std::size_t I = 0; I < Fronts.All.size(); ++I)
      All.push_back(Fronts.front(I));
    Clients.push_back(std::make_shared<StreamClient>(
        Events, All, static_cast<int>(Clients.size()), Random(),
        [this](const std::string &Text) { note(Text); }));
    Clients.back()->start();
    Events.after(ClientEveryMs, [this] { nextClient(); });
  }
  void watchProcesses() {
    for (std::size_t I = 0; I < Fronts.All.size(); ++I)
      if (Fronts.All[I].Pid > 0 && Fronts.hasEnded(I)) {
        note(Fronts.All[I].Node + " has ended and is started again");
        Fronts.start(I);
      }
    Events.after(500, [this] { watchProcesses(); });
  }
  int judge() {
    int Whole = 0;
    for (const auto &Each : Clients)
      Whole += Each->IsWhole;
    note(std::to_string(Clients.size()) + " clients, " + std::to_string(Whole) +
         " whole streams");
    const int Result = IsLost ? judgeLost() : judgeOrder();
    if (Whole < static_cast<int>(Clients.size()) / 2) {
      note("too few streams to judge");
      return 2;
    }
    return Result;
  }
  /// ORDER: more than two streams hold events of two software versions.
  int judgeOrder() {
    int Joined = 0;
    for (std::size_t I = 0; I < Clients.size(); ++I)
      if (Clients[I]->Versions.size() > 1) {
        ++Joined;
        note("BROKEN: the stream of client " + std::to_string(I) +
             " holds events of two versions:" + Clients[I]->Seen);
      }
    note(std::to_string(Joined) + " streams hold two versions; more than " +
         std::to_string(MaxJoined) + " break ORDER");
    return Joined > MaxJoined ? 1 : 0;
  }
  /// LOST: of 12 or more streams that are taken up, the share that goes on is
  /// under half of the share of new streams that begin.
  int judgeLost() {
    int TakenUp = 0;
    int GoneOn = 0;
    int New = 0;
    int Begun = 0;
    const auto IsJudged = [&](std::int64_t AtMs) {
      return AtMs >= When.KillAtMs && AtMs < When.KillAtMs + JudgedMs;
    };
    for (const auto &Each : Clients) {
      if (IsJudged(Each->TakenUpAtMs)) {
        ++TakenUp;
        GoneOn += Each->HasGoneOn;
        if (!Each->HasGoneOn)
          note("the stream of client " + std::to_string(Each->number()) +
               " did not go on:" + Each->Seen);
      } else if (IsJudged(Each->BegunAtMs)) {
        ++New;
        Begun += !Each->Seen.empty();
      }
    }
    const bool IsBroken =
        TakenUp >= MinTakenUp &&
        2.0 * GoneOn * New < static_cast<double>(Begun) * TakenUp;
    note(std::string(IsBroken ? "BROKEN: " : "kept: ") +
         std::to_string(GoneOn) + " of " + std::to_string(TakenUp) +
         " streams that were taken up went on; " + std::to_string(Begun) +
         " of " + std::to_string(New) + " new streams began");
    return IsBroken ? 1 : 0;
  }

  bool IsLost;
  Plan When;
  bool Cuts;
  bool Kills;
  std::ofstream Record;
  Loop Events;
  Platform Store;
  std::unique_ptr<Listener> CutDoor;
  Daemons Fronts;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<StreamServer>> Servers;
  std::vector<std::shared_ptr<StreamClient>> Clients;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 6)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  return Case(Words[1], Words[2], Words[3], Words[4],
              std::string(Words[5]) == "lost")
      .run();
}
