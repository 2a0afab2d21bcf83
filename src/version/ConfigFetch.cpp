#include "version/ConfigFetch.h"

#include "process/ErrorKind.h"

#include <algorithm>

namespace galenaroute {

using nlohmann::json;

namespace {

/// One read of the data objects; owned by the callbacks of its open calls.
class ObjectsFetch : public std::enable_shared_from_this<ObjectsFetch> {
public:
  ObjectsFetch(Platform &Api, FetchResult Result, ObjectMap Objects,
               OnFetched Done)
      : Api(Api), Result(std::move(Result)), Objects(std::move(Objects)),
        Done(std::move(Done)), Era(Api.Era.current()) {
    this->Missing = missingObjects(*this->Result.ManifestData, this->Objects);
  }

  void proceed() {
    while (this->Result.Status == PlatformStatus::Ok &&
           this->Open < FetchParallel && !this->Missing.empty()) {
      const std::string Hash = std::move(this->Missing.back());
      this->Missing.pop_back();
      ++this->Open;
      this->Api.get({ConfigDataKind, Hash}, [Self = this->shared_from_this(),
                                             Hash](const PlatformResult &Got) {
        --Self->Open;
        Self->receive(Hash, Got);
        Self->proceed();
      });
    }
    if (this->Open == 0 && this->Done)
      this->finish();
  }

private:
  void receive(const std::string &Hash, const PlatformResult &Got) {
    if (Got.Status != PlatformStatus::Ok) {
      const bool Lost = Got.Status == PlatformStatus::NotFound;
      this->Result.Status = Lost ? PlatformStatus::Unknown : Got.Status;
      this->Result.LacksObjects = Lost;
      this->Result.Problem = "configuration object " + Hash +
                             (Lost ? " does not exist" : " cannot be read");
      return;
    }
    const json &Value = Got.Object.Value;
    const auto Data = Value.is_object() ? Value.find("data") : Value.end();
    if (!Value.is_object() || Data == Value.end() || !Data->is_string()) {
      this->Result.Status = PlatformStatus::Unknown;
      this->Result.Problem = "configuration object " + Hash + " is malformed";
      return;
    }
    this->Objects[Hash] =
        std::make_shared<const std::string>(Data->get<std::string>());
  }

  void finish() {
    if (this->Api.Era.current() != this->Era) {
      this->Result.Status = PlatformStatus::Unknown;
      this->Result.LacksObjects = false;
      this->Result.Problem = "the platform was restored during the read";
    }
    if (this->Result.Status == PlatformStatus::Ok) {
      try {
        this->Result.Version =
            assembleVersion(*this->Result.ManifestData, this->Objects);
      } catch (const Error &Failure) {
        this->Result.Status = PlatformStatus::Unknown;
        this->Result.Problem = Failure.what();
      }
    }
    const OnFetched Call = std::exchange(this->Done, nullptr);
    Call(this->Result);
  }

  Platform &Api;
  FetchResult Result;
  ObjectMap Objects;
  OnFetched Done;
  std::vector<std::string> Missing;
  std::size_t Open = 0;
  std::uint64_t Era; ///< Of the manifest and the revision.
};

} // namespace

void fetchObjects(Platform &Api, const ConfigVersionPtr &Known,
                  FetchResult Result, OnFetched Done) {
  std::make_shared<ObjectsFetch>(Api, std::move(Result),
                                 Known ? Known->Objects : ObjectMap{},
                                 std::move(Done))
      ->proceed();
}

void fetchVersion(Platform &Api, ConfigVersionPtr Known,
                  std::uint64_t AboveEpoch, OnFetched Done) {
  // Unlike a get, a list returns a revision to watch from even when there is no
  // manifest.
  Api.list(ManifestKey.Kind, ManifestKey.Name, "",
           [&Api, Known = std::move(Known), AboveEpoch,
            Done = std::move(Done)](const PlatformList &Listed) {
             FetchResult Result;
             Result.Status = Listed.Status;
             Result.Revision = Listed.Revision;
             if (Listed.Status != PlatformStatus::Ok) {
               Result.Problem = "the platform does not answer";
               Done(Result);
               return;
             }
             for (const PlatformObject &Each : Listed.Objects) {
               if (Each.Key.Name != ManifestKey.Name)
                 continue;
               Result.ManifestVersion = Each.Version;
               try {
                 Result.ManifestData = manifestFromJson(Each.Value);
               } catch (const Error &Failure) {
                 Result.Status = PlatformStatus::Unknown;
                 Result.Problem = Failure.what();
               }
             }
             if (!Result.ManifestData ||
                 Result.ManifestData->Epoch <= AboveEpoch)
               Done(Result);
             else
               fetchObjects(Api, Known, std::move(Result), Done);
           });
}

json dataObjectValue(const std::string &Text, std::int64_t WrittenMillis) {
  return {{"data", Text}, {"written_ms", WrittenMillis}};
}

Duration configBackoff(unsigned Attempt, Duration First, Duration Max,
                       std::mt19937_64 &Random) {
  const Duration Step =
      std::min(Max, First * (std::int64_t{1} << std::min(Attempt, 20U)));
  std::uniform_int_distribution<Duration::rep> Pick(Step.count() / 2,
                                                    Step.count());
  return Duration(Pick(Random));
}

} // namespace galenaroute
