#include "SoakConnections.h"

#include "process/ProcessHarness.h"

#include <algorithm>

namespace galenaroute::soak {

using namespace std::chrono_literals;

static constexpr std::size_t CallersOfDaemon = 6;
static constexpr std::size_t UpstreamCount = 4;
/// Longest idle periods, as a share of the limit; four fifths may be used.
static constexpr double MaxIdleShare = 0.79;
static constexpr double ReuseShare = 0.8;
static constexpr Duration CallDeadline = 8s;
/// A caller closes a connection whose answer is not complete by then.
static constexpr Duration Patience = CallDeadline + 1s;
static constexpr Duration ReconnectDelay = 200ms;
/// A large answer takes some seconds at the pace of its reader.
static constexpr std::size_t LargeBytes = 5 << 20;
static constexpr std::size_t LargeBytesPerStep = 10 << 10;
/// Small, so that an answer waits in the daemon rather than in the kernel.
static constexpr int ReceiveBuffer = 32 << 10;
static constexpr int StreamPieces = 8;
static constexpr Duration PieceGap = 250ms;
/// Pauses of readers stay below the least idle limit of a configuration.
static constexpr Duration ReaderPause = 700ms;
static constexpr Duration MinSilence = 300ms;
static constexpr Duration MaxSilence = 1800ms;
static constexpr Duration MinSilenceGap = 500ms;
static constexpr Duration MaxSilenceGap = 3s;
static constexpr std::uint64_t BrokenOffOneIn = 20;
static constexpr std::size_t LongPiece = 64 << 10;

std::optional<PlainAnswer> parseAnswer(const std::string &Text) {
  const std::size_t Head = Text.find("\r\n\r\n");
  if (Head == std::string::npos || !Text.starts_with("HTTP/1.1 "))
    return std::nullopt;
  PlainAnswer Result;
  Result.Status = std::stoi(Text.substr(9, 3));
  const std::string_view Fields = std::string_view(Text).substr(0, Head + 2);
  Result.IsLast = Fields.find("\r\nConnection: close\r\n") != Fields.npos;
  Result.Body = Text.substr(Head + 4);
  static const std::string Field = "\r\nContent-Length: ";
  const std::size_t Length = Fields.find(Field);
  if (Length != Fields.npos)
    Result.IsWhole = Result.Body.size() ==
                     std::stoul(Text.substr(Length + Field.size(), 20));
  else
    Result.IsWhole =
        Result.Body == "0\r\n\r\n" || Result.Body.ends_with("\r\n0\r\n\r\n");
  return Result;
}

SoakConnections::SoakConnections(
    EventLoop &Loop, testing_support::FakePlatformServer &Store,
    const testing_support::PlatformDaemons &Places, std::uint64_t Seed,
    ConnectionHistory &Seen, std::function<void(const std::string &Line)> Note)
    : Loop(Loop), Store(Store), Places(Places), Random(Seed * 5 + 2),
      Seen(Seen), Note(std::move(Note)) {}

SoakConnections::~SoakConnections() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
}

void SoakConnections::after(Duration Delay,
                            const std::function<void()> &Action) {
  this->Timers.push_back(this->Loop.timers().after(Delay, Action));
}

nlohmann::json SoakConnections::routeOf(const std::string &Name,
                                        const std::string &Service,
                                        Duration Timeout) {
  return {{"name", Name},
          {"host", "h"},
          {"pathPrefix", "/" + Name + "/"},
          {"kind", "safe"},
          {"timeoutMs", toMilliseconds(Timeout)},
          {"targetLatencyMs", 200},
          {"priority", 1},
          {"service", Service},
          {"maxAttempts", 2},
          {"public", true}};
}

void SoakConnections::addTo(nlohmann::json &Config) {
  Config["services"].push_back({{"name", "k0"}, {"maxConns", 400}});
  Config["services"].push_back({{"name", "k1"}, {"maxConns", 400}});
  Config["routes"].push_back(routeOf("kept", "k0", CallDeadline));
}

