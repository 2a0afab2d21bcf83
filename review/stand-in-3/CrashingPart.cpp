// A part of a prompt crashes each server that begins to write an answer on it.
// Are sound requests with the same first part still served? Plays the store,
// the servers and the clients; starts three daemons. Callers of other prompts
// ask all the time. Those of one first part pause for half a minute, as prompts
// do that return; then several of them come at once with the part that crashes
// servers, and further ones each second. Sound requests with the first part
// follow.
//
//   crashing-part PROGRAM FOLDER RECORD TROUBLE
//
// TROUBLE is 1, 0, or single: no two crashing requests at once.

#include "Daemons.h"
#include "Streams.h"

using namespace standin;

static constexpr std::int64_t ContactMs = 3000;
static constexpr std::int64_t OthersFromMs = 6000;
static constexpr std::int64_t BeforeFromMs = 7000;
static constexpr std::int64_t BeforeUntilMs = 12000;
static constexpr std::int64_t CrashingFromMs = 40000;
static constexpr std::int64_t SoundFromMs = 44000;
static constexpr std::int64_t UntilMs = 62000;
static constexpr std::int64_t LengthMs = 66000;
static constexpr std::int64_t SoundEveryMs = 150;
static constexpr std::int64_t OtherEveryMs = 50;
static constexpr std::int64_t CrashingEveryMs = 1000;
static constexpr int AtOnce = 8;
static constexpr int MinJudged = 20;
static const std::string FirstPart = "f1f1f1f1:600";
static const std::string CrashingPart = "deadbeef:200";

namespace {

class Case {
public:
  Case(const std::string &Program, const std::string &Folder,
       const std::string &RecordPath, const std::string &Trouble)
      : Crashes(Trouble != "0"), IsSingle(Trouble == "single"),
        Record(RecordPath), Store(Events, at(9, 7, 0)),
        Fronts(Folder, Program, network(), 3, Store.address()),
        Random(static_cast<std::uint64_t>(wallMs())) {}

