#include "SoakRun.h"

#include "LimitedUpstreams.h"
#include "PlainConfig.h"
#include "RelayedCalls.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace galenaroute::soak {

using namespace std::chrono_literals;

/// Calls of a caller end by then; the routes' limit is shorter.
static constexpr Duration CallPatience = 3s;
/// Time for daemons to find one another before the traffic begins.
static constexpr Duration SettleTime = 1500ms;
/// A crashed upstream is back after this time; its entry lapses before.
static constexpr Duration UpstreamRestart = 900ms;
static constexpr Duration EntryLapse = 700ms;
/// From an upstream's notice that it leaves until it ends.
static constexpr Duration DrainTime = 2s;
static constexpr Duration StepPeriod = 5ms;
/// Share of the calls, in 1,000, that end the upstream that runs them.
static constexpr std::uint64_t CrashingCalls = 6;
static constexpr Duration SlowLink = 150ms;
/// One incarnation of an upstream in this many fails all calls.
static constexpr std::uint64_t FailingUpstreams = 10;
/// Short pauses of single daemons, beside the faults.
static constexpr Duration MinPause = 200ms;
static constexpr Duration MaxPause = 1500ms;
static constexpr Duration MinPauseGap = 500ms;
static constexpr Duration MaxPauseGap = 4s;
/// Calls a second that upstreams state as their limits, and how often they
/// state another one or none.
static constexpr double StatedLimits[] = {0.5, 1, 2.5, 6, 20, 100};
static constexpr Duration MinLimitTime = 500ms;
static constexpr Duration MaxLimitTime = 6s;
static constexpr std::size_t ThrottledLink = 3000;

/// Returns what the names of calls and upstreams of a run begin with. Upstreams
/// of all runs share an address, so that a call of another run may arrive.
static std::string runPrefix(std::uint64_t Seed) {
  return std::to_string(getpid()) + "-" + std::to_string(Seed) + "-";
}

SoakRun::SoakRun(SoakSettings Given)
    : Settings(std::move(Given)), Places{.Count = this->Settings.Faults.Daemons,
                                         .Network = this->Settings.Network,
                                         .GraceSeconds = 4,
                                         .VersionMs =
                                             static_cast<int>(toMilliseconds(
                                                 SoakBounds().WeightsLimit)),
                                         .RunPrefix =
                                             runPrefix(this->Settings.Seed)},
      Random(this->Settings.Seed), Harness(this->Settings.BuildDir),
      Loop(this->Harness.loop()), Store(this->Loop),
      Prompts(this->Loop, this->Store, this->Places),
      Weights(this->Loop, this->Store, this->Settings.Seed,
              {.Seen = this->History.Weights,
               .DaemonOf =
                   [this](const std::string &Call) {
                     const auto Found = this->History.Calls.find(Call);
                     return Found == this->History.Calls.end()
                                ? 0
                                : Found->second.Daemon;
                   },
               .Note = [this](const std::string &Line) { this->note(Line); },
               .OnOrder =
                   [this](const std::string &Engine, const std::string &Holder,
                          std::uint64_t Fence) {
                     this->noteOrder(Engine, Holder, Fence);
                   }}),
      Kept(this->Loop, this->Store, this->Places, this->Settings.Seed,
           this->History.Connections,
           [this](const std::string &Line) { this->note(Line); }),
      Silences(this->Loop, this->Store, this->Places, this->Settings.Seed,
               {.Seen = this->History,
                .Note = [this](const std::string &Line) { this->note(Line); }}),
      Configs(this->Loop, this->Store, this->Places, this->Settings.Seed,
              {.Seen = this->History,
               .IncarnationOf =
                   [this](std::size_t Daemon) {
                     return this->Daemons[Daemon].Starts;
                   },
               .Note = [this](const std::string &Line) { this->note(Line); },
               .Strike = [this](const Fault &Next) { this->strike(Next); },
               .NameWeights = [this] { this->Weights.name(); },
               .Amend =
                   [this](nlohmann::json &Config) {
                     this->Silences.changeConfig(Config);
                   }}),
      Foreign(this->Loop, this->Store, this->Settings.Seed),
      FailRandom(this->Settings.Seed * 13 + 7),
      PauseRandom(this->Settings.Seed * 7 + 3) {
  nlohmann::json Config = withPrompts(testing_support::plainConfig());
  SoakWeights::addTo(Config);
  this->Silences.addTo(Config);
  this->Configs.write(std::move(Config));
  this->Daemons.resize(this->Settings.Faults.Daemons);
  this->Upstreams.resize(this->Settings.Faults.Upstreams);
}

