// Servers that write streams, and clients that take up streams that broke.

#ifndef GALENAROUTE_REVIEW_STANDIN3_STREAMS_H
#define GALENAROUTE_REVIEW_STANDIN3_STREAMS_H

#include "Platform.h"

#include <random>
#include <set>

namespace standin {

/// A model server of one software version. Each event tells it: what two
/// versions write does not fit together.
class StreamServer {
public:
  static constexpr std::int64_t HeartbeatMs = 1200;
  static constexpr std::int64_t EventMs = 100;

  StreamServer(Loop &Events, Platform &Store, std::string Id, std::string Zone,
               std::string Version, const Address &At)
      : Events(Events), Store(Store), Id(std::move(Id)), Zone(std::move(Zone)),
        Version(std::move(Version)), Born(wallMs()),
        Door(Events, At,
             [this](const std::shared_ptr<Connection> &From,
                    const Message &Of) { onCall(From, Of); }) {
    beat();
  }
  /// The server crashes: it resets its connections and says nothing.
  ~StreamServer() {
    *Alive = false;
    Door.shut();
    Door.resetAll();
  }

  const Address &address() const { return Door.address(); }

  std::function<void(const std::string &)> Note;
  int EventCount = 30;
  std::int64_t FirstEventMs = 0;
  /// A part of prompts on which the server crashes when it begins to write.
  std::string CrashesOn;
  std::function<void()> OnCrash;
  int Begun = 0;
  const std::string &id() const { return Id; }

private:
  void beat() {
    Store.put("servers", Id,
              {{"service", "models"},
               {"address", Door.address().text()},
               {"zone", Zone},
               {"version", Version},
               {"slots", 128},
               {"state", "ready"},
               {"coldLeftMs", 0},
               {"stage", "both"},
               {"models",
                {{{"name", "weights-a"},
                  {"version", 1},
                  {"adapters", json::array()}}}},
               {"sequence", 0},
               {"born", Born}});
    Events.after(HeartbeatMs, [this, Lives = Alive] {
      if (*Lives)
        beat();
    });
  }
  void onCall(const std::shared_ptr<Connection> &From, const Message &Of) {
    if (Of.has("Expect-Instance") && Of.field("Expect-Instance") != Id)
      return From->answer(421, "{}", "Instance-Id: " + Id + "\r\n");
    if (Of.path() == "/api/report")
      return From->answer(200, json{{"stage", "both"},
                                    {"models",
                                     {{{"name", "weights-a"},
                                       {"version", 1},
                                       {"adapters", json::array()}}}},
                                    {"busy", false},
                                    {"sequence", 0},
                                    {"queued", 0},
                                    {"active", 0},
                                    {"kvUsed", 0},
                                    {"kvTotal", 213382},
                                    {"handles", 0},
                                    {"born", Born}}
                                   .dump());
    if (Of.method() != "POST")
      return From->answer(404, "{}");
    const int After = std::atoi(Of.field("Last-Event-Id").c_str());
    ++Begun;
    if (Note)
      Note(Id + " (" + Version + ") runs " + Of.field("Request-Id") +
           (After ? " after event " + std::to_string(After) : ""));
    From->IsBusy = true;
    From->send("HTTP/1.1 200 OK\r\nRequest-Id: " + Of.field("Request-Id") +
               "\r\nServer-Stamp: " + Id + "." + Of.field("Request-Id") +
               "\r\nServer-Load: 10,0,128,100\r\nWeight-Versions: 1\r\n"
               "Content-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n\r\n");
    const bool IsCrashing =
        !CrashesOn.empty() &&
        Of.field("Prompt-Prefix").find(CrashesOn) != std::string::npos;
    Events.after(FirstEventMs, [this, From, After, IsCrashing, Lives = Alive] {
      if (!*Lives || !From->isOpen())
        return;
      if (IsCrashing)
        OnCrash();
      else
        write(From, After + 1);
    });
  }
  void write(const std::shared_ptr<Connection> &To, int Number) {
    if (!To->isOpen())
      return;
    if (Number > EventCount) {
      To->send("0\r\n\r\n");
      To->next();
      return;
    }
    const std::string Event = "id: " + std::to_string(Number) +
                              "\ndata: " + Version + " " + Id + "\n\n";
    char Size[16];
    std::snprintf(Size, sizeof Size, "%zx\r\n", Event.size());
    To->send(Size + Event + "\r\n");
    Events.after(EventMs, [this, To, Number, Lives = Alive] {
      if (*Lives)
        write(To, Number + 1);
    });
  }

