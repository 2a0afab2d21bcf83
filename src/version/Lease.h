// Decisions of a lease that is kept as one object in the platform.
//
// A contender reads the object, watches for how long its version has not
// changed, and writes itself in by conditional update when the holder has
// resigned or has not renewed for a whole lease term. Terms are measured on
// the contender's own monotonic clock, so the clocks of two VMs need not
// agree. The caller carries out the action and reports how it ended:
//
//   LeaseState State(Settings);
//   switch (nextLeaseAction(State, Now, LeaseInterest::Hold)) { ... }
//   onLeaseRead(State, Result, Now);
//   onLeaseWritten(State, Result, Now);
//   if (holdsLease(State, Now)) sendOrder(State.Fence);
//
// Guarantees: the fencing number grows with each new holder, and no two
// holders ever have the same one, because each is written by conditional
// update. holdsLease() turns false before any contender that never pauses
// could take over. It cannot cover a holder that is paused between asking
// holdsLease() and acting; the fencing number is for that.

#ifndef GALENAROUTE_VERSION_LEASE_H
#define GALENAROUTE_VERSION_LEASE_H

#include "connection/PlatformClient.h"
#include "process/Clock.h"

#include <cstdint>
#include <string>

namespace galenaroute {

/// The value of a lease object.
struct LeaseRecord {
  std::string Holder; ///< Node and incarnation; empty once resigned.
  std::uint64_t Fence = 0;
  std::uint64_t Renewals = 0; ///< Differs in each write of one holder.
  bool operator==(const LeaseRecord &) const = default;
};

nlohmann::json toJson(const LeaseRecord &Record);

/// Throws Error(BadRequest) when \p Value is not a lease record.
LeaseRecord leaseFromJson(const nlohmann::json &Value);

/// Times of a lease.
struct LeaseSettings {
  std::string Self; ///< Unique for each start of each process.
  Duration Term = std::chrono::seconds(9);
  Duration RenewEvery = std::chrono::seconds(3);
  /// How much earlier than its term a holder stops to act, for the time that
  /// an order is under way.
  Duration Margin = std::chrono::seconds(2);
};

/// What the holder or contender knows.
struct LeaseState {
  explicit LeaseState(LeaseSettings Settings) : Settings(std::move(Settings)) {}

  LeaseSettings Settings;
  bool Known = false; ///< Whether the object was read at least once.
  LeaseRecord Record;
  std::uint64_t Version = 0; ///< Zero when the object does not exist.
  TimePoint VersionSince;    ///< When this version was first seen here.
  TimePoint LastRead;
  bool CallPending = false;
  LeaseRecord Written; ///< The record of the write under way.
  std::uint64_t Writes = 0;
  TimePoint WriteStarted;
  bool InDoubt = false; ///< A write ended without an answer.
  TimePoint HeldUntil;  ///< Act only before this time.
  TimePoint HeldSince;
  /// Whether the last holder before this one resigned, so that nothing of it
  /// can still be under way.
  bool PredecessorResigned = false;
  std::uint64_t Fence = 0;
};

/// What to do next.
enum class LeaseAction { Wait, Read, Write };

enum class LeaseInterest {
  None,    ///< A held lease is resigned.
  Observe, ///< The same, but the lease is read, to take it sooner later.
  Hold,
};

/// Decides the next call to the platform. For Write, State.Written and
/// State.Version are the value and the condition. Only with LeaseInterest::Hold
/// is a lease taken; it must have been seen unchanged for a term by then.
LeaseAction nextLeaseAction(LeaseState &State, TimePoint Now,
                            LeaseInterest Interest);

/// Takes in the answer to a Read.
void onLeaseRead(LeaseState &State, const PlatformResult &Result,
                 TimePoint Now);

/// Takes in the answer to a Write.
void onLeaseWritten(LeaseState &State, const PlatformResult &Result,
                    TimePoint Now);

/// Returns whether an order may be sent now.
bool holdsLease(const LeaseState &State, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_LEASE_H
