#include "ProcessRun.h"

#include "OrdinaryRequest.h"
#include "Parts.h"
#include "PollLoop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <limits>
#include <netinet/in.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace galenaroute::process_soak {

using namespace std::chrono_literals;

/// Requests sent this long after the recovery time are counted.
static constexpr Duration CountedTime = 3s;
static constexpr Duration ReapPeriod = 5ms;
static constexpr Duration ProbePeriod = 250ms;
/// From the end of the grace time until a process is killed.
static constexpr Duration KillDelay = 2s;
/// How often and how long an address is tried to be taken.
static constexpr Duration OccupyDelay = 1ms;
static constexpr Duration OccupyLimit = 100ms;
static constexpr Duration CallersLimit = 12s;
/// Sanitizers delay the start of main(), where signals are blocked first.
static constexpr Duration SanitizerStart = 500ms;
/// Limits of the machines of the smaller site.
static constexpr std::uint64_t MachineFiles = 4200;
static constexpr std::uint64_t MachineMemory = 110'000'000;
static constexpr std::size_t CallersOfProcess = 100;
/// `limits.memoryMb`, below the address space.
static constexpr int MemoryMb = 48;
/// `limits.maxFds`.
static constexpr std::size_t MaxFds = 4096;
/// Of a daemon beside those for clients: listeners, peers, the store, the log
/// and idle connections.
static constexpr std::size_t OwnDescriptors = 100;
/// What differs between two settings files of a daemon.
static constexpr std::string_view ChangedSetting = "budgetSlack = ";
static constexpr int LeastSlack = 54;
/// Before all other settings, of the first start of the whole system and of
/// later ones.
static constexpr std::string_view FirstStart = "bootstrap = true\n";
static constexpr std::string_view LaterStart = "bootstrap = false\n";
static constexpr int LockPort = 9999;
static constexpr int Networks = 200;

static volatile std::sig_atomic_t WasInterrupted = 0;

void catchInterrupts() {
  for (const int Each : {SIGINT, SIGTERM, SIGHUP})
    std::signal(Each, [](int) { WasInterrupted = 1; });
}

/// Binds an address of a loopback network that no other run has taken, and
/// returns its number.
static int lockNetwork(int &Lock) {
  for (int I = 0; I < Networks; ++I) {
    const int Network = 20 + (getpid() + I) % Networks;
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(LockPort);
    At.sin_addr.s_addr =
        htonl(127U << 24 | static_cast<std::uint32_t>(Network) << 16 | 0x0301);
    Lock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(Lock, reinterpret_cast<const sockaddr *>(&At), sizeof At) == 0)
      return Network;
    close(Lock);
  }
  throw std::runtime_error("no loopback network is free");
}

static std::string readText(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

ProcessRun::ProcessRun(RunSettings Given)
    : Settings(std::move(Given)),
      Name("s" + std::to_string(this->Settings.Plan.Seed) + "p" +
           std::to_string(getpid())),
      Folder(this->Settings.BuildDir + "/process-soak/" + this->Name),
      Places{.Count = this->Settings.Plan.Daemons,
             .Network = lockNetwork(this->NetworkLock),
             .GraceSeconds = static_cast<int>(toSeconds(ProcessBounds().Grace)),
             .MemoryMb = MemoryMb} {
  std::filesystem::create_directories(this->Folder);
  this->Daemons.resize(this->Settings.Plan.Daemons);
  this->Upstreams.resize(this->Settings.Plan.Upstreams);
}

ProcessRun::~ProcessRun() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
  for (const int Each : this->Occupying)
    close(Each);
  close(this->NetworkLock);
}

ProcessBounds ProcessRun::bounds() const {
  // Each client has a connection, and its call one to an upstream.
  const std::size_t Clients =
      this->Settings.Callers + this->Settings.Misbehaving;
  return {.EventsOfWhole = EventsOfStream,
          .MemoryBytes = this->Settings.HasSanitizers
                             ? std::numeric_limits<std::size_t>::max()
                             : std::size_t{MemoryMb} << 20,
          .Descriptors = std::min(MaxFds, 2 * Clients + OwnDescriptors)};
}

