// Checks histories of concurrent applies, collections and watchers on a
// platform with outages, lost replies and reordered calls.

#include "FakePlatform.h"
#include "version/ConfigStore.h"
#include "version/ConfigWatcher.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using testing_support::FakePlatform;
using testing_support::FakeStore;

/// Returns a configuration of several objects. Only one of them is unique to
/// \p Name; the others recur with every second name, so that applies encounter
/// existing objects that may be about to be collected.
Configuration configNamed(const std::string &Name) {
  Configuration Result;
  Result.Deployment = {Name, "r", {"z"}};
  for (int I = 0; I < 40; ++I) {
    const std::string Customer = "c" + std::to_string(I);
    Result.Customers[Customer] = {Customer, "", 1.0 + Name.back() % 2, 64};
  }
  return Result;
}

/// The participants of one history, and the checks of its invariants.
class History {
public:
  explicit History(std::uint64_t Seed) : Random(Seed) {
    for (int I = 0; I < 3; ++I)
      this->addWatcher();
  }

  void addWatcher() {
    ConfigWatcherOptions Options;
    Options.FirstBackoff = 100us;
    Options.MaxBackoff = 1ms;
    Options.MinWatchGap = 100us;
    Options.Seed = this->Random();
    this->Watchers.push_back(std::make_unique<ConfigWatcher>(
        this->Api, this->Loop.timers(), Options));
    auto Last = std::make_shared<std::uint64_t>(0);
    this->Watchers.back()->Changed.connect(
        [this, Last](const ConfigurationPtr &Config) {
          if (Config->Epoch <= *Last ||
              this->Accepted[Config->Epoch] != Config->Deployment.Name)
            this->Faults.push_back(
                "epoch " + std::to_string(Config->Epoch) +
                " came into force but was not accepted or not newer");
          *Last = Config->Epoch;
        });
    this->Watchers.back()->start();
  }

  void restartWatcher(std::size_t Index) {
    this->Watchers.erase(this->Watchers.begin() +
                         static_cast<std::ptrdiff_t>(Index));
    this->addWatcher();
  }

  /// Starts an apply with a unique name that expects the newest epoch or, if
  /// \p Stale, the one before.
  void apply(bool Stale) {
    const std::string Name = "d" + std::to_string(this->Results.size());
    const std::uint64_t Newest =
        this->Accepted.empty() ? 0 : this->Accepted.rbegin()->first;
    this->Results[Name] = std::nullopt;
    this->store().apply(configNamed(Name),
                        Stale && Newest ? Newest - 1 : Newest,
                        [this, Name](const ApplyResult &Result) {
                          this->Results[Name] = Result;
                        });
  }

  void collect() {
    this->store().collect([](std::optional<std::size_t>) {});
  }

  /// Executes one call, and checks and records the manifest after it.
  void step() {
    if (this->Api.pending() == 0)
      return;
    this->Api.stepAt(this->Random() % this->Api.pending());
    const PlatformResult Got = this->Api.read(ManifestKey);
    if (Got.Status != PlatformStatus::Ok)
      return;
    const Manifest ManifestData = manifestFromJson(Got.Object.Value);
    ObjectMap Objects;
    for (const std::string &Hash : ManifestData.Objects) {
      const PlatformResult Data = this->Api.read({ConfigDataKind, Hash});
      if (Data.Status != PlatformStatus::Ok) {
        this->Faults.push_back("an object in use was collected");
        return;
      }
      Objects[Hash] =
          std::make_shared<const std::string>(Data.Object.Value["data"]);
    }
    const std::string Name =
        assembleVersion(ManifestData, Objects)->Config->Deployment.Name;
    const auto [It, IsNew] = this->Accepted.emplace(ManifestData.Epoch, Name);
    if (It->second != Name || It != std::prev(this->Accepted.end()))
      this->Faults.push_back("an accepted epoch was replaced");
  }

  /// Fails every call for longer than the deadline of an apply.
  void longOutage() {
    this->Api.Outage = true;
    for (int I = 0; I < 12; ++I) {
      this->step();
      this->pump();
    }
    this->Api.Outage = false;
  }

