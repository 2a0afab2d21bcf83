#include "Parts.h"

#include "Journal.h"
#include "PlainHttp.h"
#include "PollLoop.h"

#include <algorithm>
#include <memory>
#include <random>
#include <unistd.h>

namespace galenaroute::process_soak {

using namespace std::chrono_literals;

static constexpr Duration ConnectPatience = 1s;
static constexpr Duration RetryDelay = 50ms;
/// Sent as the deadline; the routes' timeout is shorter.
static constexpr Duration Deadline = 6s;
static constexpr Duration Patience = 8s;
/// A stream is abandoned after a gap of this length.
static constexpr Duration StreamGap = 2s;
/// Below four fifths of the idle limit of the configurations.
static constexpr std::uint64_t LongestIdleMs = 1500;
static constexpr std::uint64_t LongBreakOneIn = 12;
static constexpr std::uint64_t NewConnectionOneIn = 6;
/// A stream that may be resumed loses its connection at one event in so many.
static constexpr std::uint64_t ResetOneIn = 60;
static constexpr int MostTakeUps = 3;
/// A stream is not taken up with less time left.
static constexpr Duration LeastTime = 200ms;
static constexpr std::uint64_t ResettingOneIn = 25;
static constexpr std::uint64_t LatestResetMs = 1500;
/// Callers that read slowly read at most this much at a time.
static constexpr std::uint64_t SlowCallerOneIn = 8;
static constexpr std::size_t SlowReadBytes = 64 << 10;
static constexpr std::uint64_t LongestReadPauseMs = 120;
static constexpr int SlowReceiveBytes = 8 << 10;

namespace {

struct RouteKind {
  const char *Name;
  bool IsStream;
};
constexpr RouteKind Routes[] = {
    {"safe", false}, {"once", false}, {"stream", true}, {"oncestream", true}};
constexpr std::size_t ResumableRoute = 2;
constexpr RouteKind LongStream = {"longstream", true};

/// One caller after the other request on kept connections. Streams that broke
/// off are taken up on new ones.
class Caller {
public:
  Caller(PollLoop &Loop, const Journal &Log, const PartOptions &Options,
         std::size_t Index)
      : Loop(Loop), Log(Log), Options(Options), Random(Options.Seed + Index),
        Name(Options.Prefix + "." + std::to_string(Index)),
        IsSlow(this->drawn(1, SlowCallerOneIn) == 1) {
    this->think();
  }
  bool isIdle() const { return this->Call.empty(); }

private:
  std::uint64_t drawn(std::uint64_t Least, std::uint64_t Most) {
    return Least + this->Random() % (Most - Least + 1);
  }
  /// Calls \p Do later, unless the caller has moved on by then.
  void after(Duration Delay, std::function<void()> Do) {
    this->Loop.after(Delay, [this, Step = this->Step, Do = std::move(Do)] {
      if (Step == this->Step)
        Do();
    });
  }

  void think() {
    ++this->Step;
    const bool IsLong = this->drawn(1, LongBreakOneIn) == 1;
    this->after(Milliseconds(this->drawn(0, IsLong ? LongestIdleMs : 120)),
                [this] { this->begin(); });
  }

  void begin() {
    if (isTerminated())
      return;
    if (this->hasBegun() && this->timeLeft() < LeastTime)
      this->FirstAttempt.clear();
    if (this->Socket >= 0) {
      this->send();
      return;
    }
    this->IsFresh = true;
    this->Daemon = this->drawn(0, this->Options.Daemons.size() - 1);
    this->Socket = connectTo(this->Options.Daemons[this->Daemon],
                             this->IsSlow ? SlowReceiveBytes : 0);
    if (this->Socket < 0) {
      this->retryLater();
      return;
    }
    ++this->Step;
    this->IsConnecting = true;
    this->Reader = MessageReader(MessageKind::Answer);
    this->watch();
    this->Loop.setWriting(this->Socket, true);
    this->after(ConnectPatience, [this] {
      this->disconnect();
      this->retryLater();
    });
  }