void SoakConnections::start() {
  this->Upstreams.resize(UpstreamCount);
  for (std::size_t I = 0; I < UpstreamCount; ++I) {
    const SocketAddress At = testing_support::ProcessHarness::freeAddress();
    this->Upstreams[I].Service = "k" + std::to_string(I % 2);
    this->Upstreams[I].Listener = std::make_shared<CallListener>(
        this->Loop, At, CallerLimits{},
        [this, I](const std::shared_ptr<IncomingCall> &Call) {
          this->onCall(I, Call);
        });
    this->Upstreams[I].Link =
        std::make_unique<FaultyLink>(this->Loop, At, this->Random(), LongPiece);
    this->Store.put("servers", "kept" + std::to_string(I),
                    {{"service", this->Upstreams[I].Service},
                     {"address", this->Upstreams[I].Link->address().toString()},
                     {"zone", "z0"},
                     {"version", "1"},
                     {"slots", 100},
                     {"state", "ready"},
                     {"sequence", 1},
                     {"born", 1}});
  }
  this->Callers.resize(this->Places.Count * CallersOfDaemon);
  for (std::size_t I = 0; I < this->Callers.size(); ++I)
    this->Callers[I].Daemon = I % this->Places.Count;
  this->IsSending = true;
  this->silenceLater();
}

/// Lets an upstream fall silent with its process or its whole machine.
void SoakConnections::silence(std::size_t Index) {
  const bool IsMachine = this->below(2) == 0;
  const Duration For =
      MinSilence + Milliseconds(this->below(static_cast<std::uint64_t>(
                       toMilliseconds(MaxSilence - MinSilence))));
  Upstream &Part = this->Upstreams[Index];
  const TimePoint Now = EventLoop::now();
  if (Now < Part.SilentUntil)
    return;
  Part.SilentUntil = Now + For;
  Part.Link->setHarm(IsMachine ? SilentMachine : SilentProcess);
  this->Note(
      (IsMachine ? "machine of kept upstream " : "process of kept upstream ") +
      std::to_string(Index) + " is silent for " +
      std::to_string(toMilliseconds(For)) + " ms");
  this->after(For, [&Part] { Part.Link->setHarm({}); });
}

/// Lets one upstream of a service fall silent, or both.
void SoakConnections::silenceLater() {
  const Duration Gap =
      MinSilenceGap + Milliseconds(this->below(static_cast<std::uint64_t>(
                          toMilliseconds(MaxSilenceGap - MinSilenceGap))));
  this->after(Gap, [this] {
    const std::size_t Index = this->below(UpstreamCount);
    this->silence(Index);
    if (this->below(2) == 0)
      this->silence((Index + 2) % UpstreamCount);
    this->silenceLater();
  });
}

void SoakConnections::onCall(std::size_t Index,
                             const std::shared_ptr<IncomingCall> &Call) {
  const std::string Id(Call->Head.Headers.find("Request-Id").value_or(""));
  const HttpHeaders Headers{{"Request-Id", Id}, {"Server-Stamp", "x"}};
  const std::string &Target = Call->Head.Target;
  if (Target.ends_with("/p")) {
    // Tells which service a route leads to.
    Call->send(200, Headers, this->Upstreams[Index].Service);
    return;
  }
  const std::string Text = "answer to " + Id + ":";
  if (Target.ends_with("/stream")) {
    const bool BreaksOff = this->below(BrokenOffOneIn) == 0;
    if (const auto Seen = this->Seen.Calls.find(Id);
        BreaksOff && Seen != this->Seen.Calls.end())
      Seen->second.HasBrokenOff = true;
    this->after(2ms, [this, Index, Call, Headers, Text, BreaksOff] {
      Call->begin(200, Headers);
      Call->write(Text);
      this->stream(Index, Call, StreamPieces, BreaksOff);
    });
    return;
  }
  const std::size_t Size = Target.ends_with("/large") ? LargeBytes : 100;
  this->after(2ms, [Call, Headers, Text, Size] {
    if (Call->isOpen())
      Call->send(200, Headers, Text + std::string(Size, 'b'));
  });
}

void SoakConnections::stream(std::size_t Index,
                             const std::shared_ptr<IncomingCall> &Call,
                             int Left, bool BreaksOff) {
  this->after(PieceGap, [this, Index, Call, Left, BreaksOff] {
    if (!Call->isOpen())
      return;
    if (Left == 0) {
      Call->finish();
    } else if (BreaksOff && Left == StreamPieces / 2) {
      Call->abort();
    } else {
      Call->write(std::string(2000, 's'));
      this->stream(Index, Call, Left - 1, BreaksOff);
    }
  });
}

void SoakConnections::connect(Caller &Each) {
  const TimePoint Now = EventLoop::now();
  Each.Call.clear();
  Each.Socket.reset();
  Each.SendAt = Now + ReconnectDelay;
  try {
    const int Socket =
        RawSocket::connectTo(this->Places.callerAddress(Each.Daemon));
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof ReceiveBuffer);
    Each.Socket = std::make_unique<RawSocket>(Socket);
    this->beginIdle(Each, Now);
  } catch (const std::runtime_error &) {
    // The daemon is not there; the caller tries again later.
    return;
  }
}

