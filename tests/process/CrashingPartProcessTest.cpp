// Tests prompt parts that crash upstreams against daemon processes.

#include "FakePlatformServer.h"
#include "PlatformDaemons.h"
#include "ProcessHarness.h"
#include "PromptUpstreams.h"
#include "StallableProxy.h"

#include <csignal>
#include <gtest/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;
using nlohmann::json;

/// Bounds that the platform states, see docs/platform.md.
constexpr Duration ContactTime = 3s;
constexpr std::size_t CrashesToBlock = 5;
constexpr std::size_t LateCallsAllowed = 3;
constexpr double LeastBegunShare = 0.5;
constexpr std::size_t LeastCallsToCompare = 20;

constexpr Duration SoundGap = 50ms;
constexpr Duration CrashingGap = 150ms;
constexpr Duration QuietTime = 2500ms;
/// Time in which sound calls are compared with the quiet phase.
constexpr Duration ComparedTime = 3s;

/// Returns streams of prompts, which must not repeat or may be resumed.
json promptConfig() {
  return json::parse(R"({
    "version":1,
    "routes":[
      {"name":"chat","host":"h","pathPrefix":"/chat/","kind":"stream",
       "timeoutMs":1500,"targetLatencyMs":200,"gapAimMs":200,"priority":1,
       "service":"d","maxAttempts":1,"sticky":true},
      {"name":"resume","host":"h","pathPrefix":"/resume/","kind":"stream",
       "timeoutMs":1500,"targetLatencyMs":200,"gapAimMs":200,"priority":1,
       "service":"d","maxAttempts":2,"resumable":true,"sticky":true}],
    "tenants":[{"name":"c1","apiKeys":["k1"]},{"name":"c2","apiKeys":["k2"]}],
    "services":[{"name":"d","maxConns":400,
      "engine":{"slots":50,"kvCapacity":200000,"kvTokenBytes":16,
                "models":[{"name":"m"}]}}]})");
}

/// Prompts that share a customer, the first part or other parts with those of
/// the crashing calls, in turn.
const PromptCall SoundCalls[] = {
    {"/chat/a", "k1", {"aa01", "bb02"}},
    {"/resume/a", "k2", {"aa01", "cc03", "bb02"}},
    {"/chat/a", "k1", {"dd04"}},
    {"/resume/a", "k1", {"aa01"}},
};
/// The part that crashes in the middle of a prompt, and at its beginning.
const std::string Middle = "ee05";
const std::string First = "ee06";
const PromptCall MiddleCall{"/chat/a", "k1", {"aa01", "bb02", Middle}};
const PromptCall ResumableMiddleCall{"/resume/a", "k1", {"aa01", Middle}};
const PromptCall FirstCall{"/chat/a", "k1", {First, "bb02"}};

class CrashingPartProcessTest : public testing::Test {
protected:
  CrashingPartProcessTest() {
    this->Api.put("config", "main", promptConfig());
    this->ToApi.Target = this->Api.address();
  }
  ~CrashingPartProcessTest() override {
    for (sigc::connection &Each : this->Timers)
      Each.disconnect();
  }

  /// Starts all parts and the sound callers, and lets these call in quiet.
  void start(CrashEnd End) {
    this->Upstreams = std::make_unique<PromptUpstreams>(
        this->Harness.loop(),
        [this](const std::string &Id, const json &Spec) {
          this->Api.put("servers", Id, Spec);
        },
        PromptUpstreamSettings{.End = End, .Network = this->Places.Network});
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->startDaemon(I);
    this->waitUntilReady();
    // Waits until all know one another.
    this->wait(1500ms);
    this->repeat(SoundGap, [this, Next = std::size_t{0}]() mutable {
      if (const auto Index = this->Callers.send(
              Next % DaemonCount,
              SoundCalls[Next / DaemonCount % std::size(SoundCalls)]))
        this->Sound.push_back(*Index);
      ++Next;
      this->Callers.collect();
    });
    this->QuietFrom = EventLoop::now();
    this->wait(QuietTime);
    // Streams under way are not cut yet.
    this->QuietUntil = EventLoop::now() - 500ms;
  }
  void startDaemon(std::size_t Index) {
    const std::string Path = this->Places.writeSettings(
        this->Harness.folder(), Index, "z", this->ToApi.Address);
    this->Daemons[Index] =
        &this->Harness.start("galenaroute-platform", {"--settings", Path});
  }
  void waitUntilReady() {
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->Harness.waitFor("daemon " + std::to_string(I), [&] {
        return this->Harness.get(this->Places.readyAddress(I), "/api/ready")
                   .Status == 200;
      });
  }
  void restartAllDaemons() {
    const TimePoint From = EventLoop::now();
    for (Program *Each : this->Daemons)
      Each->signal(SIGKILL);
    for (Program *Each : this->Daemons)
      Each->wait(5s);
    for (std::size_t I = 0; I < DaemonCount; ++I)
      this->startDaemon(I);
    this->OutOfTouch = {From, EventLoop::now() + ContactTime};
    this->waitUntilReady();
  }
  void takeStoreAway() {
    this->ToApi.Target = freeAddress();
    this->ToApi.cut();
  }

