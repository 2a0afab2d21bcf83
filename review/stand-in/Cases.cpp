#include "Cases.h"

#include "Callers.h"
#include "KvStore.h"
#include "Server.h"

#include <algorithm>
#include <unistd.h>

namespace review {

static constexpr const char *HostName = "pule25.example";
static constexpr const char *Key = "jnbanfqasnmgkcuyj8pj";
static constexpr const char *Service = "kafi81c";
/// The bounds of the deployment, as in the settings that Fleet writes.
static constexpr std::int64_t ContactMs = 3000;
static constexpr std::int64_t RecoveryMs = 12000;

/// Two routes to one plain service, as on a small deployment.
static json configuration(const std::vector<Address> &KvStores) {
  const auto Route = [](const char *Name, const char *Prefix,
                        const char *Kind) -> json {
    return {{"name", Name},    {"host", HostName},   {"pathPrefix", Prefix},
            {"kind", Kind},    {"timeoutMs", 1500},  {"targetLatencyMs", 120},
            {"priority", 2},   {"service", Service}, {"maxAttempts", 2},
            {"public", false}, {"sticky", false},    {"resumable", false}};
  };
  json Services = json::array({{{"name", Service},
                                {"healthPath", "/health"},
                                {"maxConns", 96},
                                {"protocol", "h1"},
                                {"tls", false}}});
  for (std::size_t I = 0; I < KvStores.size(); ++I)
    Services.push_back({{"name", "daje37f" + std::to_string(I)},
                        {"kvStore", KvStores[I].text()},
                        {"zone", "pnw-b"},
                        {"kvCapacity", 568523},
                        {"linkMbps", 190000.0},
                        {"maxInflight", 12},
                        {"managed", true},
                        {"first_ms", 0.5}});
  const json Limits = {{"maxHeaderBytes", 16384},
                       {"maxBodyBytes", 4194304},
                       {"headerTimeoutMs", 3000},
                       {"idleTimeoutMs", 15000}};
  const json Tenant = {
      {"name", "bozi300"}, {"apiKeys", {Key}}, {"priority", 1}};
  return {{"version", 7},
          {"routes", json::array({Route("r-buy", "/buy/", "unsafe"),
                                  Route("r-look", "/look/", "safe")})},
          {"services", Services},
          {"limits", Limits},
          {"tenants", json::array({Tenant})}};
}

namespace {

/// A store, three servers of a plain service and gateways.
struct Deployment {
  Deployment(const CaseSettings &Settings, int Gateways, int WorkMs,
             int KvStoreCount = 0)
      : Log(Settings.RecordPath),
        Network("127." + std::to_string(30 + getpid() % 90) + "." +
                std::to_string(getpid() / 90 % 250) + "."),
        Objects(Network + "200", Log) {
    std::vector<Address> KvAddresses;
    for (int I = 0; I < KvStoreCount; ++I) {
      this->KvStores.push_back(
          std::make_unique<KvStore>(this->Network + std::to_string(150 + I),
                                    "kv-" + std::to_string(I), this->Log));
      KvAddresses.push_back(this->KvStores.back()->address());
    }
    this->Objects.put("config", "main", configuration(KvAddresses));
    for (int I = 0; I < 3; ++I)
      this->Servers.push_back(std::make_unique<Server>(
          this->Network + std::to_string(100 + I),
          ServerSettings{.Id = "i-" + std::to_string(I) + "a91c2",
                         .Service = Service,
                         .Zone = "pnw-" +
                                 std::string(1, static_cast<char>('a' + I)),
                         .WorkMs = WorkMs},
          this->Objects, this->Log));
    sleepMs(200);
    this->Gateways =
        std::make_unique<Fleet>(FleetSettings{.Program = Settings.Program,
                                              .Root = Settings.Root,
                                              .Folder = Settings.Folder,
                                              .Network = this->Network,
                                              .Store = this->Objects.address(),
                                              .Count = Gateways},
                                this->Log);
    if (!this->Gateways->waitUntilReady(15000))
      throw std::runtime_error("the gateways are not ready");
    this->ReadyAt = nowMs();
  }