  void pump() {
    this->Loop.runUntil([] { return false; }, 500us);
  }

  bool settled() const {
    for (const auto &[Name, Result] : this->Results)
      if (!Result)
        return false;
    for (const auto &Each : this->Watchers)
      if (!this->Accepted.empty() &&
          (!Each->current() ||
           Each->current()->Epoch != this->Accepted.rbegin()->first))
        return false;
    return true;
  }

  /// Runs without faults; returns whether a settled state was reached.
  bool settle() {
    this->Api.Outage = false;
    this->Api.LoseReplies = this->Api.LoseRequests = 0;
    for (int Round = 0; Round < 3000 && !this->settled(); ++Round) {
      for (int I = 0; I < 20; ++I)
        this->step();
      this->pump();
    }
    return this->settled();
  }

  bool wasAccepted(const std::string &Name) const {
    for (const auto &[Epoch, Each] : this->Accepted)
      if (Each == Name)
        return true;
    return false;
  }

  EventLoop Loop;
  FakePlatform Api;
  std::map<std::uint64_t, std::string> Accepted; ///< By epoch.
  std::map<std::string, std::optional<ApplyResult>> Results;
  std::vector<std::string> Faults;

private:
  ConfigStore &store() {
    ConfigStoreOptions Options;
    Options.Deadline = 5ms;
    Options.FirstBackoff = 100us;
    Options.MaxBackoff = 1ms;
    // Without a minimum age, only the version check protects objects in use.
    Options.MinGarbageAge = 0ms;
    Options.Seed = this->Random();
    this->Stores.push_back(
        std::make_unique<ConfigStore>(this->Api, this->Loop.timers(), Options));
    return *this->Stores.back();
  }

  std::mt19937_64 Random;
  std::vector<std::unique_ptr<ConfigStore>> Stores;
  std::vector<std::unique_ptr<ConfigWatcher>> Watchers;
};

// Guards against an apply that wrongly reports success or conflict, an epoch in
// force that decreases or was never accepted, collection of an object in use,
// and a daemon that does not reach the newest epoch after the faults.
RC_GTEST_PROP(ConfigHistoryProperties, RacesOutagesAndLostReplies, ()) {
  History Run(*rc::gen::arbitrary<std::uint64_t>());
  const auto Script =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
  for (const int Command : Script) {
    switch (Command) {
    case 0:
      Run.Api.Outage = !Run.Api.Outage;
      break;
    case 1:
    case 2:
      ++Run.Api.LoseReplies;
      break;
    case 3:
      ++Run.Api.LoseRequests;
      break;
    case 4:
    case 5:
    case 6:
    case 7:
      Run.apply(/*Stale=*/false);
      break;
    case 8:
      Run.apply(/*Stale=*/true);
      break;
    case 9:
    case 10:
      Run.collect();
      break;
    case 11:
      Run.restartWatcher(0);
      break;
    case 12:
      Run.longOutage();
      break;
    case 13:
    case 14:
      Run.pump();
      break;
    default:
      for (int I = 0; I < 4; ++I)
        Run.step();
    }
  }
  RC_ASSERT(Run.settle());
  RC_ASSERT(Run.Faults == std::vector<std::string>{});
  for (const auto &[Name, Result] : Run.Results) {
    RC_LOG() << Name << " ended with " << static_cast<int>(Result->End) << ": "
             << Result->Message << "\n";
    if (Result->End == ApplyOutcome::Applied)
      RC_ASSERT(Run.wasAccepted(Name));
    else if (Result->End != ApplyOutcome::OutcomeUnknown)
      RC_ASSERT(!Run.wasAccepted(Name));
  }
}