void ProcessRun::note(const std::string &Line) {
  char Time[16];
  std::snprintf(Time, sizeof Time, "%8.3f ",
                toSeconds(EventLoop::now() - this->Begun));
  this->Timeline.push_back(Time + Line);
}

void ProcessRun::after(Duration Delay, const std::function<void()> &Do) {
  this->Timers.push_back(this->Loop.timers().after(Delay, Do));
}

bool ProcessRun::waitFor(const std::function<bool()> &Done, Duration Limit) {
  const bool Result = this->Loop.runUntil(
      [&Done] { return WasInterrupted != 0 || Done(); }, Limit);
  if (WasInterrupted != 0)
    throw Interrupted();
  return Result;
}

void ProcessRun::runFor(Duration Time) {
  this->waitFor([] { return false; }, Time);
}

std::unique_ptr<ChildProcess>
ProcessRun::startPart(const std::string &Name,
                      std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.end(),
                   {"--journal", this->pathOf(Name + ".journal")});
  return std::make_unique<ChildProcess>(
      this->Settings.BuildDir + "/galenaroute-process-soak-part", Arguments,
      this->pathOf(Name + ".out"), ProcessLimits());
}

std::string ProcessRun::daemonAddresses() const {
  std::string Result;
  for (std::size_t I = 0; I < this->Daemons.size(); ++I)
    Result += (I == 0 ? "" : ",") + this->Places.callerAddress(I).toString();
  return Result;
}

void ProcessRun::startMisbehaving() {
  if (this->Settings.Misbehaving == 0)
    return;
  this->Misbehaving = this->startPart(
      "misbehaving",
      {"--role", "misbehaving", "--daemons", this->daemonAddresses(), "--count",
       std::to_string(this->Settings.Misbehaving), "--prefix",
       this->Name + ".m", "--length-ms",
       std::to_string(toMilliseconds(this->Settings.Plan.Length +
                                     this->bounds().Recovery)),
       "--seed", std::to_string(this->Settings.Plan.Seed * 1000 + 500)});
}

void ProcessRun::startCallers() {
  const std::string Addresses = this->daemonAddresses();
  for (std::size_t Left = this->Settings.Callers; Left > 0;) {
    const std::size_t Count = std::min(Left, CallersOfProcess);
    const std::string Number = std::to_string(this->Callers.size());
    this->Callers.push_back(this->startPart(
        "callers" + Number,
        {"--role", "callers", "--daemons", Addresses, "--count",
         std::to_string(Count), "--prefix", this->Name + "." + Number, "--seed",
         std::to_string(this->Settings.Plan.Seed * 1000 + Left)}));
    Left -= Count;
  }
}

void ProcessRun::startDaemon(std::size_t Index) {
  DaemonPart &Part = this->Daemons[Index];
  if (this->IsEnding)
    return;
  // A successor may have started already.
  if (!Part.Running.empty()) {
    const auto &Signals = this->History.Lives[Part.Running.back().Life].Signals;
    if (std::none_of(Signals.begin(), Signals.end(), [](const auto &Each) {
          return Each.Number == SIGKILL || Each.Number == SIGTERM;
        }))
      return;
  }
  LifeView Life{.Daemon = Index, .StartedAt = EventLoop::now()};
  auto Child = std::make_unique<ChildProcess>(
      Part.IsOld ? this->Settings.OldDaemon
                 : this->Settings.BuildDir + "/galenaroute-platform",
      std::vector<std::string>{"--settings", Part.Settings},
      this->daemonLog(Index),
      ProcessLimits{.Files = MachineFiles,
                    .MemoryBytes =
                        this->Settings.HasSanitizers ? 0 : MachineMemory});
  Life.Process = Child->id();
  if (Part.Running.empty())
    Life.AloneAt = Life.StartedAt;
  Part.Running.push_back({std::move(Child), this->History.Lives.size()});
  this->History.Lives.push_back(Life);
  this->note("daemon " + std::to_string(Index) + " starts as process " +
             std::to_string(Life.Process) +
             (Part.IsOld ? " of the old build" : ""));
}