  Loop &Events;
  Platform &Store;
  std::string Id;
  std::string Zone;
  std::string Version;
  std::int64_t Born;
  Listener Door;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// One client that asks for one stream and takes it up if it breaks.
class StreamClient : public std::enable_shared_from_this<StreamClient> {
public:
  StreamClient(Loop &Events, std::vector<Address> Fronts, int Number,
               std::uint64_t Seed,
               std::function<void(const std::string &)> Note)
      : Events(Events), Fronts(std::move(Fronts)), Number(Number), Random(Seed),
        Note(std::move(Note)) {}

  void start() { attempt(); }

  std::set<std::string> Versions;
  bool IsWhole = false;
  int Tries = 0;
  std::int64_t BegunAtMs = 0;
  std::int64_t TakenUpAtMs = -1; ///< When it was first taken up.
  bool HasGoneOn = false;        ///< After it was taken up.
  bool HasBegunAtOnce = false;   ///< At the first attempt.
  int MaxTries = 5;
  std::string Prefix; ///< Of the prompt; drawn by the number if it is empty.
  std::string Key = "key-1";
  std::string Seen; ///< What each part of the stream came from.
  int number() const { return Number; }

private:
  static constexpr std::int64_t DeadlineMs = 15000;

  static std::string hex(std::uint64_t Value) {
    char Text[20];
    std::snprintf(Text, sizeof Text, "%016llx",
                  static_cast<unsigned long long>(Value));
    return Text;
  }
  std::string drawnPrefix() const {
    return hex(static_cast<std::uint64_t>(Number % 40)).substr(8) + ":200," +
           hex(static_cast<std::uint64_t>(Number) + 1000).substr(8) + ":100";
  }
  std::int64_t left() const { return DeadlineMs - (nowMs() - BegunAtMs); }

