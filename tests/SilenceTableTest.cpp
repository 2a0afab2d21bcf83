// The table "Silent upstreams" of docs/proofs.md: for each way in which an
// upstream can be silent, and each kind of call, what the caller gets and when.

#include "ForwardRunFixture.h"

#include <netinet/tcp.h>

namespace galenaroute {
namespace {

/// What is silent.
enum class Silent {
  Process, ///< The kernel of the upstream goes on acknowledging.
  Machine, ///< Nothing is received or sent.
  Request, ///< The link to the upstream, in that direction only.
  Answer,  ///< The link from the upstream, in that direction only.
};
enum class Moment { Send, FirstEvent, Middle };

/// Routes end calls after this time. The kernel gives up silent links earlier.
constexpr Duration RouteTimeout = 6s;
/// By when a call that may be repeated has its whole answer.
constexpr Duration MaxRepetition = 2500ms;
/// By when a silent link ends a call that must not be repeated.
constexpr Duration MaxLinkSilence = 5s;
constexpr Duration Margin = 400ms;
constexpr Duration EventGap = 60ms;
constexpr int EventCount = 4;
constexpr Duration ForGood = 1h;

struct Row {
  Silent What;
  Moment From;
  Duration For;
};

std::string nameOf(const testing::TestParamInfo<Row> &Info) {
  static const char *const Whats[] = {"Process", "Machine", "Request",
                                      "Answer"};
  static const char *const Moments[] = {"FromTheSend", "FromTheFirstEvent",
                                        "FromTheMiddle"};
  const Row &Of = Info.param;
  return std::string(Whats[static_cast<int>(Of.What)]) +
         Moments[static_cast<int>(Of.From)] +
         (Of.For == ForGood
              ? "ForGood"
              : "For" + std::to_string(toMilliseconds(Of.For)) + "ms");
}

std::ostream &operator<<(std::ostream &Out, const Row &Of) {
  return Out << nameOf({Of, 0});
}

std::uint16_t portOf(int Socket, decltype(::getsockname) *Ask) {
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  return Ask(Socket, reinterpret_cast<sockaddr *>(&Address), &Size) == 0 &&
                 Address.sin_family == AF_INET
             ? Address.sin_port
             : 0;
}

/// Drops what arrives at the other end of \p Socket, which this process holds
/// too.
void setPeerDropping(int Socket, bool Drops) {
  constexpr int MaxDescriptors = 1024;
  const std::uint16_t Own = portOf(Socket, ::getsockname);
  const std::uint16_t Peer = portOf(Socket, ::getpeername);
  for (int Each = 3; Each < MaxDescriptors; ++Each)
    if (portOf(Each, ::getsockname) == Peer &&
        portOf(Each, ::getpeername) == Own)
      setDropping(Each, Drops);
}

/// One call through a gateway of its own to two upstreams, of which the first
/// is silent for a time.
class Scene : public ForwardRunFixture {
public:
  Scene(const Row &Of, std::string Path, bool IsKept)
      : Of(Of), Path(std::move(Path)), IsKept(IsKept) {
    for (ForwardRoute &Each : this->Config.Routes)
      Each.Timeout = RouteTimeout;
    this->Services.Config = std::make_shared<const ForwardConfig>(this->Config);
  }
  void TestBody() override {}

  /// Leaves a kept connection to the first upstream, if the scene has one.
  void warmUp() {
    if (!this->IsKept)
      return;
    this->call();
    for (int I = 0; I < 2000 && !this->isWhole(); ++I)
      this->step();
    ASSERT_TRUE(this->isWhole());
    this->Caller =
        std::make_unique<RawSocket>(RawSocket::connectTo(this->Address));
    this->Runs = 0;
  }
  void begin() {
    this->IsMeasured = true;
    if (this->Of.From == Moment::Send)
      this->setSilent(true);
    this->call();
  }

  void step() {
    this->Loop.runUntil([] { return false; }, 1ms);
    for (int I = 0; I < 2; ++I)
      if (const int Socket = this->Servers[I].accept(); Socket >= 0) {
        this->Peers.push_back({.Socket = std::make_unique<RawSocket>(Socket),
                               .Descriptor = Socket,
                               .IsFirst = I == 0});
        // Servers don't wait for acknowledgments before they write on.
        const int On = 1;
        setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
        if (I == 0)
          this->setDropping(this->Peers.back());
      }
    if (this->SilentSince &&
        EventLoop::now() - *this->SilentSince >= this->Of.For)
      this->setSilent(false);
    for (Peer &Each : this->Peers)
      if (!Each.IsFirst || !this->isProcessStill())
        this->serve(Each);
    if (!this->EndedAt && this->IsMeasured &&
        (this->isWhole() || this->hasFailed()))
      this->EndedAt = EventLoop::now();
  }

