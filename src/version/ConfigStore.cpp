#include "version/ConfigStore.h"

#include "process/Log.h"

#include <algorithm>
#include <limits>
#include <set>

namespace galenaroute {

using nlohmann::json;

namespace {

/// Reads of a manifest without its objects before an apply replaces it. A read
/// that races with the replacement of the manifest succeeds when repeated.
constexpr unsigned MinBrokenReads = 3;

std::string randomToken(std::mt19937_64 &Random) {
  return contentHash(std::to_string(Random()) + "/" + std::to_string(Random()))
      .substr(0, 32);
}

/// Retries steps with back-off until a deadline. Derived runs are owned by
/// their callbacks.
class RetryingRun {
protected:
  RetryingRun(Platform &Api, TimerService &Timers,
              const ConfigStoreOptions &Options, std::uint64_t Seed)
      : Api(Api), Timers(Timers), Options(Options), Random(Seed) {}

  /// Starts the deadline. \p Self is weak so that the timer does not prolong
  /// the life of the run.
  void startDeadline(std::weak_ptr<RetryingRun> Self) {
    this->Timers.after(this->Options.Deadline, [Self = std::move(Self)] {
      if (const auto Run = Self.lock())
        Run->Expired = true;
    });
  }

  /// Runs \p Step after a back-off; returns false if the deadline has passed.
  bool retryLater(const std::function<void()> &Step) {
    if (this->Expired)
      return false;
    this->Timers.after(configBackoff(this->Attempt++,
                                     this->Options.FirstBackoff,
                                     this->Options.MaxBackoff, this->Random),
                       Step);
    return true;
  }

  Platform &Api;
  TimerService &Timers;
  ConfigStoreOptions Options;
  std::mt19937_64 Random;
  unsigned Attempt = 0;
  bool Expired = false;
};

class LoadRun : RetryingRun, public std::enable_shared_from_this<LoadRun> {
public:
  LoadRun(Platform &Api, TimerService &Timers,
          const ConfigStoreOptions &Options, std::uint64_t Seed, OnFetched Done)
      : RetryingRun(Api, Timers, Options, Seed), Done(std::move(Done)) {}

  void start() {
    this->startDeadline(std::shared_ptr<RetryingRun>(
        this->shared_from_this(), static_cast<RetryingRun *>(this)));
    this->load();
  }

private:
  void load() {
    fetchVersion(this->Api, nullptr, 0,
                 [Self = this->shared_from_this()](const FetchResult &Result) {
                   if (Result.Status == PlatformStatus::Ok ||
                       !Self->retryLater([Self] { Self->load(); }))
                     Self->Done(Result);
                 });
  }

  OnFetched Done;
};

class ApplyRun : RetryingRun, public std::enable_shared_from_this<ApplyRun> {
public:
  ApplyRun(Platform &Api, TimerService &Timers,
           const ConfigStoreOptions &Options, std::uint64_t Seed,
           const Configuration &Wanted,
           std::optional<std::uint64_t> ExpectedEpoch,
           ConfigStore::OnApplied Done)
      : RetryingRun(Api, Timers, Options, Seed), Wanted(Wanted),
        ExpectedEpoch(ExpectedEpoch), Done(std::move(Done)),
        Token(randomToken(this->Random)) {}

  /// A run that stores \p Lost again.
  ApplyRun(Platform &Api, TimerService &Timers,
           const ConfigStoreOptions &Options, std::uint64_t Seed,
           ConfigVersionPtr Lost, ConfigStore::OnApplied Done)
      : RetryingRun(Api, Timers, Options, Seed), Done(std::move(Done)),
        Lost(std::move(Lost)) {}

  void start() {
    this->startDeadline(std::shared_ptr<RetryingRun>(
        this->shared_from_this(), static_cast<RetryingRun *>(this)));
    this->load();
  }

private:
  std::uint64_t baseEpoch() const {
    return this->Base.ManifestData ? this->Base.ManifestData->Epoch : 0;
  }

  void finish(ApplyOutcome End, std::uint64_t Epoch, std::string Message) {
    this->Done({End, Epoch, std::move(Message), this->Base.Version});
  }

  void retryLoad(const std::string &Problem) {
    if (this->retryLater([Self = this->shared_from_this()] { Self->load(); }))
      return;
    if (this->MayBeWritten)
      this->finish(ApplyOutcome::OutcomeUnknown, this->baseEpoch(),
                   "the change may have been accepted: " + Problem);
    else
      this->finish(ApplyOutcome::Unavailable, this->baseEpoch(),
                   "nothing was applied: " + Problem);
  }

