#include "Parts.h"

#include "Journal.h"
#include "PlainHttp.h"
#include "PollLoop.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace galenaroute::process_soak {

using namespace std::chrono_literals;

static constexpr Duration Heartbeat = 700ms;
static constexpr Duration StorePatience = 1s;
/// From the store's acknowledgement that the upstream leaves until it does.
static constexpr Duration DrainTime = 2s;
static constexpr Duration LongestLeaving = 6s;
static constexpr std::uint64_t RefusedOneIn = 50;
/// Requests in 100 that are refused beside those, for some seconds at a time.
static constexpr std::uint64_t LeastRefused = 5;
static constexpr std::uint64_t MostRefused = 35;
/// Refusals in 100 that are copied later on the same connection.
static constexpr std::uint64_t CopiedInHundred = 30;
static constexpr std::uint64_t LatestCopyMs = 50;
static constexpr std::uint64_t BrokenOneIn = 150;
static constexpr std::uint64_t ClosingOneIn = 30;
/// Incarnations that answer 500 to half of their requests.
static constexpr std::uint64_t FailingOneIn = 4;
/// Below the limit of the daemons on one event.
static constexpr std::size_t LongEventBytes = 240'000;

namespace {

/// Keeps the upstream's entry in the store.
class Registration {
public:
  Registration(PollLoop &Loop, const PartOptions &Options, std::uint64_t Slots)
      : Loop(Loop), Options(Options), Slots(Slots), Born(wallMilliseconds()) {
    this->renew();
  }

  void leave() {
    this->State = "draining";
    this->send();
  }
  void remove() {
    this->State.clear();
    this->send();
  }
  /// When the store acknowledged the present state.
  std::optional<TimePoint> acknowledged() const {
    return this->Known == this->State ? std::optional(this->KnownSince)
                                      : std::nullopt;
  }

private:
  void renew() {
    this->send();
    this->Loop.after(Heartbeat, [this] { this->renew(); });
  }

  void send() {
    if (this->Socket >= 0 && Clock::now() - this->SentAt < StorePatience) {
      this->IsDue = true;
      return;
    }
    this->disconnect();
    this->Socket = connectTo(this->Options.Store);
    if (this->Socket < 0)
      return;
    this->IsDue = false;
    this->SentAt = Clock::now();
    this->Sent = this->State;
    nlohmann::json Spec;
    if (!this->State.empty())
      Spec = {{"service", this->Options.Service},
              {"address", this->Options.Address},
              {"zone", "z0"},
              {"version", this->Options.Version},
              {"slots", this->Slots},
              {"state", this->State},
              {"sequence", ++this->Sequence},
              {"born", this->Born}};
    const std::string Body = nlohmann::json{
        {"metadata",
         {{"name", this->Options.Id}, {"revision", this->Revision}}},
        {"spec", Spec}}.dump();
    this->Out = "PUT /api/objects/servers/" + this->Options.Id +
                " HTTP/1.1\r\nHost: store\r\nContent-Type: application/json"
                "\r\nContent-Length: " +
                std::to_string(Body.size()) + "\r\n\r\n" + Body;
    this->Loop.watch(this->Socket,
                     [this](bool, bool CanWrite) { this->onSocket(CanWrite); });
    this->Loop.setWriting(this->Socket, true);
  }

  void onSocket(bool CanWrite) {
    if (CanWrite && !this->Out.empty() && !writeSome(this->Socket, this->Out)) {
      this->disconnect();
      return;
    }
    this->Loop.setWriting(this->Socket, !this->Out.empty());
    std::string Text;
    const ReadResult Result = readAll(this->Socket, Text);
    this->Reader.feed(Text);
    if (this->Reader.isWhole())
      this->onAnswer();
    else if (Result == ReadResult::Closed)
      this->disconnect();
  }

  void onAnswer() {
    const int Status = this->Reader.head().status();
    const nlohmann::json Body =
        nlohmann::json::parse(this->Reader.takeBody(), nullptr, false);
    this->disconnect();
    if (!Body.is_object() || !Body.contains("metadata"))
      return;
    // An entry that has lapsed is created again.
    this->Revision = Body["spec"].is_null()
                         ? 0
                         : Body["metadata"].value("revision", std::uint64_t{0});
    if (Status == 200 && this->Known != this->Sent) {
      this->Known = this->Sent;
      this->KnownSince = Clock::now();
    }
    if (Status == 409 || this->IsDue || this->Sent != this->State)
      this->send();
  }

  void disconnect() {
    if (this->Socket < 0)
      return;
    this->Loop.forget(this->Socket);
    close(this->Socket);
    this->Socket = -1;
    this->Reader = MessageReader(MessageKind::Answer);
  }