SoakRun::~SoakRun() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
}

void SoakRun::after(Duration Delay, const std::function<void()> &Action) {
  this->Timers.push_back(this->Loop.timers().after(Delay, Action));
}

void SoakRun::note(const std::string &Line) {
  char Time[16];
  std::snprintf(Time, sizeof Time, "%8.3f ",
                toSeconds(EventLoop::now() - this->Begun));
  this->Timeline.push_back(Time + Line);
}

void SoakRun::startDaemon(std::size_t Daemon) {
  DaemonPart &Part = this->Daemons[Daemon];
  Part.Stop.reset();
  Part.FrozenUntil = {};
  ++Part.Starts;
  Part.Process = &this->Harness.start(Part.IsOld ? this->Settings.OldDaemon
                                                 : "galenaroute-platform",
                                      {"--settings", Part.SettingsPath});
}

/// The successor of the daemon, and those that follow it, are of the other
/// build.
void SoakRun::replaceBuild(const BuildReplacement &Next) {
  this->Daemons[Next.Daemon].IsOld = !Next.IsToNew;
  this->note("daemon " + std::to_string(Next.Daemon) + " gets the " +
             (Next.IsToNew ? "new" : "old") + " build");
  this->strike({.For = Next.Away,
                .Kind = Next.Kills ? FaultKind::Kill : FaultKind::Stop,
                .Target = Next.Daemon});
}

void SoakRun::registerUpstream(const UpstreamPart &Part,
                               std::string_view State) {
  this->Store.put("servers", Part.Id,
                  {{"service", "d"},
                   {"address", Part.Link->address().toString()},
                   {"zone", "z0"},
                   {"version", "1"},
                   {"slots", 20},
                   {"state", State},
                   {"sequence", 1},
                   {"born", this->Starts}});
}

void SoakRun::startUpstream(std::size_t Index) {
  UpstreamPart &Part = this->Upstreams[Index];
  Part.Id = this->Places.RunPrefix + "u" + std::to_string(Index) + "-" +
            std::to_string(++this->Starts);
  const SocketAddress Address = testing_support::ProcessHarness::freeAddress();
  Part.Listener = std::make_shared<CallListener>(
      this->Loop, Address, CallerLimits{},
      [this, Index, Id = Part.Id](const std::shared_ptr<IncomingCall> &Call) {
        this->onCall(Id, Index, Call);
      });
  Part.Link = std::make_unique<FaultyLink>(this->Loop, Address, this->Random());
  Part.IsUp = true;
  Part.FailsAll = this->FailRandom() % FailingUpstreams == 0;
  this->registerUpstream(Part, "ready");
  // Half of the upstreams state limits.
  if (this->below(2) == 0)
    this->changeRateLimit(Index, Part.Id);
}

/// Lets an upstream state a limit, or none, and another one later.
void SoakRun::changeRateLimit(std::size_t Index, const std::string &Id) {
  const UpstreamPart &Part = this->Upstreams[Index];
  if (Part.Id != Id || !Part.IsUp)
    return;
  const std::size_t Drawn = this->below(std::size(StatedLimits) + 1);
  std::optional<double> PerSecond;
  if (Drawn < std::size(StatedLimits))
    PerSecond = StatedLimits[Drawn];
  this->History.RateLimits[Id].state(EventLoop::now(), PerSecond);
  this->note("upstream " + Id + " states " +
             (PerSecond ? testing_support::formatRate(*PerSecond) + " a second"
                        : "no limit"));
  this->after(MinLimitTime +
                  Milliseconds(this->below(static_cast<std::uint64_t>(
                      toMilliseconds(MaxLimitTime - MinLimitTime)))),
              [this, Index, Id] { this->changeRateLimit(Index, Id); });
}

