// The state machine of a lease that is stored as one object in the platform.
//
// A contender reads the object, measures for how long its version has not
// changed, and acquires the lease by conditional update when the holder has
// resigned or has not renewed for a whole lease term. Terms are measured on
// the contender's own monotonic clock, so the clocks of two VMs need not
// agree. The caller performs the action and reports its result:
//
//   LeaseState State(Settings);
//   switch (nextLeaseAction(State, Now, LeaseInterest::Hold)) { ... }
//   onLeaseRead(State, Result, Now);
//   onLeaseWritten(State, Result, Now);
//   if (mayAct(State, Now)) sendOrder(State.Fence);
//
// A record tells whether its holder may act or is passive. A passive holder
// writes the record once more before it acts, and that write fails if another
// process has acquired the lease meanwhile. So a passive lease can be acquired
// sooner. Its record also tells how long actions of earlier holders still
// count, so that the next holder waits for them and not for a holder that has
// never acted; without that, a lease that changes hands more often than once
// per term would allow nobody to act.
//
// The platform may be restored from an old copy, see PlatformEra.h. Then the
// record and its version mean nothing any more, so each era has an object of
// its own, and a write that relies on an earlier era cannot affect it. In a new
// era, an acquisition needs no earlier record: fencing numbers begin with the
// era, and the new holder waits until every holder of an earlier era has
// stopped acting for a term.
//
//   if (State.Era != Api.Era.current())
//     enterEra(State, Api.Era.current(), Now);
//   Api.get({"lease", eraName("model-a", State.Era)}, ...);
//
// Guarantees: the fencing number increases with each new holder, and no two
// holders ever have the same one, because each is written by conditional
// update. holdsLease() becomes false before any contender that is never paused
// can acquire the lease. mayAct() becomes true only when every earlier holder
// has stopped acting for a whole term. Neither can protect against a holder
// that is paused between a call and its action; the fencing number does.

#ifndef GALENAROUTE_VERSION_LEASE_H
#define GALENAROUTE_VERSION_LEASE_H

#include "connection/PlatformClient.h"
#include "process/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace galenaroute {

/// The value of a lease object.
struct LeaseRecord {
  std::string Holder; ///< Node and incarnation; empty after a resignation.
  std::uint64_t Fence = 0;
  std::uint64_t Renewals = 0; ///< Unique for each write of one holder.
  /// Time after this write until a whole term has passed since the last action
  /// of any holder. Set only if nobody acts until the next write.
  std::optional<Milliseconds> SettlesIn;
  bool operator==(const LeaseRecord &) const = default;
};

nlohmann::json toJson(const LeaseRecord &Record);

/// Throws Error(BadRequest) when \p Value is not a lease record.
LeaseRecord leaseFromJson(const nlohmann::json &Value);

/// Fencing numbers of one era. A lease that changed hands each second would use
/// them up in half a year; the product with the era stays exact in a double.
inline constexpr std::uint64_t FencesPerEra = 1 << 24;

/// Identity of the contender and timing of the lease.
struct LeaseSettings {
  std::string Self; ///< Unique for each start of each process.
  Duration Term = std::chrono::seconds(9);
  Duration RenewEvery = std::chrono::seconds(3);
  /// How long before the end of its term a holder stops acting; covers the time
  /// that an order is in flight.
  Duration Margin = std::chrono::seconds(2);
};

/// The state of a holder or contender.
struct LeaseState {
  explicit LeaseState(LeaseSettings Settings) : Settings(std::move(Settings)) {}

  LeaseSettings Settings;
  /// The era of the platform to which the fields below belong.
  std::uint64_t Era = 0;
  /// A term after the last time at which a holder of an earlier era can have
  /// acted.
  TimePoint EraActsFrom;
  bool Known = false; ///< Whether the object was read at least once.
  LeaseRecord Record;
  std::uint64_t Version = 0; ///< Zero when the object does not exist.
  TimePoint VersionSince;    ///< When this contender first saw the version.
  TimePoint LastRead;
  bool CallPending = false;
  LeaseRecord Written; ///< The record of the pending or last write.
  std::uint64_t Writes = 0;
  TimePoint WriteStarted;
  bool InDoubt = false; ///< The result of the last write is unknown.
  TimePoint HeldUntil;  ///< The holder may act only before this time.
  /// Whether the last confirmed write allows this holder to act, and no later
  /// one that makes it passive was started.
  bool Active = false;
  /// A term after the last time at which an earlier holder can have acted.
  TimePoint ActsFrom;
  std::uint64_t Fence = 0;
};

/// The next call to the platform.
enum class LeaseAction { Wait, Read, Write };

enum class LeaseInterest {
  None,    ///< Resign the lease if held.
  Observe, ///< As None, but read the lease, to be able to acquire it sooner.
  Hold,    ///< Acquire the lease and renew it, without acting.
  Act,     ///< As Hold, and be allowed to act.
};

/// Drops what belongs to an earlier era of the platform. To be called before
/// any other function when the era differs from State.Era, also at the start.
/// Results of calls from an earlier era must not be handed over.
void enterEra(LeaseState &State, std::uint64_t Era, TimePoint Now);

/// Decides the next call to the platform. For Write, State.Written and
/// State.Version are the value and the condition. A lease is acquired only with
/// LeaseInterest::Hold or Act, and from another holder only when it has been
/// seen unchanged for a term, or until the holder's right to act has ended if
/// it is passive. After its last action, a holder must keep LeaseInterest::Act
/// for a term.
LeaseAction nextLeaseAction(LeaseState &State, TimePoint Now,
                            LeaseInterest Interest);

/// Handles the result of a Read.
void onLeaseRead(LeaseState &State, const PlatformResult &Result,
                 TimePoint Now);

/// Handles the result of a Write.
void onLeaseWritten(LeaseState &State, const PlatformResult &Result,
                    TimePoint Now);

/// Returns whether this process holds the lease at \p Now.
bool holdsLease(const LeaseState &State, TimePoint Now);

/// Returns whether actions of earlier holders are a term ago at \p Now.
bool isSettled(const LeaseState &State, TimePoint Now);

/// Returns whether this process holds the lease and may act at \p Now. Without
/// \p AfterOthers, actions of earlier holders need not be a term ago, since
/// their receivers check the fencing number.
bool mayAct(const LeaseState &State, TimePoint Now, bool AfterOthers = true);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_LEASE_H
