#include "process/Daemon.h"

#include "process/BuildVersion.h"
#include "process/Log.h"

#include <nlohmann/json.hpp>
#include <random>

namespace galenaroute {

/// Interval at which a stopping daemon checks whether all responses are sent.
static constexpr auto IdlePollPeriod = std::chrono::milliseconds(10);

/// Maximum time that a stopping daemon waits for outcomes to become durable.
/// Bounded because a platform outage may last much longer.
static constexpr auto SettleTimeout = std::chrono::seconds(5);

namespace {

/// Refuses all claims. Without storage for claims, a call that must not run
/// twice can't be sent safely.
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

} // namespace

static DispatcherSettings dispatcherSettings(const DaemonSettings &Settings) {
  DispatcherSettings Result;
  Result.Self = Settings.NodeId;
  Result.Zone = Settings.Zone;
  Result.Policy = routePolicyFromName(Settings.RoutingPolicy)
                      .value_or(RoutePolicy::ExpectedTime);
  return Result;
}

Daemon::Daemon(Parts Parts)
    : Deps(std::move(Parts)), Events(*this->Deps.Events), Http(this->Deps.Loop),
      Engines(this->Deps.Loop, this->Http, this->Deps.Settings.ConnectTimeout),
      Dispatch(this->Deps.Loop, this->Http, this->Events,
               dispatcherSettings(this->Deps.Settings), std::random_device()()),
      Open(this->Deps.Loop, this->Stats),
      Context{this->Deps.Settings, this->Deps.Loop, this->Http,
              this->Engines,       this->Dispatch,  *this->Deps.Claims,
              this->Events,        this->Stats,     this->Open,
              this->Retries},
      Api(this->Context, *this->Deps.Config,
          {.Entries = [this] { return this->entries(); },
           .State = [this] { return this->State; },
           .Drain = [this] { this->drain(); }}),
      Server(this->Deps.Loop,
             {.MaxBodyBytes = this->Deps.Settings.MaxBodyBytes,
              .MaxHeaderBytes = this->Deps.Settings.MaxHeaderBytes}) {
  this->Retries.Share = this->Deps.Settings.RetryShare;
  this->Server.handle(
      [this](HttpRequest Request, const std::shared_ptr<HttpReply> &Reply) {
        this->Api.handle(std::move(Request), Reply);
      });
  const auto ApplyConfig = [this](const ConfigurationPtr &Next) {
    this->Dispatch.setConfig(Next);
    this->Stats.ConfigEpoch.Set(static_cast<double>(Next->Epoch));
    this->Events.record("config.in_force", {}, std::to_string(Next->Epoch));
    log(LogLevel::Info, "config.in_force",
        {{"epoch", std::to_string(Next->Epoch)}});
  };
  this->ConfigChanged = this->Deps.Config->Changed.connect(ApplyConfig);
  if (const ConfigurationPtr Current = this->Deps.Config->current())
    ApplyConfig(Current);
}

Daemon::~Daemon() {
  this->DrainTimer.disconnect();
  this->ConfigChanged.disconnect();
}

std::uint16_t Daemon::start() {
  const DaemonSettings &Settings = this->Deps.Settings;
  this->Server.listen(Settings.Listen);
  this->logStarted();
  return this->Server.port();
}

int Daemon::tryStart() {
  const int Failure = this->Server.tryListen(this->Deps.Settings.Listen);
  if (Failure == 0)
    this->logStarted();
  return Failure;
}

void Daemon::logStarted() const {
  const DaemonSettings &Settings = this->Deps.Settings;
  log(LogLevel::Info, "daemon.started",
      {{"node", Settings.NodeId},
       {"build", std::string(buildVersion())},
       {"zone", Settings.Zone},
       {"listen",
        Settings.Listen.Host + ":" + std::to_string(this->Server.port())}});
}

std::vector<EntryAddress> Daemon::entries() const {
  if (this->Deps.Entries)
    return this->Deps.Entries();
  if (this->State != ServingState::Serving)
    return {};
  return {{this->Deps.Settings.Advertise.toString(), this->Deps.Settings.Zone}};
}

void Daemon::drain() {
  if (this->State != ServingState::Serving)
    return;
  this->State = ServingState::Withdrawn;
  this->Stats.Draining.Set(1);
  this->Events.record("drain.withdrawn", {}, {});
  this->Withdrawn.emit();
  log(LogLevel::Info, "drain.withdrawn",
      {{"keep_ms", std::to_string(this->Deps.Settings.EntriesTtl.count())}});
  this->DrainTimer = this->Deps.Loop.timers().after(
      this->Deps.Settings.EntriesTtl, [this] { this->finish(); });
}

void Daemon::finish() {
  this->State = ServingState::Finishing;
  this->FinishingSince = EventLoop::now();
  this->Server.stopListening();
  this->Events.record("drain.finishing", {},
                      std::to_string(this->Open.count()));
  log(LogLevel::Info, "drain.finishing",
      {{"open", std::to_string(this->Open.count())}});
  this->DrainTimer = this->Deps.Loop.timers().every(
      IdlePollPeriod, [this] { this->stopIfIdle(); });
}

void Daemon::stopIfIdle() {
  if (this->Open.count() > 0 || this->Server.unsentReplies() > 0)
    return;
  if (this->Deps.IsSettled && !this->Deps.IsSettled() &&
      EventLoop::now() - this->FinishingSince < SettleTimeout)
    return;
  this->DrainTimer.disconnect();
  log(LogLevel::Info, "daemon.stopped");
  this->Stopped.emit();
}

DaemonBuilder::DaemonBuilder(EventLoop &Loop, DaemonSettings Settings)
    : Parts{Loop,
            std::move(Settings),
            std::make_shared<FixedConfig>(),
            std::make_shared<RefusingClaimGate>(Loop),
            nullptr,
            nullptr,
            nullptr} {}

DaemonBuilder &DaemonBuilder::config(std::shared_ptr<ConfigSource> Source) {
  this->Parts.Config = std::move(Source);
  return *this;
}

DaemonBuilder &DaemonBuilder::claims(std::shared_ptr<ClaimGate> Gate) {
  this->Parts.Claims = std::move(Gate);
  return *this;
}

DaemonBuilder &
DaemonBuilder::entries(std::function<std::vector<EntryAddress>()> Entries) {
  this->Parts.Entries = std::move(Entries);
  return *this;
}

DaemonBuilder &DaemonBuilder::settled(std::function<bool()> IsSettled) {
  this->Parts.IsSettled = std::move(IsSettled);
  return *this;
}

DaemonBuilder &DaemonBuilder::timeline(std::shared_ptr<Timeline> Events) {
  this->Parts.Events = std::move(Events);
  return *this;
}

std::unique_ptr<Daemon> DaemonBuilder::build() {
  if (!this->Parts.Events)
    this->Parts.Events = std::make_shared<Timeline>(
        this->Parts.Settings.NodeId, this->Parts.Settings.TimelineEvents);
  return std::unique_ptr<Daemon>(new Daemon(std::move(this->Parts)));
}

} // namespace galenaroute
