// An in-memory Platform for tests, with fault injection.
//
//   FakePlatform Api;
//   Api.put(Key, Value, Platform::MustNotExist, Done);
//   Api.LoseReplies = 1;
//   Api.drain();
//
// Calls are queued; step() executes the oldest one and runs its callback, so
// that a test controls the order of effects and replies. Faults apply when a
// call is executed.

#ifndef GALENAROUTE_TESTS_FAKEPLATFORM_H
#define GALENAROUTE_TESTS_FAKEPLATFORM_H

#include "connection/PlatformClient.h"

#include <deque>
#include <map>

namespace galenaroute::testing_support {

/// The data of one platform, which several FakePlatforms may serve.
struct FakeStore {
  using ObjectsByKind =
      std::map<std::string, std::map<std::string, PlatformObject>>;
  ObjectsByKind Objects;
  std::uint64_t Revision = 0;
  /// The era that answers tell; zero for a platform that tells none.
  std::uint64_t Era = 0;

  /// Writes an object at once, as an operator would.
  void write(const ObjectKey &Key, const nlohmann::json &Value = {}) {
    this->Objects[Key.Kind][Key.Name] = {Key, ++this->Revision, false, Value};
  }
  /// Copies all objects for restore().
  void keepCopy() {
    this->CopiedObjects = this->Objects;
    this->CopiedRevision = this->Revision;
  }
  /// Returns to the copy: what was written since is gone, its revisions are
  /// given out again, and a new era begins.
  void restore() {
    this->Objects = this->CopiedObjects;
    this->Revision = this->CopiedRevision;
    ++this->Era;
  }

private:
  ObjectsByKind CopiedObjects;
  std::uint64_t CopiedRevision = 0;
};

class FakePlatform : public Platform {
public:
  FakePlatform() = default;
  /// A connection of one process to a platform that others use, too. Each
  /// process learns the era by its own answers.
  explicit FakePlatform(std::shared_ptr<FakeStore> Store)
      : Store(std::move(Store)) {}

  const std::shared_ptr<FakeStore> Store = std::make_shared<FakeStore>();
  /// While true, calls end with Unavailable and have no effect.
  bool Outage = false;
  /// The number of next writes that take effect but end with Unknown.
  int LoseReplies = 0;
  /// The number of next writes that are dropped and end with Unknown.
  int LoseRequests = 0;
  /// The number of objects in an answer to list(), zero for all.
  std::size_t PageSize = 0;
  std::vector<VmRecord> Vms;
  int Writes = 0; ///< Executed writes, including conflicts.
  int Reads = 0;

  void get(const ObjectKey &Key, OnResult Done) override {
    this->enqueue([this, Key, Done, Begun = this->Era.current()] {
      ++this->Reads;
      PlatformResult Result = this->Outage ? PlatformResult{} : this->read(Key);
      this->judge(Result.Status, EraUse::None, Begun);
      Done(Result);
    });
  }

  void put(const ObjectKey &Key, const nlohmann::json &Value,
           std::uint64_t IfVersion, OnResult Done) override {
    this->enqueueWrite(
        [this, Key, Value, IfVersion] {
          return this->write(Key, IfVersion, &Value);
        },
        Done);
  }

  void remove(const ObjectKey &Key, std::uint64_t IfVersion,
              OnResult Done) override {
    this->enqueueWrite(
        [this, Key, IfVersion] { return this->write(Key, IfVersion, nullptr); },
        Done);
  }

  void list(const std::string &Kind, const std::string &Prefix,
            const std::string &After, OnList Done) override {
    this->enqueue(
        [this, Kind, Prefix, After, Done, Begun = this->Era.current()] {
          ++this->Reads;
          PlatformList Result;
          if (!this->Outage) {
            Result.Status = PlatformStatus::Ok;
            Result.Revision = this->Store->Revision;
            for (const auto &[Name, Object] : this->Store->Objects[Kind])
              if (!Object.Deleted && Name.starts_with(Prefix) && Name > After)
                Result.Objects.push_back(Object);
            Result.More =
                this->PageSize > 0 && Result.Objects.size() > this->PageSize;
            if (Result.More)
              Result.Objects.resize(this->PageSize);
          }
          this->judge(Result.Status, EraUse::None, Begun);
          Done(Result);
        });
  }