  CallerSettings callers() const {
    return {.Host = HostName,
            .Key = Key,
            .UnsafePath = "/buy/lot/",
            .SafePath = "/look/lot/"};
  }

  Record Log;
  std::string Network;
  Store Objects;
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<std::unique_ptr<KvStore>> KvStores;
  std::unique_ptr<Fleet> Gateways;
  std::int64_t ReadyAt = 0;
};

} // namespace

static std::string count(const char *What, std::size_t Number) {
  return std::string(What) + " " + std::to_string(Number);
}

/// Shows how the requests ended.
static void showOutcomes(Deployment &In, const std::vector<Outcome> &All) {
  std::map<std::string, std::size_t> Ends;
  for (const Outcome &Each : All)
    ++Ends[Each.End == ReadEnd::Whole      ? std::to_string(Each.Status)
           : Each.End == ReadEnd::TimedOut ? "no answer in time"
                                           : "closed without an answer"];
  for (const auto &[End, Number] : Ends)
    In.Log.note("requests that ended with " + End + ": " +
                std::to_string(Number));
}

/// Counts, by gateway, the requests from kept connections that a sound server
/// has run and whose connection was closed without an answer (rule LOST).
static std::vector<std::size_t> lostRequests(Deployment &In,
                                             const std::vector<Outcome> &All) {
  std::set<std::string> RunBySound;
  for (const auto &From : In.Servers)
    for (const Server::Arrival &Each : From->arrivals())
      if (Each.HasRun)
        RunBySound.insert(Each.Request);
  std::vector<std::size_t> Lost(static_cast<std::size_t>(In.Gateways->count()));
  for (const Outcome &Each : All)
    if (Each.IsKept &&
        (Each.End == ReadEnd::Closed || Each.End == ReadEnd::Cut) &&
        Each.SentAt >= In.ReadyAt + ContactMs && RunBySound.contains(Each.Id)) {
      ++Lost[static_cast<std::size_t>(Each.Gateway)];
      In.Log.line("LOST: " + Each.Id + " through gateway " +
                  std::to_string(Each.Gateway));
    }
  return Lost;
}

/// Judges the rule LOST after processes may have ended, and notes the ends that
/// count as a fault.
static int judgeEnds(Deployment &In, const std::vector<Outcome> &All) {
  showOutcomes(In, All);
  const auto Lost = lostRequests(In, All);
  bool IsLost = false;
  int OftenEnded = 0;
  for (int I = 0; I < In.Gateways->count(); ++I) {
    const std::size_t Here = Lost[static_cast<std::size_t>(I)];
    IsLost |= Here > 3;
    OftenEnded += In.Gateways->ends(I) >= 3;
    In.Log.note("gateway " + std::to_string(I) + ": ended by itself " +
                std::to_string(In.Gateways->ends(I)) + " times, peak " +
                std::to_string(In.Gateways->peakMb(I)) + " MB, " +
                count("lost", Here));
  }
  // A tenth of the machines, two at least, three times each.
  const bool IsFault = OftenEnded >= 2;
  In.Log.note(std::string("LOST is ") + (IsLost ? "broken" : "kept") +
              ", Fault is " + (IsFault ? "broken" : "kept"));
  return IsLost ? 1 : 0;
}

/// Bytes that can't be read, as they come through JSON, before a port.
static constexpr const char *BadAddress =
    "127.128.\xef\xbf\xbd\xef\xbf\xbd.9:8080";

int playRegistryAddress(const CaseSettings &Settings) {
  Deployment In(Settings, /*Gateways=*/3, /*WorkMs=*/30);
  CallerSettings Calls = In.callers();
  Calls.PerGateway = 6;
  Calls.PerSecond = 5;
  Callers Clients(Calls, *In.Gateways, In.Log);
  sleepUntilMs(In.ReadyAt + 6000);
  // Each time, the entry goes after three heartbeat intervals of silence.
  for (int Count = 0; Count < 6; ++Count) {
    const std::int64_t Next = nowMs() + 8000;
    if (Settings.HasTrouble) {
      In.Log.note(std::string("another writer writes entry i-02d9e6b4 with "
                              "address ") +
                  BadAddress);
      In.Objects.beat("i-02d9e6b4", {{"service", Service},
                                     {"address", BadAddress},
                                     {"zone", "pnw-a"},
                                     {"version", "v1"},
                                     {"slots", 6},
                                     {"state", "ready"},
                                     {"coldLeftMs", 0},
                                     {"born", 1780000000000},
                                     {"sequence", 1}});
    }
    sleepUntilMs(Next);
  }
  Clients.stop();
  return judgeEnds(In, Clients.outcomes());
}

/// Returns how many of the requests that were sent within [\p From, \p To) were
/// served, and how many there were.
static std::pair<std::size_t, std::size_t>
servedWithin(const std::vector<Outcome> &All, std::int64_t From,
             std::int64_t To) {
  std::pair<std::size_t, std::size_t> Result;
  for (const Outcome &Each : All) {
    if (Each.SentAt < From || Each.SentAt >= To)
      continue;
    ++Result.second;
    Result.first +=
        Each.End == ReadEnd::Whole && Each.Status == 200 && Each.IsSigned;
  }
  return Result;
}

int playUnreadableEntry(const CaseSettings &Settings) {
  Deployment In(Settings, /*Gateways=*/3, /*WorkMs=*/30);
  CallerSettings Calls = In.callers();
  Calls.PerGateway = 4;
  Calls.PerSecond = 3;
  Callers Clients(Calls, *In.Gateways, In.Log);
  // The other writer keeps its entry from expiring.
  std::atomic<bool> Writes = false;
  std::atomic<bool> Ends = false;
  std::thread Writer([&] {
    for (; !Ends; sleepMs(100))
      if (Writes)
        In.Objects.beat("i-02d9e6b4",
                        {{"service", Store::CutText}, {"state", "ready"}});
  });
  sleepUntilMs(In.ReadyAt + 6000);
  if (Settings.HasTrouble) {
    In.Log.note("another writer writes entry i-02d9e6b4, which can't be read");
    Writes = true;
  }
  sleepUntilMs(In.ReadyAt + 12000);
  const std::int64_t KilledAt = nowMs();
  In.Gateways->killAll(/*DownMs=*/1200);
  const std::int64_t BackAt = KilledAt + 1200 + 1000;
  sleepUntilMs(BackAt + RecoveryMs + 10000);
  for (int I = 0; I < In.Gateways->count(); ++I)
    In.Log.note("gateway " + std::to_string(I) + " says that it is " +
                (In.Gateways->isReady(I) ? "ready" : "not ready"));
  Clients.stop();
  Ends = true;
  Writer.join();
  const std::vector<Outcome> All = Clients.outcomes();
  showOutcomes(In, All);
  const auto Before = servedWithin(All, 0, KilledAt);
  const auto After = servedWithin(All, BackAt + RecoveryMs, INT64_MAX);
  const auto Show = [&](const char *When, const auto &Of) {
    In.Log.note(std::string("served ") + When + ": " +
                std::to_string(Of.first) + " of " + std::to_string(Of.second));
  };
  Show("before the final fault", Before);
  Show("later than recoveryS after the machines were back", After);
  if (Before.first * 4 < Before.second || After.second < 20)
    throw std::runtime_error("too little traffic to judge");
  const bool IsBroken = After.first * 4 < After.second;
  In.Log.note(std::string("RECOVER is ") + (IsBroken ? "broken" : "kept"));
  return IsBroken ? 1 : 0;
}

int playEndlessStore(const CaseSettings &Settings) {
  Deployment In(Settings, /*Gateways=*/3, /*WorkMs=*/30, /*KvStoreCount=*/5);
  CallerSettings Calls = In.callers();
  Calls.PerGateway = 6;
  Calls.PerSecond = 5;
  Callers Clients(Calls, *In.Gateways, In.Log);
  sleepUntilMs(In.ReadyAt + 6000);
  if (Settings.HasTrouble) {
    // Together 120 MB/s, below the 1,000 Mbit/s of the link of a gateway.
    In.KvStores[0]->setEndless(60000);
    In.KvStores[1]->setEndless(60000);
    In.Log.note("two of five stores answer with bytes without end from now on");
  }
  sleepUntilMs(In.ReadyAt + 26000);
  Clients.stop();
  return judgeEnds(In, Clients.outcomes());
}

} // namespace review