// Guards against an apply that uses an object which a concurrent collection has
// already found to be unused.
TEST(ConfigCollectTest, KeepsAnObjectThatIsUsedAgain) {
  EventLoop Loop;
  FakePlatform Api;
  ConfigStoreOptions Options;
  Options.MinGarbageAge = 0ms;
  ConfigStore Store(Api, Loop.timers(), Options);
  int Applied = 0;
  const auto Count = [&](const ApplyResult &Result) {
    Applied += Result.End == ApplyOutcome::Applied ? 1 : 0;
  };
  for (const char *Name : {"d0", "d1"}) {
    Store.apply(configNamed(Name), std::nullopt, Count);
    Api.drain();
  }
  std::optional<std::size_t> Removed;
  Store.collect([&](std::optional<std::size_t> Result) { Removed = Result; });
  // After the get, the rewrite and the list, the first removal is pending.
  for (int I = 0; I < 3; ++I)
    Api.step();
  ASSERT_EQ(Api.pending(), 1U);
  // d2 shares objects with d0 that d1 does not use.
  Store.apply(configNamed("d2"), std::nullopt, Count);
  while (Api.pending() > 1)
    Api.stepAt(1);
  ASSERT_EQ(Applied, 3);
  Api.drain();
  EXPECT_TRUE(Removed.has_value());
  std::optional<FetchResult> Read;
  fetchVersion(Api, nullptr, 0,
               [&](const FetchResult &Result) { Read = Result; });
  Api.drain();
  ASSERT_TRUE(Read && Read->Version) << Read->Problem;
  EXPECT_EQ(Read->Version->Config->Deployment.Name, "d2");
}

/// Operators and daemons with a platform that can be restored.
class ConfigRestoreTest : public testing::Test {
protected:
  /// One process with its own connection to the platform.
  struct Process {
    explicit Process(ConfigRestoreTest &Test)
        : Api(Test.Data), Watcher(Api, Test.Loop.timers(), watcherOptions()),
          Store(Api, Test.Loop.timers(), storeOptions()) {
      this->Watcher.Changed.connect([this](const ConfigurationPtr &Config) {
        this->InForce.push_back(Config->Epoch);
      });
    }
    /// Returns the epoch and the name of the configuration in force.
    std::pair<std::uint64_t, std::string> inForce() const {
      const ConfigurationPtr Now = this->Watcher.current();
      return Now ? std::pair{Now->Epoch, Now->Deployment.Name}
                 : std::pair{std::uint64_t{0}, std::string()};
    }
    FakePlatform Api;
    ConfigWatcher Watcher;
    ConfigStore Store;
    std::vector<std::uint64_t> InForce;
  };

  ConfigRestoreTest() {
    this->Data->Era = 1;
    this->Daemon = this->addDaemon();
    this->Operator = this->addProcess();
  }

  static ConfigWatcherOptions watcherOptions() {
    ConfigWatcherOptions Options;
    Options.FirstBackoff = 100us;
    Options.MaxBackoff = 1ms;
    Options.MinWatchGap = 100us;
    return Options;
  }
  static ConfigStoreOptions storeOptions() {
    ConfigStoreOptions Options;
    Options.Deadline = 1s;
    Options.FirstBackoff = 100us;
    Options.MaxBackoff = 1ms;
    Options.MinGarbageAge = 0ms;
    return Options;
  }

  Process *addProcess() {
    this->Processes.push_back(std::make_unique<Process>(*this));
    return this->Processes.back().get();
  }
  Process *addDaemon() {
    Process *Result = this->addProcess();
    Result->Watcher.start();
    return Result;
  }

  /// Runs all processes but the one with held calls, until \p Done if given.
  void settle(const std::function<bool()> &Done = nullptr) {
    const TimePoint End = EventLoop::now() + 5s;
    for (int Round = 0; Done ? !Done() && EventLoop::now() < End : Round < 60;
         ++Round) {
      for (const auto &Each : this->Processes)
        if (Each.get() != this->Held)
          Each->Api.drain(100);
      this->Loop.runUntil([] { return false; }, 300us);
    }
  }

  ApplyResult apply(Process &By, const std::string &Name) {
    std::optional<ApplyResult> Last;
    By.Store.apply(configNamed(Name), std::nullopt,
                   [&](const ApplyResult &Result) { Last = Result; });
    this->settle();
    return Last.value_or(ApplyResult{});
  }