  PollLoop &Loop;
  const PartOptions &Options;
  std::uint64_t Slots;
  std::int64_t Born;
  std::string State = "ready"; ///< Empty: no entry.
  std::string Sent;            ///< The state in the call on its way.
  std::string Known = "none";  ///< The state last acknowledged.
  TimePoint KnownSince;
  bool IsDue = false;
  int Socket = -1;
  TimePoint SentAt;
  std::uint64_t Sequence = 0;
  std::uint64_t Revision = 0;
  std::string Out;
  MessageReader Reader{MessageKind::Answer};
};

/// Serves requests of one incarnation of an upstream.
class Upstream {
public:
  explicit Upstream(const PartOptions &Options)
      : Options(Options), Log(Options.JournalPath), Random(Options.Seed),
        Slots(this->drawn(6, 40)), IsFailing(this->drawn(1, FailingOneIn) == 1),
        Listener(listenAt(Options.Address)),
        Entry(this->Loop, Options, this->Slots) {
    this->Loop.watch(this->Listener, [this](bool, bool) { this->accept(); });
    this->changeRefusals(this->drawn(0, 2) == 0);
  }

  void run() {
    this->Log.write("started", this->Options.Id);
    this->Loop.run([this] { return this->isOver(); });
    this->Log.write("left", this->Options.Id);
  }

private:
  struct Connection {
    int Socket = -1;
    MessageReader Reader{MessageKind::Request};
    std::string Out;
    std::string Call; ///< Of the request at work, or empty.
    bool IsLast = false;
    bool IsLong = false;   ///< A long stream.
    bool HasBegun = false; ///< Bytes of the answer at work were written.
    /// Written to the journal once Out, with the rest of the answer, is sent.
    std::string_view Ending;
  };
  using Id = std::uint64_t;

  std::uint64_t drawn(std::uint64_t Least, std::uint64_t Most) {
    return Least + this->Random() % (Most - Least + 1);
  }
  Duration drawnMs(std::uint64_t Least, std::uint64_t Most) {
    return Milliseconds(this->drawn(Least, Most));
  }

  bool isOver() {
    if (!isTerminated())
      return false;
    if (!this->LeavingSince) {
      this->LeavingSince = Clock::now();
      this->Entry.leave();
    }
    const TimePoint Now = Clock::now();
    if (this->IsRemoved)
      return this->Entry.acknowledged() ||
             Now - *this->LeavingSince > LongestLeaving + StorePatience;
    const auto Since = this->Entry.acknowledged();
    if ((Since && Now - *Since > DrainTime && this->Running == 0) ||
        Now - *this->LeavingSince > LongestLeaving) {
      this->IsRemoved = true;
      this->Entry.remove();
    }
    return false;
  }

  void accept() {
    const int Socket =
        accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    const Id New = ++this->LastId;
    this->Connections[New].Socket = Socket;
    this->Loop.watch(Socket, [this, New](bool CanRead, bool) {
      this->onSocket(New, CanRead);
    });
  }

  /// Refuses more requests for some seconds at a time.
  void changeRefusals(bool RefusesMore) {
    this->RefusedInHundred =
        RefusesMore ? this->drawn(LeastRefused, MostRefused) : 0;
    this->Loop.after(
        RefusesMore ? this->drawnMs(1000, 3000) : this->drawnMs(2000, 8000),
        [this, RefusesMore] { this->changeRefusals(!RefusesMore); });
  }

  void onSocket(Id Of, bool CanRead) {
    Connection &Peer = this->Connections.at(Of);
    if (!this->flush(Of) || !CanRead)
      return;
    std::string Text;
    const ReadResult Result = readAll(Peer.Socket, Text);
    Peer.Reader.feed(Text);
    if (Peer.Call.empty() && Peer.Reader.isWhole())
      this->onRequest(Of);
    // A request that came before the close has begun all the same.
    if (this->Connections.contains(Of) &&
        (Result == ReadResult::Closed || Peer.Reader.isMalformed()))
      this->drop(Of, "closed");
  }

  /// Writes what is due; returns whether the connection is still there.
  bool flush(Id Of) {
    Connection &Peer = this->Connections.at(Of);
    if (!Peer.Out.empty() && !writeSome(Peer.Socket, Peer.Out)) {
      this->drop(Of, "closed");
      return false;
    }
    this->Loop.setWriting(Peer.Socket, !Peer.Out.empty());
    if (Peer.Out.empty() && !Peer.Ending.empty()) {
      this->Log.write(std::exchange(Peer.Ending, {}), Peer.Call);
      Peer.Call.clear();
      Peer.HasBegun = false;
      --this->Running;
    }
    if (Peer.Out.empty() && Peer.IsLast && Peer.Call.empty()) {
      this->drop(Of, "");
      return false;
    }
    return true;
  }

