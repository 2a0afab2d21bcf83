#include "request/StreamOrigins.h"

#include "process/Sha256.h"

#include <charconv>

namespace galenaroute {

/// Lists of the stored records in one search: the records of the last period
/// may be written after the first one.
static constexpr int MaxLists = 2;

StreamKey streamKey(std::string_view Customer, std::string_view FirstAttempt) {
  // The length separates the names.
  const std::string Digest =
      sha256Hex(std::to_string(Customer.size()) + ":" + std::string(Customer) +
                std::string(FirstAttempt));
  StreamKey Key = 0;
  std::from_chars(Digest.data(), Digest.data() + 2 * sizeof Key, Key, 16);
  return Key;
}

/// Returns the record of a stream, a new one if there is none, or null if there
/// is no room for it.
StreamOrigins::Record *StreamOrigins::recordFor(StreamKey Key,
                                                const StreamOrigin &Origin,
                                                TimePoint Now) {
  auto Found = this->Records.find(Key);
  if (Found == this->Records.end()) {
    if (this->Records.size() >= this->MaxRecords)
      return nullptr;
    Found = this->Records.try_emplace(Key, Record{.Origin = Origin}).first;
  }
  Record &Result = Found->second;
  Result.IsAmbiguous |= !(Result.Origin == Origin);
  Result.Until = Now + Retention;
  return &Result;
}

bool StreamOrigins::noteBegun(StreamKey Key, const StreamOrigin &Origin,
                              TimePoint Now) {
  Record *const Added = this->recordFor(Key, Origin, Now);
  if (Added == nullptr)
    return false;
  Added->IsOpen = true;
  Added->Number = ++this->Begun;
  return true;
}

void StreamOrigins::add(StreamKey Key, const StreamOrigin &Origin,
                        TimePoint Now) {
  this->recordFor(Key, Origin, Now);
}

void StreamOrigins::noteEnded(StreamKey Key, bool IsWhole, TimePoint Now) {
  const auto Found = this->Records.find(Key);
  if (Found == this->Records.end())
    return;
  Found->second.IsOpen = false;
  Found->second.Until = Now + (IsWhole ? WholeRetention : Retention);
}

std::optional<StreamOrigin> StreamOrigins::find(StreamKey Key) const {
  const auto Found = this->Records.find(Key);
  if (Found == this->Records.end() || Found->second.IsAmbiguous)
    return std::nullopt;
  return Found->second.Origin;
}

void StreamOrigins::expire(TimePoint Now) {
  std::erase_if(this->Records, [Now](const auto &Each) {
    return !Each.second.IsOpen && Each.second.Until <= Now;
  });
}

std::string_view toString(OriginSource Source) {
  switch (Source) {
  case OriginSource::Record:
    return "record";
  case OriginSource::Stored:
    return "stored_record";
  case OriginSource::OnlyOne:
    return "only_version";
  }
  return "unknown";
}

OriginStep nextOriginStep(const OriginSearch &Search) {
  if (Search.IsFound)
    return OriginStep::GoOn;
  if (!Search.IsNamed || Search.HasListFailed || Search.Lists >= MaxLists)
    return OriginStep::Refuse;
  return Search.Lists == 0 ? OriginStep::List : OriginStep::ListLater;
}

} // namespace galenaroute