  void watch() {
    this->Loop.watch(this->Socket, [this](bool CanRead, bool CanWrite) {
      this->onSocket(CanRead, CanWrite);
    });
  }

  void retryLater(Duration Delay = RetryDelay) {
    ++this->Step;
    this->after(Delay, [this] { this->begin(); });
  }

  /// Whether the present stream has had an event; later requests take it up.
  bool hasBegun() const { return !this->FirstAttempt.empty(); }
  Duration timeLeft() const { return this->Until - Clock::now(); }

  void send() {
    ++this->Step;
    if (!this->hasBegun()) {
      this->IsLong = this->IsSlow && this->drawn(0, 1) == 0;
      this->Route = this->drawn(0, std::size(Routes) - 1);
      this->LastEvent = this->TakeUps = 0;
      this->Until = Clock::now() + Deadline;
      this->Body.assign(this->drawn(1, 3000), 'b');
    }
    const RouteKind &Route = this->IsLong ? LongStream : Routes[this->Route];
    const std::string Limit = std::to_string(
        toMilliseconds(std::max<Duration>(this->timeLeft(), 1ms)));
    this->Call = this->Name + "." + std::to_string(++this->LastCall);
    this->IsStream = Route.IsStream;
    this->HasHead = this->IsForeign = this->IsSent = false;
    this->Text.clear();
    std::string Bytes = std::string("POST /") + Route.Name +
                        "/a HTTP/1.1\r\nHost: h\r\nRequest-Id: " + this->Call +
                        "\r\nDeadline-Ms: " + Limit + "\r\n";
    if (this->hasBegun())
      Bytes += "Last-Event-Id: " + std::to_string(this->LastEvent) +
               "\r\nResumes: " + this->FirstAttempt + "\r\n";
    if (this->drawn(0, 2) == 0) {
      char Size[24];
      std::snprintf(Size, sizeof Size, "%zx\r\n", this->Body.size());
      Bytes += "Transfer-Encoding: chunked\r\n\r\n" + (Size + this->Body) +
               "\r\n0\r\n\r\n";
    } else {
      Bytes += "Content-Length: " + std::to_string(this->Body.size()) +
               "\r\n\r\n" + this->Body;
    }
    this->Log.write(
        "sending", this->Call,
        std::string(Route.Name) + " " + std::to_string(this->Daemon) +
            (this->IsFresh ? " fresh " : " kept ") + Limit + " " +
            std::to_string(this->LastEvent) + " " + this->FirstAttempt);
    this->IsFresh = false;
    this->after(Patience, [this] { this->end("expired"); });
    if (this->drawn(1, ResettingOneIn) == 1)
      this->Loop.after(Milliseconds(this->drawn(1, LatestResetMs)),
                       [this, Call = this->Call] {
                         if (this->Call == Call)
                           this->end("left", /*Keeps=*/false, /*Resets=*/true);
                       });
    // Some requests arrive in two parts.
    const std::size_t First = this->drawn(0, 2) == 0
                                  ? this->drawn(1, Bytes.size() - 1)
                                  : Bytes.size();
    this->Out = Bytes.substr(0, First);
    this->Unsent = Bytes.substr(First);
    if (!this->Unsent.empty())
      this->after(Milliseconds(this->drawn(1, 30)), [this] {
        this->Out += std::exchange(this->Unsent, {});
        this->flush();
      });
    this->flush();
  }

  void flush() {
    // A broken connection shows when it is read.
    if (!this->Out.empty() && !writeSome(this->Socket, this->Out))
      this->Out.clear();
    else if (this->Out.empty() && this->Unsent.empty() && !this->IsSent) {
      this->IsSent = true;
      this->Log.write("sent", this->Call);
    }
    this->Loop.setWriting(this->Socket, !this->Out.empty());
  }

