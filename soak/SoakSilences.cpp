#include "SoakSilences.h"

#include "SoakConnections.h"
#include "process/ProcessHarness.h"

#include <algorithm>

namespace galenaroute::soak {

using namespace std::chrono_literals;

static constexpr std::size_t CallersOfDaemon = 8;
static constexpr std::size_t ServiceCount = 2;
static constexpr std::size_t UpstreamsOfService = 3;
static constexpr std::size_t UpstreamCount = ServiceCount * UpstreamsOfService;
/// Of an upstream of each service; those of the second one are often full.
static constexpr int SlotsOf[ServiceCount] = {40, 4};
static constexpr double MaxIdleShare = 0.79;
static constexpr double ReuseShare = 0.8;
static constexpr Duration MaxIdle = 700ms;
static constexpr Duration CallDeadline = 8s;
/// A caller closes a connection whose answer is not complete by then.
static constexpr Duration Patience = CallDeadline + 1s;
static constexpr Duration ReconnectDelay = 200ms;
/// Longer than a call beside two silences in a row takes.
static constexpr int TimeoutsMs[] = {6000, 7000, 8000};
static constexpr double Weights[] = {1, 2, 5};
static constexpr Duration MinWork = 5ms;
static constexpr Duration MaxWork = 300ms;
static constexpr int EventsOfStream = 6;
static constexpr Duration MinSilence = 300ms;
static constexpr Duration MaxSilence = 1800ms;
static constexpr Duration MinSilenceGap = 600ms;
static constexpr Duration MaxSilenceGap = 2500ms;
static constexpr Duration MinCrashGap = 2s;
static constexpr Duration MaxCrashGap = 6s;
static constexpr Duration MinForGoodGap = 3s;
static constexpr Duration MaxForGoodGap = 6s;
/// Time after which the machine of a silence for good is replaced.
static constexpr Duration ForGoodTime = 12s;
/// A crashed upstream is back after this time; its entry lapses before.
static constexpr Duration UpstreamRestart = 900ms;
static constexpr Duration EntryLapse = 700ms;
static constexpr std::uint64_t RefusedOneIn = 25;
static constexpr std::size_t LongPiece = 16 << 10;
static constexpr const char *Key = "silences";

struct RouteKind {
  const char *Name;
  const char *Kind;
  bool MayRepeat;
  bool IsStream;
};
static constexpr RouteKind Routes[] = {
    {"quietsafe", "safe", true, false},
    {"quietonce", "unsafe", false, false},
    {"quietresume", "stream", true, true},
    {"quietstream", "stream", false, true},
};

/// Returns the bytes of the whole chunks of a body.
static std::string withoutChunks(const std::string &Body) {
  std::string Result;
  for (std::size_t At = 0;;) {
    const std::size_t End = Body.find("\r\n", At);
    if (End == std::string::npos)
      return Result;
    const std::size_t Size = std::strtoul(Body.c_str() + At, nullptr, 16);
    if (Size == 0 || End + 2 + Size > Body.size())
      return Result;
    Result += Body.substr(End + 2, Size);
    At = End + 2 + Size + 2;
  }
}

/// Returns the ids of the whole events of a stream that name the call.
static std::vector<int> eventsIn(const std::string &Text,
                                 const std::string &Call) {
  std::vector<int> Result;
  const std::string Data = "\ndata: " + Call + "\n\n";
  for (std::size_t At = 0; (At = Text.find("id: ", At)) != std::string::npos;
       ++At) {
    const std::size_t Line = Text.find('\n', At);
    if (Line != std::string::npos && Text.compare(Line, Data.size(), Data) == 0)
      Result.push_back(std::stoi(Text.substr(At + 4, Line - At - 4)));
  }
  return Result;
}

SoakSilences::SoakSilences(EventLoop &Loop,
                           testing_support::FakePlatformServer &Store,
                           const testing_support::PlatformDaemons &Places,
                           std::uint64_t Seed, SoakSilencesParts Parts)
    : Loop(Loop), Store(Store), Places(Places), Random(Seed * 11 + 4),
      Parts(std::move(Parts)) {}

SoakSilences::~SoakSilences() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
}

