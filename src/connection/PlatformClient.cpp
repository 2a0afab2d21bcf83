#include "connection/PlatformClient.h"

#include "process/BoundedJson.h"
#include "process/ErrorKind.h"
#include "process/Log.h"

#include <charconv>

namespace galenaroute {

using nlohmann::json;

PlatformStatus platformStatusOf(const HttpResult &Result) {
  if (Result.End != HttpEnd::Complete)
    return Result.BytesSent ? PlatformStatus::Unknown
                            : PlatformStatus::Unavailable;
  switch (Result.Status) {
  case 200:
  case 201:
    return PlatformStatus::Ok;
  case 404:
    return PlatformStatus::NotFound;
  case 409:
    return PlatformStatus::Conflict;
  case 410:
    return PlatformStatus::Expired;
  case 429:
  case 503:
    // The platform answers with these before it acts.
    return PlatformStatus::Unavailable;
  default:
    return PlatformStatus::Unknown;
  }
}

static std::uint64_t eraOf(const HttpResult &Result, std::string_view Field) {
  const auto Text = Result.Headers.find(Field);
  if (!Text)
    return 0;
  std::uint64_t Era = 0;
  const auto Read =
      std::from_chars(Text->data(), Text->data() + Text->size(), Era);
  if (Read.ec != std::errc() || Read.ptr != Text->data() + Text->size()) {
    log(LogLevel::Warn, "platform.malformed_era",
        {{"era", std::string(*Text)}});
    return 0;
  }
  return Era;
}

PlatformStatus statusInEra(PlatformStatus Answered, std::uint64_t Told,
                           PlatformEra &Era, EraUse Use, std::uint64_t Begun) {
  if (!Era.note(Told))
    return PlatformStatus::Unknown;
  const bool IsOtherEra = Told > Begun && Begun > 0;
  if (!IsOtherEra || Use == EraUse::None)
    return Answered;
  if (Use == EraUse::Position)
    return PlatformStatus::Expired;
  // The same version may have been given out again, so a write that was meant
  // to replace another value may have taken effect.
  return Answered == PlatformStatus::Unavailable ? Answered
                                                 : PlatformStatus::Unknown;
}

PlatformStatus platformStatusOf(const HttpResult &Result,
                                std::string_view Field, PlatformEra &Era,
                                EraUse Use, std::uint64_t Begun) {
  const PlatformStatus Answered = platformStatusOf(Result);
  if (Result.Status == 0)
    return Answered;
  return statusInEra(Answered, eraOf(Result, Field), Era, Use, Begun);
}

namespace {

/// The header field in which the platform tells its era.
constexpr std::string_view EraField = "Platform-Era";

std::string objectPath(const ObjectKey &Key) {
  return "/v1/objects/" + percentEncode(Key.Kind) + "/" +
         percentEncode(Key.Name);
}

/// Limits of answers: of their bytes, of the parsed form of one object and of
/// all objects of a list.
constexpr std::size_t MaxAnswerBytes = 16 << 20;
constexpr JsonLimits ObjectLimits{.MaxTreeBytes = 16 << 20};
constexpr JsonObjectLimits ListLimits{.Element = ObjectLimits,
                                      .MaxKeptBytes = 64 << 20};

PlatformObject objectFrom(const json &Value) {
  PlatformObject Result;
  Result.Key = {Value.value("kind", ""), Value.value("name", "")};
  Result.Version = Value.value("version", std::uint64_t{0});
  Result.Deleted = Value.value("deleted", false);
  if (const auto It = Value.find("value"); It != Value.end())
    Result.Value = *It;
  return Result;
}

void noteMalformed(const HttpResult &Http, const std::exception &Failure) {
  log(LogLevel::Warn, "platform.malformed_answer",
      {{"bytes", std::to_string(Http.Body.size())},
       {"message", Failure.what()}});
}

PlatformResult resultFrom(const HttpResult &Http, const ObjectKey &Key,
                          PlatformStatus Status) {
  PlatformResult Result;
  Result.Status = Status;
  if (Result.Status != PlatformStatus::Ok &&
      Result.Status != PlatformStatus::Conflict)
    return Result;
  try {
    Result.Object = objectFrom(parseJson(Http.Body, ObjectLimits));
  } catch (const std::exception &Failure) {
    noteMalformed(Http, Failure);
    if (Result.Status == PlatformStatus::Ok)
      Result.Status = PlatformStatus::Unknown;
  }
  Result.Object.Key = Key;
  return Result;
}

PlatformList listFrom(const HttpResult &Http, PlatformStatus Status) {
  PlatformList Result;
  Result.Status = Status;
  if (Result.Status != PlatformStatus::Ok)
    return Result;
  try {
    const json Head = readJsonObject(
        Http.Body, ListLimits, [&](std::string_view Member, const json &Each) {
          if (Member == "objects")
            Result.Objects.push_back(objectFrom(Each));
        });
    if (!Head.at("objects").is_array())
      throw Error(ErrorKind::BadRequest, "field 'objects' is not an array");
    Result.Revision = Head.at("revision");
    Result.More = Head.value("more", false);
  } catch (const std::exception &Failure) {
    noteMalformed(Http, Failure);
    Result = {};
    Result.Status = PlatformStatus::Unknown;
  }
  return Result;
}

} // namespace

HttpPlatform::HttpPlatform(HttpClient &Client, SocketAddress Address,
                           Duration CallTimeout)
    : Client(Client), Address(std::move(Address)), CallTimeout(CallTimeout) {}

PlatformStatus HttpPlatform::statusOf(const HttpResult &Result, EraUse Use,
                                      std::uint64_t Begun) {
  return platformStatusOf(Result, EraField, this->Era, Use, Begun);
}

void HttpPlatform::get(const ObjectKey &Key, OnResult Done) {
  this->Client.startDetached(
      HttpCallBuilder(this->Address)
          .get(objectPath(Key))
          .totalTimeout(this->CallTimeout)
          .maxBodyBytes(MaxAnswerBytes)
          .build(),
      [this, Key, Begun = this->Era.current(),
       Done = std::move(Done)](const HttpResult &Result) {
        Done(resultFrom(Result, Key,
                        this->statusOf(Result, EraUse::None, Begun)));
      });
}

void HttpPlatform::put(const ObjectKey &Key, const json &Value,
                       std::uint64_t IfVersion, OnResult Done) {
  const json Body = {{"value", Value}, {"if_version", IfVersion}};
  this->Client.startDetached(
      HttpCallBuilder(this->Address)
          .put(objectPath(Key), Body.dump())
          .totalTimeout(this->CallTimeout)
          .maxBodyBytes(MaxAnswerBytes)
          .build(),
      [this, Key, Begun = this->Era.current(),
       Done = std::move(Done)](const HttpResult &Result) {
        Done(resultFrom(Result, Key,
                        this->statusOf(Result, EraUse::Condition, Begun)));
      });
}

void HttpPlatform::remove(const ObjectKey &Key, std::uint64_t IfVersion,
                          OnResult Done) {
  this->Client.startDetached(
      HttpCallBuilder(this->Address)
          .method("DELETE",
                  objectPath(Key) + "?if_version=" + std::to_string(IfVersion),
                  {})
          .totalTimeout(this->CallTimeout)
          .maxBodyBytes(MaxAnswerBytes)
          .build(),
      [this, Key, Begun = this->Era.current(),
       Done = std::move(Done)](const HttpResult &Result) {
        Done(resultFrom(Result, Key,
                        this->statusOf(Result, EraUse::Condition, Begun)));
      });
}

void HttpPlatform::list(const std::string &Kind, const std::string &Prefix,
                        const std::string &After, OnList Done) {
  this->Client.startDetached(
      HttpCallBuilder(this->Address)
          .get("/v1/objects/" + percentEncode(Kind) + "?prefix=" +
               percentEncode(Prefix) + "&after=" + percentEncode(After))
          .totalTimeout(this->CallTimeout)
          .maxBodyBytes(MaxAnswerBytes)
          .build(),
      [this, Begun = this->Era.current(),
       Done = std::move(Done)](const HttpResult &Result) {
        Done(listFrom(Result, this->statusOf(Result, EraUse::None, Begun)));
      });
}

void HttpPlatform::watch(const std::string &Kind, std::uint64_t Since,
                         Duration Wait, OnList Done) {
  this->Client.startDetached(
      HttpCallBuilder(this->Address)
          .get("/v1/watch/" + percentEncode(Kind) +
               "?since=" + std::to_string(Since) +
               "&timeout_ms=" + std::to_string(toMilliseconds(Wait)))
          .idleTimeout(Wait + this->CallTimeout)
          .maxBodyBytes(MaxAnswerBytes)
          .build(),
      [this, Begun = this->Era.current(),
       Done = std::move(Done)](const HttpResult &Result) {
        Done(listFrom(Result, this->statusOf(Result, EraUse::Position, Begun)));
      });
}

void HttpPlatform::listVms(OnVms Done) {
  this->Client.startDetached(
      HttpCallBuilder(this->Address)
          .get("/v1/vms")
          .totalTimeout(this->CallTimeout)
          .maxBodyBytes(MaxAnswerBytes)
          .build(),
      [this, Begun = this->Era.current(),
       Done = std::move(Done)](const HttpResult &Http) {
        VmList Result;
        Result.Status = this->statusOf(Http, EraUse::None, Begun);
        if (Result.Status == PlatformStatus::Ok) {
          try {
            const json Head = readJsonObject(
                Http.Body, ListLimits,
                [&](std::string_view Member, const json &Each) {
                  if (Member == "vms")
                    Result.Vms.push_back(
                        {SocketAddress::parse(
                             Each.at("address").get<std::string>()),
                         Each.at("zone"), Each.at("role"),
                         Each.at("state") == "leaving"});
                });
            if (!Head.at("vms").is_array())
              throw Error(ErrorKind::BadRequest, "field 'vms' is not an array");
          } catch (const std::exception &Failure) {
            noteMalformed(Http, Failure);
            Result = {PlatformStatus::Unknown, {}};
          }
        }
        Done(Result);
      });
}

} // namespace galenaroute