void SoakRun::endUpstream(std::size_t Index, bool Resets) {
  UpstreamPart &Part = this->Upstreams[Index];
  if (!Part.IsUp)
    return;
  Part.IsUp = false;
  Part.Listener->stopAccepting();
  if (Resets)
    Part.Link->resetAll();
  Part.Listener->abortAll();
  this->Ended.push_back(std::move(Part.Listener));
  this->after(EntryLapse,
              [this, Id = Part.Id] { this->Store.put("servers", Id, {}); });
  this->after(UpstreamRestart, [this, Index] { this->startUpstream(Index); });
}

void SoakRun::onCall(const std::string &Upstream, std::size_t Index,
                     const std::shared_ptr<IncomingCall> &Call) {
  const auto Id = Call->Head.Headers.find("Request-Id");
  UpstreamView Seen{.Call = std::string(Id.value_or("")),
                    .Path = Call->Head.Target,
                    .Body = Call->Body,
                    .Upstream = Upstream,
                    .At = EventLoop::now(),
                    .HasRun = true};
  const bool IsOwn =
      this->Upstreams[Index].Id == Upstream && this->Upstreams[Index].IsUp;
  testing_support::RateLimitHistory &Limits =
      this->History.RateLimits[Upstream];
  const auto Caller = this->History.Calls.find(Seen.Call);
  const std::size_t Daemon =
      Caller == this->History.Calls.end() ? 0 : Caller->second.Daemon;
  Limits.arrived(Seen.At, Daemon);
  HttpHeaders Named{{"Request-Id", Seen.Call}};
  if (const auto PerSecond = Limits.limit())
    Named.add("Server-Limit", testing_support::formatRate(*PerSecond));
  // One call in 50 is refused, and says so.
  if (IsOwn && this->below(50) == 0) {
    Seen.HasRun = false;
    this->History.Arrivals.push_back(Seen);
    Named.add("Not-Executed", "1");
    Call->send(503, Named, "");
    return;
  }
  Seen.HasCrashed = IsOwn && Seen.Body.starts_with("crash");
  this->History.Arrivals.push_back(Seen);
  if (!IsOwn) {
    this->Unanswered.push_back(Call);
    return;
  }
  if (Seen.HasCrashed) {
    this->Unanswered.push_back(Call);
    this->note("upstream " + Upstream + " ends under call " + Seen.Call);
    // Ended outside the handler, which the listener is still in.
    this->after(Duration::zero(),
                [this, Index] { this->endUpstream(Index, /*Resets=*/true); });
    return;
  }
  if (this->Upstreams[Index].FailsAll) {
    Named.add("Server-Stamp", "x");
    Call->send(500, Named, "");
    return;
  }
  // One answer in 100 breaks off.
  const bool IsCut = this->below(100) == 0;
  Named.add("Server-Stamp", "x");
  this->after(Milliseconds(2 + this->below(60)), [this, Call, Seen, Named,
                                                  IsCut, Upstream, Daemon] {
    const std::string Answer = answerOf(Seen.Call, Seen.Body);
    if (IsCut) {
      Call->begin(200, Named);
      Call->write(Answer.substr(0, Answer.size() / 2));
      Call->abort();
      return;
    }
    Call->send(200, Named, Answer);
    if (Named.find("Server-Limit"))
      this->History.RateLimits[Upstream].passedOn(EventLoop::now(), Daemon);
  });
}

void SoakRun::noteDisturbed(std::size_t Daemon, Duration For, bool IsStoreOnly,
                            DisturbanceKind Kind) {
  this->History.Disturbances.push_back(
      {Daemon, EventLoop::now(), EventLoop::now() + For, IsStoreOnly, Kind});
}