void SoakSilences::after(Duration Delay, const std::function<void()> &Action) {
  this->Timers.push_back(this->Loop.timers().after(Delay, Action));
}

Duration SoakSilences::drawn(Duration Least, Duration Most) {
  return Least + Milliseconds(this->below(
                     static_cast<std::uint64_t>(toMilliseconds(Most - Least))));
}

void SoakSilences::addTo(nlohmann::json &Config) {
  for (std::size_t I = 0; I < ServiceCount; ++I)
    Config["services"].push_back(
        {{"name", "q" + std::to_string(I)}, {"maxConns", 400}});
  for (const RouteKind &Each : Routes) {
    nlohmann::json Route = SoakConnections::routeOf(Each.Name, "q0", 8s);
    Route["kind"] = Each.Kind;
    Route["public"] = false;
    Route["maxAttempts"] = Each.MayRepeat ? 2 : 1;
    Route["gapAimMs"] = 200;
    if (Each.IsStream)
      Route["resumable"] = Each.MayRepeat;
    Config["routes"].push_back(Route);
  }
  Config["tenants"].push_back(
      {{"name", "quiet"}, {"apiKeys", nlohmann::json::array({Key})}});
  this->changeConfig(Config);
}

void SoakSilences::changeConfig(nlohmann::json &Config) {
  const int TimeoutMs = TimeoutsMs[this->below(std::size(TimeoutsMs))];
  for (nlohmann::json &Route : Config["routes"]) {
    const std::string Name = Route.at("name");
    if (std::none_of(std::begin(Routes), std::end(Routes),
                     [&](const RouteKind &Each) { return Each.Name == Name; }))
      continue;
    Route["timeoutMs"] = TimeoutMs;
    Route["split"] = nlohmann::json::array();
    for (std::size_t I = 0; I < ServiceCount; ++I)
      Route["split"].push_back(
          {{"service", "q" + std::to_string(I)},
           {"weight", Weights[this->below(std::size(Weights))]}});
  }
  for (nlohmann::json &Tenant : Config["tenants"]) {
    if (Tenant.at("name") != "quiet")
      continue;
    // One key is that of the callers; others come and go.
    Tenant["apiKeys"] = nlohmann::json::array({Key});
    if (this->below(2) == 0)
      Tenant["apiKeys"].push_back("other" + std::to_string(++this->LastKey));
    Tenant["priority"] = 1 + this->below(3);
    Tenant["isolated"] = this->below(2) == 0;
  }
  this->Parts.Seen.Silences.Timeouts.push_back(
      {EventLoop::now(), Milliseconds(TimeoutMs)});
}

void SoakSilences::put(const Upstream &Part) {
  this->Store.put("servers", Part.Id,
                  {{"service", Part.Service},
                   {"address", Part.Link->address().toString()},
                   {"zone", "z0"},
                   {"version", "1"},
                   {"slots", Part.Slots},
                   {"state", "ready"},
                   {"sequence", 1},
                   {"born", this->Starts}});
}

void SoakSilences::startUpstream(std::size_t Index) {
  Upstream &Part = this->Upstreams[Index];
  const std::size_t Service = Index % ServiceCount;
  const SocketAddress At = testing_support::ProcessHarness::freeAddress();
  Part.Service = "q" + std::to_string(Service);
  Part.Id = this->Places.RunPrefix + "quiet" + std::to_string(Index) + "-" +
            std::to_string(++this->Starts);
  Part.Slots = SlotsOf[Service];
  Part.Listener = std::make_shared<CallListener>(
      this->Loop, At, CallerLimits{},
      [this, Index](const std::shared_ptr<IncomingCall> &Call) {
        this->onCall(Index, Call);
      });
  Part.Link =
      std::make_unique<FaultyLink>(this->Loop, At, this->Random(), LongPiece);
  Part.Running = 0;
  Part.IsUp = true;
  Part.IsGone = false;
  Part.SilentUntil = {};
  this->put(Part);
}