  EventLoop Loop;
  std::shared_ptr<FakeStore> Data = std::make_shared<FakeStore>();
  std::vector<std::unique_ptr<Process>> Processes;
  Process *Daemon;
  Process *Operator;
  Process *Held = nullptr;
};

using EpochAndName = std::pair<std::uint64_t, std::string>;

// Guards against an accepted configuration that is lost with a restoration,
// so that daemons that start later have an older one.
TEST_F(ConfigRestoreTest, DaemonsStoreTheVersionInForceAgain) {
  ASSERT_EQ(this->apply(*this->Operator, "d1").End, ApplyOutcome::Applied);
  this->Data->keepCopy();
  ASSERT_EQ(this->apply(*this->Operator, "d2").Epoch, 2U);
  this->Data->restore();
  this->settle();
  Process *Later = this->addDaemon();
  this->settle();
  EXPECT_EQ(Later->inForce(), EpochAndName(2, "d2"));
  EXPECT_EQ(this->Daemon->InForce, (std::vector<std::uint64_t>{1, 2}));
  EXPECT_EQ(this->apply(*this->Operator, "d2").End, ApplyOutcome::Unchanged);
}

// Guards against a version that a daemon learns from a peer after a
// restoration and that is never stored again.
TEST_F(ConfigRestoreTest, AWatcherStoresTheVersionOfAPeerAgain) {
  this->apply(*this->Operator, "d1");
  this->Data->keepCopy();
  this->apply(*this->Operator, "d2");
  this->Daemon->Watcher.setWatching(false);
  this->Data->restore();
  Process *Later = this->addDaemon();
  this->settle();
  ASSERT_EQ(Later->inForce(), EpochAndName(1, "d1"));
  ASSERT_TRUE(Later->Watcher.adopt(this->Daemon->Watcher.version()));
  this->settle();
  Process *Last = this->addDaemon();
  this->settle();
  EXPECT_EQ(Last->inForce(), EpochAndName(2, "d2"));
}

// Guards against a configuration that daemons ignore because it has the epoch
// of one that a restoration took back.
TEST_F(ConfigRestoreTest, NoEpochIsGivenOutAgain) {
  this->apply(*this->Operator, "d1");
  this->Data->keepCopy();
  this->apply(*this->Operator, "d2");
  this->Daemon->Api.Outage = true;
  this->settle();
  this->Data->restore();
  const ApplyResult Result = this->apply(*this->Operator, "d3");
  EXPECT_EQ(Result.End, ApplyOutcome::Applied);
  this->Daemon->Api.Outage = false;
  Process *Later = this->addDaemon();
  this->settle();
  EXPECT_EQ(this->Daemon->inForce(), EpochAndName(Result.Epoch, "d3"));
  EXPECT_EQ(Later->inForce(), EpochAndName(Result.Epoch, "d3"));
}

// Guards against two versions under one epoch where the swap of an apply takes
// effect only after a restoration, and against a manifest whose objects were
// written before it and are gone.
TEST_F(ConfigRestoreTest, AnApplyUnderWayGetsAnEpochOfTheNewEra) {
  this->apply(*this->Operator, "d1");
  this->Data->keepCopy();
  this->settle();
  Process *Slow = this->addProcess();
  std::optional<ApplyResult> Last;
  Slow->Store.apply(configNamed("d3"), std::nullopt,
                    [&](const ApplyResult &Result) { Last = Result; });
  // The read, then the writes of the objects that the manifest lacks.
  const auto Old = encodeVersion(configNamed("d1"), 1, "w");
  const auto Missing =
      missingObjects(encodeVersion(configNamed("d3"), 2, "w")->ManifestData,
                     Old->Objects)
          .size();
  while (Slow->Api.Writes < static_cast<int>(Missing))
    ASSERT_TRUE(Slow->Api.step());
  this->Held = Slow;
  EXPECT_EQ(this->apply(*this->Operator, "d2").Epoch, 2U);
  this->Data->restore();
  Slow->Api.step();
  this->Held = nullptr;
  this->settle();
  ASSERT_TRUE(Last);
  EXPECT_EQ(Last->End, ApplyOutcome::Applied);
  EXPECT_GT(Last->Epoch, EpochsPerEra);
  EXPECT_EQ(this->Daemon->inForce(), EpochAndName(Last->Epoch, "d3"));
  Process *Later = this->addDaemon();
  this->settle();
  EXPECT_EQ(Later->inForce(), EpochAndName(Last->Epoch, "d3"));
}