void SoakRun::noteOrder(const std::string &Engine, const std::string &Holder,
                        std::uint64_t Fence) {
  OrderView Order{EventLoop::now(), Engine, Holder, Fence};
  for (std::size_t I = 0; I < this->Daemons.size(); ++I)
    if (Holder == testing_support::PlatformDaemons::nameOf(I))
      Order.Daemon = I;
  this->History.Configs.Orders.push_back(Order);
}

/// Pauses a daemon for a short time, and another one later.
void SoakRun::pauseLater(TimePoint End) {
  const auto Drawn = [this](Duration Least, Duration Most) {
    return Least + Milliseconds(this->PauseRandom() %
                                static_cast<std::uint64_t>(
                                    toMilliseconds(Most - Least)));
  };
  this->after(Drawn(MinPauseGap, MaxPauseGap), [this, End, Drawn] {
    if (EventLoop::now() + MaxPause >= End)
      return;
    this->strike({.For = Drawn(MinPause, MaxPause),
                  .Kind = FaultKind::Freeze,
                  .Target = this->PauseRandom() % this->Daemons.size()});
    this->pauseLater(End);
  });
}

void SoakRun::kill(std::size_t Daemon, Duration For) {
  DaemonPart &Part = this->Daemons[Daemon];
  if (!Part.Process)
    return;
  if (Part.Stop)
    this->History.Stops[*Part.Stop].WasDisturbed = true;
  this->noteDisturbed(Daemon, For, /*IsStoreOnly=*/false,
                      DisturbanceKind::Kill);
  Part.Process->signal(SIGKILL);
  Part.Process->wait(5s);
  Part.Process = nullptr;
  this->after(For, [this, Daemon] { this->startDaemon(Daemon); });
}

void SoakRun::strike(const Fault &Next) {
  this->note(std::string(toString(Next.Kind)) + " " +
             std::to_string(Next.Target) + " for " +
             std::to_string(toMilliseconds(Next.For)) + " ms");
  this->History.LastFaultAt =
      std::max(this->History.LastFaultAt, EventLoop::now() + Next.For);
  this->Weights.onFault(Next);
  switch (Next.Kind) {
  case FaultKind::Freeze:
  case FaultKind::Kill:
  case FaultKind::KillAll:
  case FaultKind::Stop:
  case FaultKind::HangUp:
    this->strikeDaemon(Next);
    return;
  case FaultKind::StoreAway:
  case FaultKind::StoreAwayAll:
  case FaultKind::StoreSlow:
    this->strikeStore(Next);
    return;
  default:
    this->strikeUpstream(Next);
  }
}

void SoakRun::strikeDaemon(const Fault &Next) {
  DaemonPart &Part = this->Daemons[Next.Target];
  if (Next.Kind == FaultKind::KillAll) {
    for (std::size_t I = 0; I < this->Daemons.size(); ++I)
      this->kill(I, Next.For);
    return;
  }
  if (!Part.Process)
    return;
  if (Next.Kind == FaultKind::Kill) {
    this->kill(Next.Target, Next.For);
  } else if (Next.Kind == FaultKind::HangUp) {
    Part.Process->signal(SIGHUP);
  } else if (Next.Kind == FaultKind::Stop) {
    if (Part.Stop)
      return;
    Part.Stop = this->History.Stops.size();
    this->History.Stops.push_back(
        {.Daemon = Next.Target,
         .At = EventLoop::now(),
         .WasDisturbed = EventLoop::now() < Part.FrozenUntil});
    Part.Process->signal(SIGTERM);
    this->noteDisturbed(Next.Target, SoakBounds().Grace);
  } else {
    this->noteDisturbed(Next.Target, Next.For, /*IsStoreOnly=*/false,
                        DisturbanceKind::Freeze);
    if (Part.Stop)
      this->History.Stops[*Part.Stop].WasDisturbed = true;
    Part.FrozenUntil = std::max(Part.FrozenUntil, EventLoop::now() + Next.For);
    Part.Process->signal(SIGSTOP);
    // A second freeze may last longer, and the process may be another by then.
    this->after(Next.For, [this, Target = Next.Target] {
      DaemonPart &Frozen = this->Daemons[Target];
      if (Frozen.Process && EventLoop::now() >= Frozen.FrozenUntil)
        Frozen.Process->signal(SIGCONT);
    });
  }
}

