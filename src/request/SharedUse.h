// What the entries of the system have under way at each upstream, as they tell
// one another several times a second.
//
//   SharedUse Use;
//   Use.note("entry-7", Items, Now);    // as received
//   Use.expire(Now);
//   UpstreamUse Others = Use.of(useKey("upstream-3"));
//
// The load this answers: many entries that each send a small part of the calls
// to every upstream. An upstream's own report is then seconds old at most of
// them, and each would fill it as if it were alone. Guarantees: one sum for
// each upstream in use, read in constant time; an entry that falls silent
// counts for MaxAge only; a repeated message counts once.

#ifndef GALENAROUTE_REQUEST_SHAREDUSE_H
#define GALENAROUTE_REQUEST_SHAREDUSE_H

#include "process/Clock.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenaroute {

/// Calls under way at one upstream.
struct UpstreamUse {
  std::uint64_t Calls = 0;
  /// Tokens that they need there, prompts and answers.
  std::uint64_t Tokens = 0;
  /// Prompt tokens of those that have not begun to answer.
  std::uint64_t TokensAhead = 0;
};

bool isEmpty(const UpstreamUse &Use);
void add(UpstreamUse &Sum, const UpstreamUse &Part);
/// Returns \p Of without \p Part, nothing below zero.
UpstreamUse without(const UpstreamUse &Of, const UpstreamUse &Part);

/// What one entry tells of one upstream.
struct UseItem {
  std::uint32_t Key = 0; ///< See useKey().
  UpstreamUse Use;
};

/// Replaces the item with the key of \p Next, or adds it. Returns the use that
/// the item had before.
UpstreamUse replaceItem(std::vector<UseItem> &Items, const UseItem &Next);

/// Names an upstream in messages between entries. Two upstreams with one key
/// would only seem busier than they are.
std::uint32_t useKey(std::string_view UpstreamId);

class SharedUse {
public:
  /// \p MaxAge: how long what an entry told counts.
  explicit SharedUse(Duration MaxAge) : MaxAge(MaxAge) {}

  void setMaxAge(Duration Age) { this->MaxAge = Age; }
  /// Replaces what \p Entry told before. \p Members: how many entries' calls
  /// are in \p Items.
  void note(const std::string &Entry, std::vector<UseItem> Items, TimePoint Now,
            std::size_t Members = 1);
  /// Replaces what \p Entry told of one upstream, and of no other.
  void noteOne(const std::string &Entry, const UseItem &Item, TimePoint Now);
  /// Adds to what \p Entry told before.
  void noteAdded(const std::string &Entry, const UseItem &Item);
  /// Forgets what is too old.
  void expire(TimePoint Now);

  /// Returns the sum over the entries heard.
  UpstreamUse of(std::uint32_t Key) const;
  /// Entries that count at the moment.
  std::size_t entries() const;

private:
  struct Told {
    std::vector<UseItem> Items;
    TimePoint At;
    std::size_t Members = 1;
  };

  void add(const UseItem &Item);
  void subtract(const UseItem &Item);

  Duration MaxAge;
  std::map<std::string, Told> Entries;
  std::unordered_map<std::uint32_t, UpstreamUse> Sums;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_SHAREDUSE_H