  void onSocket(bool CanRead, bool CanWrite) {
    if (this->IsConnecting && CanWrite) {
      this->IsConnecting = false;
      this->Loop.setWriting(this->Socket, false);
      std::string Nothing;
      if (readAll(this->Socket, Nothing) == ReadResult::Closed) {
        this->disconnect();
        this->retryLater();
        return;
      }
      this->send();
      return;
    }
    if (CanWrite && !this->Call.empty())
      this->flush();
    if (CanRead)
      this->read();
  }

  void read() {
    std::string Bytes;
    const bool Pauses = this->IsSlow && this->IsLong && !this->Call.empty();
    const bool IsOver = readAll(this->Socket, Bytes,
                                Pauses ? SlowReadBytes : std::string::npos) ==
                        ReadResult::Closed;
    if (Pauses && !IsOver && this->IsSent)
      this->pause();
    if (this->Call.empty()) {
      if (!Bytes.empty())
        this->Log.write("foreign", this->Name, "bytes without a request");
      if (IsOver || !Bytes.empty())
        this->disconnect();
      return;
    }
    this->Reader.feed(Bytes);
    if (IsOver)
      this->Reader.end();
    this->readHead();
    this->readBody();
    if (this->Reader.isMalformed())
      this->end("malformed");
    else if (this->Reader.isWhole())
      this->end("whole", !IsOver);
    else if (IsOver)
      this->end(!this->IsSent ? "unsent" : this->HasHead ? "cut" : "none");
    else if (!Bytes.empty() && this->IsStream && this->HasHead)
      this->expectMore();
  }

  /// Reads nothing for a moment.
  void pause() {
    this->Loop.forget(this->Socket);
    this->Loop.after(Milliseconds(this->drawn(1, LongestReadPauseMs)),
                     [this, Call = this->Call] {
                       if (this->Call == Call)
                         this->watch();
                     });
  }

  void readHead() {
    if (this->HasHead || !this->Reader.hasHead())
      return;
    this->HasHead = true;
    const MessageHead &Head = this->Reader.head();
    this->Status = Head.status();
    const std::string Stamp = Head.find("Server-Stamp");
    const std::string Id = Head.find("Request-Id");
    this->Log.write("head", this->Call,
                    std::to_string(this->Status) + " " +
                        (Stamp.empty() ? "-" : Stamp));
    if ((!Id.empty() && Id != this->Call) ||
        (this->Status == 200 && Stamp.empty()))
      this->noteForeign("head with id '" + Id + "' and stamp '" + Stamp + "'");
  }

  void readBody() {
    this->Text += this->Reader.takeBody();
    if (this->Status != 200 || !this->HasHead)
      return;
    if (!this->IsStream) {
      if (this->Reader.isWhole() &&
          this->Text.find("answer to " + this->Call + ":") != 0)
        this->noteForeign(this->Text.substr(0, 60));
      return;
    }
    std::size_t End = 0;
    while ((End = this->Text.find("\n\n")) != std::string::npos) {
      const std::string Event = this->Text.substr(0, End);
      this->Text.erase(0, End + 2);
      this->LastEvent = std::atoi(Event.c_str() + 4);
      const std::string Start = "id: " + std::to_string(this->LastEvent) +
                                "\ndata: " + this->Call + " ";
      std::string Version = Event.substr(std::min(Start.size(), Event.size()));
      Version.erase(std::min(Version.find('\n'), Version.size()));
      if (Version.empty() || Version.find(' ') != std::string::npos ||
          Event + "\n\n" !=
              eventOf(this->Call, this->LastEvent, Version, this->IsLong))
        this->noteForeign("another event");
      this->Log.write("event", this->Call,
                      std::to_string(this->LastEvent) + " " + Version);
      if (this->Route == ResumableRoute && !this->IsLong && !this->hasBegun())
        this->FirstAttempt = this->Call;
    }
  }