void ProcessRun::signalDaemon(std::size_t Index, int Number) {
  DaemonPart &Part = this->Daemons[Index];
  if (Part.Running.empty())
    return;
  DaemonPart::Process &Newest = Part.Running.back();
  if (Newest.Child->poll())
    return;
  const Duration Age =
      EventLoop::now() - this->History.Lives[Newest.Life].StartedAt;
  if (this->Settings.HasSanitizers && Number != SIGKILL &&
      Age < SanitizerStart) {
    this->after(SanitizerStart - Age,
                [this, Index, Number] { this->signalDaemon(Index, Number); });
    return;
  }
  this->History.Lives[Newest.Life].Signals.push_back(
      {EventLoop::now(), Number});
  Newest.Child->signal(Number);
}

void ProcessRun::stopDaemon(std::size_t Index) {
  DaemonPart &Part = this->Daemons[Index];
  if (Part.Running.empty())
    return;
  const std::size_t Life = Part.Running.back().Life;
  this->signalDaemon(Index, SIGTERM);
  this->after(this->bounds().Grace + KillDelay, [this, Index, Life] {
    for (DaemonPart::Process &Each : this->Daemons[Index].Running)
      if (Each.Life == Life) {
        this->History.Lives[Life].Signals.push_back(
            {EventLoop::now(), SIGKILL});
        Each.Child->signal(SIGKILL);
      }
  });
}

void ProcessRun::replaceDaemon(const Deed &Next) {
  const std::size_t Index = Next.Target;
  const auto Start = [this, Index] { this->startDaemon(Index); };
  if (Next.Kind == DeedKind::Stop) {
    this->stopDaemon(Index);
    this->after(Next.For, Start);
    return;
  }
  this->signalDaemon(Index, SIGKILL);
  if (Next.Kind == DeedKind::Kill) {
    this->after(Next.For, Start);
    return;
  }
  if (Next.Kind == DeedKind::KillAndOccupy) {
    this->occupyAddress(Index, Next.For, EventLoop::now() + OccupyLimit);
    this->after(OccupyLimit / 2, Start);
    return;
  }
  if (Next.Kind == DeedKind::KillAndRewrite)
    this->rewriteSettings(Index, Next.For,
                          Next.Flag ? "" : this->halfSettings(Index),
                          /*HangsUp=*/false);
  Start();
  if (Next.Kind == DeedKind::KillAndRewrite)
    return;
  this->after(Next.For, [this, Index, Kind = Next.Kind, Start] {
    if (Kind == DeedKind::KillAndHangUp) {
      this->signalDaemon(Index, SIGHUP);
    } else {
      this->stopDaemon(Index);
      this->after(RestartDelay, Start);
    }
  });
}

/// The successor, and those that follow it, are of the other build.
void ProcessRun::replaceBuild(const Deed &Next) {
  this->Daemons[Next.Target].IsOld = Next.Kind == DeedKind::GoBack;
  Deed Replacement = Next;
  Replacement.Kind = Next.Flag ? DeedKind::Kill : DeedKind::Stop;
  this->replaceDaemon(Replacement);
}

/// Kills the processes of all daemons, also those that drain.
void ProcessRun::killDaemons(Duration Away) {
  for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
    for (DaemonPart::Process &Each : this->Daemons[I].Running) {
      this->History.Lives[Each.Life].Signals.push_back(
          {EventLoop::now(), SIGKILL});
      Each.Child->signal(SIGKILL);
    }
    this->after(Away, [this, I] { this->startDaemon(I); });
  }
}

void ProcessRun::freezeDaemon(std::size_t Index, Duration For) {
  DaemonPart &Part = this->Daemons[Index];
  const TimePoint From = EventLoop::now();
  Part.FrozenUntil = std::max(Part.FrozenUntil, From + For);
  for (DaemonPart::Process &Each : Part.Running)
    Each.Child->signal(SIGSTOP);
  this->after(For, [this, Index, From] {
    DaemonPart &Again = this->Daemons[Index];
    if (EventLoop::now() >= Again.FrozenUntil)
      for (DaemonPart::Process &Each : Again.Running)
        Each.Child->signal(SIGCONT);
    this->History.Freezes[Index].push_back({From, EventLoop::now()});
  });
}