  void load() {
    // A version that was lost is stored again whatever the stored one contains.
    const std::uint64_t AboveEpoch =
        this->Lost ? std::numeric_limits<std::uint64_t>::max() : 0;
    fetchVersion(this->Api, this->Next ? this->Next : this->Base.Version,
                 AboveEpoch,
                 [Self = this->shared_from_this()](const FetchResult &Result) {
                   // An apply that was cut short by a restoration may have left
                   // a manifest without its objects.
                   const bool IsBroken =
                       Result.LacksObjects && Self->Attempt >= MinBrokenReads;
                   if (Result.Status != PlatformStatus::Ok && !IsBroken) {
                     Self->retryLoad(Result.Problem);
                     return;
                   }
                   Self->Base = Result;
                   Self->BaseEra = Self->Api.Era.current();
                   if (Self->Lost)
                     Self->decideOnLost();
                   else
                     Self->decide();
                 });
  }

  /// Returns the writer of \p Epoch if the manifest's history contains it.
  std::optional<std::string> writerOf(std::uint64_t Epoch) const {
    if (this->Base.ManifestData)
      for (const EpochWriter &Each : this->Base.ManifestData->History)
        if (Each.Epoch == Epoch)
          return Each.Writer;
    return std::nullopt;
  }

  /// Decides whether the version that was lost is to be stored again.
  void decideOnLost() {
    const Manifest &Wanted = this->Lost->ManifestData;
    if (this->writerOf(Wanted.Epoch) == Wanted.Writer) {
      this->finish(ApplyOutcome::Applied, Wanted.Epoch, "stored");
    } else if (this->baseEpoch() >= Wanted.Epoch) {
      this->finish(ApplyOutcome::Conflict, this->baseEpoch(),
                   "another epoch is stored");
    } else {
      log(LogLevel::Info, "config.store_again",
          {{"epoch", std::to_string(Wanted.Epoch)},
           {"stored_epoch", std::to_string(this->baseEpoch())}});
      this->Next = this->Lost;
      this->writeObjects();
    }
  }

  /// Returns whether the manifest has an epoch of an earlier era that this run
  /// gave out. The epoch may be in force with other contents, and objects that
  /// the run had written may be gone.
  bool isOwnOfEarlierEra() const {
    return this->Base.ManifestData &&
           this->Base.ManifestData->Writer == this->Token &&
           this->baseEpoch() < nextEpoch(0, this->BaseEra);
  }

  /// Decides how to proceed from the manifest just read. All puts of this run
  /// in one era have the same epoch, the next one after ExpectedEpoch.
  void decide() {
    if (!this->ExpectedEpoch)
      this->ExpectedEpoch = this->baseEpoch();
    if (this->isOwnOfEarlierEra()) {
      this->ExpectedEpoch = this->baseEpoch();
      this->prepare(nextEpoch(*this->ExpectedEpoch, this->BaseEra));
      return;
    }
    const std::uint64_t Epoch = nextEpoch(*this->ExpectedEpoch, this->BaseEra);
    const std::optional<std::string> Writer = this->writerOf(Epoch);
    if (Writer == this->Token) {
      this->finish(ApplyOutcome::Applied, Epoch, "accepted");
    } else if (this->baseEpoch() != *this->ExpectedEpoch) {
      if (this->MayBeWritten && !Writer)
        this->finish(ApplyOutcome::OutcomeUnknown, this->baseEpoch(),
                     "the change may have been accepted and replaced since");
      else
        this->finish(ApplyOutcome::Conflict, this->baseEpoch(),
                     "epoch " + std::to_string(this->baseEpoch()) +
                         " is in force instead of epoch " +
                         std::to_string(*this->ExpectedEpoch));
    } else if (this->Base.Version && toRecords(*this->Base.Version->Config) ==
                                         toRecords(this->Wanted)) {
      this->finish(ApplyOutcome::Unchanged, this->baseEpoch(),
                   "nothing to change");
    } else {
      this->prepare(Epoch);
    }
  }

  void prepare(std::uint64_t Epoch) {
    this->Next = encodeVersion(this->Wanted, Epoch, this->Token);
    this->writeObjects();
  }