void SoakSilences::start() {
  this->Upstreams.resize(UpstreamCount);
  for (std::size_t I = 0; I < UpstreamCount; ++I)
    this->startUpstream(I);
  this->Callers.resize(this->Places.Count * CallersOfDaemon);
  for (std::size_t I = 0; I < this->Callers.size(); ++I)
    this->Callers[I].Daemon = I % this->Places.Count;
  this->IsSending = true;
  this->silenceLater();
  this->crashLater();
  this->silenceForGoodLater();
}

void SoakSilences::silence(std::size_t Index, bool IsMachine, Duration For) {
  Upstream &Part = this->Upstreams[Index];
  if (!Part.IsUp || Part.IsGone || EventLoop::now() < Part.SilentUntil)
    return;
  ++this->Silences;
  Part.SilentUntil = EventLoop::now() + For;
  Part.Link->setHarm(IsMachine ? SilentMachine : SilentProcess);
  this->Parts.Note((IsMachine ? "machine of " : "process of ") + Part.Id +
                   " is silent for " + std::to_string(toMilliseconds(For)) +
                   " ms");
  this->after(For, [this, Index, Id = Part.Id] {
    const Upstream &Again = this->Upstreams[Index];
    if (Again.Id == Id && Again.IsUp && !Again.IsGone)
      Again.Link->setHarm({});
  });
}

/// Lets one, two or all upstreams of a service fall silent, at once or one
/// shortly after the other.
void SoakSilences::silenceLater() {
  this->after(this->drawn(MinSilenceGap, MaxSilenceGap), [this] {
    const std::size_t Service = this->below(ServiceCount);
    const std::size_t First = this->below(UpstreamsOfService);
    const std::size_t Count = 1 + this->below(UpstreamsOfService);
    const bool AtOnce = this->below(2) == 0;
    for (std::size_t I = 0; I < Count; ++I) {
      const std::size_t Index =
          Service + ServiceCount * ((First + I) % UpstreamsOfService);
      const bool IsMachine = this->below(2) == 0;
      const Duration For = this->drawn(MinSilence, MaxSilence);
      const Duration Delay = AtOnce ? 0ms : this->drawn(0ms, MinSilence);
      this->after(Delay, [this, Index, IsMachine, For] {
        this->silence(Index, IsMachine, For);
      });
    }
    this->silenceLater();
  });
}

bool SoakSilences::dependsOn(const SilenceCallView &Call,
                             const std::string &UpstreamId) {
  return Call.Ran.empty() || Call.Ran.contains(UpstreamId);
}

void SoakSilences::crash(std::size_t Index) {
  Upstream &Part = this->Upstreams[Index];
  if (!Part.IsUp)
    return;
  this->Parts.Note(Part.Id + " crashes");
  for (const Caller &Each : this->Callers) {
    const auto Found = this->Parts.Seen.Silences.Calls.find(Each.Call);
    if (Found != this->Parts.Seen.Silences.Calls.end() &&
        dependsOn(Found->second, Part.Id))
      Found->second.HasBrokenOff = true;
  }
  Part.IsUp = false;
  Part.Link->resetAll();
  // Without the link, connections are refused.
  Part.Link.reset();
  Part.Listener->stopAccepting();
  Part.Listener->abortAll();
  this->Ended.push_back(std::move(Part.Listener));
  this->after(EntryLapse,
              [this, Id = Part.Id] { this->Store.put("servers", Id, {}); });
  this->after(UpstreamRestart, [this, Index] { this->startUpstream(Index); });
}

void SoakSilences::crashLater() {
  this->after(this->drawn(MinCrashGap, MaxCrashGap), [this] {
    const std::size_t Index = this->below(UpstreamCount);
    if (!this->Upstreams[Index].IsGone)
      this->crash(Index);
    this->crashLater();
  });
}

