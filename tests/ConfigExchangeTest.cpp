// Checks histories of configuration exchange between daemons with a lossy
// network, platform outages, stale peers and restarts.

#include "version/ConfigExchange.h"
#include "ConfigGenerators.h"
#include "FakePlatform.h"
#include "process/ErrorKind.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;
using testing_support::FakePlatform;
using testing_support::genConfiguration;

class Fleet;

/// One daemon: its watcher, its exchange, and the epochs that came into force.
struct Node {
  Node(Fleet &In, std::string Id, std::string Zone);

  std::string Id;
  std::string Zone;
  ConfigWatcher Watcher;
  std::vector<std::uint64_t> Epochs;
  std::unique_ptr<ConfigExchange> Exchange;
};

/// Daemons on a network that loses and reorders messages.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random(Seed) {}

  void start(const std::string &Id, const std::string &Zone) {
    this->Nodes[Id] = std::make_unique<Node>(*this, Id, Zone);
    std::map<std::string, std::set<std::string>> Zones;
    for (const auto &[Other, Each] : this->Nodes)
      Zones[Each->Zone].insert(Other);
    for (const auto &[Other, Each] : this->Nodes) {
      Each->Exchange->setZoneMembers(Zones[Each->Zone], this->Now);
      if (Other != Id) {
        Each->Exchange->peerUp(Id, this->Now);
        this->Nodes[Id]->Exchange->peerUp(Other, this->Now);
      }
    }
  }

  void send(const std::string &From, const std::string &To, const char *Type,
            const nlohmann::json &Body) {
    for (const auto &[Id, Each] : this->Nodes)
      if (Id != From && (To.empty() || To == Id))
        this->Messages.push_back({From, Id, Type, Body});
  }

  /// Delivers the message at \p Index, or drops it if \p Lose.
  void deliver(std::size_t Index, bool Lose) {
    const auto [From, To, Type, Body] = this->Messages.at(Index);
    this->Messages.erase(this->Messages.begin() +
                         static_cast<std::ptrdiff_t>(Index));
    const bool IsCut = this->CutOff.contains(From) || this->CutOff.contains(To);
    if (Lose || IsCut || !this->Nodes.contains(To))
      return;
    this->Nodes[To]->Exchange->receive(From, Type, Body, this->Now);
  }

  void deliverAll() {
    for (int Limit = 5000; Limit > 0 && !this->Messages.empty(); --Limit)
      this->deliver(this->Random() % this->Messages.size(), false);
  }

  void tick() {
    this->Now += 300ms;
    for (const auto &[Id, Each] : this->Nodes)
      Each->Exchange->tick(this->Now);
    for (int I = 0; I < 30 && this->Api.step(); ++I) {
    }
    this->Loop.runUntil([] { return false; }, 300us);
  }

  /// Writes the next epoch to the platform.
  void publish() {
    const ConfigVersionPtr Next = encodeVersion(
        {0, {"e" + std::to_string(this->Newest + 1), "r", {"z"}}, {}, {}, {}},
        this->Newest + 1, "w");
    const auto Put = [&](const ObjectKey &Key, const nlohmann::json &Value) {
      this->Api.put(Key, Value, this->Api.read(Key).Object.Version,
                    [](const PlatformResult &) {});
      this->Api.stepAt(this->Api.pending() - 1);
    };
    for (const auto &[Hash, Text] : Next->Objects)
      Put({ConfigDataKind, Hash}, dataObjectValue(*Text, 0));
    Put(ManifestKey, toJson(Next->ManifestData));
    if (!this->Api.Outage)
      ++this->Newest;
  }

  bool isSettled() const {
    return std::all_of(
        this->Nodes.begin(), this->Nodes.end(), [&](const auto &Each) {
          return (Each.second->Epochs.empty()
                      ? 0
                      : Each.second->Epochs.back()) == this->Newest;
        });
  }

  bool settle(int Rounds) {
    for (; Rounds > 0 && !this->isSettled(); --Rounds) {
      this->tick();
      this->deliverAll();
    }
    return this->isSettled();
  }

  struct Message {
    std::string From, To;
    const char *Type;
    nlohmann::json Body;
  };

  EventLoop Loop;
  FakePlatform Api;
  TimePoint Now = TimePoint() + 1h;
  std::mt19937_64 Random;
  std::map<std::string, std::unique_ptr<Node>> Nodes;
  std::vector<Message> Messages;
  std::set<std::string> CutOff;
  std::uint64_t Newest = 0;
  std::vector<std::string> Faults;
};

ConfigWatcherOptions quickOptions(Fleet &In) {
  ConfigWatcherOptions Options;
  Options.FirstBackoff = Options.MinWatchGap = 100us;
  Options.MaxBackoff = 500us;
  Options.Seed = In.Random();
  return Options;
}

