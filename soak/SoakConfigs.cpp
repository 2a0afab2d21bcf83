#include "SoakConfigs.h"

#include "SoakConnections.h"

#include <algorithm>

namespace galenaroute::soak {

using namespace std::chrono_literals;

static constexpr Duration MinChangeGap = 300ms;
static constexpr Duration MaxChangeGap = 2500ms;
static constexpr std::size_t MaxRoutes = 6;
/// Calls go to routes that are there and to as many that were dropped last.
static constexpr std::size_t ProbedRoutes = 12;
static constexpr Duration ProbeGap = 40ms;
static constexpr Duration ProbePatience = 3s;
static constexpr int IdleLimitsMs[] = {1000, 1500, 2500, 4000};
static constexpr int HeadLimitsMs[] = {1000, 1500, 3000};
static constexpr int BodyLimits[] = {100 << 10, 1 << 20, 4 << 20};
/// Ages of the copies that the store returns from; half are of the shorter.
static constexpr Duration MinCopyAge = 1s;
static constexpr Duration ShortCopyAge = 3s;
static constexpr Duration MaxCopyAge = 10s;
static constexpr Duration MinAway = 500ms;
static constexpr Duration MaxAway = 2s;
/// The writers of lost entries write them again within this time.
static constexpr Duration RewriteTime = 2s;
static constexpr Duration MinRestoreGap = 100ms;
static constexpr Duration MaxRestoreGap = 3s;
/// Freezes, kills and cuts of a daemon over a restoration. Longer than a lease.
static constexpr Duration MinFault = 3500ms;
static constexpr Duration MaxFault = 6s;
/// From the return of the store to the naming of new weights.
static constexpr Duration MaxNamingDelay = 3s;
/// After half of the restorations, one configuration and then none for this
/// time: the next one would hide from a daemon's answers that it missed one.
static constexpr Duration QuietTime = 8s;
/// Kinds that the operator and the servers write.
static constexpr const char *WrittenKinds[] = {"config", "servers", "versions"};

SoakConfigs::SoakConfigs(EventLoop &Loop,
                         testing_support::FakePlatformServer &Store,
                         const testing_support::PlatformDaemons &Places,
                         std::uint64_t Seed, SoakConfigsParts Parts)
    : Loop(Loop), Store(Store), Places(Places), Random(Seed * 3 + 1),
      Parts(std::move(Parts)) {}

SoakConfigs::~SoakConfigs() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
}

void SoakConfigs::after(Duration Delay, const std::function<void()> &Action) {
  this->Timers.push_back(this->Loop.timers().after(Delay, Action));
}

Duration SoakConfigs::drawn(Duration Least, Duration Most) {
  return Least + Milliseconds(this->below(
                     static_cast<std::uint64_t>(toMilliseconds(Most - Least))));
}

void SoakConfigs::write(nlohmann::json First) {
  this->Config = std::move(First);
  SoakConnections::addTo(this->Config);
  this->Config["limits"] = {{"maxHeaderBytes", 16384},
                            {"maxBodyBytes", 4 << 20},
                            {"headerTimeoutMs", 3000},
                            {"idleTimeoutMs", 4000}};
  this->addRoute();
  this->recordLimit();
  this->put();
}

void SoakConfigs::put() {
  this->Config["version"] =
      this->Config.at("version").get<int>() + 1 + static_cast<int>(below(5));
  this->Store.put("config", "main", this->Config);
}

void SoakConfigs::recordLimit() {
  this->Parts.Seen.Connections.IdleLimits.push_back(
      {EventLoop::now(),
       Milliseconds(this->Config["limits"]["idleTimeoutMs"].get<int>())});
}

void SoakConfigs::changeLimits() {
  nlohmann::json &Limits = this->Config["limits"];
  Limits["idleTimeoutMs"] = IdleLimitsMs[this->below(std::size(IdleLimitsMs))];
  Limits["headerTimeoutMs"] =
      HeadLimitsMs[this->below(std::size(HeadLimitsMs))];
  Limits["maxBodyBytes"] = BodyLimits[this->below(std::size(BodyLimits))];
  this->recordLimit();
  this->Parts.Note("limits " + Limits.dump());
}

nlohmann::json &SoakConfigs::routeNamed(const std::string &Name) {
  return *std::find_if(
      this->Config["routes"].begin(), this->Config["routes"].end(),
      [&](const nlohmann::json &Each) { return Each.at("name") == Name; });
}

