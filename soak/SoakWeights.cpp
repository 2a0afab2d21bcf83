#include "SoakWeights.h"

namespace galenaroute::soak {

using namespace std::chrono_literals;
using namespace testing_support;

static constexpr std::size_t EngineCount = 4;
/// The engines with the newest weights alone cannot run all calls, so that
/// others are used while they may be.
static constexpr int Slots = 1;
static constexpr Duration RunTime = 90ms;
/// From one naming to the next. Some follow within the limit of the one before.
static constexpr Duration MinNamingGap = 2s;
/// A version is named this long after a fault has begun, if the fault lasts for
/// MinFault or longer.
static constexpr Duration NamingDelay = 300ms;
static constexpr Duration MinFault = 2s;
static constexpr Duration MaxNamingGap = 12s;
static constexpr Duration ShortLoad = 300ms;
static constexpr Duration LongLoad = 3s;
/// An engine that refuses orders accepts them again this long after a naming.
static constexpr Duration RefusalTime = 12s;

static Duration drawn(std::uint64_t Random, Duration Least, Duration Most) {
  return Least + Milliseconds(Random % static_cast<std::uint64_t>(
                                           toMilliseconds(Most - Least)));
}

SoakWeights::SoakWeights(EventLoop &Loop, FakePlatformServer &Store,
                         std::uint64_t Seed, SoakWeightsParts Parts)
    : Loop(Loop), Store(Store), Random(~Seed), Parts(std::move(Parts)) {}

SoakWeights::~SoakWeights() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
}

void SoakWeights::after(Duration Delay, const std::function<void()> &Action) {
  this->Timers.push_back(this->Loop.timers().after(Delay, Action));
}

void SoakWeights::addTo(nlohmann::json &Config) {
  const nlohmann::json Given = weightedConfig(Slots);
  Config["services"].push_back(Given.at("services").at(0));
  for (nlohmann::json Route : Given.at("routes")) {
    Route["name"] = "engine-" + Route.at("name").get<std::string>();
    Route["pathPrefix"] = "/engine" + Route.at("pathPrefix").get<std::string>();
    Route["timeoutMs"] = 1500;
    Route["targetLatencyMs"] = 200;
    Config["routes"].push_back(Route);
  }
}

void SoakWeights::start() {
  this->put(this->Version);
  for (std::size_t I = 0; I < EngineCount; ++I)
    this->addEngine(I);
}

void SoakWeights::addEngine(std::size_t Index) {
  this->Engines.push_back(std::make_unique<WeightedEngine>(
      this->Loop, this->Parts.Seen,
      WeightedEngineSettings{
          .Slots = Slots,
          .RunTime = RunTime,
          .Version = this->Version,
          .LoadTime = ShortLoad,
          .GatewayOf = this->Parts.DaemonOf,
          .Answer = answerOf,
          .OnOrder =
              [this, Index](const std::string &Holder, std::uint64_t Fence) {
                this->Parts.OnOrder("e" + std::to_string(Index), Holder, Fence);
              }},
      [this, Index](const SocketAddress &At, std::uint64_t Loaded) {
        this->Store.put("servers", "e" + std::to_string(Index),
                        {{"service", "m"},
                         {"address", At.toString()},
                         {"zone", "z0"},
                         {"version", "1"},
                         {"slots", Slots},
                         {"state", "ready"},
                         {"sequence", Loaded},
                         {"born", 1},
                         {"models", {{{"name", "w"}, {"version", Loaded}}}}});
        if (Loaded > 1)
          this->Parts.Note("engine " + std::to_string(Index) +
                           " has loaded version " + std::to_string(Loaded));
      }));
}

void SoakWeights::put(std::uint64_t Named) {
  this->Store.put("versions", "w", {{"model", "w"}, {"version", Named}});
  this->Parts.Seen.named(EventLoop::now(), Named);
}

void SoakWeights::nameUntil(TimePoint End) {
  this->after(drawn(this->Random(), MinNamingGap, MaxNamingGap), [this, End] {
    if (EventLoop::now() >= End)
      return;
    this->name();
    this->nameUntil(End);
  });
}

void SoakWeights::onFault(const Fault &Struck) {
  const bool StrikesDaemons =
      Struck.Kind == FaultKind::Freeze || Struck.Kind == FaultKind::Kill ||
      Struck.Kind == FaultKind::KillAll || Struck.Kind == FaultKind::StoreAway;
  if (StrikesDaemons && Struck.For >= MinFault &&
      (Struck.Kind == FaultKind::Freeze || this->below(2) == 0))
    this->after(NamingDelay, [this] { this->name(); });
}

void SoakWeights::name() {
  if (EventLoop::now() - this->NamedAt < MinNamingGap)
    return;
  this->NamedAt = EventLoop::now();
  this->put(++this->Version);
  ++this->Named;
  std::string Loads;
  // The first engine always loads soon, so that some calls are served.
  for (std::size_t I = 1; I < EngineCount; ++I) {
    const std::uint64_t Drawn = this->below(4);
    std::optional<Duration> LoadTime;
    if (Drawn < 2)
      LoadTime = Drawn == 0 ? ShortLoad : LongLoad;
    this->Engines[I]->setLoadTime(LoadTime);
    Loads += LoadTime ? " " + std::to_string(toMilliseconds(*LoadTime)) + " ms"
                      : " refused";
  }
  this->Parts.Note("version " + std::to_string(this->Version) +
                   " is named; loads:" + Loads);
  this->after(RefusalTime, [this, Named = this->Version] {
    if (this->Version != Named)
      return;
    for (const auto &Each : this->Engines)
      Each->setLoadTime(ShortLoad);
  });
}

CallerView SoakWeights::drawCall(const std::string &Id) {
  CallerView Call;
  Call.IsForEngines = true;
  Call.IsOnce = this->below(2) == 0;
  Call.Path = Call.IsOnce ? "/engine/once/a" : "/engine/safe/a";
  Call.Body = std::string(1 + this->below(300), 'b') + Id;
  return Call;
}

void checkWeights(const SoakHistory &History, const SoakBounds &Bounds,
                  std::vector<BrokenPromise> &Found) {
  WeightsHistory Judged = History.Weights;
  for (const Disturbance &Each : History.Disturbances)
    if (Each.Daemon)
      Judged.excuse(*Each.Daemon, Each.From, Each.Until);
  const auto Late = findOutdated(
      Judged, {.Limit = Bounds.WeightsLimit, .Contact = Bounds.Contact});
  if (!Late.empty())
    Found.push_back({"outdated weights go out of use", Late.front().Call.Call,
                     std::to_string(Late.size()) +
                         " calls; the first: " + Late.front().toString()});
  std::map<std::string, int> Runs;
  for (const WeightsHistory::Begin &Each : Judged.begins()) {
    const auto Call = History.Calls.find(Each.Call);
    if (Call == History.Calls.end())
      Found.push_back({"only calls of callers run", Each.Call, "an engine"});
    else if (++Runs[Each.Call] == 2 && Call->second.IsOnce)
      Found.push_back({"at most once", Each.Call, "ran twice at engines"});
  }
}

} // namespace galenaroute::soak