void SoakRun::strikeUpstream(const Fault &Next) {
  UpstreamPart &Part = this->Upstreams[Next.Target];
  if (!Part.IsUp)
    return;
  if (Next.Kind == FaultKind::UpstreamCrash) {
    this->Prompts.crashEngine(Next.Target);
    this->endUpstream(Next.Target, /*Resets=*/true);
    return;
  }
  if (Next.Kind == FaultKind::UpstreamLeave) {
    this->registerUpstream(Part, "draining");
    this->after(DrainTime, [this, Target = Next.Target, Id = Part.Id] {
      if (this->Upstreams[Target].Id == Id)
        this->endUpstream(Target, /*Resets=*/false);
    });
    return;
  }
  if (Next.Kind == FaultKind::LinkReset) {
    Part.Link->resetAll();
    return;
  }
  LinkHarm Harm;
  if (Next.Kind == FaultKind::LinkSlow)
    Harm.Delay = SlowLink;
  else if (Next.Kind == FaultKind::LinkThrottled)
    Harm.BytesPerSecond = ThrottledLink;
  else
    Harm.IsSilentFromTarget = true;
  Harm.IsSilentToTarget = Next.Kind == FaultKind::LinkSilent;
  Part.Link->setHarm(Harm);
  Part.HarmedUntil = std::max(Part.HarmedUntil, EventLoop::now() + Next.For);
  // Calls that the link holds back arrive together.
  for (std::size_t I = 0; I < this->Daemons.size(); ++I)
    this->History.RateLimits[Part.Id].excuse(I, EventLoop::now(),
                                             Part.HarmedUntil + SlowLink);
  this->after(Next.For, [this, Target = Next.Target] {
    UpstreamPart &Harmed = this->Upstreams[Target];
    if (EventLoop::now() >= Harmed.HarmedUntil)
      Harmed.Link->setHarm({});
  });
}

void SoakRun::strikeStore(const Fault &Next) {
  LinkHarm Harm;
  if (Next.Kind == FaultKind::StoreSlow)
    Harm.Delay = SlowLink;
  else
    Harm.IsSilentToTarget = Harm.IsSilentFromTarget = true;
  // The store itself counts as disturbed if no daemon reaches it as usual.
  if (Next.Kind != FaultKind::StoreAway) {
    this->History.Weights.interrupt(
        EventLoop::now(), EventLoop::now() + Next.For + SoakBounds().Contact);
    this->History.Configs.Disruptions.push_back(
        {EventLoop::now(), EventLoop::now() + Next.For});
  }
  for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
    if (Next.Kind == FaultKind::StoreAway && I != Next.Target)
      continue;
    DaemonPart &Part = this->Daemons[I];
    this->noteDisturbed(I, Next.For, /*IsStoreOnly=*/true);
    Part.ToStore->setHarm(Harm);
    if (Next.Kind == FaultKind::StoreAwayAll)
      Part.ToStore->resetAll();
    Part.StoreAwayUntil =
        std::max(Part.StoreAwayUntil, EventLoop::now() + Next.For);
    this->after(Next.For, [this, I] {
      if (EventLoop::now() >= this->Daemons[I].StoreAwayUntil)
        this->Daemons[I].ToStore->setHarm({});
    });
  }
}

void SoakRun::sendCall() {
  const std::string Id =
      this->Places.RunPrefix + "c" + std::to_string(++this->Sent);
  CallerView Call;
  Call.IsOnce = this->below(2) == 0;
  Call.Path = Call.IsOnce ? "/once/a" : "/safe/a?x=1";
  Call.Body = std::string(1 + this->below(3000), 'b') + Id;
  if (this->below(1000) < CrashingCalls) {
    Call.IsCrashing = true;
    Call.Body = "crash";
  }
  Call.Daemon = this->below(this->Daemons.size());
  this->send(Id, Call);
}