  /// Closes a connection; \p Why is noted of a request at work.
  void drop(Id Of, std::string_view Why, bool Resets = false) {
    const Connection Peer = this->Connections.at(Of);
    if (!Peer.Call.empty()) {
      --this->Running;
      this->Log.write(Why, Peer.Call);
    }
    this->Loop.forget(Peer.Socket);
    if (Resets)
      resetSocket(Peer.Socket);
    else
      close(Peer.Socket);
    this->Connections.erase(Of);
  }

  void send(Id Of, std::string_view Bytes) {
    this->Connections.at(Of).Out.append(Bytes);
    this->flush(Of);
  }

  std::string headOf(const Connection &To, int Status) {
    return "HTTP/1.1 " + std::to_string(Status) +
           " x\r\nRequest-Id: " + To.Call +
           (To.IsLast ? "\r\nConnection: close" : "") +
           "\r\nKeep-Alive: timeout=10\r\n";
  }

  void copyLater(Id Of, const std::string &Call, const std::string &Refusal) {
    if (this->drawn(1, 100) > CopiedInHundred)
      return;
    this->Loop.after(this->drawnMs(0, LatestCopyMs), [this, Of, Call, Refusal] {
      const auto Found = this->Connections.find(Of);
      // A copy takes the place of an answer; it is not written into one.
      if (Found == this->Connections.end() || Found->second.HasBegun ||
          !Found->second.Out.empty())
        return;
      this->Log.write("copied", Call,
                      Found->second.Call.empty() ? "-" : Found->second.Call);
      this->send(Of, Refusal);
    });
  }

  void onRequest(Id Of) {
    Connection &Peer = this->Connections.at(Of);
    const MessageHead Head = Peer.Reader.head();
    const std::string Call = Head.find("Request-Id");
    const std::string Last = Head.find("Last-Event-Id");
    const std::string Expected = Head.find("Expect-Instance");
    Peer.Reader.takeBody();
    Peer.Reader.next();
    Peer.Call = Call;
    Peer.IsLast =
        this->LeavingSince.has_value() || this->drawn(1, ClosingOneIn) == 1;
    int Refusal = 0;
    if (!Expected.empty() && Expected != this->Options.Id)
      Refusal = 421;
    else if (Call.empty())
      Refusal = 400;
    else if (this->Running >= this->Slots ||
             this->drawn(1, RefusedOneIn) == 1 ||
             this->drawn(1, 100) <= this->RefusedInHundred)
      Refusal = 503;
    if (Refusal != 0) {
      this->Log.write("refused", Call.empty() ? "-" : Call,
                      std::to_string(Refusal));
      const std::string Text = this->headOf(Peer, Refusal) +
                               "Not-Executed: 1\r\nContent-Length: 0"
                               "\r\n\r\n";
      Peer.Call.clear();
      const bool IsLast = Peer.IsLast;
      this->send(Of, Text);
      if (!IsLast && !Call.empty())
        this->copyLater(Of, Call, Text);
      return;
    }
    ++this->Running;
    const int From = Last.empty() ? 0 : std::stoi(Last);
    this->Log.write("accepted", Call, std::to_string(From));
    const bool IsStream = Head.path().find("stream") != std::string::npos;
    Peer.IsLong = Head.path().find("longstream") != std::string::npos;
    if (this->IsFailing && this->drawn(0, 1) == 0) {
      this->Loop.after(this->drawnMs(1, 30),
                       [this, Of, Call] { this->answerFailed(Of, Call); });
      return;
    }
    const bool Breaks = this->drawn(1, BrokenOneIn) == 1;
    const bool HasChunks = this->drawn(0, 1) == 1;
    if (IsStream)
      this->Loop.after(
          this->drawnMs(5, 150), [this, Of, Call, From, Breaks, HasChunks] {
            this->beginStream(Of, Call, From + 1, Breaks, HasChunks);
          });
    else
      this->Loop.after(this->drawnMs(2, 60),
                       [this, Of, Call, Breaks, HasChunks] {
                         this->answer(Of, Call, Breaks, HasChunks);
                       });
  }

  bool isAtWork(Id Of, const std::string &Call) {
    const auto Found = this->Connections.find(Of);
    return Found != this->Connections.end() && Found->second.Call == Call;
  }

  void answerFailed(Id Of, const std::string &Call) {
    if (!this->isAtWork(Of, Call))
      return;
    this->finish(Of,
                 this->headOf(this->Connections.at(Of), 500) +
                     "Server-Stamp: " + this->Options.Id +
                     "\r\nContent-Length: 0\r\n\r\n",
                 "failed");
  }