  void noteForeign(const std::string &What) {
    if (!std::exchange(this->IsForeign, true))
      this->Log.write("foreign", this->Call, What);
  }

  /// Abandons the stream if it does not go on.
  void expectMore() {
    ++this->Step;
    if (this->hasBegun() && this->drawn(1, ResetOneIn) == 1) {
      this->end("left", /*Keeps=*/false, /*Resets=*/true);
      return;
    }
    this->after(StreamGap, [this] { this->end("left"); });
  }

  void end(std::string_view How, bool Keeps = false, bool Resets = false) {
    this->Log.write("end", this->Call, How);
    this->Call.clear();
    if (this->takeUp(Resets))
      return;
    Keeps = Keeps && this->IsSent &&
            this->Reader.head().find("Connection") != "close" &&
            this->drawn(1, NewConnectionOneIn) != 1;
    if (Keeps) {
      this->Reader.next();
      // A pause may have ended the watch.
      this->watch();
      if (this->Reader.hasRest() || this->Reader.hasHead())
        this->Log.write("foreign", this->Name, "bytes after an answer");
    } else {
      this->disconnect(Resets);
    }
    this->think();
  }

  /// Tries again to go on with a stream that broke off; returns whether it
  /// does.
  bool takeUp(bool Resets) {
    if (!this->hasBegun())
      return false;
    const int Answer = this->HasHead ? this->Status : 0;
    if ((Answer == 200 && this->Reader.isWhole()) ||
        this->LastEvent >= EventsOfStream || this->TakeUps++ >= MostTakeUps) {
      this->FirstAttempt.clear();
      return false;
    }
    const int Seconds =
        Answer == 503
            ? std::atoi(this->Reader.head().find("Retry-After").c_str())
            : 0;
    this->disconnect(Resets);
    this->retryLater(std::max<Duration>(
        RetryDelay, std::min<Duration>(std::chrono::seconds(Seconds),
                                       this->timeLeft() / 3)));
    return true;
  }

  int forgetSocket() {
    this->Loop.forget(this->Socket);
    this->IsConnecting = false;
    return std::exchange(this->Socket, -1);
  }

  void disconnect(bool Resets = false) {
    if (this->Socket < 0)
      return;
    if (Resets)
      resetSocket(this->forgetSocket());
    else
      close(this->forgetSocket());
  }

  PollLoop &Loop;
  const Journal &Log;
  const PartOptions &Options;
  std::mt19937_64 Random;
  std::string Name;
  bool IsSlow;
  std::uint64_t Step = 0;
  std::uint64_t LastCall = 0;
  int Socket = -1;
  std::size_t Daemon = 0;
  bool IsConnecting = false;
  bool IsFresh = true;
  MessageReader Reader{MessageKind::Answer};
  // Of the present request and, if it is a stream, those that take it up.
  std::size_t Route = 0;
  TimePoint Until;
  std::string Body;
  std::string FirstAttempt; ///< Which brought the first event, or empty.
  int LastEvent = 0;
  int TakeUps = 0;
  // Of the present request.
  std::string Call; ///< Empty: none.
  bool IsStream = false;
  bool IsLong = false;
  bool IsSent = false;
  bool HasHead = false;
  bool IsForeign = false;
  int Status = 0;
  std::string Out;
  std::string Unsent;
  std::string Text;
};

} // namespace

void runCallers(const PartOptions &Options) {
  catchTermination();
  const Journal Log(Options.JournalPath);
  PollLoop Loop;
  std::vector<std::unique_ptr<Caller>> Callers;
  for (std::size_t I = 0; I < Options.Count; ++I)
    Callers.push_back(std::make_unique<Caller>(Loop, Log, Options, I));
  Loop.run([&] {
    return isTerminated() &&
           std::all_of(Callers.begin(), Callers.end(),
                       [](const auto &Each) { return Each->isIdle(); });
  });
}

} // namespace galenaroute::process_soak
