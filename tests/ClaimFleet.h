// Simulates gateways that claim keys through one fake platform, and checks the
// history of each key.
//
//   ClaimFleet Fleet(Count, Keys, Seed);
//   Fleet.run(Steps);
//   Fleet.recoverAndRepeatAll();
//   EXPECT_TRUE(Fleet.Found.empty());
//
// The seed determines the order of all messages, platform operations and
// replies, and these faults: lost and duplicate messages, lost replies, writes
// that are dropped or take effect late, outages, gateways that are paused,
// killed and restarted, and gateways that disagree about which ones are alive
// and therefore act as owners of one range at the same time.

#ifndef GALENAROUTE_TESTS_CLAIMFLEET_H
#define GALENAROUTE_TESTS_CLAIMFLEET_H

#include "FakePlatform.h"

#include "request/ClaimService.h"

#include <random>

namespace galenaroute::testing_support {

/// The violations found in a history.
using Violations = std::vector<std::string>;

class ClaimFleet {
public:
  ClaimFleet(std::size_t Count, unsigned Keys, std::uint64_t Seed)
      : Keys(Keys), Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Nodes.push_back(std::make_unique<Node>());
    for (std::size_t I = 0; I < Count; ++I)
      this->startNode(I);
  }

  /// Performs \p Steps random steps.
  void run(int Steps) {
    for (int I = 0; I < Steps; ++I)
      this->randomStep();
  }

  /// Ends all faults, waits until all attempts have settled, and repeats each
  /// key.
  void recoverAndRepeatAll() {
    this->Recovering = true;
    this->Api.Outage = false;
    for (const auto &Each : this->Nodes)
      Each->Paused = false;
    this->settle(std::chrono::seconds(20));
    std::vector<unsigned> Used;
    for (const auto &[Key, History] : this->History)
      Used.push_back(Key);
    for (const unsigned Key : Used)
      this->repeat(Key);
  }

  /// Returns the platform to its last copy, with calls and replies under way,
  /// and copies it anew. Within RecoveryDelay all nodes notice and reach it.
  void restore() {
    this->Api.Store->restore();
    this->Api.Outage = false;
    for (const auto &Each : this->Nodes) {
      Each->Paused = false;
      Each->Api->Era.note(this->Api.Store->Era);
    }
    this->settle(std::chrono::seconds(1));
    this->Api.Store->keepCopy();
  }

  /// Whether nodes end and start again. A node that ends takes what it alone
  /// knows of a state that was restored away with it.
  bool HasRestarts = true;

  /// Makes the platform ignore versions, which the check must detect.
  bool IgnoreVersions = false;

  Violations Found;
  int Granted = 0;
  int Executed = 0;
  int RanAnswers = 0;
  int Unavailable = 0;
  FakePlatform Api;

private:
  /// The platform as one process sees it.
  class View : public Platform {
  public:
    View(ClaimFleet &Fleet, std::size_t Node, int Process)
        : Fleet(Fleet), Node(Node), Process(Process) {}

    void get(const ObjectKey &Key, OnResult Done) override {
      this->Fleet.Api.get(Key, this->later(std::move(Done), EraUse::None));
    }
    void put(const ObjectKey &Key, const nlohmann::json &Value,
             std::uint64_t IfVersion, OnResult Done) override {
      if (this->Fleet.IgnoreVersions)
        IfVersion = this->Fleet.Api.read(Key).Object.Version;
      this->write(std::move(Done), [&](OnResult Reply) {
        this->Fleet.Api.put(Key, Value, IfVersion, std::move(Reply));
      });
    }
    void remove(const ObjectKey &Key, std::uint64_t IfVersion,
                OnResult Done) override {
      this->write(std::move(Done), [&](OnResult Reply) {
        this->Fleet.Api.remove(Key, IfVersion, std::move(Reply));
      });
    }
    void list(const std::string &Kind, const std::string &Prefix,
              const std::string &After, OnList Done) override {
      this->Fleet.Api.list(Kind, Prefix, After,
                           [Reply = this->later(std::move(Done), EraUse::None)](
                               PlatformList Result) {
                             constexpr std::size_t PageSize = 3;
                             if (Result.Objects.size() > PageSize) {
                               Result.Objects.resize(PageSize);
                               Result.More = true;
                             }
                             Reply(Result);
                           });
    }
    void watch(const std::string &, std::uint64_t, Duration, OnList) override {}
    void listVms(OnVms) override {}