/// Lets the machine of an upstream of the first service be silent until it is
/// replaced. One at a time, so that sound ones remain.
void SoakSilences::silenceForGoodLater() {
  this->after(this->drawn(MinForGoodGap, MaxForGoodGap), [this] {
    const std::size_t Index = ServiceCount * this->below(UpstreamsOfService);
    Upstream &Part = this->Upstreams[Index];
    if (!Part.IsUp) {
      this->silenceForGoodLater();
      return;
    }
    ++this->SilencesForGood;
    Part.IsGone = true;
    Part.Link->setHarm(SilentMachine);
    this->Parts.Note("machine of " + Part.Id + " is silent for good");
    this->Parts.Seen.Silences.Gone.push_back(
        {Part.Id, EventLoop::now(), EventLoop::now() + ForGoodTime});
    this->after(ForGoodTime, [this, Index] {
      this->crash(Index);
      this->silenceForGoodLater();
    });
  });
}

void SoakSilences::onCall(std::size_t Index,
                          const std::shared_ptr<IncomingCall> &Call) {
  Upstream &Part = this->Upstreams[Index];
  const std::string Id(Call->Head.Headers.find("Request-Id").value_or(""));
  HttpHeaders Headers{{"Request-Id", Id}};
  const auto Found = this->Parts.Seen.Silences.Calls.find(Id);
  if (Found == this->Parts.Seen.Silences.Calls.end()) {
    Call->send(404, Headers, "");
    return;
  }
  if (this->below(RefusedOneIn) == 0 || Part.Running >= Part.Slots) {
    Headers.add("Not-Executed", "1");
    Call->send(503, Headers, "");
    return;
  }
  SilenceCallView &Seen = Found->second;
  ++Seen.Runs;
  Seen.Ran.insert(Part.Id);
  Headers.add("Server-Stamp", "x");
  ++Part.Running;
  const auto Leaves = [this, Index, UpstreamId = Part.Id] {
    Upstream &Again = this->Upstreams[Index];
    if (Again.Id == UpstreamId)
      --Again.Running;
  };
  if (!Seen.IsStream) {
    this->after(this->drawn(MinWork, MaxWork), [Call, Headers, Id, Leaves] {
      Leaves();
      if (Call->isOpen())
        Call->send(200, Headers, "answer to " + Id + ":");
    });
    return;
  }
  Headers.add("Content-Type", "text/event-stream");
  const std::string Last(
      Call->Head.Headers.find("Last-Event-Id").value_or("0"));
  this->after(this->drawn(MinWork, MaxWork),
              [this, Index, Call, Headers, Last, Leaves] {
                Leaves();
                if (!Call->isOpen())
                  return;
                Call->begin(200, Headers);
                this->stream(Index, Call, std::stoi(Last) + 1, EventsOfStream);
              });
}

void SoakSilences::stream(std::size_t Index,
                          const std::shared_ptr<IncomingCall> &Call, int Next,
                          int Last) {
  if (!Call->isOpen())
    return;
  if (Next > Last) {
    Call->finish();
    return;
  }
  const std::string Id(Call->Head.Headers.find("Request-Id").value_or(""));
  Call->write("id: " + std::to_string(Next) + "\ndata: " + Id + "\n\n");
  this->after(this->drawn(MinWork, MaxWork), [this, Index, Call, Next, Last] {
    this->stream(Index, Call, Next + 1, Last);
  });
}

void SoakSilences::connect(Caller &Each) {
  const TimePoint Now = EventLoop::now();
  Each.Call.clear();
  Each.Socket.reset();
  Each.SendAt = Now + ReconnectDelay;
  try {
    Each.Socket = std::make_unique<RawSocket>(
        RawSocket::connectTo(this->Places.callerAddress(Each.Daemon)));
    this->beginIdle(Each, Now);
  } catch (const std::runtime_error &) {
    // The daemon is not there; the caller tries again later.
    return;
  }
}