  void writeObjects() {
    // Objects written before the last write of the manifest may have been
    // collected, and those of an earlier era may be gone, so they are written
    // again.
    const bool AreStored = this->WrittenAt == this->Base.ManifestVersion &&
                           this->WrittenEra == this->BaseEra;
    if (!AreStored) {
      ObjectMap Stored;
      if (this->Base.Status == PlatformStatus::Ok && this->Base.ManifestData &&
          !this->isOwnOfEarlierEra())
        for (const std::string &Hash : this->Base.ManifestData->Objects)
          Stored[Hash] = nullptr;
      this->ToWrite = missingObjects(this->Next->ManifestData, Stored);
    }
    this->WrittenAt = this->Base.ManifestVersion;
    this->WrittenEra = this->BaseEra;
    this->writeNext(Platform::MustNotExist);
  }

  /// Writes the last of ToWrite. An object that already exists is rewritten, at
  /// its current version, because it may be about to be collected.
  void writeNext(std::uint64_t IfVersion) {
    if (this->ToWrite.empty()) {
      this->swap();
      return;
    }
    const std::string Hash = this->ToWrite.back();
    const std::int64_t Now = this->Options.WallMillis();
    this->Api.put({ConfigDataKind, Hash},
                  dataObjectValue(*this->Next->Objects.at(Hash), Now),
                  IfVersion,
                  [Self = this->shared_from_this()](const PlatformResult &Put) {
                    Self->written(Put);
                  });
  }

  void written(const PlatformResult &Put) {
    switch (Put.Status) {
    case PlatformStatus::Ok:
      if (this->Api.Era.current() != this->BaseEra) {
        this->retryLoad("the platform was restored");
        return;
      }
      this->ToWrite.pop_back();
      this->writeNext(Platform::MustNotExist);
      return;
    case PlatformStatus::Conflict:
      if (!this->Expired) {
        this->writeNext(Put.Object.Version);
        return;
      }
      [[fallthrough]];
    default:
      this->WrittenAt.reset();
      this->retryLoad("the platform does not accept configuration objects");
    }
  }

  void swap() {
    Manifest ManifestData = this->Next->ManifestData;
    if (this->Base.ManifestData)
      ManifestData.History = this->Base.ManifestData->History;
    ManifestData.History.push_back({ManifestData.Epoch, ManifestData.Writer});
    if (ManifestData.History.size() > MaxManifestHistory)
      ManifestData.History.erase(ManifestData.History.begin());
    this->Api.put(ManifestKey, toJson(ManifestData), this->Base.ManifestVersion,
                  [Self = this->shared_from_this()](const PlatformResult &Put) {
                    Self->swapped(Put);
                  });
  }

  void swapped(const PlatformResult &Put) {
    switch (Put.Status) {
    case PlatformStatus::Ok:
      this->Base.Version = this->Next;
      this->finish(ApplyOutcome::Applied, this->Next->ManifestData.Epoch,
                   "accepted");
      return;
    case PlatformStatus::Conflict:
      this->retryLoad("the manifest keeps changing");
      return;
    case PlatformStatus::Unavailable:
      this->retryLoad("the platform does not accept writes");
      return;
    default:
      this->MayBeWritten = true;
      this->retryLoad("the platform did not answer the write");
    }
  }

  Configuration Wanted;
  std::optional<std::uint64_t> ExpectedEpoch;
  ConfigStore::OnApplied Done;
  std::string Token;
  ConfigVersionPtr Lost; ///< Set if this version is to be stored again.
  FetchResult Base;
  std::uint64_t BaseEra = 0; ///< In which Base was read.
  ConfigVersionPtr Next;
  std::vector<std::string> ToWrite;
  std::optional<std::uint64_t> WrittenAt; ///< Manifest version of ToWrite.
  std::uint64_t WrittenEra = 0;           ///< Era of ToWrite.
  bool MayBeWritten = false;              ///< A swap got no reply.
};

/// One garbage collection. Any failure ends it; a later one continues.
class CollectRun : public std::enable_shared_from_this<CollectRun> {
public:
  CollectRun(Platform &Api, const ConfigStoreOptions &Options,
             ConfigStore::OnCollected Done)
      : Api(Api), Options(Options), Done(std::move(Done)) {}