// Guards against a manifest without its objects, which an apply leaves that is
// cut short by a restoration, and which no later apply can replace.
TEST_F(ConfigRestoreTest, AnApplyReplacesAManifestWithoutItsObjects) {
  this->apply(*this->Operator, "d1");
  this->Data->Objects[ConfigDataKind].clear();
  const ApplyResult Result = this->apply(*this->Operator, "d2");
  EXPECT_EQ(Result.End, ApplyOutcome::Applied);
  Process *Later = this->addDaemon();
  this->settle();
  EXPECT_EQ(Later->inForce(), EpochAndName(Result.Epoch, "d2"));
}

// Guards against the collection of objects that were written after a
// restoration, under revisions that an earlier era had given out.
TEST_F(ConfigRestoreTest, ACollectionDoesNotOutlastARestoration) {
  this->apply(*this->Operator, "d1");
  this->Daemon->Watcher.setWatching(false);
  this->Data->keepCopy();
  for (int I = 0; I < 100; ++I)
    this->Data->write({"other", "o"});
  Process *Collector = this->addProcess();
  Collector->Store.collect([](std::optional<std::size_t>) {});
  // The get and the rewrite of the manifest.
  Collector->Api.step();
  Collector->Api.step();
  this->Data->restore();
  this->Held = Collector;
  ASSERT_EQ(this->apply(*this->Operator, "d2").End, ApplyOutcome::Applied);
  this->Held = nullptr;
  this->settle();
  Process *Later = this->addDaemon();
  this->settle();
  EXPECT_EQ(Later->inForce().second, "d2");
}

// Guards against an apply that is not in force everywhere after restorations
// that race with applies, outages and lost replies, and against an epoch in
// force that decreases.
RC_GTEST_FIXTURE_PROP(ConfigRestoreTest, ALaterApplyIsInForceEverywhere, ()) {
  for (int I = 0; I < 2; ++I)
    this->addDaemon();
  this->Data->keepCopy();
  int Applies = 0;
  int Ended = 0;
  std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
  const auto Script =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
  for (const int Command : Script) {
    Process &At = *this->Processes[Random() % this->Processes.size()];
    switch (Command) {
    case 0:
      this->Data->keepCopy();
      break;
    case 1:
    case 2:
      this->Data->restore();
      break;
    case 3:
      At.Api.Outage = !At.Api.Outage;
      break;
    case 4:
      ++At.Api.LoseReplies;
      break;
    case 5:
    case 6:
      At.Store.apply(configNamed("d" + std::to_string(Applies++)), std::nullopt,
                     [&](const ApplyResult &) { ++Ended; });
      break;
    case 7:
      At.Store.collect([](std::optional<std::size_t>) {});
      break;
    case 8:
      this->Loop.runUntil([] { return false; }, 300us);
      break;
    default:
      for (std::size_t I = 0; I < 6 && At.Api.pending() > 0; ++I)
        At.Api.stepAt(Random() % At.Api.pending());
    }
  }
  for (const auto &Each : this->Processes) {
    Each->Api.Outage = false;
    Each->Api.LoseReplies = 0;
  }
  this->settle([&] { return Ended == Applies; });
  RC_ASSERT(Ended == Applies);
  std::optional<ApplyResult> Last;
  this->Operator->Store.apply(
      configNamed("last"), std::nullopt,
      [&](const ApplyResult &Result) { Last = Result; });
  this->settle([&] { return Last.has_value(); });
  RC_ASSERT(Last && Last->End == ApplyOutcome::Applied);
  const EpochAndName Expected(Last->Epoch, "last");
  this->settle([&] {
    return std::all_of(
        this->Processes.begin(), this->Processes.end(), [&](const auto &Each) {
          return Each.get() == this->Operator || Each->inForce() == Expected;
        });
  });
  for (const auto &Each : this->Processes) {
    if (Each.get() != this->Operator)
      RC_ASSERT(Each->inForce() == Expected);
    RC_ASSERT(std::adjacent_find(Each->InForce.begin(), Each->InForce.end(),
                                 std::greater_equal<>()) ==
              Each->InForce.end());
  }
}

