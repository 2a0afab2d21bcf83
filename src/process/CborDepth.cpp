#include "process/CborDepth.h"

#include <cstdint>
#include <vector>

namespace galenaroute {

namespace {

/// The types of items, the first three bits of an item.
enum Major { ByteString = 2, TextString = 3, Array = 4, Map = 5, Tag = 6 };

/// The first bytes of an item: its type, and its number, length or count.
struct Head {
  int Type = 0;
  std::uint64_t Value = 0;
  bool IsIndefinite = false;
};

} // namespace

/// Takes a head off \p Rest. Returns false if it is cut off or reserved.
static bool takeHead(std::string_view &Rest, Head &Result) {
  static constexpr unsigned FirstWithBytes = 24;
  static constexpr unsigned FirstReserved = 28;
  static constexpr unsigned Indefinite = 31;
  if (Rest.empty())
    return false;
  const auto First = static_cast<unsigned char>(Rest.front());
  Rest.remove_prefix(1);
  const unsigned Info = First & 0x1f;
  Result = {.Type = First >> 5, .Value = Info};
  if (Info < FirstWithBytes)
    return true;
  Result.IsIndefinite = Info == Indefinite;
  if (Info >= FirstReserved)
    return Result.IsIndefinite;
  const std::size_t Count = std::size_t{1} << (Info - FirstWithBytes);
  if (Rest.size() < Count)
    return false;
  Result.Value = 0;
  for (std::size_t I = 0; I < Count; ++I)
    Result.Value = Result.Value << 8 | static_cast<unsigned char>(Rest[I]);
  Rest.remove_prefix(Count);
  return true;
}

bool isBoundedCbor(std::string_view Bytes, std::size_t MaxDepth,
                   std::size_t MaxItems) {
  std::string_view Rest = Bytes;
  std::size_t Items = 0;
  /// The items still to come at each level.
  std::vector<std::uint64_t> Open{1};
  while (!Open.empty()) {
    if (Open.back() == 0) {
      Open.pop_back();
      continue;
    }
    --Open.back();
    if (++Items > MaxItems)
      return false;
    Head Next;
    if (!takeHead(Rest, Next))
      return true;
    if (Next.IsIndefinite || Next.Type == Tag)
      return false;
    if (Next.Type == ByteString || Next.Type == TextString) {
      if (Next.Value > Rest.size())
        return true;
      Rest.remove_prefix(static_cast<std::size_t>(Next.Value));
    } else if (Next.Type == Array || Next.Type == Map) {
      // A larger count is cut off.
      if (Next.Value > Rest.size())
        Next.Value = Rest.size();
      Open.push_back(Next.Type == Map ? 2 * Next.Value : Next.Value);
      if (Open.size() > MaxDepth + 1)
        return false;
    }
  }
  return true;
}

} // namespace galenaroute