Node::Node(Fleet &In, std::string Id, std::string Zone)
    : Id(std::move(Id)), Zone(std::move(Zone)),
      Watcher(In.Api, In.Loop.timers(), quickOptions(In)) {
  this->Watcher.Changed.connect([this, &In](const ConfigurationPtr &Next) {
    if ((!this->Epochs.empty() && Next->Epoch <= this->Epochs.back()) ||
        Next->Deployment.Name != "e" + std::to_string(Next->Epoch))
      In.Faults.push_back(this->Id + " adopted epoch " +
                          std::to_string(Next->Epoch));
    this->Epochs.push_back(Next->Epoch);
  });
  this->Exchange = std::make_unique<ConfigExchange>(
      this->Watcher,
      [this, &In](const std::string &To, const char *Type,
                  const nlohmann::json &Body) {
        In.send(this->Id, To, Type, Body);
      },
      ConfigRelaySettings{}, this->Id, In.Now, In.Random());
}

// Guards against an epoch in force that decreases or differs from what was
// applied, and against a daemon that does not reach the newest epoch after the
// network and the platform have recovered.
RC_GTEST_PROP(ConfigExchangeProperties, EveryDaemonReachesTheNewestEpoch, ()) {
  Fleet Run(*rc::gen::arbitrary<std::uint64_t>());
  const std::vector<std::string> Ids = {"a", "b", "c", "d", "e"};
  const auto Start = [&](const std::string &Id) {
    Run.start(Id, Id < "d" ? "z1" : "z2");
  };
  for (const std::string &Id : Ids)
    Start(Id);
  const auto Script =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
  for (const int Command : Script) {
    const std::string &Id = Ids[Run.Random() % Ids.size()];
    if (Command < 3)
      Run.publish();
    else if (Command < 5)
      Run.Api.Outage = !Run.Api.Outage;
    else if (Command < 7)
      Start(Id);
    else if (Command < 9)
      Run.CutOff.contains(Id) ? Run.CutOff.erase(Id)
                              : Run.CutOff.insert(Id).second;
    else if (Command < 13)
      Run.tick();
    else if (!Run.Messages.empty())
      Run.deliver(Run.Random() % Run.Messages.size(), Command == 13);
  }
  Run.CutOff.clear();
  Run.Api.Outage = false;
  RC_ASSERT(Run.settle(300));
  RC_ASSERT(Run.Faults == std::vector<std::string>{});
}

class ConfigExchangeTest : public testing::Test {
protected:
  Fleet Run{7};
};

// Guards against a daemon that starts during an outage with the outdated
// configuration of the first peer that responds.
TEST_F(ConfigExchangeTest, StartupInAnOutageUsesTheHighestEpochOfThePeers) {
  for (const char *Id : {"stale", "b", "c"})
    this->Run.start(Id, "z1");
  this->Run.publish();
  ASSERT_TRUE(this->Run.settle(100));
  // The stale daemon is cut off from both before the next epochs.
  this->Run.CutOff.insert("stale");
  std::unique_ptr<Node> Stale = std::move(this->Run.Nodes["stale"]);
  Stale->Watcher.setWatching(false);
  this->Run.Nodes.erase("stale");
  this->Run.publish();
  this->Run.publish();
  ASSERT_TRUE(this->Run.settle(100));
  this->Run.Api.Outage = true;
  this->Run.Messages.clear();
  this->Run.CutOff.clear();

  this->Run.Nodes["stale"] = std::move(Stale);
  this->Run.start("new", "z1");
  const Node &New = *this->Run.Nodes["new"];
  // At first, only messages from and to the stale daemon are delivered.
  for (std::size_t I = 0; I < this->Run.Messages.size();) {
    if (this->Run.Messages[I].From == "stale" ||
        this->Run.Messages[I].To == "stale")
      this->Run.deliver(I, false);
    else
      ++I;
  }
  EXPECT_EQ(New.Exchange->state().StartupPeers, std::set<std::string>{"stale"});
  EXPECT_TRUE(New.Epochs.empty());
  ASSERT_TRUE(this->Run.settle(100));
  EXPECT_EQ(New.Epochs, std::vector<std::uint64_t>{3});
}

// Guards against a daemon that does not notice a restoration for long because
// it hardly reads the platform.
TEST(ConfigExchangeEraTest, APeerMakesADaemonAskForTheEra) {
  using testing_support::FakeStore;
  EventLoop Loop;
  const auto Data = std::make_shared<FakeStore>();
  Data->Era = 1;
  FakePlatform FirstApi(Data);
  FakePlatform SecondApi(Data);
  ConfigWatcher FirstWatcher(FirstApi, Loop.timers(), {});
  ConfigWatcher SecondWatcher(SecondApi, Loop.timers(), {});
  const TimePoint Now = TimePoint() + 1h;
  ConfigExchange Second(
      SecondWatcher,
      [](const std::string &, const char *, const nlohmann::json &) {}, {}, "b",
      Now, 1);
  ConfigExchange First(
      FirstWatcher,
      [&](const std::string &, const char *Type, const nlohmann::json &Body) {
        Second.receive("a", Type, Body, Now);
      },
      {}, "a", Now, 2);
  FirstApi.drain();
  SecondApi.drain();
  ASSERT_EQ(SecondApi.pending(), 0U);
  Data->restore();
  FirstApi.get(ManifestKey, [](const PlatformResult &) {});
  FirstApi.step();
  SecondApi.drain();
  EXPECT_EQ(SecondApi.Era.current(), 2U);
}