  void attempt() {
    if (Tries == 0)
      BegunAtMs = nowMs();
    if (++Tries > MaxTries || left() < 500)
      return;
    if (Failed.size() >= Fronts.size())
      Failed.clear();
    do
      At = Random() % Fronts.size();
    while (Failed.contains(At));
    Id = hex(Random());
    In.clear();
    Head.clear();
    Body.clear();
    Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in To = Fronts[At].socket();
    if (::connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof To) !=
            0 &&
        errno != EINPROGRESS) {
      broken();
      return;
    }
    std::string Text =
        "POST /a/" + std::to_string(Number) +
        " HTTP/1.1\r\nHost: one.example\r\nRequest-Id: " + Id +
        "\r\nModel: weights-a\r\nToken-Usage: 300,60\r\nPrompt-Prefix: " +
        (Prefix.empty() ? drawnPrefix() : Prefix) +
        "\r\nDeadline-Ms: " + std::to_string(left()) +
        "\r\nAuthorization: Bearer " + Key + "\r\n";
    if (LastEvent > 0 && TakenUpAtMs < 0)
      TakenUpAtMs = nowMs();
    if (LastEvent > 0)
      Text += "Last-Event-Id: " + std::to_string(LastEvent) +
              "\r\nResumes: " + First + "\r\n";
    Text += "Content-Length: 4\r\n\r\nbody";
    Out = Text;
    Note("client " + std::to_string(Number) + " asks front " +
         std::to_string(At) + ", " + Id +
         (LastEvent ? ", takes up " + First + " after event " +
                          std::to_string(LastEvent)
                    : ""));
    Events.watch(Socket, POLLIN | POLLOUT,
                 [Self = shared_from_this()](short) { Self->onReady(); });
  }
  void end() {
    if (Socket < 0)
      return;
    Events.forget(Socket);
    ::close(Socket);
    Socket = -1;
  }
  void broken() {
    end();
    Failed.insert(At);
    Note("client " + std::to_string(Number) + ": the connection to front " +
         std::to_string(At) + " broke after event " +
         std::to_string(LastEvent));
    again(10);
  }
  void again(std::int64_t Ms) {
    Events.after(Ms, [Self = shared_from_this()] { Self->attempt(); });
  }
  void onReady() {
    const auto Self = shared_from_this();
    while (Socket >= 0 && !Out.empty()) {
      const ssize_t Sent =
          ::send(Socket, Out.data(), Out.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (Sent < 0 && (errno == EAGAIN || errno == ENOTCONN))
        break;
      if (Sent < 0)
        return broken();
      Out.erase(0, static_cast<std::size_t>(Sent));
    }
    if (Socket >= 0 && Out.empty())
      Events.setEvents(Socket, POLLIN);
    char Buffer[16384];
    while (Socket >= 0) {
      const ssize_t Read = ::recv(Socket, Buffer, sizeof Buffer, MSG_DONTWAIT);
      if (Read > 0) {
        In.append(Buffer, static_cast<std::size_t>(Read));
        continue;
      }
      if (Read < 0 && (errno == EAGAIN || errno == ENOTCONN))
        break;
      parse();
      if (Socket >= 0)
        broken();
      return;
    }
    parse();
  }
  void parse() {
    if (Socket < 0)
      return;
    if (Head.empty()) {
      const std::size_t End = In.find("\r\n\r\n");
      if (End == std::string::npos)
        return;
      Head = In.substr(0, End + 4);
      In.erase(0, End + 4);
      const int Status = std::atoi(Head.c_str() + 9);
      if (Status != 200) {
        double Wait = 0.3;
        const std::size_t Field = Head.find("Retry-After: ");
        if (Field != std::string::npos)
          Wait = std::atof(Head.c_str() + Field + 13);
        Note("client " + std::to_string(Number) + " gets " +
             std::to_string(Status) + " from front " + std::to_string(At));
        end();
        if (Status == 503 || Status == 429)
          again(static_cast<std::int64_t>(
              std::min(Wait * 1000, static_cast<double>(left()) / 3)));
        return;
      }
      if (LastEvent == 0)
        First = Id;
    }
    // Chunks.
    while (true) {
      const std::size_t Line = In.find("\r\n");
      if (Line == std::string::npos)
        return;
      const std::size_t Size = std::strtoul(In.c_str(), nullptr, 16);
      if (In.size() < Line + 2 + Size + 2)
        return;
      Body += In.substr(Line + 2, Size);
      In.erase(0, Line + 2 + Size + 2);
      takeEvents();
      if (Size == 0) {
        IsWhole = true;
        end();
        return;
      }
    }
  }
  void takeEvents() {
    std::size_t End = 0;
    while ((End = Body.find("\n\n")) != std::string::npos) {
      const std::string Event = Body.substr(0, End);
      Body.erase(0, End + 2);
      LastEvent = std::atoi(Event.c_str() + 4);
      const std::size_t Data = Event.find("data: ");
      const std::string What = Event.substr(Data + 6);
      if (Versions.insert(What.substr(0, What.find(' '))).second ||
          What != Last)
        Seen += " " + std::to_string(LastEvent) + ":" + What + "@front" +
                std::to_string(At);
      HasGoneOn |= TakenUpAtMs >= 0;
      HasBegunAtOnce |= Tries == 1;
      Last = What;
    }
  }

  Loop &Events;
  std::vector<Address> Fronts;
  int Number;
  std::mt19937_64 Random;
  std::function<void(const std::string &)> Note;
  std::set<std::size_t> Failed;
  std::size_t At = 0;
  std::string Id;
  std::string First;
  int LastEvent = 0;
  std::string Last;
  int Socket = -1;
  std::string In;
  std::string Out;
  std::string Head;
  std::string Body;
};

} // namespace standin

#endif // GALENAROUTE_REVIEW_STANDIN3_STREAMS_H
