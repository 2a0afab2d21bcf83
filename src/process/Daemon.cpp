#include "process/Daemon.h"

#include "process/Log.h"

#include <nlohmann/json.hpp>
#include <random>

namespace galenaroute {

/// How often a daemon that is stopping looks whether all answers are sent.
static constexpr auto IdlePoll = std::chrono::milliseconds(10);

/// How long a daemon that is stopping waits for outcomes to become durable. A
/// platform outage may last longer than anyone waits for a stop.
static constexpr auto SettleLimit = std::chrono::seconds(5);

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
    : Given(std::move(Parts)), Events(*this->Given.Events),
      Http(this->Given.Loop), Engines(this->Given.Loop, this->Http,
                                      this->Given.Settings.ConnectTimeout),
      Dispatch(this->Given.Loop, this->Http, this->Events,
               dispatcherSettings(this->Given.Settings),
               std::random_device()()),
      Open(this->Given.Loop, this->Stats),
      Context{this->Given.Settings, this->Given.Loop, this->Http,
              this->Engines,        this->Dispatch,   *this->Given.Claims,
              this->Events,         this->Stats,      this->Open,
              this->Retries},
      Api(this->Context, *this->Given.Config,
          {.Entries = [this] { return this->entries(); },
           .State = [this] { return this->State; },
           .Drain = [this] { this->drain(); }}),
      Server(this->Given.Loop,
             {.MaxBodyBytes = this->Given.Settings.MaxBodyBytes,
              .MaxHeaderBytes = this->Given.Settings.MaxHeaderBytes}) {
  this->Retries.Share = this->Given.Settings.RetryShare;
  this->Server.handle(
      [this](HttpRequest Request, const std::shared_ptr<HttpReply> &Reply) {
        this->Api.handle(std::move(Request), Reply);
      });
  const auto NoteEpoch = [this](const ConfigurationPtr &Next) {
    this->Dispatch.setConfig(Next);
    this->Stats.ConfigEpoch.Set(static_cast<double>(Next->Epoch));
    this->Events.record("config.in_force", {}, std::to_string(Next->Epoch));
    log(LogLevel::Info, "config.in_force",
        {{"epoch", std::to_string(Next->Epoch)}});
  };
  this->ConfigChanged = this->Given.Config->Changed.connect(NoteEpoch);
  if (const ConfigurationPtr Current = this->Given.Config->current())
    NoteEpoch(Current);
}

Daemon::~Daemon() {
  this->DrainTimer.disconnect();
  this->ConfigChanged.disconnect();
}

std::uint16_t Daemon::start() {
  const DaemonSettings &Settings = this->Given.Settings;
  const std::uint16_t Port = this->Server.listen(Settings.Listen);
  log(LogLevel::Info, "daemon.started",
      {{"node", Settings.NodeId},
       {"zone", Settings.Zone},
       {"listen", Settings.Listen.Host + ":" + std::to_string(Port)}});
  return Port;
}

std::vector<EntryAddress> Daemon::entries() const {
  if (this->Given.Entries)
    return this->Given.Entries();
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
  this->Events.record("drain.withdrawn", {}, {});
  this->Withdrawn.emit();
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
  if (this->Given.IsSettled && !this->Given.IsSettled() &&
      EventLoop::now() - this->FinishingSince < SettleLimit)
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