// Guards against a number of watches that grows with the fleet.
TEST_F(ConfigExchangeTest, TwoDaemonsOfAZoneWatch) {
  for (int I = 0; I < 12; ++I)
    this->Run.start("n" + std::to_string(I), I % 2 ? "z1" : "z2");
  this->Run.publish();
  ASSERT_TRUE(this->Run.settle(200));
  for (int I = 0; I < 5; ++I) {
    this->Run.tick();
    this->Run.deliverAll();
  }
  std::map<std::string, int> Watchers;
  for (const auto &[Id, Each] : this->Run.Nodes)
    Watchers[Each->Zone] += Each->Exchange->state().Watching ? 1 : 0;
  EXPECT_EQ(Watchers, (std::map<std::string, int>{{"z1", 2}, {"z2", 2}}));
  // Without any messages, a daemon watches the manifest itself.
  this->Run.Messages.clear();
  ConfigRelay Alone({}, "x", this->Run.Now, 1);
  apply(Alone, InForce{1, std::string(64, 'a')}, this->Run.Now);
  apply(Alone, ZoneChanged{{"x", "n1", "n3", "n5", "n7", "n9"}}, this->Run.Now);
  apply(Alone, PlatformAnswered{}, this->Run.Now);
  const bool IsWatcher = isWatcher(Alone.ZoneMembers, "x", 2);
  EXPECT_EQ(Alone.Watching, IsWatcher);
  apply(Alone, RelayTick{}, this->Run.Now + 21s);
  EXPECT_TRUE(Alone.Watching);
}

// Guards against a version that cannot be transferred because it exceeds one
// message, and against sending more than the difference.
RC_GTEST_PROP(ConfigMessagesProperties, VersionsTransferInParts, ()) {
  const Configuration First = *genConfiguration();
  Configuration Second = First;
  Second.Deployment.Region = "changed";
  const ConfigVersionPtr Old = encodeVersion(First, 1, "a");
  const ConfigVersionPtr New = encodeVersion(Second, 2, "b");
  const ConfigVersionPtr Held[] = {Old, New};
  const auto Have = *rc::gen::element<ConfigVersionPtr>(nullptr, Old);
  ConfigAssembly Parts;
  ConfigFetch Asked{New->Hash, Have ? Have->Hash : "", {}};
  for (int Round = 0; Round < 20; ++Round) {
    const auto Data = answerFetch(configFetchFromJson(toJson(Asked)), Held);
    RC_ASSERT(Data.has_value());
    RC_ASSERT(configDataFromJson(toJson(*Data)) == *Data);
    if (Have)
      RC_ASSERT(Data->Texts.size() == 1U);
    RC_ASSERT(mergeData(Parts, *Data, Have));
    Asked.Objects = missingObjects(Parts.ManifestData, Parts.Objects);
    if (Asked.Objects.empty())
      break;
  }
  RC_ASSERT(*assembleVersion(Parts.ManifestData, Parts.Objects)->Config ==
            *New->Config);
}

// Guards against damaged messages that crash a daemon or bring a configuration
// into force that was not applied.
RC_GTEST_PROP(ConfigMessagesProperties, DamagedMessagesAreRejected, ()) {
  const ConfigVersionPtr Held[] = {encodeVersion(*genConfiguration(), 1, "a")};
  const auto Data = answerFetch({Held[0]->Hash, "", {}}, Held);
  std::vector<std::uint8_t> Bytes = nlohmann::json::to_cbor(toJson(*Data));
  Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] ^=
      *rc::gen::inRange<std::uint8_t>(1, 255);
  const auto Body = nlohmann::json::from_cbor(Bytes, true, false);
  ConfigAssembly Parts;
  try {
    mergeData(Parts, configDataFromJson(Body), nullptr);
    const auto Read = assembleVersion(Parts.ManifestData, Parts.Objects);
    RC_ASSERT(Read->ManifestData == Held[0]->ManifestData);
    RC_ASSERT(*Read->Config == *Held[0]->Config);
  } catch (const Error &) {
  }
  for (const auto &Shape : std::vector<nlohmann::json>{
           nullptr, 1, Body, {{"epoch", -1}, {"hash", 3}, {"ask", 0}}}) {
    EXPECT_THROW(configOfferFromJson(Shape), Error);
    EXPECT_THROW(configFetchFromJson(Shape), Error);
  }
}

} // namespace
} // namespace galenaroute
