// Which rules of the fleet a gateway keeps. Builds of several releases run side
// by side while VMs are replaced, so a rule that protects callers only if other
// gateways keep it is not relied on beside gateways that may lack it.
//
//   if (keeps(Record.Level, FleetRule::StreamRecords)) ...
//
// Each gateway gossips the level of its build, a number that grows whenever a
// rule is added; a level includes the rules of all lower ones. See
// docs/design/builds-side-by-side.md.

#ifndef GALENAROUTE_PROCESS_FLEETRULES_H
#define GALENAROUTE_PROCESS_FLEETRULES_H

#include <cstddef>
#include <cstdint>

namespace galenaroute {

using BuildLevel = std::uint32_t;

/// The level of this build, the first one that states it.
inline constexpr BuildLevel OwnLevel = 2;
/// The lowest level beside which this build loses nothing. A gateway that reads
/// a higher one than its own in a record logs that it is too old.
inline constexpr BuildLevel LeastPeerLevel = 1;

enum class FleetRule {
  /// Records of streams that another gateway cannot store are kept and stored.
  StreamRecords,
  /// A stream begins only at a software version that is stored and settled.
  SettledVersions,
  /// A version of weights whose naming may have been missed is dated as early
  /// as
  /// possible, and that date is not told.
  CautiousDates,
};

/// Returns whether builds of \p Level keep \p Rule.
bool keeps(BuildLevel Level, FleetRule Rule);

/// Returns the level of a gateway that does not state it, whose record in the
/// gossip has \p Fields.
BuildLevel unstatedLevel(std::size_t Fields);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_FLEETRULES_H