  bool hasEnded() const { return this->EndedAt.has_value(); }
  void check() const;
  std::string name() const {
    return this->Path + (this->IsKept ? " kept" : " new");
  }
  std::string duration() const {
    return this->EndedAt
               ? std::to_string(toMilliseconds(*this->EndedAt - this->SentAt))
               : "-";
  }

private:
  struct Peer {
    std::unique_ptr<RawSocket> Socket;
    int Descriptor;
    bool IsFirst;
    int Handled = 0;
    int Next = 0; ///< Event to be sent; 0 if no call is open.
    TimePoint NextAt{};
  };

  bool isStream() const {
    return this->Path.find("stream") != std::string::npos;
  }
  bool isOnce() const { return this->Path.find("once") != std::string::npos; }
  bool isProcessStill() const {
    return this->SilentSince && (this->Of.What == Silent::Process ||
                                 this->Of.What == Silent::Machine);
  }
  bool dropsRequests() const {
    return this->Of.What == Silent::Request || this->Of.What == Silent::Machine;
  }
  bool dropsAnswers() const {
    return this->Of.What == Silent::Answer || this->Of.What == Silent::Machine;
  }

  void call() {
    this->Table.suspendUntil("u1", EventLoop::now() + 200ms);
    this->SentAt = EventLoop::now();
    this->sendCall(this->Path);
  }
  bool isWhole() const {
    const std::string &Text = this->Caller->read();
    return Text.starts_with("HTTP/1.1 200 ") &&
           Text.ends_with(this->isStream() ? "\r\n0\r\n\r\n" : "\r\n\r\n1234");
  }
  /// Returns whether the caller sees that it gets no whole answer.
  bool hasFailed() const {
    return this->Caller->hasEnded() ||
           this->Caller->read().starts_with("HTTP/1.1 5");
  }

  void setDropping(Peer &At) {
    const bool IsSilent = this->SilentSince.has_value();
    if (this->dropsRequests())
      galenaroute::setDropping(At.Descriptor, IsSilent);
    if (this->dropsAnswers())
      setPeerDropping(At.Descriptor, IsSilent);
  }
  void setSilent(bool IsSilent) {
    if (IsSilent)
      this->SilentSince = EventLoop::now();
    else
      this->SilentSince.reset();
    this->WasSilent = true;
    // New connections don't reach the upstream either.
    if (this->dropsRequests())
      this->Servers[0].setDropping(IsSilent);
    for (Peer &Each : this->Peers)
      if (Each.IsFirst)
        this->setDropping(Each);
  }

  /// Answers as a sound upstream does.
  void serve(Peer &At) {
    const std::string &Text = At.Socket->read();
    if (At.Next == 0 && countOf(Text, "\r\n\r\nbody") > At.Handled) {
      ++At.Handled;
      ++this->Runs;
      const std::size_t Resume = Text.rfind("Last-Event-Id: ");
      At.Next = Resume == std::string::npos ? 1 : Text[Resume + 15] - '0' + 1;
      At.Socket->writeSome(
          this->isStream()
              ? this->StreamHead
              : head("200 OK", "Server-Stamp: x\r\nContent-Length: 4\r\n"));
    }
    if (At.Next == 0 || EventLoop::now() < At.NextAt || this->waits(At))
      return;
    At.NextAt = EventLoop::now() + EventGap;
    if (At.Next > EventCount) {
      At.Next = 0;
      if (this->isStream())
        At.Socket->writeSome("0\r\n\r\n");
      return;
    }
    const std::string Id = std::to_string(At.Next++);
    At.Socket->writeSome(this->isStream() ? chunk("id: " + Id + "\ndata: x\n\n")
                                          : Id);
  }
  /// Lets the silence begin once the caller, or the gateway, has the events
  /// before it.
  bool waits(const Peer &At) {
    const int Before = static_cast<int>(this->Of.From);
    if (!this->IsMeasured || !At.IsFirst || this->WasSilent ||
        At.Next <= Before)
      return false;
    if (!this->isStream() ||
        this->Caller->read().find("id: " + std::to_string(Before) + "\n") !=
            std::string::npos)
      this->setSilent(true);
    return true;
  }