  private:
    /// Wraps \p Done so that it runs in a later step if the process still runs.
    template <typename Argument>
    std::function<void(const Argument &)>
    later(std::function<void(const Argument &)> Done, EraUse Use) {
      return [this, Done = std::move(Done), Use, Begun = this->Era.current(),
              &Fleet = this->Fleet, Node = this->Node,
              Process = this->Process](const Argument &A) {
        const std::uint64_t Told = Fleet.Api.Store->Era;
        Fleet.Replies.push_back(
            {Node, Process, [this, Done, A, Use, Begun, Told] {
               Argument Result = A;
               // A reply that was lost or refused tells no era.
               if (A.Status != PlatformStatus::Unknown &&
                   A.Status != PlatformStatus::Unavailable)
                 Result.Status =
                     statusInEra(A.Status, Told, this->Era, Use, Begun);
               Done(Result);
             }});
      };
    }

    void write(OnResult Done, const std::function<void(OnResult)> &Call) {
      const PlatformResult Lost{PlatformStatus::Unknown, {}};
      const auto Reply = this->later(std::move(Done), EraUse::Condition);
      const auto Draw = this->Fleet.Recovering ? 100 : this->Fleet.draw(100);
      if (Draw < 8) {
        // The write takes effect, but the reply is lost.
        Call([Reply, Lost](const PlatformResult &) { Reply(Lost); });
      } else if (Draw < 16) {
        // The client times out, and the write takes effect later.
        Call([](const PlatformResult &) {});
        Reply(Lost);
      } else if (Draw < 20) {
        Reply(Lost);
      } else {
        Call(Reply);
      }
    }

    ClaimFleet &Fleet;
    std::size_t Node;
    int Process;
  };

  struct Node {
    int Process = 0; ///< Counts restarts.
    bool Paused = false;
    std::set<std::size_t> ConsideredAlive; ///< Nodes that it considers alive.
    std::unique_ptr<View> Api;
    std::unique_ptr<ClaimService> Claims;
    std::vector<std::function<void()>> Tasks; ///< Steps of granted calls.
  };
  struct Message {
    std::size_t From;
    std::size_t To;
    PeerMessage Body;
  };
  struct Reply {
    std::size_t Node;
    int Process;
    std::function<void()> Call;
  };
  struct KeyHistory {
    int Executions = 0;
    std::string Body;     ///< The response of the execution.
    std::size_t Node = 0; ///< The node that stored the outcome.
    int Process = -1;     ///< Its process at that time; -1 if none stored it.
  };

  std::size_t draw(std::size_t Below) { return this->Random() % Below; }

  /// Returns a key. The range of keys moves with the number of attempts, so
  /// that each key gets several attempts.
  unsigned drawKey() {
    constexpr unsigned AttemptsPerKey = 8;
    return static_cast<unsigned>(this->NextAttempt) / AttemptsPerKey +
           static_cast<unsigned>(this->draw(this->Keys));
  }

  static std::string idOf(std::size_t Index) {
    return "node" + std::to_string(Index);
  }
  std::size_t indexOf(const std::string &Id) const {
    std::size_t Result = 0;
    while (idOf(Result) != Id)
      ++Result;
    return Result;
  }