void SoakSilences::beginIdle(Caller &Each, TimePoint Since) {
  const TimePoint Now = EventLoop::now();
  Each.IdleSince = Since;
  const Duration Limit = idleLimitIn(this->Parts.Seen.Connections, Now, Now,
                                     SoakBounds().ConfigApply);
  const double Share =
      MaxIdleShare * static_cast<double>(this->below(100)) / 100;
  Each.SendAt =
      Since +
      std::min(std::chrono::duration_cast<Duration>(Limit * Share), MaxIdle);
}

void SoakSilences::send(Caller &Each) {
  const TimePoint Now = EventLoop::now();
  const Duration Limit =
      idleLimitIn(this->Parts.Seen.Connections, Each.IdleSince, Now,
                  SoakBounds().ConfigApply);
  if (Each.Socket->hasEnded() || Now - Each.IdleSince > Limit * ReuseShare) {
    this->connect(Each);
    return;
  }
  const RouteKind &Route = Routes[this->below(std::size(Routes))];
  Each.Call = this->Places.RunPrefix + "q" + std::to_string(++this->Sent);
  SilenceCallView &Call = this->Parts.Seen.Silences.Calls[Each.Call];
  Call.Daemon = Each.Daemon;
  Call.IdleSince = Each.IdleSince;
  Call.SentAt = Now;
  Call.Deadline = std::min(CallDeadline,
                           smallestLimitIn(this->Parts.Seen.Silences.Timeouts,
                                           Now, Now, SoakBounds().ConfigApply));
  Call.MayRepeat = Route.MayRepeat;
  Call.IsStream = Route.IsStream;
  Call.EventsOfWhole = EventsOfStream;
  Each.IncompleteAt = Now;
  const std::string Body(1 + this->below(3000), 'q');
  Each.Socket->writeSome(
      std::string("POST /") + Route.Name +
      "/a HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Each.Call +
      "\r\nAuthorization: Bearer " + Key +
      "\r\nDeadline-Ms: " + std::to_string(toMilliseconds(CallDeadline)) +
      "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

void SoakSilences::read(Caller &Each) {
  SilenceCallView &Call = this->Parts.Seen.Silences.Calls.at(Each.Call);
  const std::string &Text = Each.Socket->read();
  const bool HasGrown = Text.size() > Call.ReadBytes;
  Call.ReadBytes = Text.size();
  const std::optional<PlainAnswer> Answer =
      HasGrown ? parseAnswer(Text) : std::nullopt;
  if (Answer) {
    Call.Status = Answer->Status;
    Call.IsWhole = Answer->IsWhole;
    if (Call.IsStream && Call.Status == 200) {
      Call.Events = eventsIn(withoutChunks(Answer->Body), Each.Call);
      Call.IsOwn = !Call.Events.empty();
    } else {
      Call.IsOwn = Answer->Body.find("answer to " + Each.Call + ":") !=
                   std::string::npos;
    }
  }
  if (Call.IsWhole) {
    // Some callers begin a new connection.
    this->end(Each, !Answer->IsLast && this->below(4) > 0);
  } else if (Each.Socket->isOver()) {
    this->end(Each, false);
  } else if (EventLoop::now() - Call.SentAt > Patience) {
    Call.HasGivenUp = true;
    this->end(Each, false);
  } else {
    Each.IncompleteAt = EventLoop::now();
  }
}

void SoakSilences::end(Caller &Each, bool KeepsConnection) {
  this->Parts.Seen.Silences.Calls.at(Each.Call).EndedAt = EventLoop::now();
  Each.Call.clear();
  if (KeepsConnection) {
    Each.Socket->clearText();
    this->beginIdle(Each, Each.IncompleteAt);
  } else {
    Each.Socket.reset();
    Each.SendAt = EventLoop::now();
  }
}

void SoakSilences::step() {
  for (Caller &Each : this->Callers) {
    if (!Each.Call.empty())
      this->read(Each);
    else if (!this->IsSending || EventLoop::now() < Each.SendAt)
      continue;
    else if (Each.Socket)
      this->send(Each);
    else
      this->connect(Each);
  }
}

} // namespace galenaroute::soak
