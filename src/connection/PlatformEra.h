// Tracks the era of the platform's data.
//
//   PlatformEra Era;
//   Era.Changed.connect([&](const EraChange &Change) { forgetRevisions(); });
//   if (!Era.note(EraOfAnswer)) ...  // the answer is outdated
//
// The platform may be restored from a copy some seconds old. What was written
// since is gone, revisions go back, and the platform gives them out again for
// other changes. Each restoration begins a new era, which every answer tells.
// Revisions, conditions of writes, leases and the knowledge that something is
// stored belong to the era in which they were obtained.
//
// The system's own objects have names that carry the era in which they were
// written (eraName), so that a write whose condition belongs to an earlier era
// cannot replace a value of a later one. Data that outlasts an era is read from
// the objects of all eras and written again into that of the present one.
//
// Guarantees: the era never goes back. Changed is emitted once for each rise,
// before the answer that told it is delivered, and not for the first answer of
// a process, which has nothing to drop.

#ifndef GALENAROUTE_CONNECTION_PLATFORMERA_H
#define GALENAROUTE_CONNECTION_PLATFORMERA_H

#include <cstdint>
#include <sigc++/sigc++.h>
#include <string>
#include <string_view>

namespace galenaroute {

struct EraChange {
  std::uint64_t Before = 0;
  std::uint64_t Now = 0;
};

/// Returns the name of the object \p Name that belongs to era \p Era.
std::string eraName(std::string_view Name, std::uint64_t Era);

/// Returns whether \p ObjectName is eraName(Name, Era) for any era.
bool isNameInAnyEra(std::string_view ObjectName, std::string_view Name);

class PlatformEra {
public:
  /// Returns the newest era that an answer has told, zero before the first one
  /// and for platforms that tell none.
  std::uint64_t current() const { return this->Current; }

  /// Notes the era of an answer, zero if it tells none. Returns false if the
  /// answer comes from an earlier era, so that it must not be used.
  bool note(std::uint64_t Era);

  sigc::signal<void(const EraChange &)> Changed;

private:
  std::uint64_t Current = 0;
  bool HasAnswered = false;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_PLATFORMERA_H
