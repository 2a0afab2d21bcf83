#include "process/Daemon.h"

#include "process/Log.h"

#include <nlohmann/json.hpp>

namespace galenaroute {

/// How often a daemon that is stopping looks whether all answers are sent.
static constexpr auto IdlePoll = std::chrono::milliseconds(10);
static constexpr auto LoadPeriod = std::chrono::milliseconds(200);
/// How long a stop waits for the outcomes of claims to become durable, which
/// takes long while the platform is down.
static constexpr auto MaxSettling = std::chrono::seconds(10);

namespace {

/// Refuses all claims. Without a place to keep claims, a call that must not
/// repeat cannot be sent.
class RefusingClaimGate : public ClaimGate {
public:
  explicit RefusingClaimGate(EventLoop &Loop) : Loop(Loop) {}

  void claim(const ClaimKey &, std::string_view, OnClaim Done) override {
    this->Loop.timers().after(Duration::zero(), [Done] { Done({}); });
  }
  void finish(const ClaimToken &, const ClaimOutcome &) override {}
  void release(const ClaimToken &, OnRelease Done) override {
    this->Loop.timers().after(Duration::zero(), [Done] { Done(false); });
  }

private:
  EventLoop &Loop;
};

PoolOptions poolOptions(const DaemonSettings &Settings) {
  static const std::map<std::string_view, RoutePolicy> Policies = {
      {"expected-time", RoutePolicy::ExpectedTime},
      {"random", RoutePolicy::Random},
      {"round-robin", RoutePolicy::RoundRobin},
      {"least-outstanding", RoutePolicy::LeastOutstanding},
      {"affinity", RoutePolicy::Affinity}};
  return {Policies.at(Settings.RoutingPolicy), Settings.NodeId, Settings.Zone,
          Settings.Zone, Settings.RetryShare};
}

} // namespace

Daemon::Daemon(Parts Parts)
    : Given(std::move(Parts)),
      Events(this->Given.Settings.NodeId, this->Given.Settings.TimelineEvents),
      Http(this->Given.Loop), Engines(this->Given.Loop, this->Http,
                                      this->Given.Settings.ConnectTimeout),
      Pools(this->Given.Loop, this->Http, poolOptions(this->Given.Settings)),
      Fleet(this->Given.Config ? nullptr
                               : std::make_unique<Cluster>(
                                     this->Given.Loop, this->Http, this->Events,
                                     this->Pools, this->Given.Settings)),
      Open(this->Given.Loop, this->Stats),
      Context{this->Given.Settings, this->Given.Loop, this->Http,
              this->Engines,        this->Pools,      this->claims(),
              this->Events,         this->Stats,      this->Open},
      Api(this->Context, this->config(),
          {.Entries = [this] { return this->entries(); },
           .State = [this] { return this->State; },
           .Drain = [this] { this->drain(); },
           .AddStatus =
               [this](nlohmann::json &Status) {
                 Status["queued"] = this->Pools.queued();
                 if (this->Fleet)
                   this->Fleet->addStatus(Status);
               }}),
      Server(this->Given.Loop,
             {.MaxBodyBytes = this->Given.Settings.MaxBodyBytes,
              .MaxHeaderBytes = this->Given.Settings.MaxHeaderBytes}) {
  this->Server.handle(
      [this](HttpRequest Request, const std::shared_ptr<HttpReply> &Reply) {
        this->Api.handle(std::move(Request), Reply);
      });
  const auto NoteEpoch = [this](const ConfigurationPtr &Next) {
    this->Stats.ConfigEpoch.Set(static_cast<double>(Next->Epoch));
    this->Events.record("config.in_force", {}, std::to_string(Next->Epoch));
    log(LogLevel::Info, "config.in_force",
        {{"epoch", std::to_string(Next->Epoch)}});
    this->Pools.setConfiguration(Next);
  };
  this->ConfigChanged = this->config().Changed.connect(NoteEpoch);
  if (const ConfigurationPtr Current = this->config().current())
    NoteEpoch(Current);
}

Daemon::~Daemon() {
  this->DrainTimer.disconnect();
  this->LoadTimer.disconnect();
  this->ConfigChanged.disconnect();
}

ConfigSource &Daemon::config() const {
  return this->Fleet ? this->Fleet->config() : *this->Given.Config;
}

ClaimGate &Daemon::claims() const {
  return this->Fleet ? this->Fleet->claims() : *this->Given.Claims;
}

std::uint16_t Daemon::start() {
  const DaemonSettings &Settings = this->Given.Settings;
  const std::uint16_t Port = this->Server.listen(Settings.Listen);
  if (this->Fleet) {
    this->Fleet->start();
    this->LoadTimer = this->Given.Loop.timers().every(
        LoadPeriod, [this] { this->Fleet->setLoad(this->Open.count()); });
  }
  log(LogLevel::Info, "daemon.started",
      {{"node", Settings.NodeId},
       {"zone", Settings.Zone},
       {"listen", Settings.Listen.Host + ":" + std::to_string(Port)}});
  return Port;
}

std::vector<EntryAddress> Daemon::entries() const {
  if (this->Fleet) {
    std::vector<EntryAddress> Result;
    for (const Entry &Each : this->Fleet->entries().Entries)
      Result.push_back({Each.Address.toString(), Each.Zone});
    return Result;
  }
  if (this->State != ServingState::Serving)
    return {};
  return {
      {this->Given.Settings.Advertise.toString(), this->Given.Settings.Zone}};
}

void Daemon::drain() {
  if (this->State != ServingState::Serving)
    return;
  this->State = ServingState::Withdrawn;
  this->Stats.Draining.Set(1);
  if (this->Fleet)
    this->Fleet->leave();
  this->Events.record("drain.withdrawn", {}, {});
  log(LogLevel::Info, "drain.withdrawn",
      {{"keep_ms", std::to_string(this->Given.Settings.KeepEntries.count())}});
  this->DrainTimer = this->Given.Loop.timers().after(
      this->Given.Settings.KeepEntries, [this] { this->finish(); });
}

void Daemon::finish() {
  this->State = ServingState::Finishing;
  this->FinishingSince = EventLoop::now();
  this->Server.stopListening();
  this->Events.record("drain.finishing", {},
                      std::to_string(this->Open.count()));
  log(LogLevel::Info, "drain.finishing",
      {{"open", std::to_string(this->Open.count())}});
  this->DrainTimer =
      this->Given.Loop.timers().every(IdlePoll, [this] { this->stopIfIdle(); });
}

void Daemon::stopIfIdle() {
  if (this->Open.count() > 0 || this->Server.unsentReplies() > 0)
    return;
  // An outcome that is lost with the process counts as "may have run".
  if (this->Fleet && !this->Fleet->isSettled() &&
      EventLoop::now() < this->FinishingSince + MaxSettling)
    return;
  this->DrainTimer.disconnect();
  log(LogLevel::Info, "daemon.stopped");
  this->Stopped.emit();
}

DaemonBuilder::DaemonBuilder(EventLoop &Loop, DaemonSettings Settings)
    : Parts{Loop, std::move(Settings), nullptr,
            std::make_shared<RefusingClaimGate>(Loop)} {}

DaemonBuilder &DaemonBuilder::config(std::shared_ptr<ConfigSource> Source) {
  this->Parts.Config = std::move(Source);
  return *this;
}

DaemonBuilder &DaemonBuilder::claims(std::shared_ptr<ClaimGate> Gate) {
  this->Parts.Claims = std::move(Gate);
  return *this;
}

std::unique_ptr<Daemon> DaemonBuilder::build() {
  return std::unique_ptr<Daemon>(new Daemon(std::move(this->Parts)));
}

} // namespace galenaroute