  int run() {
    Store.put("config", "main", config());
    Store.put("versions", "weights-a",
              {{"model", "weights-a"}, {"version", 1}});
    Servers.resize(12);
    for (std::size_t I = 0; I < Servers.size(); ++I)
      startServer(I);
    for (std::size_t I = 0; I < Fronts.All.size(); ++I)
      Fronts.start(I);
    every(OthersFromMs, UntilMs, OtherEveryMs, [this] { askOther(); });
    every(BeforeFromMs, BeforeUntilMs, SoundEveryMs, [this] { askSound(); });
    every(SoundFromMs, UntilMs, SoundEveryMs, [this] { askSound(); });
    if (Crashes) {
      if (!IsSingle)
        Events.after(CrashingFromMs, [this] {
          for (int I = 0; I < AtOnce; ++I)
            askCrashing();
        });
      every(CrashingFromMs + 500, UntilMs, CrashingEveryMs,
            [this] { askCrashing(); });
    }
    Events.after(LengthMs, [this] { Events.stop(); });
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
             {{{"name", "t-1"}, {"apiKeys", {"key-1"}}, {"priority", 1}},
              {{"name", "t-2"}, {"apiKeys", {"key-2"}}, {"priority", 1}}}}};
  }
  void note(const std::string &Text) {
    Record << nowMs() << " ms  " << Text << '\n';
  }
  void every(std::int64_t From, std::int64_t Until, std::int64_t Period,
             std::function<void()> Do) {
    Events.after(From - nowMs(), [this, Until, Period, Do] {
      if (nowMs() >= Until)
        return;
      Do();
      every(nowMs() + Period, Until, Period, Do);
    });
  }

  // The servers.
  void startServer(std::size_t I) {
    static const char *Zones[] = {"derwent", "wellington", "huon"};
    const std::string Id =
        "i-" + std::to_string(I + 1) + "-" + std::to_string(++Starts);
    Servers[I] = std::make_unique<StreamServer>(
        Events, Store, Id, Zones[I % 3], "v1",
        at(8, 10 + static_cast<int>(I), Ports[I]));
    Ports[I] = Servers[I]->address().Port;
    Servers[I]->EventCount = 10;
    Servers[I]->FirstEventMs = 100;
    Servers[I]->CrashesOn = CrashingPart.substr(0, CrashingPart.find(':'));
    Servers[I]->Note = [this](const std::string &Text) { note(Text); };
    Servers[I]->OnCrash = [this, I] { crash(I); };
  }
  /// The server is gone at once, and a new one at its address 3 s later.
  void crash(std::size_t I) {
    CrashedAtMs.push_back(nowMs());
    note("server " + std::to_string(I + 1) + " crashes, the " +
         std::to_string(CrashedAtMs.size()) + ". crash");
    const std::string Id = Servers[I]->id();
    Servers[I].reset();
    Events.after(3000, [this, I] { startServer(I); });
    // The entry lapses after three heartbeats.
    Events.after(3600, [this, Id] { Store.put("servers", Id, nullptr); });
  }

  // The callers.
  std::string unique() { return hex(Random()).substr(8); }
  static std::string hex(std::uint64_t Value) {
    char Text[20];
    std::snprintf(Text, sizeof Text, "%016llx",
                  static_cast<unsigned long long>(Value));
    return Text;
  }
  std::shared_ptr<StreamClient> ask(const std::string &Prefix,
                                    const std::string &Key) {
    std::vector<Address> All;
    for (std::size_t I = 0; I < Fronts.All.size(); ++I)
      All.push_back(Fronts.front(I));
    Clients.push_back(std::make_shared<StreamClient>(
        Events, All, static_cast<int>(Clients.size()), Random(),
        [this](const std::string &Text) { note(Text); }));
    Clients.back()->Prefix = Prefix;
    Clients.back()->Key = Key;
    Clients.back()->start();
    return Clients.back();
  }
  void askOther() {
    ask("0000000" + std::to_string(Random() % 8) + ":300," + unique() +
            ":100," + unique() + ":50",
        "key-2");
  }
  void askSound() {
    Sound.push_back(
        ask(FirstPart + "," + unique() + ":150," + unique() + ":50", "key-1"));
  }
  void askCrashing() {
    const auto Asked = ask(FirstPart + "," + CrashingPart + "," + unique() +
                               ":150," + unique() + ":50",
                           "key-1");
    Asked->MaxTries = 1;
  }

  /// LOST: sound requests begin at the first attempt less than half as often as
  /// outside unplanned disruption.
  int judge() {
    int Before = 0;
    int BegunBefore = 0;
    int After = 0;
    int BegunAfter = 0;
    const std::int64_t From =
        CrashedAtMs.empty()
            ? SoundFromMs
            : CrashedAtMs[std::min<std::size_t>(4, CrashedAtMs.size() - 1)] +
                  2 * ContactMs;
    for (const auto &Each : Sound) {
      if (Each->BegunAtMs < BeforeUntilMs + 1000) {
        ++Before;
        BegunBefore += Each->HasBegunAtOnce;
      } else if (Each->BegunAtMs >= From) {
        ++After;
        BegunAfter += Each->HasBegunAtOnce;
      }
    }
    note(std::to_string(CrashedAtMs.size()) + " crashes");
    const bool IsBroken =
        After >= MinJudged && Before >= MinJudged &&
        2.0 * BegunAfter * Before < static_cast<double>(BegunBefore) * After;
    note(std::string(IsBroken ? "BROKEN: " : "kept: ") +
         std::to_string(BegunBefore) + " of " + std::to_string(Before) +
         " sound requests began at the first attempt before the crashes, " +
         std::to_string(BegunAfter) + " of " + std::to_string(After) +
         " from " + std::to_string(From) + " ms on");
    if (BegunBefore < MinJudged)
      return 2;
    return IsBroken ? 1 : 0;
  }

  bool Crashes;
  bool IsSingle;
  std::ofstream Record;
  Loop Events;
  Platform Store;
  Daemons Fronts;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<StreamServer>> Servers;
  std::map<std::size_t, int> Ports;
  int Starts = 0;
  std::vector<std::int64_t> CrashedAtMs;
  std::vector<std::shared_ptr<StreamClient>> Clients;
  std::vector<std::shared_ptr<StreamClient>> Sound;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 5)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  return Case(Words[1], Words[2], Words[3], Words[4]).run();
}
