// Sums the in-flight load of each upstream over all other gateways, which
// gossip it several times a second.
//
//   SharedUse Use(MaxAge);
//   Use.setReport("gateway-7", Items, Now); // for each report received
//   Use.expire(Now);
//   UpstreamUse Others = Use.of(useKey("upstream-3"));
//
// With many gateways, each sends only a small part of the calls to an upstream,
// and its copy of the upstream's own load report is seconds old. Without this
// sum, each gateway would fill the upstream as if it were the only one.
//
// Guarantees: of() takes constant time; the report of a gateway counts for
// MaxAge; a repeated report counts once.

#ifndef GALENAROUTE_REQUEST_SHAREDUSE_H
#define GALENAROUTE_REQUEST_SHAREDUSE_H

#include "process/Clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenaroute {

/// Priority classes that are reported one by one; see EngineRoom.h. The other
/// calls are of the last class.
inline constexpr std::size_t ReportedClasses = 2;

/// The in-flight load of one upstream.
struct UpstreamUse {
  std::uint64_t Calls = 0;
  /// Tokens of their prompts and answers.
  std::uint64_t Tokens = 0;
  /// Prompt tokens of the calls that have not returned a first token.
  std::uint64_t TokensAhead = 0;
  /// The part of Calls in each of the most urgent classes. Zero in reports of
  /// daemons that do not send it, and for services with a single priority.
  std::array<std::uint64_t, ReportedClasses> ClassCalls{};
};

bool isEmpty(const UpstreamUse &Use);
void add(UpstreamUse &Sum, const UpstreamUse &Part);
/// Returns \p Of minus \p Part, clamped to zero.
UpstreamUse saturatingDifference(const UpstreamUse &Of,
                                 const UpstreamUse &Part);

/// The load from one gateway at one upstream.
struct UseItem {
  std::uint32_t Key = 0; ///< See useKey().
  UpstreamUse Use;
};

/// Replaces the item with the key of \p Next, or adds it. Returns the previous
/// load of the item.
UpstreamUse replaceItem(std::vector<UseItem> &Items, const UseItem &Next);

/// Returns the key of an upstream in messages between gateways. If keys
/// collide, the upstreams only appear busier than they are.
std::uint32_t useKey(std::string_view UpstreamId);

class SharedUse {
public:
  /// Reports count for \p MaxAge.
  explicit SharedUse(Duration MaxAge) : MaxAge(MaxAge) {}

  void setMaxAge(Duration Age) { this->MaxAge = Age; }
  /// Replaces the report of \p Gateway. \p Members is the number of gateways
  /// whose load \p Items aggregates.
  void setReport(const std::string &Gateway, std::vector<UseItem> Items,
                 TimePoint Now, std::size_t Members = 1);
  /// Replaces one upstream's item in the report of \p Gateway.
  void updateItem(const std::string &Gateway, const UseItem &Item,
                  TimePoint Now);
  /// Adds an item to the report of \p Gateway. Does nothing if it has none.
  void addItem(const std::string &Gateway, const UseItem &Item);
  /// Removes reports older than MaxAge.
  void expire(TimePoint Now);

  /// Returns the sum over all reports.
  UpstreamUse of(std::uint32_t Key) const;
  /// Returns the number of gateways covered by the reports.
  std::size_t gatewayCount() const;

private:
  struct Report {
    std::vector<UseItem> Items;
    TimePoint At;
    std::size_t Members = 1;
  };

  void add(const UseItem &Item);
  void subtract(const UseItem &Item);

  Duration MaxAge;
  std::map<std::string, Report> Reports;
  std::unordered_map<std::uint32_t, UpstreamUse> Sums;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_SHAREDUSE_H