  /// Sends crashing calls through the daemons in turn from now on.
  void startCrashing(const std::vector<PromptCall> &Calls) {
    this->repeat(CrashingGap, [this, Calls, Next = std::size_t{0}]() mutable {
      this->Callers.send(Next % DaemonCount, Calls[Next / 2 % Calls.size()]);
      ++Next;
    });
  }
  /// Returns the time of the fifth crash on \p Part, or of the last one if
  /// there are fewer.
  TimePoint blockedFrom(const std::string &Part) {
    const std::vector<TimePoint> &Seen = this->Upstreams->Crashes[Part];
    return Seen.empty() ? TimePoint{}
                        : Seen[std::min(Seen.size(), CrashesToBlock) - 1];
  }
  void waitForCrashes(const std::string &Part) {
    this->Harness.loop().runUntil(
        [&] { return this->Upstreams->Crashes[Part].size() >= CrashesToBlock; },
        4s);
    ASSERT_FALSE(this->Upstreams->Crashes[Part].empty());
  }
  /// Waits for the time in which sound calls are compared, and to its end.
  void waitForComparison(const std::string &Part) {
    this->ComparedFrom =
        std::max(this->blockedFrom(Part) + 2 * ContactTime,
                 this->OutOfTouch ? this->OutOfTouch->second : TimePoint{});
    this->wait(this->ComparedFrom + ComparedTime - EventLoop::now());
    this->ComparedUntil = EventLoop::now();
    // The last calls get their answers.
    this->wait(500ms);
  }

  bool isInTouch(TimePoint At) const {
    return !this->OutOfTouch || At < this->OutOfTouch->first ||
           At > this->OutOfTouch->second;
  }
  void expectBlocked(const std::string &Part) {
    const TimePoint From = this->blockedFrom(Part) + ContactTime;
    const auto Late = static_cast<std::size_t>(std::count_if(
        this->Upstreams->Arrivals.begin(), this->Upstreams->Arrivals.end(),
        [&](const PromptUpstreams::Arrival &Each) {
          return Each.Part == Part && Each.At > From &&
                 this->isInTouch(Each.At);
        }));
    std::cout << "part " << Part << ": "
              << this->Upstreams->Crashes[Part].size() << " crashes, " << Late
              << " late arrivals\n";
    EXPECT_LE(Late, LateCallsAllowed) << "part " << Part;
  }

  struct Share {
    std::size_t Sent = 0;
    std::size_t Begun = 0;
    double value() const {
      return this->Sent == 0 ? 0
                             : static_cast<double>(this->Begun) /
                                   static_cast<double>(this->Sent);
    }
  };
  Share shareBegun(TimePoint From, TimePoint To) const {
    Share Result;
    for (const std::size_t Index : this->Sound) {
      const PromptCallers::SentCall &Each = this->Callers.calls()[Index];
      if (Each.At < From || Each.At > To || !this->isInTouch(Each.At))
        continue;
      ++Result.Sent;
      Result.Begun += Each.Events > 0;
    }
    return Result;
  }
  void expectSoundCallsServed() {
    const Share Quiet = this->shareBegun(this->QuietFrom, this->QuietUntil);
    const Share Later =
        this->shareBegun(this->ComparedFrom, this->ComparedUntil);
    std::cout << "sound calls begun: " << Quiet.Begun << " of " << Quiet.Sent
              << " in quiet, " << Later.Begun << " of " << Later.Sent
              << " later\n";
    EXPECT_GE(Quiet.Sent, LeastCallsToCompare);
    EXPECT_GE(Quiet.value(), 0.9);
    EXPECT_GE(Later.Sent, LeastCallsToCompare);
    EXPECT_GE(Later.value(), LeastBegunShare * Quiet.value());
  }