std::string ProcessRun::halfSettings(std::size_t Index) const {
  const std::string Whole = readText(this->Daemons[Index].Settings + ".whole");
  return Whole.substr(0, Whole.size() / 2);
}

/// Lets the settings file be as \p Meanwhile for a time; removed if that is
/// empty.
void ProcessRun::rewriteSettings(std::size_t Index, Duration Half,
                                 const std::string &Meanwhile, bool HangsUp) {
  const std::string &Path = this->Daemons[Index].Settings;
  if (Meanwhile.empty())
    std::filesystem::remove(Path);
  else
    std::ofstream(Path) << Meanwhile;
  this->after(Half, [this, Index, Path, HangsUp] {
    std::string Text = readText(Path + ".whole");
    const std::size_t At = Text.find(ChangedSetting) + ChangedSetting.size();
    Text.replace(At, Text.find('\n', At) - At,
                 std::to_string(LeastSlack + ++this->Rewrites));
    std::ofstream(Path) << Text;
    if (HangsUp)
      this->signalDaemon(Index, SIGHUP);
  });
}

/// Opens a connection from the address of a daemon whose process is ending,
/// as soon as that is possible, and closes it after \p For.
void ProcessRun::occupyAddress(std::size_t Index, Duration For,
                               TimePoint Until) {
  const int Socket = connectFrom(this->Places.callerAddress(Index).toString(),
                                 this->StoreAddress.toString());
  if (Socket < 0) {
    if (EventLoop::now() < Until)
      this->after(OccupyDelay, [this, Index, For, Until] {
        this->occupyAddress(Index, For, Until);
      });
    return;
  }
  this->note("address of daemon " + std::to_string(Index) + " is taken");
  this->Occupying.push_back(Socket);
  this->after(For, [this, Socket] {
    resetSocket(Socket);
    std::erase(this->Occupying, Socket);
  });
}

/// Writes a configuration that differs from the one before.
void ProcessRun::configure() {
  if (this->IsConfiguring)
    return;
  this->ConfigVersion += 1 + this->ConfigVersion % 3;
  this->putConfig();
}

/// Drops the routes of all streams and adds them again after \p For.
void ProcessRun::dropRoutes(Duration For, bool WithService) {
  if (this->IsConfiguring || this->LacksStreams)
    return;
  this->LacksStreams = true;
  this->LacksService = WithService;
  this->configure();
  this->after(For, [this] { this->restoreRoutes(); });
}

void ProcessRun::restoreRoutes() {
  if (this->IsConfiguring) {
    this->after(ReapPeriod, [this] { this->restoreRoutes(); });
    return;
  }
  this->LacksStreams = this->LacksService = false;
  this->configure();
}

void ProcessRun::putConfig() {
  const std::uint64_t Version = this->ConfigVersion;
  struct {
    const char *Name;
    const char *Kind;
    bool MayRepeat;
  } const Kinds[] = {{"safe", "safe", true},
                     {"once", "unsafe", false},
                     {"stream", "stream", true},
                     {"oncestream", "stream", false},
                     {"longstream", "stream", true}};
  const std::size_t Present = this->LacksService ? Services - 1 : Services;
  nlohmann::json Config = {{"version", Version},
                           {"limits",
                            {{"maxHeaderBytes", 16384},
                             {"maxBodyBytes", 1 << 20},
                             {"headerTimeoutMs", 2000},
                             {"idleTimeoutMs", 2000 + Version * 700 % 2000}}}};
  for (const auto &Each : Kinds) {
    const bool IsStream = std::string_view(Each.Kind) == "stream";
    if (IsStream && this->LacksStreams)
      continue;
    nlohmann::json Route = {
        {"name", Each.Name},
        {"host", "h"},
        {"pathPrefix", std::string("/") + Each.Name + "/"},
        {"kind", Each.Kind},
        {"timeoutMs", toMilliseconds(this->bounds().Timeout)},
        {"targetLatencyMs", 200},
        {"priority", 1},
        {"service", "d0"},
        {"maxAttempts", Each.MayRepeat ? 2 : 1},
        {"public", true}};
    if (IsStream) {
      Route["gapAimMs"] = 200;
      Route["resumable"] = Each.MayRepeat;
    }
    for (std::size_t I = 0; I < Present; ++I)
      Route["split"].push_back({{"service", "d" + std::to_string(I)},
                                {"weight", 1 + (Version / (I + 1)) % 3}});
    Config["routes"].push_back(Route);
  }
  for (std::size_t I = 0; I < Present; ++I)
    Config["services"].push_back(
        {{"name", "d" + std::to_string(I)}, {"maxConns", 400}});
  this->IsConfiguring = true;
  this->Client.startDetached(
      HttpCallBuilder(this->StoreAddress)
          .put("/api/objects/config/main",
               nlohmann::json{
                   {"metadata",
                    {{"name", "main"}, {"revision", this->ConfigRevision}}},
                   {"spec", Config}}
                   .dump())
          .header("Content-Type", "application/json")
          .totalTimeout(CallLimit)
          .newConnection()
          .build(),
      [this, Version](const HttpResult &Result) {
        const auto Body = nlohmann::json::parse(Result.Body, nullptr, false);
        if (Body.is_object() && Body.contains("metadata"))
          this->ConfigRevision =
              Body["metadata"].value("revision", std::uint64_t{0});
        if (Result.isSuccess()) {
          this->note("configuration " + std::to_string(Version) +
                     (this->LacksService   ? " without streams and a service"
                      : this->LacksStreams ? " without streams"
                                           : ""));
          this->IsConfiguring = false;
        } else if (!this->IsEnding) {
          this->after(RestartDelay, [this] { this->putConfig(); });
        }
      });
}

