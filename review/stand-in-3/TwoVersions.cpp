// Streams of servers with two software versions that break and go on elsewhere.
// Plays the store, the servers and the clients; starts three daemons.
//
//   same-id: the store turns one daemon away; a server crashes and starts again
//          under its id with a new version; then another server crashes. Do the
//          streams of that daemon go on at the version that began them?
//   frozen: a daemon stands still as servers of a new version register; another
//          one is killed meanwhile. Do its streams go on at the version that
//          began them at the one that wakes?
//   lost:  both versions serve; the store turns one daemon away, which is
//          killed 3.5 s later. Do its streams go on?
//
//   two-versions PROGRAM FOLDER RECORD TROUBLE same-id|frozen|lost
//
// TROUBLE is 1, 0, or one side of it alone: cut (the cut, the freeze) or kill
// (the kill, the crashes).

#include "Daemons.h"
#include "Streams.h"

using namespace standin;

static constexpr std::int64_t ClientsFromMs = 6000;
static constexpr std::int64_t ClientsUntilMs = 19500;
static constexpr std::int64_t LengthMs = 26000;
static constexpr std::int64_t ClientEveryMs = 8;
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
};
static constexpr Plan SameIdPlan = {1, 4500, 9000};
static constexpr std::int64_t FirstCrashMs = 4700;
static constexpr std::int64_t SecondCrashMs = 12500;
static constexpr std::int64_t CrashMs = 1000;
static constexpr std::int64_t FreezeAtMs = 9000;
static constexpr std::int64_t FreezeMs = 2000;
static constexpr Plan LostPlan = {0, 9000, 5000};
static constexpr std::int64_t NewVersionMs = 7500;
static constexpr std::int64_t KillAtMs = 12500;

namespace {

class Case {
public:
  Case(const std::string &Program, const std::string &Folder,
       const std::string &RecordPath, const std::string &Trouble,
       const std::string &What)
      : IsLost(What == "lost"), IsFrozen(What == "frozen"),
        When(IsLost ? LostPlan : SameIdPlan),
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
    const int FirstServers = IsLost || IsFrozen ? 3 : 4;
    for (int I = 0; I < FirstServers; ++I)
      addServer(I, "v1");
    for (std::size_t I = 0; I < Fronts.All.size(); ++I)
      Fronts.start(I);
    Events.after(ClientsFromMs, [this] { nextClient(); });
    if (Cuts && !IsFrozen)
      planCut();
    if (IsLost)
      planKill();
    else if (IsFrozen)
      planFreeze();
    else
      planCrashes();
    Events.after(LengthMs, [this] { Events.stop(); });
    watchProcesses();
    Events.run();
    return judge();
  }

private:
  /// The store turns a daemon away for some time.
  void planCut() {
    Events.after(When.CutAtMs, [this] {
      note("the store turns " + Fronts.All[When.CutFront].Node +
           " away, in silence");
      CutDoor->setSilent(true);
    });
    Events.after(When.CutAtMs + When.CutMs, [this] {
      note("the store answers " + Fronts.All[When.CutFront].Node + " again");
      CutDoor->setSilent(false);
    });
  }
  /// Servers of a new version come, and the daemon that is cut off is killed.
  void planKill() {
    Events.after(NewVersionMs, [this] {
      note("two servers of version v2 register");
      addServer(3, "v2");
      addServer(4, "v2");
    });
    Events.after(KillAtMs, [this] {
      if (!Kills)
        return;
      note(Fronts.All[When.CutFront].Node + " is killed");
      Fronts.signal(When.CutFront, SIGKILL);
    });
  }
  /// A daemon stands still as servers of a new version come, and another one is
  /// killed.
  void planFreeze() {
    Events.after(FreezeAtMs + 100, [this] {
      note("two servers of version v2 register");
      addServer(3, "v2");
      addServer(4, "v2");
    });
    if (Cuts) {
      Events.after(FreezeAtMs, [this] {
        note(Fronts.All[When.CutFront].Node + " freezes");
        Fronts.signal(When.CutFront, SIGSTOP);
      });
      Events.after(FreezeAtMs + FreezeMs, [this] {
        note(Fronts.All[When.CutFront].Node + " wakes");
        Fronts.signal(When.CutFront, SIGCONT);
      });
    }
    if (Kills)
      Events.after(FreezeAtMs + FreezeMs - 500, [this] {
        note(Fronts.All[0].Node + " is killed");
        Fronts.signal(0, SIGKILL);
      });
  }
  /// Two servers crash for a second, one after the other. The first one comes
  /// back with a new version.
  void planCrashes() {
    if (!Kills)
      return;
    Events.after(FirstCrashMs, [this] { crash(0, "v2"); });
    Events.after(SecondCrashMs, [this] { crash(1, "v1"); });
  }
  void crash(std::size_t I, const std::string &Next) {
    note("server i-" + std::to_string(I + 1) + " crashes");
    const Address Own = Servers[I]->address();
    Servers[I].reset();
    Events.after(CrashMs, [this, I, Next, Own] {
      note("server i-" + std::to_string(I + 1) +
           " starts again under its id, with version " + Next);
      Servers[I] = newServer(static_cast<int>(I), Next, Own);
    });
  }
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
  std::unique_ptr<StreamServer> newServer(int I, const std::string &Version,
                                          const Address &Own) {
    static const char *Zones[] = {"derwent", "wellington", "huon"};
    auto Result = std::make_unique<StreamServer>(Events, Store,
                                                 "i-" + std::to_string(I + 1),
                                                 Zones[I % 3], Version, Own);
    Result->Note = [this](const std::string &Text) { note(Text); };
    return Result;
  }
  void addServer(int I, const std::string &Version) {
    Servers.push_back(newServer(I, Version, at(8, 10 + I, 0)));
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
      return AtMs >= KillAtMs && AtMs < KillAtMs + JudgedMs;
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
  bool IsFrozen;
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
  return Case(Words[1], Words[2], Words[3], Words[4], Words[5]).run();
}