/// Sends a call to the engines.
void SoakRun::sendEngineCall() {
  const std::string Id =
      this->Places.RunPrefix + "c" + std::to_string(++this->Sent);
  CallerView Call = this->Weights.drawCall(Id);
  Call.Daemon = this->Weights.below(this->Daemons.size());
  this->send(Id, Call);
}

void SoakRun::send(const std::string &Id, CallerView Call) {
  Call.SentAt = EventLoop::now();
  try {
    OpenCall Next;
    Next.Id = Id;
    Next.Socket = std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Places.callerAddress(Call.Daemon)));
    Next.Socket->writeSome(
        "POST " + Call.Path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Id +
        "\r\nDeadline-Ms: 1500\r\nContent-Length: " +
        std::to_string(Call.Body.size()) + "\r\n\r\n" + Call.Body);
    this->Open.push_back(std::move(Next));
  } catch (const std::runtime_error &) {
    // The daemon is not there; a caller would try another one.
    Call.EndedAt = Call.SentAt;
  }
  this->History.Calls[Id] = Call;
}

/// Reads the answer in \p Text into \p Call; returns whether it is whole.
static bool readAnswer(const std::string &Text, CallerView &Call) {
  const std::size_t Head = Text.find("\r\n\r\n");
  if (Head == std::string::npos || !Text.starts_with("HTTP/1.1 "))
    return false;
  Call.Status = std::stoi(Text.substr(9, 3));
  static const std::string Field = "Content-Length: ";
  const std::size_t Length = Text.find(Field);
  if (Length > Head)
    return false;
  Call.Answer = Text.substr(Head + 4);
  Call.IsWhole =
      Call.Answer.size() == std::stoul(Text.substr(Length + Field.size()));
  return Call.IsWhole;
}

void SoakRun::readAnswers() {
  std::erase_if(this->Open, [this](const OpenCall &Each) {
    CallerView &Call = this->History.Calls.at(Each.Id);
    const bool IsWhole = readAnswer(Each.Socket->read(), Call);
    const bool IsOver = EventLoop::now() - Call.SentAt > CallPatience;
    if (!IsWhole && !Each.Socket->hasEnded() && !IsOver)
      return false;
    Call.EndedAt = EventLoop::now();
    return true;
  });
}

void SoakRun::watchStops() {
  for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
    DaemonPart &Part = this->Daemons[I];
    if (!Part.Process || Part.Process->isRunning())
      continue;
    const int Code = Part.Process->wait(1s);
    Part.Process = nullptr;
    if (Part.Stop) {
      StopView &Stop = this->History.Stops[*Part.Stop];
      Stop.EndedAt = EventLoop::now();
      Stop.ExitCode = Code;
      this->note("daemon " + std::to_string(I) + " has stopped");
    } else {
      this->History.Stops.push_back({.Daemon = I,
                                     .At = EventLoop::now(),
                                     .EndedAt = EventLoop::now(),
                                     .ExitCode = Code == 0 ? -1 : Code});
      this->note("daemon " + std::to_string(I) + " ended by itself with " +
                 std::to_string(Code));
    }
    this->startDaemon(I);
  }
}

void SoakRun::step() {
  this->readAnswers();
  this->Prompts.step();
  this->Kept.step();
  this->Silences.step();
  this->Configs.step();
  this->watchStops();
  const TimePoint Now = EventLoop::now();
  while (this->IsSending && this->NextCallAt <= Now) {
    this->sendCall();
    if (this->Weights.isCallDue())
      this->sendEngineCall();
    this->NextCallAt +=
        Milliseconds(this->below(2 * static_cast<std::uint64_t>(toMilliseconds(
                                         this->Settings.CallGap))));
  }
}