void ProcessRun::act(const Deed &Next) {
  this->note(std::string(toString(Next.Kind)) + " " +
             std::to_string(Next.Target) + " " +
             std::to_string(toMilliseconds(Next.For)) + " ms");
  this->History.LastFaultAt =
      std::max(this->History.LastFaultAt, EventLoop::now() + Next.For);
  switch (Next.Kind) {
  case DeedKind::Kill:
  case DeedKind::KillAndHangUp:
  case DeedKind::KillAndStop:
  case DeedKind::Stop:
  case DeedKind::KillAndOccupy:
  case DeedKind::KillAndRewrite:
    this->replaceDaemon(Next);
    return;
  case DeedKind::KillAll:
    this->killDaemons(Next.For);
    return;
  case DeedKind::Freeze:
    this->freezeDaemon(Next.Target, Next.For);
    return;
  case DeedKind::HangUp:
    this->signalDaemon(Next.Target, SIGHUP);
    return;
  case DeedKind::RewriteSettings:
    this->rewriteSettings(Next.Target, Next.For,
                          this->halfSettings(Next.Target), Next.Flag);
    return;
  case DeedKind::SilenceUpstream:
    this->silenceUpstream(Next.Target, Next.For);
    return;
  case DeedKind::KillUpstream:
    this->endUpstream(Next.Target, SIGKILL, Next.For);
    return;
  case DeedKind::LeaveUpstream:
    this->endUpstream(Next.Target, SIGTERM, Next.For);
    return;
  case DeedKind::FreezeStore:
    this->freezeStore(Next.For);
    return;
  case DeedKind::Configure:
    this->configure();
    return;
  case DeedKind::DropRoutes:
    this->dropRoutes(Next.For, Next.Flag);
    return;
  case DeedKind::TurnAway:
    this->turnAway(Next);
    return;
  case DeedKind::RollOut:
    this->rollOut(Next.Target, Next.Flag, Next.For);
    return;
  case DeedKind::ReturnUpstream:
    this->returnUpstream(Next.Target, Next.For);
    return;
  case DeedKind::Upgrade:
  case DeedKind::GoBack:
    this->replaceBuild(Next);
    return;
  }
}