  void startNode(std::size_t Index) {
    Node &At = *this->Nodes[Index];
    At.Claims.reset();
    At.Tasks.clear();
    At.Paused = false;
    ++At.Process;
    At.Api = std::make_unique<View>(*this, Index, At.Process);
    ClaimPorts Ports;
    Ports.SelfId = [Index] { return idOf(Index); };
    Ports.Send = [this, Index](const std::string &To, const PeerMessage &Body) {
      this->Messages.push_back({Index, this->indexOf(To), Body});
      return true;
    };
    Ports.LiveIds = [this, Index] {
      std::vector<std::string> Result{idOf(Index)};
      for (std::size_t I = 0; I < this->Nodes.size(); ++I)
        if (I != Index && (this->Recovering ||
                           this->Nodes[Index]->ConsideredAlive.contains(I)))
          Result.push_back(idOf(I));
      return Result;
    };
    Ports.IsGone = [this, Index](const std::string &Id) {
      return !this->Recovering &&
             !this->Nodes[Index]->ConsideredAlive.contains(this->indexOf(Id));
    };
    Ports.Time = [this] { return ClaimTime{this->Now, 1000}; };
    Ports.WakeAfter = [](Duration) {};
    ClaimServiceSettings Settings;
    Settings.Ranges = 2;
    Settings.Log.SegmentBytes = 700; // Seals after a few records.
    Settings.Log.MaxCachedRecords = 2;
    Settings.RangeIdleTimeout = std::chrono::seconds(1);
    Settings.RetentionPeriod = std::chrono::seconds(2);
    At.Claims = std::make_unique<ClaimService>(
        *At.Api, std::move(Ports), Settings, "p" + std::to_string(At.Process));
  }

  void randomStep() {
    this->Now += std::chrono::milliseconds(this->draw(15));
    const std::size_t Index = this->draw(this->Nodes.size());
    Node &At = *this->Nodes[Index];
    switch (this->draw(40)) {
    case 0:
      if (this->draw(3) == 0 && this->HasRestarts)
        this->startNode(Index);
      return;
    case 1:
      At.Paused = this->draw(2) == 0;
      return;
    case 2:
      this->Api.Outage = this->draw(8) == 0;
      return;
    case 3:
    case 4:
      At.ConsideredAlive.clear();
      for (std::size_t I = 0; I < this->Nodes.size(); ++I)
        if (this->draw(4) != 0)
          At.ConsideredAlive.insert(I);
      return;
    case 5:
      // Long enough for deadlines to pass.
      if (this->draw(4) == 0)
        this->Now += std::chrono::milliseconds(this->draw(4000));
      return;
    case 6:
    case 7:
    case 8:
      if (!At.Paused)
        this->startAttempt(Index, this->drawKey());
      return;
    default:
      break;
    }
    switch (this->draw(5)) {
    case 0:
      this->deliverMessage();
      break;
    case 1:
      if (this->Api.pending() > 0)
        this->Api.stepAt(this->draw(this->Api.pending()));
      break;
    case 2:
      this->deliverReply();
      break;
    case 3:
      if (!At.Paused)
        At.Claims->run();
      break;
    default:
      this->runTask(Index);
    }
  }

  void deliverMessage() {
    if (this->Messages.empty())
      return;
    const std::size_t I = this->draw(this->Messages.size());
    const Message Each = this->Messages[I];
    if (this->Nodes[Each.To]->Paused)
      return;
    const auto FaultDraw = this->Recovering ? 100 : this->draw(100);
    if (FaultDraw >= 5) // Otherwise it is delivered again later.
      this->Messages.erase(this->Messages.begin() +
                           static_cast<std::ptrdiff_t>(I));
    if (FaultDraw >= 10)
      this->Nodes[Each.To]->Claims->onMessage(Each.Body.Type, idOf(Each.From),
                                              Each.Body.Body);
  }

  void deliverReply() {
    if (this->Replies.empty())
      return;
    const std::size_t I = this->draw(this->Replies.size());
    const Reply Each = this->Replies[I];
    if (this->Nodes[Each.Node]->Paused)
      return;
    this->Replies.erase(this->Replies.begin() + static_cast<std::ptrdiff_t>(I));
    if (this->Nodes[Each.Node]->Process == Each.Process)
      Each.Call();
  }

  void runTask(std::size_t Index) {
    Node &At = *this->Nodes[Index];
    if (At.Paused || At.Tasks.empty())
      return;
    const std::size_t I = this->draw(At.Tasks.size());
    const auto Task = std::move(At.Tasks[I]);
    At.Tasks.erase(At.Tasks.begin() + static_cast<std::ptrdiff_t>(I));
    Task();
  }