  /// Responds at once, even when nothing has changed.
  void watch(const std::string &Kind, std::uint64_t Since, Duration,
             OnList Done) override {
    this->enqueue([this, Kind, Since, Done, Begun = this->Era.current()] {
      ++this->Reads;
      PlatformList Result;
      if (!this->Outage && Since > this->Store->Revision) {
        Result.Status = PlatformStatus::Expired;
      } else if (!this->Outage) {
        Result.Status = PlatformStatus::Ok;
        Result.Revision = this->Store->Revision;
        for (const auto &[Name, Object] : this->Store->Objects[Kind])
          if (Object.Version > Since)
            Result.Objects.push_back(Object);
      }
      this->judge(Result.Status, EraUse::Position, Begun);
      Done(Result);
    });
  }

  void listVms(OnVms Done) override {
    this->enqueue([this, Done] {
      ++this->Reads;
      Done(this->Outage ? VmList{} : VmList{PlatformStatus::Ok, this->Vms});
    });
  }

  /// Executes the oldest call; returns false when there is none.
  bool step() {
    if (this->Calls.empty())
      return false;
    this->stepAt(0);
    return true;
  }

  /// Executes the call at \p Index, out of order.
  void stepAt(std::size_t Index) {
    const Pending Call = std::move(this->Calls.at(Index));
    this->Calls.erase(this->Calls.begin() + static_cast<std::ptrdiff_t>(Index));
    Call.Run();
  }

  /// Ends the write at \p Index with Unknown now; it still takes effect when it
  /// is stepped later. Does nothing for reads.
  void timeOutAt(std::size_t Index) {
    const auto TimeOut = std::move(this->Calls.at(Index).TimeOut);
    this->Calls.at(Index).TimeOut = nullptr;
    if (TimeOut)
      TimeOut();
  }

  /// Steps until no call is left, at most \p Limit times.
  void drain(int Limit = 10000) {
    while (Limit-- > 0 && this->step()) {
    }
  }

  std::size_t pending() const { return this->Calls.size(); }

  /// Reads an object regardless of injected faults.
  PlatformResult read(const ObjectKey &Key) {
    const auto &Kind = this->Store->Objects[Key.Kind];
    const auto It = Kind.find(Key.Name);
    if (It == Kind.end() || It->second.Deleted)
      return {PlatformStatus::NotFound, {}};
    return {PlatformStatus::Ok, It->second};
  }

private:
  struct Pending {
    std::function<void()> Run;
    std::function<void()> TimeOut; ///< Null for reads.
  };

  void enqueue(std::function<void()> Call) {
    this->Calls.push_back({std::move(Call), nullptr});
  }

  void enqueueWrite(std::function<PlatformResult()> Write, OnResult Done) {
    auto Reply = std::make_shared<OnResult>(std::move(Done));
    this->Calls.push_back(
        {[this, Write = std::move(Write), Reply, Begun = this->Era.current()] {
           PlatformResult Result = Write();
           if (!*Reply)
             return;
           this->judge(Result.Status, EraUse::Condition, Begun);
           (*Reply)(Result);
         },
         [Reply] {
           const OnResult Last = std::move(*Reply);
           *Reply = nullptr;
           Last({PlatformStatus::Unknown, {}});
         }});
  }

  PlatformResult write(const ObjectKey &Key, std::uint64_t IfVersion,
                       const nlohmann::json *Value) {
    if (this->Outage)
      return {};
    ++this->Writes;
    if (this->LoseRequests > 0) {
      --this->LoseRequests;
      return {PlatformStatus::Unknown, {}};
    }
    const PlatformResult Old = this->read(Key);
    if (Old.Object.Version != IfVersion)
      return {PlatformStatus::Conflict, Old.Object};
    PlatformObject &Stored = this->Store->Objects[Key.Kind][Key.Name];
    Stored = {Key, ++this->Store->Revision, Value == nullptr,
              Value ? *Value : nlohmann::json()};
    if (this->LoseReplies > 0) {
      --this->LoseReplies;
      return {PlatformStatus::Unknown, {}};
    }
    return {PlatformStatus::Ok, {Key, Stored.Version, false, {}}};
  }

  /// Notes the era of an answer that was received.
  void judge(PlatformStatus &Status, EraUse Use, std::uint64_t Begun) {
    const bool IsAnswered = !this->Outage && Status != PlatformStatus::Unknown;
    if (IsAnswered)
      Status = statusInEra(Status, this->Store->Era, this->Era, Use, Begun);
  }

  std::deque<Pending> Calls;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_FAKEPLATFORM_H