void ProcessRun::reap() {
  for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
    auto &Running = this->Daemons[I].Running;
    for (std::size_t At = 0; At < Running.size();) {
      if (!Running[At].Child->poll()) {
        ++At;
        continue;
      }
      LifeView &Life = this->History.Lives[Running[At].Life];
      Life.EndedAt = EventLoop::now();
      Life.ExitCode = Running[At].Child->exitCode();
      this->note("daemon " + std::to_string(I) + " process " +
                 std::to_string(Life.Process) + " has ended with " +
                 std::to_string(Life.ExitCode));
      const bool IsNewest = At + 1 == Running.size();
      Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(At));
      if (IsNewest && std::none_of(Life.Signals.begin(), Life.Signals.end(),
                                   [](const SignalView &Each) {
                                     return Each.Number != SIGHUP;
                                   }))
        this->after(RestartDelay, [this, I] { this->startDaemon(I); });
    }
    if (Running.size() == 1) {
      LifeView &Life = this->History.Lives[Running[0].Life];
      Life.AloneAt = Life.AloneAt.value_or(EventLoop::now());
    }
  }
  this->reapUpstreams();
}

/// Asks daemons that run alone at their address whether they are ready.
void ProcessRun::probe() {
  for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
    const auto &Running = this->Daemons[I].Running;
    if (Running.size() != 1 || this->History.Lives[Running[0].Life].ReadyAt)
      continue;
    this->Client.startDetached(
        HttpCallBuilder(this->Places.readyAddress(I))
            .get("/api/ready")
            .totalTimeout(ProbePeriod)
            .newConnection()
            .build(),
        [this, Life = Running[0].Life](const HttpResult &Result) {
          if (Result.Status == 200)
            this->History.Lives[Life].ReadyAt = EventLoop::now();
        });
  }
}

void ProcessRun::measure() {
  for (const DaemonPart &Part : this->Daemons)
    for (const DaemonPart::Process &Each : Part.Running) {
      LifeView &Life = this->History.Lives[Each.Life];
      Life.MostMemory = std::max(Life.MostMemory, Each.Child->mostMemory());
      Life.MostDescriptors =
          std::max(Life.MostDescriptors, Each.Child->openDescriptors());
    }
}

void ProcessRun::play() {
  this->startStore();
  this->configure();
  if (!this->waitFor([this] { return !this->IsConfiguring; }, StartLimit))
    throw std::runtime_error("the store takes no configuration");
  this->startUpstreams();
  for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
    std::string &Path = this->Daemons[I].Settings;
    Path =
        this->Places.writeSettings(this->Folder, I, "z0", this->StoreDoors[I]);
    const std::string Text = readText(Path);
    std::ofstream(Path + ".whole") << LaterStart << Text;
    std::ofstream(Path) << FirstStart << Text;
    this->Daemons[I].IsOld = this->Settings.Plan.ReplacesBuilds;
    this->startDaemon(I);
  }
  this->Timers.push_back(
      this->Loop.timers().every(ReapPeriod, [this] { this->reap(); }));
  this->Timers.push_back(this->Loop.timers().every(ProbePeriod, [this] {
    this->probe();
    this->measure();
  }));
  const bool AreReady = this->waitFor(
      [this] {
        return std::all_of(
            this->History.Lives.begin(), this->History.Lives.end(),
            [](const LifeView &Each) { return Each.ReadyAt.has_value(); });
      },
      StartLimit);
  if (!AreReady)
    throw std::runtime_error("the daemons do not start; see " + this->Folder);
  for (const DaemonPart &Each : this->Daemons)
    std::ofstream(Each.Settings) << readText(Each.Settings + ".whole");
  this->startCallers();
  this->startMisbehaving();
  this->runFor(SettleTime);
  this->Begun = EventLoop::now();
  this->History.LastFaultAt = this->Begun;
  for (const Deed &Each : drawPlan(this->Settings.Plan))
    this->after(Each.At, [this, Each] { this->act(Each); });
  this->runFor(this->Settings.Plan.Length);
  // A fault that comes late, on a busy machine, moves the end.
  const auto End = [this] {
    return this->History.LastFaultAt + this->bounds().Recovery + CountedTime;
  };
  while (EventLoop::now() < End())
    this->runFor(End() - EventLoop::now());
  this->History.EndedAt = EventLoop::now();
  this->endMisbehaving();
  this->endCallers();
  this->askDaemons();
  this->measure();
  this->endDaemons();
  this->readFiles();
}

void ProcessRun::endCallers() {
  for (const auto &Each : this->Callers)
    Each->signal(SIGTERM);
  const bool HaveEnded = this->waitFor(
      [this] {
        return std::all_of(this->Callers.begin(), this->Callers.end(),
                           [](const auto &Each) { return Each->poll(); });
      },
      CallersLimit);
  if (!HaveEnded)
    throw std::runtime_error("the callers do not end; see " + this->Folder);
}