  void startAttempt(std::size_t Index, unsigned Key) {
    Node &At = *this->Nodes[Index];
    const int Attempt = this->NextAttempt++;
    auto Answered = std::make_shared<bool>(false);
    At.Claims->claim(
        {"customer", "service", std::to_string(Key)}, "digest",
        [this, Index, Key, Attempt, Answered](const ClaimAnswer &Answer) {
          if (*Answered)
            this->violation(Key, "an attempt was answered twice");
          *Answered = true;
          this->onAnswer(Index, Key, Attempt, Answer);
        });
  }

  void onAnswer(std::size_t Index, unsigned Key, int Attempt,
                const ClaimAnswer &Answer) {
    this->LastAnswer = Answer;
    KeyHistory &History = this->History[Key];
    if (Answer.Status == ClaimStatus::Unavailable)
      ++this->Unavailable;
    if (Answer.Status == ClaimStatus::Ran) {
      ++this->RanAnswers;
      if (History.Executions != 1 || Answer.Outcome.Body != History.Body)
        this->violation(
            Key, "a repeat got a different response than the first call");
    }
    if (Answer.Status != ClaimStatus::Granted)
      return;
    ++this->Granted;
    if (this->Recovering && History.Executions > 0)
      this->violation(Key, "granted again after it ran");
    const ClaimToken Token = Answer.Token;
    this->Nodes[Index]->Tasks.push_back([this, Index, Key, Attempt, Token] {
      this->onGranted(Index, Key, Attempt, Token);
    });
  }

  void onGranted(std::size_t Index, unsigned Key, int Attempt,
                 const ClaimToken &Token) {
    ClaimService &Claims = *this->Nodes[Index]->Claims;
    if (this->draw(4) == 0) {
      Claims.release(Token, [](bool) {});
      return;
    }
    KeyHistory &History = this->History[Key];
    ++this->Executed;
    if (++History.Executions > 1)
      this->violation(Key, "executed twice");
    History.Body = "answer of attempt " + std::to_string(Attempt);
    const int Process = this->Nodes[Index]->Process;
    this->Nodes[Index]->Tasks.push_back([this, Index, Key, Process, Token,
                                         Body = History.Body] {
      this->Nodes[Index]->Claims->finish(Token,
                                         {true, 200, "text/plain", Body, true});
      this->History[Key].Node = Index;
      this->History[Key].Process = Process;
    });
  }

  void settle(Duration Time) {
    const TimePoint End = this->Now + Time;
    while (this->Now < End) {
      this->Now += std::chrono::milliseconds(20);
      this->Api.drain();
      for (int I = 0; I < 50; ++I) {
        this->deliverMessage();
        this->deliverReply();
      }
      for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
        this->Nodes[I]->Claims->run();
        this->runTask(I);
      }
    }
  }

  void repeat(unsigned Key) {
    const KeyHistory Before = this->History[Key];
    this->LastAnswer = {};
    for (int Try = 0; Try < 5; ++Try) {
      this->startAttempt(this->draw(this->Nodes.size()), Key);
      this->settle(std::chrono::seconds(3));
      if (this->LastAnswer.Status != ClaimStatus::Unavailable &&
          this->LastAnswer.Status != ClaimStatus::InProgress)
        break;
    }
    if (this->LastAnswer.Status == ClaimStatus::Unavailable ||
        this->LastAnswer.Status == ClaimStatus::InProgress)
      this->violation(Key, "not settled after all faults ended");
    const bool Stored = Before.Process >= 0 &&
                        this->Nodes[Before.Node]->Process == Before.Process;
    if (Stored && this->LastAnswer.Status != ClaimStatus::Ran)
      this->violation(Key, "a repeat did not get the first response");
  }

  void violation(unsigned Key, const std::string &What) {
    this->Found.push_back("key " + std::to_string(Key) + ": " + What);
  }

  unsigned Keys;
  std::mt19937_64 Random;
  bool Recovering = false;
  TimePoint Now = TimePoint() + std::chrono::hours(1);
  std::vector<std::unique_ptr<Node>> Nodes;
  std::deque<Message> Messages;
  std::deque<Reply> Replies;
  std::map<unsigned, KeyHistory> History;
  ClaimAnswer LastAnswer;
  int NextAttempt = 0;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_CLAIMFLEET_H