void SoakConfigs::addRoute() {
  if (this->Routes.size() >= MaxRoutes) {
    this->dropRoute();
    return;
  }
  const std::string Name = "r" + std::to_string(++this->LastRoute);
  const std::string Service = "k" + std::to_string(this->below(2));
  this->Config["routes"].push_back(
      SoakConnections::routeOf(Name, Service, Milliseconds(1500)));
  this->Routes.push_back(Name);
  this->Parts.Seen.Configs.Routes[Name] = {{TimePoint(), ""},
                                           {EventLoop::now(), Service}};
  this->Parts.Note("route " + Name + " is added");
}

void SoakConfigs::dropRoute() {
  if (this->Routes.empty())
    return;
  const std::string Name = this->Routes.front();
  this->Routes.erase(this->Routes.begin());
  nlohmann::json Kept = nlohmann::json::array();
  for (const nlohmann::json &Each : this->Config["routes"])
    if (Each.at("name") != Name)
      Kept.push_back(Each);
  this->Config["routes"] = Kept;
  this->Parts.Seen.Configs.Routes[Name].push_back({EventLoop::now(), ""});
  this->Parts.Note("route " + Name + " is dropped");
}

/// Moves a route to the other service: one of the routes that come and go, or
/// the one of the callers that keep connections.
void SoakConfigs::moveRoute() {
  const std::size_t Drawn = this->below(this->Routes.size() + 1);
  const std::string Name =
      Drawn == this->Routes.size() ? "kept" : this->Routes[Drawn];
  nlohmann::json &Route = this->routeNamed(Name);
  Route["service"] = Route.at("service") == "k0" ? "k1" : "k0";
  if (Name != "kept")
    this->Parts.Seen.Configs.Routes[Name].push_back(
        {EventLoop::now(), Route.at("service")});
  this->Parts.Note("route " + Name + " moves to " +
                   Route.at("service").get<std::string>());
}

void SoakConfigs::change() {
  // The store acknowledges nothing while it is away.
  if (this->IsStoreAway || EventLoop::now() < this->QuietUntil)
    return;
  switch (this->below(5)) {
  case 0:
  case 1:
    this->changeLimits();
    break;
  case 2:
    this->addRoute();
    break;
  case 3:
    this->dropRoute();
    break;
  default:
    this->moveRoute();
  }
  ++this->Changes;
  this->Parts.Amend(this->Config);
  this->put();
}

void SoakConfigs::changeLater() {
  this->after(this->drawn(MinChangeGap, MaxChangeGap), [this] {
    if (EventLoop::now() >= this->End)
      return;
    this->change();
    this->changeLater();
  });
}

void SoakConfigs::play(TimePoint Until) {
  this->End = Until;
  this->changeLater();
  this->restoreLater(this->drawn(MinRestoreGap, MaxRestoreGap));
}

SoakConfigs::Specs SoakConfigs::written() const {
  Specs Result;
  for (const char *Kind : WrittenKinds)
    for (const auto &[Name, Spec] : this->Store.specs(Kind))
      Result[{Kind, Name}] = Spec;
  return Result;
}

/// Copies the store after \p Delay, and returns it to that copy later.
void SoakConfigs::restoreLater(Duration Delay) {
  this->after(Delay, [this] {
    const bool IsShort = this->below(2) == 0;
    const Duration Age =
        this->drawn(MinCopyAge, IsShort ? ShortCopyAge : MaxCopyAge);
    if (EventLoop::now() + Age + MaxAway + RewriteTime >= this->End)
      return;
    this->Store.keepCopy();
    this->after(Age, [this] { this->restore(); });
  });
}

/// Lets a fault of one daemon last over a restoration in two of three cases;
/// half of these strike the daemon that gave the last order to an engine.
void SoakConfigs::strikeBeside() {
  static constexpr FaultKind Kinds[] = {FaultKind::Freeze, FaultKind::Kill,
                                        FaultKind::StoreAway};
  if (this->below(3) == 0)
    return;
  std::size_t Target = this->below(this->Places.Count);
  const std::vector<OrderView> &Orders = this->Parts.Seen.Configs.Orders;
  if (this->below(2) == 0 && !Orders.empty())
    Target = Orders.back().Daemon.value_or(Target);
  const Duration Left = this->End - EventLoop::now();
  this->Parts.Strike({.For = std::min(this->drawn(MinFault, MaxFault), Left),
                      .Kind = Kinds[this->below(std::size(Kinds))],
                      .Target = Target});
}