class ConfigApplyTest : public testing::Test {
protected:
  ApplyResult apply(const std::string &Name, std::uint64_t Seen) {
    this->Run.Results.clear();
    std::optional<ApplyResult> Last;
    ConfigStoreOptions Options;
    Options.Deadline = 50ms;
    Options.FirstBackoff = 1ms;
    ConfigStore Store(this->Run.Api, this->Run.Loop.timers(), Options);
    Store.apply(configNamed(Name), Seen,
                [&](const ApplyResult &Result) { Last = Result; });
    for (int I = 0; I < 1000 && !Last; ++I) {
      this->Run.Api.drain(50);
      this->Run.pump();
    }
    return Last.value_or(
        ApplyResult{ApplyOutcome::OutcomeUnknown, 0, "stuck", {}});
  }

  History Run{1};
};

// Guards against an apply that succeeds or never ends during an outage.
TEST_F(ConfigApplyTest, AnOutageEndsWithAClearError) {
  this->Run.Api.Outage = true;
  const ApplyResult Result = this->apply("a", 0);
  EXPECT_EQ(Result.End, ApplyOutcome::Unavailable);
  EXPECT_EQ(Result.Message,
            "nothing was applied: the platform does not answer");
}

// Guards against reporting an accepted change as a conflict because its reply
// was lost.
TEST_F(ConfigApplyTest, ResolvesALostReplyOfTheSwap) {
  ASSERT_EQ(this->apply("a", 0).End, ApplyOutcome::Applied);
  // Writes: one data object, then the manifest.
  this->Run.Api.LoseReplies = 2;
  const ApplyResult Result = this->apply("b", 1);
  EXPECT_EQ(Result.End, ApplyOutcome::Applied);
  EXPECT_EQ(Result.Epoch, 2U);
}

// Guards against reporting "nothing was applied" for a change that took effect.
TEST_F(ConfigApplyTest, ALostReplyBeforeAnOutageIsOutcomeUnknown) {
  ConfigStoreOptions Options;
  Options.Deadline = 5ms;
  Options.FirstBackoff = 1ms;
  ConfigStore Store(this->Run.Api, this->Run.Loop.timers(), Options);
  std::optional<ApplyResult> Last;
  Store.apply(configNamed("a"), 0,
              [&](const ApplyResult &Result) { Last = Result; });
  const auto Objects = encodeVersion(configNamed("a"), 1, "w")->Objects.size();
  for (int I = 0; I < 1000 && this->Run.Accepted.empty(); ++I) {
    // Only the reply of the swap, the last write, is lost.
    if (this->Run.Api.Writes == static_cast<int>(Objects))
      this->Run.Api.LoseReplies = 1;
    this->Run.step();
    this->Run.pump();
  }
  ASSERT_FALSE(this->Run.Accepted.empty());
  this->Run.longOutage();
  ASSERT_TRUE(Last);
  EXPECT_EQ(Last->End, ApplyOutcome::OutcomeUnknown);
}

// Guards against an operator who overwrites a change that they have not seen.
TEST_F(ConfigApplyTest, AStaleEpochIsAConflictWithTheVersionInForce) {
  ASSERT_EQ(this->apply("a", 0).End, ApplyOutcome::Applied);
  const ApplyResult Result = this->apply("b", 0);
  EXPECT_EQ(Result.End, ApplyOutcome::Conflict);
  ASSERT_TRUE(Result.InForce);
  EXPECT_EQ(Result.InForce->Config->Deployment.Name, "a");
  EXPECT_EQ(this->apply("a", 1).End, ApplyOutcome::Unchanged);
}

} // namespace
} // namespace galenaroute