void SoakConnections::beginIdle(Caller &Each, TimePoint Since) {
  const TimePoint Now = EventLoop::now();
  Each.IdleSince = Since;
  const Duration Limit =
      idleLimitIn(this->Seen, Now, Now, SoakBounds().ConfigApply);
  // Many idle periods end shortly before the connection may be closed.
  const double Share =
      this->below(2) == 0
          ? MaxIdleShare
          : MaxIdleShare * static_cast<double>(this->below(100)) / 100;
  Each.SendAt = Since + std::chrono::duration_cast<Duration>(Limit * Share);
}

void SoakConnections::send(Caller &Each) {
  const TimePoint Now = EventLoop::now();
  const Duration Limit =
      idleLimitIn(this->Seen, Each.IdleSince, Now, SoakBounds().ConfigApply);
  if (Each.Socket->hasEnded() || Now - Each.IdleSince > Limit * ReuseShare) {
    this->connect(Each);
    return;
  }
  const std::uint64_t Drawn = this->below(12);
  Each.How = Drawn == 0 ? Pace::Large : Drawn < 4 ? Pace::Stream : Pace::Plain;
  const char *Path = Each.How == Pace::Large    ? "/kept/large"
                     : Each.How == Pace::Stream ? "/kept/stream"
                                                : "/kept/plain";
  Each.Call = this->Places.RunPrefix + "k" + std::to_string(++this->Sent);
  this->Seen.Calls[Each.Call] = {.Daemon = Each.Daemon,
                                 .IdleSince = Each.IdleSince,
                                 .SentAt = Now,
                                 .Deadline = CallDeadline};
  Each.IncompleteAt = Now;
  Each.PauseUntil = Now;
  const std::string Body(1 + this->below(3000), 'q');
  Each.Socket->writeSome(
      std::string("POST ") + Path +
      " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Each.Call +
      "\r\nDeadline-Ms: " + std::to_string(toMilliseconds(CallDeadline)) +
      "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

void SoakConnections::read(Caller &Each) {
  const TimePoint Now = EventLoop::now();
  if (Now < Each.PauseUntil)
    return;
  KeptCallView &Call = this->Seen.Calls.at(Each.Call);
  if (Each.How == Pace::Large)
    Each.Socket->readUpTo(LargeBytesPerStep);
  else
    Each.Socket->read();
  if (Each.How == Pace::Stream)
    Each.PauseUntil = Now + Milliseconds(this->below(static_cast<std::uint64_t>(
                                toMilliseconds(ReaderPause))));
  const std::string &Text = Each.Socket->text();
  const bool HasGrown = Text.size() > Call.ReadBytes;
  Call.ReadBytes = Text.size();
  const std::string Name = "answer to " + Each.Call + ":";
  // A large answer is parsed at its end only.
  const bool MayBeWhole = Each.How != Pace::Large ||
                          Text.size() >= LargeBytes ||
                          Text.size() < ReceiveBuffer || Each.Socket->isOver();
  const std::optional<PlainAnswer> Answer =
      HasGrown && MayBeWhole ? parseAnswer(Text) : std::nullopt;
  if (Answer) {
    Call.Status = Answer->Status;
    Call.IsWhole = Answer->IsWhole;
    Call.IsOwn = Answer->Body.find(Name) != std::string::npos;
  }
  if (Call.IsWhole) {
    // The daemon may have sent a slow reader's answer long before.
    this->end(Each, !Answer->IsLast && Each.How == Pace::Plain);
  } else if (Each.Socket->isOver()) {
    this->end(Each, false);
  } else if (Now - Call.SentAt > Patience) {
    Call.HasGivenUp = true;
    this->end(Each, false);
  } else {
    Each.IncompleteAt = Now;
  }
}

void SoakConnections::end(Caller &Each, bool KeepsConnection) {
  this->Seen.Calls.at(Each.Call).EndedAt = EventLoop::now();
  Each.Call.clear();
  if (KeepsConnection) {
    Each.Socket->clearText();
    this->beginIdle(Each, Each.IncompleteAt);
  } else {
    Each.Socket.reset();
    Each.SendAt = EventLoop::now();
  }
}

void SoakConnections::step() {
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
