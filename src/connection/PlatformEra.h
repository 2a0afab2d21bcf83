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
// Guarantees: the era never goes back. Changed is emitted once for each rise,
// before the answer that told it is delivered, and not for the first answer of
// a process, which has nothing to drop.

#ifndef GALENAROUTE_CONNECTION_PLATFORMERA_H
#define GALENAROUTE_CONNECTION_PLATFORMERA_H

#include <cstdint>
#include <sigc++/sigc++.h>

namespace galenaroute {

struct EraChange {
  std::uint64_t Before = 0;
  std::uint64_t Now = 0;
};

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