  const Row Of;
  const std::string Path;
  const bool IsKept;
  std::vector<Peer> Peers;
  int Runs = 0; ///< Calls that reached an upstream.
  bool IsMeasured = false;
  bool WasSilent = false;
  std::optional<TimePoint> SilentSince;
  TimePoint SentAt;
  std::optional<TimePoint> EndedAt;
};

void Scene::check() const {
  SCOPED_TRACE(this->name() + ": " + this->Caller->read());
  ASSERT_TRUE(this->EndedAt) << "neither answer nor end";
  EXPECT_TRUE(this->WasSilent);
  const Duration Took = *this->EndedAt - this->SentAt;
  if (this->isStream())
    for (int I = 1; I <= EventCount; ++I) {
      const int Count =
          countOf(this->Caller->read(), "id: " + std::to_string(I) + "\n");
      EXPECT_LE(Count, 1);
      EXPECT_TRUE(Count == 1 || !this->isWhole());
    }
  if (this->isOnce()) {
    EXPECT_LE(this->Runs, 1);
  }
  // A new connection that is not established has not sent the call.
  const bool IsOtherTried =
      this->dropsRequests() && !this->IsKept && this->Of.From == Moment::Send;
  // The upstream's kernel sends its answer again and again, which shows the
  // gateway's kernel a link that works. What was written before the first time
  // arrives, and may be the whole answer.
  const bool MayHaveAnswer =
      this->Of.What == Silent::Request && this->Of.From != Moment::Send;
  if (this->Of.For != ForGood) {
    EXPECT_TRUE(this->isWhole());
  } else if (!this->isOnce() || IsOtherTried) {
    EXPECT_TRUE(this->isWhole());
    EXPECT_LT(Took, MaxRepetition);
  } else if (!MayHaveAnswer || !this->isWhole()) {
    EXPECT_FALSE(this->isWhole());
    EXPECT_LT(Took, this->Of.What == Silent::Process || MayHaveAnswer
                        ? RouteTimeout + Margin
                        : MaxLinkSilence);
    EXPECT_EQ(this->Caller->read().starts_with("HTTP/1.1 200 "),
              this->isStream() && this->Of.From != Moment::Send);
  }
}

class SilenceTableTest : public testing::TestWithParam<Row> {};

// Guards against calls that a temporary silence loses, and against silences for
// good that are not noticed by the stated time.
TEST_P(SilenceTableTest, EachCallEndsAsStated) {
  std::vector<std::unique_ptr<Scene>> Scenes;
  for (const char *Path : {"/once/a", "/oncestream/a", "/safe/a", "/stream/a"})
    for (const bool IsKept : {false, true})
      Scenes.push_back(std::make_unique<Scene>(GetParam(), Path, IsKept));
  for (const auto &Each : Scenes)
    ASSERT_NO_FATAL_FAILURE(Each->warmUp());
  for (const auto &Each : Scenes)
    Each->begin();
  const TimePoint Until = EventLoop::now() + RouteTimeout + 1s;
  const auto IsOver = [&] {
    return std::all_of(Scenes.begin(), Scenes.end(),
                       [](const auto &Each) { return Each->hasEnded(); });
  };
  while (!IsOver() && EventLoop::now() < Until)
    for (const auto &Each : Scenes)
      Each->step();
  for (const auto &Each : Scenes) {
    this->RecordProperty(Each->name(), Each->duration());
    Each->check();
  }
}

std::vector<Row> rows() {
  std::vector<Row> Result;
  for (const Silent What :
       {Silent::Process, Silent::Machine, Silent::Request, Silent::Answer})
    for (const Moment From : {Moment::Send, Moment::FirstEvent, Moment::Middle})
      for (const Duration For : std::initializer_list<Duration>{
               400ms, 900ms, 1300ms, 1800ms, ForGood})
        Result.push_back({What, From, For});
  return Result;
}

INSTANTIATE_TEST_SUITE_P(Silences, SilenceTableTest, testing::ValuesIn(rows()),
                         nameOf);

} // namespace
} // namespace galenaroute