void SoakConfigs::restore() {
  this->strikeBeside();
  const Duration Away = this->drawn(MinAway, MaxAway);
  const TimePoint Now = EventLoop::now();
  this->IsStoreAway = true;
  this->Store.setSilent(true);
  this->Parts.Note("store is away for " + std::to_string(toMilliseconds(Away)) +
                   " ms and returns from a copy");
  this->Parts.Seen.Configs.Disruptions.push_back(
      {Now, Now + Away, this->Store.era() + 1});
  this->Parts.Seen.Weights.interrupt(Now, Now + Away + RewriteTime +
                                              SoakBounds().Contact);
  this->Parts.Seen.LastFaultAt =
      std::max(this->Parts.Seen.LastFaultAt, Now + Away + RewriteTime);
  this->after(Away, [this] {
    const Specs Before = this->written();
    this->Store.restore();
    this->Store.setSilent(false);
    this->IsStoreAway = false;
    ++this->Restorations;
    this->Parts.Note("store is back, era " + std::to_string(this->Store.era()));
    this->rewrite(Before);
    Duration Quiet{};
    if (this->below(2) == 0) {
      Quiet = QuietTime;
      this->after(this->drawn(0ms, 500ms), [this] {
        this->change();
        this->QuietUntil = EventLoop::now() + QuietTime;
      });
    }
    if (this->below(2) == 0)
      this->after(this->drawn(0ms, MaxNamingDelay),
                  [this] { this->Parts.NameWeights(); });
    this->restoreLater(Quiet + this->drawn(MinRestoreGap, MaxRestoreGap));
  });
}

/// Writes again what the restoration took away, each entry at a time of its
/// own, unless its writer has written since.
void SoakConfigs::rewrite(const Specs &Before) {
  const Specs Now = this->written();
  for (const auto &[Key, Lost] : Before) {
    const auto Found = Now.find(Key);
    const nlohmann::json Current =
        Found == Now.end() ? nlohmann::json() : Found->second;
    if (Current == Lost)
      continue;
    this->after(this->drawn(10ms, RewriteTime),
                [this, Key = Key, Lost = Lost, Current] {
                  if (this->Store.read(Key.first, Key.second) == Current)
                    this->Store.put(Key.first, Key.second, Lost);
                });
  }
}

void SoakConfigs::sendProbe() {
  std::vector<std::string> Names = this->Routes;
  for (int I = this->LastRoute; I > 0 && Names.size() < ProbedRoutes; --I) {
    const std::string Name = "r" + std::to_string(I);
    if (std::find(Names.begin(), Names.end(), Name) == Names.end())
      Names.push_back(Name);
  }
  Probe Next;
  Next.View = {.Route = Names[this->below(Names.size())],
               .Daemon = this->below(this->Places.Count),
               .SentAt = EventLoop::now(),
               .Call = this->Places.RunPrefix + "p" +
                       std::to_string(++this->LastProbe)};
  Next.View.Incarnation = this->Parts.IncarnationOf(Next.View.Daemon);
  try {
    Next.Socket = std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Places.callerAddress(Next.View.Daemon)));
  } catch (const std::runtime_error &) {
    return; // The daemon is not there.
  }
  Next.Socket->writeSome("GET /" + Next.View.Route +
                         "/p HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 1500\r\n"
                         "Request-Id: " +
                         Next.View.Call + "\r\n\r\n");
  this->Probes.push_back(std::move(Next));
}

/// Returns whether the probe is over.
bool SoakConfigs::readProbe(Probe &Each) {
  const std::optional<PlainAnswer> Answer = parseAnswer(Each.Socket->read());
  if (!Answer || !Answer->IsWhole)
    return Each.Socket->hasEnded() ||
           EventLoop::now() - Each.View.SentAt > ProbePatience;
  Each.View.EndedAt = EventLoop::now();
  if (Answer->Status == 200)
    Each.View.Service = Answer->Body;
  // Refusals do not show which configuration is in force.
  if (Answer->Status == 200 || Answer->Status == 404)
    this->Parts.Seen.Configs.Probes.push_back(Each.View);
  return true;
}

void SoakConfigs::step() {
  std::erase_if(this->Probes,
                [this](Probe &Each) { return this->readProbe(Each); });
  if (EventLoop::now() < this->NextProbeAt)
    return;
  this->NextProbeAt = EventLoop::now() + ProbeGap;
  this->sendProbe();
}

void SoakConfigs::finish() {
  this->Parts.Seen.Configs.Daemons = this->Places.Count;
  for (const auto &[Name, Spec] : this->Store.specs("weight-history"))
    if (!Spec.is_null())
      this->Parts.Seen.Configs.WeightHistories.push_back(Name);
}

} // namespace galenaroute::soak