void SoakRun::play() {
  for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
    this->Daemons[I].ToStore = std::make_unique<FaultyLink>(
        this->Loop, this->Store.address(), this->Random());
    this->Daemons[I].SettingsPath = this->Places.writeSettings(
        this->Harness.folder(), I, "z" + std::to_string(I % 3),
        this->Daemons[I].ToStore->address());
    this->Daemons[I].IsOld = !this->Settings.OldDaemon.empty();
    this->startDaemon(I);
  }
  for (std::size_t I = 0; I < this->Upstreams.size(); ++I)
    this->startUpstream(I);
  this->Weights.start();
  this->Kept.start();
  this->Silences.start();
  for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
    this->Harness.waitFor("daemon " + std::to_string(I), [&] {
      return this->Harness.get(this->Places.readyAddress(I), "/api/ready")
                 .Status == 200;
    });
  }
  this->Loop.runUntil([] { return false; }, SettleTime);
  this->Begun = this->NextCallAt = EventLoop::now();
  this->History.LastFaultAt = this->Begun;
  this->IsSending = true;
  Duration Last{};
  for (const Fault &Each :
       drawFaults(this->Settings.Seed, this->Settings.Faults)) {
    this->after(Each.At, [this, Each] { this->strike(Each); });
    Last = std::max(Last, Each.At + Each.For);
  }
  if (!this->Settings.OldDaemon.empty())
    for (const BuildReplacement &Each :
         drawReplacements(this->Settings.Seed, this->Daemons.size(), Last))
      this->after(Each.At, [this, Each] { this->replaceBuild(Each); });
  this->Weights.nameUntil(this->Begun + Last);
  this->Configs.play(this->Begun + Last);
  this->Foreign.playFor(Last);
  this->pauseLater(this->Begun + Last);
  const sigc::connection Steps =
      this->Loop.timers().every(StepPeriod, [this] { this->step(); });
  this->Prompts.start(Last + this->Settings.CalmEnd);
  this->Loop.runUntil([] { return false; }, Last + this->Settings.CalmEnd);
  this->IsSending = false;
  this->Prompts.stop();
  this->Kept.stop();
  this->Silences.stop();
  this->Configs.finish();
  this->History.EndedAt = EventLoop::now();
  // A stop that is under way, and the last calls.
  this->Loop.runUntil([this] { return this->Open.empty(); }, CallPatience * 2);
  this->History.Prompts = this->Prompts.history();
  sigc::connection(Steps).disconnect();
  this->noteHelpers();
}

/// Notes which daemons relayed the kept calls to upstreams. Only the logs of
/// the daemons tell.
void SoakRun::noteHelpers() {
  for (const std::string &Line : this->linesWith(" event=call.sent ")) {
    const auto Relayed = relayedCallIn(Line);
    if (!Relayed)
      continue;
    const auto Note = [&](auto &Calls) {
      const auto Found = Calls.find(std::string(Relayed->Id));
      if (Found == Calls.end())
        return;
      for (std::size_t I = 0; I < this->Daemons.size(); ++I)
        if (this->Places.hostOf(I) == Relayed->HelperHost)
          Found->second.Helpers.insert(I);
    };
    Note(this->History.Connections.Calls);
    Note(this->History.Silences.Calls);
  }
}

std::vector<std::string> SoakRun::linesWith(const std::string &Text) const {
  std::vector<std::string> Result;
  for (const auto &Each :
       std::filesystem::directory_iterator(this->Harness.folder())) {
    if (Each.path().extension() != ".log")
      continue;
    std::ifstream File(Each.path());
    for (std::string Line; std::getline(File, Line);)
      if (Line.find(Text) != std::string::npos)
        Result.push_back(Each.path().filename().string() + " " + Line);
  }
  std::sort(Result.begin(), Result.end(),
            [](const std::string &A, const std::string &B) {
              return A.substr(A.find("time=")) < B.substr(B.find("time="));
            });
  return Result;
}

} // namespace galenaroute::soak
