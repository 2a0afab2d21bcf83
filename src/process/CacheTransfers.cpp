#include "process/CacheTransfers.h"

#include "process/BoundedJson.h"

namespace galenaroute {

using nlohmann::json;

/// Assumed block size until a transfer measures it. Deliberately low: a high
/// estimate would exceed the link budget, and nothing would ever be
/// transferred.
static constexpr double FirstBlockBytes = 1e6;

/// Limits of answers. A block key takes 67 bytes, and some 200 when parsed.
static constexpr std::size_t MaxAnswerBytes = 4 << 20;
static constexpr JsonLimits TransferLimits{.MaxDepth = 16,
                                           .MaxTreeBytes = 16 << 20};

CacheTransfers::CacheTransfers(HttpClient &Http, CacheIndex &Index,
                               LinkMap &Links)
    : Http(Http), Index(Index), Links(Links) {
  this->Plan.BlockBytes = FirstBlockBytes;
}

void CacheTransfers::import(std::string_view Customer,
                            const TransferEndpoint &Engine,
                            const TransferEndpoint &Store,
                            std::span<const BlockKey> Keys, Duration Limit,
                            const std::function<void()> &Done) {
  this->transfer(TransferKind::Import, Customer, Engine, Store, Keys, Limit,
                 Done);
}

void CacheTransfers::exportTo(std::string_view Customer,
                              const TransferEndpoint &Engine,
                              const TransferEndpoint &Store,
                              std::span<const BlockKey> Keys) {
  this->transfer(TransferKind::Export, Customer, Engine, Store, Keys,
                 std::chrono::seconds(30), [] {});
}

void CacheTransfers::transfer(TransferKind Kind, std::string_view Customer,
                              const TransferEndpoint &Engine,
                              const TransferEndpoint &Store,
                              std::span<const BlockKey> Keys, Duration Limit,
                              const std::function<void()> &Done) {
  const auto Reservation =
      reserveLink(this->Links, Store.Name, Customer,
                  static_cast<double>(Keys.size()) * this->Plan.BlockBytes,
                  EventLoop::now());
  if (!Reservation)
    return Done();
  json List = json::array();
  for (const BlockKey &Key : Keys)
    List.push_back(toHex(Key));
  const json Body = {{"store", Store.Address.toString()},
                     {"keys", std::move(List)}};
  this->Http.startDetached(
      HttpCallBuilder(Engine.Address)
          .post(Kind == TransferKind::Import ? "/v1/kv/import"
                                             : "/v1/kv/export",
                Body.dump())
          .idleTimeout(Limit)
          .totalTimeout(Limit)
          .maxBodyBytes(MaxAnswerBytes)
          .build(),
      [this, Guard = std::weak_ptr<bool>(this->Alive), Kind, Engine, Store,
       Reservation = *Reservation, Done](const HttpResult &Result) {
        if (Guard.expired())
          return;
        this->ended(Kind, Engine, Store, Reservation, Result);
        Done();
      });
}

void CacheTransfers::ended(TransferKind Kind, const TransferEndpoint &Engine,
                           const TransferEndpoint &Store,
                           const LinkReservation &Reservation,
                           const HttpResult &Result) {
  const json Body =
      Result.isSuccess() ? tryParseJson(Result.Body, TransferLimits) : json();
  // Calls Each for every valid block key in the list \p Name and returns their
  // number.
  const auto ForEach = [&Body](const char *Name, const auto &Each) {
    std::size_t Count = 0;
    const auto It = Body.find(Name);
    if (It == Body.end() || !It->is_array())
      return Count;
    for (const json &Key : *It)
      if (Key.is_string())
        if (const auto Parsed =
                digestFromHex(Key.get_ref<const std::string &>())) {
          Each(*Parsed);
          ++Count;
        }
    return Count;
  };
  std::size_t BlockCount = 0;
  double Bytes = 0;
  if (Body.is_object()) {
    const TransferEndpoint &To = Kind == TransferKind::Import ? Engine : Store;
    const TransferEndpoint &From =
        Kind == TransferKind::Import ? Store : Engine;
    BlockCount = ForEach(
        Kind == TransferKind::Import ? "imported" : "exported",
        [&](const BlockKey &Key) { noteHeld(this->Index, To.Name, Key); });
    for (const char *Name : {"missing", "bad"})
      ForEach(Name, [&](const BlockKey &Key) {
        noteNotHeld(this->Index, From.Name, Key);
      });
    if (const auto It = Body.find("bytes"); It != Body.end() && It->is_number())
      Bytes = It->get<double>();
  }
  // A transfer with many missing blocks doesn't measure the link's bandwidth.
  const bool IsWhole =
      BlockCount > 0 && Bytes > 0 && Bytes >= Reservation.Bytes / 2;
  releaseLink(this->Links, Reservation, IsWhole, EventLoop::now());
  if (BlockCount > 0 && Bytes > 0) {
    this->Plan.BlockBytes +=
        (this->IsSizeKnown ? 0.5 : 1) *
        (Bytes / static_cast<double>(BlockCount) - this->Plan.BlockBytes);
    this->IsSizeKnown = true;
  }
}

} // namespace galenaroute