  void start() {
    this->Api.get(ManifestKey,
                  [Self = this->shared_from_this()](const PlatformResult &Got) {
                    if (Got.Status != PlatformStatus::Ok) {
                      Self->Done(std::nullopt);
                      return;
                    }
                    try {
                      const Manifest ManifestData =
                          manifestFromJson(Got.Object.Value);
                      Self->Used.insert(ManifestData.Objects.begin(),
                                        ManifestData.Objects.end());
                    } catch (const std::exception &) {
                      Self->Done(std::nullopt);
                      return;
                    }
                    Self->touch(Got.Object);
                  });
  }

private:
  void touch(const PlatformObject &Current) {
    this->Api.put(ManifestKey, Current.Value, Current.Version,
                  [Self = this->shared_from_this()](const PlatformResult &Put) {
                    if (Put.Status != PlatformStatus::Ok) {
                      Self->Done(std::nullopt);
                      return;
                    }
                    Self->Fence = Put.Object.Version;
                    Self->Era = Self->Api.Era.current();
                    Self->list("");
                  });
  }

  void list(const std::string &After) {
    this->Api.list(ConfigDataKind, "", After,
                   [Self = this->shared_from_this()](const PlatformList &Got) {
                     if (Got.Status != PlatformStatus::Ok ||
                         Self->isOtherEra()) {
                       Self->Done(std::nullopt);
                       return;
                     }
                     for (const PlatformObject &Each : Got.Objects)
                       Self->addIfGarbage(Each);
                     if (Got.More && !Got.Objects.empty())
                       Self->list(Got.Objects.back().Key.Name);
                     else
                       Self->removeNext();
                   });
  }

  /// Returns whether Fence and the versions listed have lost their meaning.
  bool isOtherEra() const { return this->Api.Era.current() != this->Era; }

  void addIfGarbage(const PlatformObject &Object) {
    if (this->Used.contains(Object.Key.Name) || Object.Version >= this->Fence)
      return;
    std::int64_t Written = 0;
    if (Object.Value.is_object() && Object.Value.contains("written_ms") &&
        Object.Value["written_ms"].is_number_integer())
      Written = Object.Value["written_ms"];
    if (this->Options.WallMillis() - Written >=
        this->Options.MinGarbageAge.count())
      this->Garbage.push_back({Object.Key, Object.Version, false, {}});
  }

  void removeNext() {
    if (this->Garbage.empty()) {
      this->Done(this->Removed);
      return;
    }
    const PlatformObject Next = std::move(this->Garbage.back());
    this->Garbage.pop_back();
    this->Api.remove(
        Next.Key, Next.Version,
        [Self = this->shared_from_this()](const PlatformResult &Result) {
          if (Self->isOtherEra()) {
            Self->Done(std::nullopt);
            return;
          }
          Self->Removed += Result.Status == PlatformStatus::Ok ? 1 : 0;
          Self->removeNext();
        });
  }

  Platform &Api;
  ConfigStoreOptions Options;
  ConfigStore::OnCollected Done;
  std::set<std::string> Used;
  std::uint64_t Fence = 0;
  std::uint64_t Era = 0; ///< Of Fence.
  std::vector<PlatformObject> Garbage;
  std::size_t Removed = 0;
};

} // namespace

ConfigStore::ConfigStore(Platform &Api, TimerService &Timers,
                         ConfigStoreOptions Options)
    : Api(Api), Timers(Timers), Options(std::move(Options)),
      Random(this->Options.Seed) {
  if (!this->Options.WallMillis)
    this->Options.WallMillis = [] {
      using namespace std::chrono;
      return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count();
    };
}

void ConfigStore::load(OnFetched Done) {
  std::make_shared<LoadRun>(this->Api, this->Timers, this->Options,
                            this->Random(), std::move(Done))
      ->start();
}

void ConfigStore::apply(const Configuration &Wanted,
                        std::optional<std::uint64_t> ExpectedEpoch,
                        OnApplied Done) {
  std::make_shared<ApplyRun>(this->Api, this->Timers, this->Options,
                             this->Random(), Wanted, ExpectedEpoch,
                             std::move(Done))
      ->start();
}

void ConfigStore::republish(ConfigVersionPtr Version, OnApplied Done) {
  std::make_shared<ApplyRun>(this->Api, this->Timers, this->Options,
                             this->Random(), std::move(Version),
                             std::move(Done))
      ->start();
}

void ConfigStore::collect(OnCollected Done) {
  std::make_shared<CollectRun>(this->Api, this->Options, std::move(Done))
      ->start();
}

} // namespace galenaroute