  void answer(Id Of, const std::string &Call, bool Breaks, bool HasChunks) {
    if (!this->isAtWork(Of, Call))
      return;
    this->Log.write("begun", Call);
    std::string Body = "answer to " + Call + ":";
    Body.append(this->drawn(0, 3) == 0 ? this->drawn(20000, 60000)
                                       : this->drawn(0, 2000),
                'a');
    std::string Text = this->headOf(this->Connections.at(Of), 200) +
                       "Server-Stamp: " + this->Options.Id + "\r\n";
    if (HasChunks) {
      char Size[24];
      std::snprintf(Size, sizeof Size, "%zx\r\n", Body.size());
      Text += "Transfer-Encoding: chunked\r\n\r\n" + (Size + Body) +
              "\r\n0\r\n\r\n";
    } else {
      Text +=
          "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
    }
    if (Breaks) {
      this->send(Of, Text.substr(0, Text.size() - Body.size() / 2 - 8));
      if (this->isAtWork(Of, Call))
        this->drop(Of, "broke");
      return;
    }
    this->finish(Of, Text);
  }

  void finish(Id Of, const std::string &Text,
              std::string_view Ending = "ended") {
    Connection &Peer = this->Connections.at(Of);
    Peer.HasBegun = true;
    Peer.Ending = Ending;
    this->send(Of, Text);
    // The next request may have been read meanwhile.
    if (this->Connections.contains(Of) && Peer.Call.empty() &&
        Peer.Reader.isWhole())
      this->onRequest(Of);
  }

  void beginStream(Id Of, const std::string &Call, int Next, bool Breaks,
                   bool HasChunks) {
    if (!this->isAtWork(Of, Call))
      return;
    const bool IsLong = this->Connections.at(Of).IsLong;
    this->Connections.at(Of).HasBegun = true;
    std::size_t Length = 0;
    for (int I = Next; I <= EventsOfStream; ++I)
      Length += eventOf(Call, I, this->Writer, IsLong).size();
    this->send(Of,
               this->headOf(this->Connections.at(Of), 200) +
                   "Server-Stamp: " + this->Options.Id +
                   "\r\nContent-Type: text/event-stream\r\n" +
                   (HasChunks ? "Transfer-Encoding: chunked"
                              : "Content-Length: " + std::to_string(Length)) +
                   "\r\n\r\n");
    const int BreaksAt =
        Breaks ? static_cast<int>(this->drawn(1, EventsOfStream)) : 0;
    this->stream(Of, Call, Next, BreaksAt, HasChunks);
  }

  void stream(Id Of, const std::string &Call, int Next, int BreaksAt,
              bool HasChunks) {
    if (!this->isAtWork(Of, Call))
      return;
    if (Next > EventsOfStream) {
      this->finish(Of, HasChunks ? "0\r\n\r\n" : "");
      return;
    }
    std::string Event =
        eventOf(Call, Next, this->Writer, this->Connections.at(Of).IsLong);
    if (HasChunks) {
      char Size[24];
      std::snprintf(Size, sizeof Size, "%zx\r\n", Event.size());
      Event = Size + Event + "\r\n";
    }
    this->Log.write("event", Call, std::to_string(Next));
    if (Next == BreaksAt) {
      this->send(Of, Event.substr(0, Event.size() / 2));
      if (this->isAtWork(Of, Call))
        this->drop(Of, "broke", /*Resets=*/this->drawn(0, 1) == 0);
      return;
    }
    this->send(Of, Event);
    if (!this->isAtWork(Of, Call))
      return;
    this->Loop.after(this->drawnMs(20, 120),
                     [this, Of, Call, Next, BreaksAt, HasChunks] {
                       this->stream(Of, Call, Next + 1, BreaksAt, HasChunks);
                     });
  }

  const PartOptions &Options;
  /// In each event, so that a stream of two versions shows.
  const std::string Writer =
      this->Options.Service + "/" + this->Options.Version;
  Journal Log;
  std::mt19937_64 Random;
  std::uint64_t Slots;
  bool IsFailing;
  PollLoop Loop;
  int Listener;
  Registration Entry;
  std::map<Id, Connection> Connections;
  Id LastId = 0;
  std::uint64_t Running = 0;
  std::uint64_t RefusedInHundred = 0;
  std::optional<TimePoint> LeavingSince;
  bool IsRemoved = false;
};

} // namespace

std::string eventOf(const std::string &Call, int Number,
                    const std::string &Writer, bool IsLong) {
  return "id: " + std::to_string(Number) + "\ndata: " + Call + " " + Writer +
         (IsLong ? "\ndata: " + std::string(LongEventBytes, 'x') : "") + "\n\n";
}

void runUpstream(const PartOptions &Options) {
  catchTermination();
  Upstream(Options).run();
}

} // namespace galenaroute::process_soak