  void repeat(Duration Gap, const std::function<void()> &Action) {
    this->Timers.push_back(this->Harness.loop().timers().every(Gap, Action));
  }
  void wait(Duration Time) {
    this->Harness.loop().runUntil([] { return false; }, Time);
  }

  static constexpr std::size_t DaemonCount = 6;
  const PlatformDaemons Places{.Count = DaemonCount, .Network = 6};
  ProcessHarness Harness{GALENAROUTE_BUILD_DIR};
  FakePlatformServer Api{this->Harness.loop()};
  StallableProxy ToApi{this->Harness.loop()};
  Program *Daemons[DaemonCount] = {};
  std::unique_ptr<PromptUpstreams> Upstreams;
  PromptCallers Callers{[this](std::size_t Daemon) {
    return this->Places.callerAddress(Daemon);
  }};
  std::vector<std::size_t> Sound; ///< Indices of the sound calls.
  /// All daemons were out of touch in this time.
  std::optional<std::pair<TimePoint, TimePoint>> OutOfTouch;
  TimePoint QuietFrom, QuietUntil, ComparedFrom, ComparedUntil;
  std::vector<sigc::connection> Timers;
};

// Guards against calls that share only the crashing part and are each taken for
// new, and against a block of sound calls that share the other parts.
TEST_F(CrashingPartProcessTest, APartThatCrashesUpstreamsIsBlocked) {
  this->start(CrashEnd::Reset);
  this->Upstreams->addCrashingPart(Middle);
  this->startCrashing({MiddleCall, ResumableMiddleCall});
  this->waitForCrashes(Middle);
  this->waitForComparison(Middle);
  this->expectBlocked(Middle);
  this->expectSoundCallsServed();
}

// Guards against a crash that ends an answer without length or chunks in good
// order and is taken for a success.
TEST_F(CrashingPartProcessTest, CrashesThatEndAnswersInGoodOrderCount) {
  this->start(CrashEnd::Orderly);
  this->Upstreams->addCrashingPart(Middle);
  this->startCrashing({MiddleCall});
  this->waitForCrashes(Middle);
  this->waitForComparison(Middle);
  this->expectBlocked(Middle);
  this->expectSoundCallsServed();
}

// Guards against a block that is lost when all daemons are killed at once.
TEST_F(CrashingPartProcessTest, ABlockedPartStaysBlockedAfterARestart) {
  this->start(CrashEnd::Reset);
  this->Upstreams->addCrashingPart(Middle);
  this->startCrashing({MiddleCall, ResumableMiddleCall});
  this->waitForCrashes(Middle);
  this->wait(1500ms);
  this->restartAllDaemons();
  this->waitForComparison(Middle);
  this->expectBlocked(Middle);
  this->expectSoundCallsServed();
}

// Guards against evidence that reaches the other daemons only by the store.
TEST_F(CrashingPartProcessTest, APartIsBlockedWhileTheStoreIsAway) {
  this->start(CrashEnd::Orderly);
  this->takeStoreAway();
  this->Upstreams->addCrashingPart(Middle);
  this->startCrashing({MiddleCall, ResumableMiddleCall});
  this->waitForCrashes(Middle);
  this->waitForComparison(Middle);
  this->expectBlocked(Middle);
  this->expectSoundCallsServed();
}

// Guards against crashes of one part that hide the other, and against a block
// of all prompts of the customer.
TEST_F(CrashingPartProcessTest, TwoCrashingPartsAtOnceAreBothBlocked) {
  this->start(CrashEnd::Reset);
  this->Upstreams->addCrashingPart(Middle);
  this->Upstreams->addCrashingPart(First);
  this->startCrashing({MiddleCall, FirstCall});
  this->waitForCrashes(Middle);
  this->waitForCrashes(First);
  this->waitForComparison(
      this->blockedFrom(Middle) > this->blockedFrom(First) ? Middle : First);
  this->expectBlocked(Middle);
  this->expectBlocked(First);
  this->expectSoundCallsServed();
}

} // namespace
} // namespace galenaroute