void ProcessRun::endMisbehaving() {
  if (!this->Misbehaving)
    return;
  this->Misbehaving->signal(SIGTERM);
  if (!this->waitFor([this] { return this->Misbehaving->poll(); },
                     CallersLimit))
    throw std::runtime_error("the misbehaving clients do not end; see " +
                             this->Folder);
  if (this->Misbehaving->exitCode() != 0)
    throw std::runtime_error("the misbehaving clients failed; see " +
                             this->Folder);
}

void ProcessRun::askDaemons() {
  std::map<std::size_t, OrdinaryRequest> Requests;
  for (std::size_t I = 0; I < this->Daemons.size(); ++I)
    if (!this->Daemons[I].Running.empty()) {
      const std::size_t Life = this->Daemons[I].Running.back().Life;
      this->History.Lives[Life].HasServedLast = false;
      Requests.try_emplace(Life, this->Places.callerAddress(I).toString(),
                           this->Name + ".last." + std::to_string(I));
    }
  this->waitFor(
      [&] {
        bool AreServed = true;
        for (auto &[Life, Each] : Requests) {
          const bool IsServed = Each.isServed();
          this->History.Lives[Life].HasServedLast = IsServed;
          AreServed = AreServed && IsServed;
        }
        return AreServed;
      },
      this->bounds().Recovery);
}

void ProcessRun::endDaemons() {
  this->IsEnding = true;
  for (std::size_t I = 0; I < this->Daemons.size(); ++I)
    this->stopDaemon(I);
  this->waitFor(
      [this] {
        return std::all_of(
            this->Daemons.begin(), this->Daemons.end(),
            [](const DaemonPart &Each) { return Each.Running.empty(); });
      },
      this->bounds().Grace + 2 * KillDelay);
  for (UpstreamPart &Each : this->Upstreams)
    Each.Child.reset();
}

void ProcessRun::readFiles() {
  for (std::size_t I = 0; I < this->Callers.size(); ++I)
    readCallers(
        readJournal(this->pathOf("callers" + std::to_string(I) + ".journal")),
        this->History);
  for (const std::string &Each : this->UpstreamIds)
    readUpstream(Each, readJournal(this->pathOf(Each + ".journal")),
                 this->History);
  readStore(readJournal(this->pathOf("store.journal")), this->History);
  std::map<std::string, std::size_t> DaemonsByHost;
  for (std::size_t I = 0; I < this->Daemons.size(); ++I)
    DaemonsByHost[this->Places.hostOf(I)] = I;
  for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
    std::ifstream Log(this->daemonLog(I));
    readSanitizerReports(I, Log, this->History);
    std::ifstream Again(this->daemonLog(I));
    readHelpers(Again, DaemonsByHost, this->History);
  }
}

std::vector<std::string> ProcessRun::linesOf(const std::string &Request) const {
  std::multimap<TimePoint, std::string> Sorted;
  std::vector<std::string> Logged;
  for (const auto &Entry : std::filesystem::directory_iterator(this->Folder)) {
    const std::filesystem::path &Path = Entry.path();
    if (Path.extension() == ".journal") {
      for (const JournalLine &Line : readJournal(Path))
        if (Line.Call == Request)
          Sorted.emplace(Line.At, Path.stem().string() + " " + Line.Event +
                                      " " + Line.Detail);
    } else if (Path.extension() == ".log") {
      std::ifstream File(Path);
      for (std::string Line; std::getline(File, Line);)
        if (Line.find("call=" + Request + " ") != std::string::npos)
          Logged.push_back(Path.stem().string() + ": " + Line);
    }
  }
  std::vector<std::string> Result;
  for (const auto &[At, Text] : Sorted) {
    char Time[16];
    std::snprintf(Time, sizeof Time, "%8.3f ", toSeconds(At - this->Begun));
    Result.push_back(Time + Text);
  }
  Result.insert(Result.end(), Logged.begin(), Logged.end());
  return Result;
}

} // namespace galenaroute::process_soak
