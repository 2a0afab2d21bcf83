#include "version/Lease.h"

#include "process/ErrorKind.h"

#include <algorithm>

namespace galenaroute {

using nlohmann::json;

/// Longer times in a record come from a fault and would overflow a time.
static constexpr Milliseconds MaxSettlesIn = std::chrono::hours(1);

json toJson(const LeaseRecord &Record) {
  // Processes of earlier builds read `idle` only.
  json Result = {{"holder", Record.Holder},
                 {"fence", Record.Fence},
                 {"renewals", Record.Renewals},
                 {"idle", Record.SettlesIn == Milliseconds(0)}};
  if (Record.SettlesIn)
    Result["settles_in_ms"] = Record.SettlesIn->count();
  return Result;
}

/// Returns the time that \p Value states, or nothing.
static std::optional<Milliseconds> settlesInFrom(const json &Value) {
  if (Value.value("idle", false))
    return Milliseconds(0);
  const auto It = Value.find("settles_in_ms");
  if (It == Value.end())
    return std::nullopt;
  return std::clamp(Milliseconds(It->get<std::int64_t>()), Milliseconds(0),
                    MaxSettlesIn);
}

LeaseRecord leaseFromJson(const json &Value) {
  try {
    return {Value.at("holder"), Value.at("fence"), Value.at("renewals"),
            settlesInFrom(Value)};
  } catch (const json::exception &Failure) {
    throw Error(ErrorKind::BadRequest,
                std::string("malformed lease object: ") + Failure.what());
  }
}

void enterEra(LeaseState &State, std::uint64_t Era, TimePoint Now) {
  // Without a stay in between, nobody else has held the lease in the era
  // before, so the present holder need not wait for itself.
  const bool IsHolder = holdsLease(State, Now) && Era == State.Era + 1;
  const LeaseSettings &Settings = State.Settings;
  LeaseState Next(Settings);
  Next.Era = Era;
  // The last write of a holder of an earlier era was before now.
  Next.EraActsFrom =
      IsHolder ? State.ActsFrom : Now + Settings.Term * 2 - Settings.Margin;
  Next.Writes = State.Writes;
  State = std::move(Next);
}

static bool isOwnRecord(const LeaseState &State) {
  return State.Known && State.Record.Holder == State.Settings.Self;
}

/// Starts a write conditional on the known version. Each write has a unique
/// number: a delayed write that takes effect late must not be mistaken for a
/// newer one, whose term would end later.
static LeaseAction write(LeaseState &State, std::string Holder,
                         std::uint64_t Fence,
                         std::optional<Milliseconds> SettlesIn, TimePoint Now) {
  State.Written = {std::move(Holder), Fence, ++State.Writes, SettlesIn};
  State.Active &= !SettlesIn;
  State.WriteStarted = Now;
  State.CallPending = true;
  return LeaseAction::Write;
}

static LeaseAction read(LeaseState &State) {
  State.CallPending = true;
  return LeaseAction::Read;
}

/// Returns a term after the last time at which the holder of the known record,
/// or one before it, can have acted, if no other process holds the lease
/// between that record and a write of this process.
static TimePoint actsAfterKnown(const LeaseState &State) {
  const LeaseSettings &Settings = State.Settings;
  if (State.Version == 0)
    return State.EraActsFrom;
  // The record was written before it was first seen.
  if (State.Record.SettlesIn)
    return State.VersionSince + *State.Record.SettlesIn;
  // A holder that resigned stopped before that write, any other one a margin
  // before the end of the term that its last write started.
  const TimePoint Stopped =
      State.Record.Holder.empty()
          ? State.VersionSince
          : State.VersionSince + Settings.Term - Settings.Margin;
  return Stopped + Settings.Term;
}

/// Returns the time from \p Now until \p Settled, rounded up.
static Milliseconds timeUntil(TimePoint Settled, TimePoint Now) {
  return std::max(Milliseconds(0),
                  std::chrono::ceil<Milliseconds>(Settled - Now));
}

/// Returns what a holder that does not act until its next write declares, or
/// nothing if its last write allowed it to act and it may have acted within a
/// term.
static std::optional<Milliseconds> settlesIn(const LeaseState &State,
                                             TimePoint Now, bool HasStopped) {
  // An acquisition that was not confirmed has left ActsFrom unchanged.
  if (State.Record.Fence != State.Fence)
    return State.Record.SettlesIn
               ? std::optional(timeUntil(actsAfterKnown(State), Now))
               : std::nullopt;
  if (!State.Record.SettlesIn && !HasStopped)
    return std::nullopt;
  return timeUntil(State.ActsFrom, Now);
}

LeaseAction nextLeaseAction(LeaseState &State, TimePoint Now,
                            LeaseInterest Interest) {
  const LeaseSettings &Settings = State.Settings;
  const bool Acts = Interest == LeaseInterest::Act;
  const bool Wanted = Interest == LeaseInterest::Hold || Acts;
  if (State.CallPending)
    return LeaseAction::Wait;
  const bool IsReadDue = Now >= State.LastRead + Settings.RenewEvery;
  if (Interest == LeaseInterest::Observe && !State.InDoubt &&
      !isOwnRecord(State))
    return IsReadDue ? read(State) : LeaseAction::Wait;
  if (State.InDoubt || !State.Known)
    return Wanted || State.InDoubt ? read(State) : LeaseAction::Wait;

  if (isOwnRecord(State)) {
    if (!Wanted) {
      // No order may be sent once the resignation is in flight, because the
      // next holder does not wait for the end of this term.
      State.HeldUntil = Now;
      return write(State, "", State.Record.Fence,
                   settlesIn(State, Now, /*HasStopped=*/false), Now);
    }
    const bool IsActivationDue =
        Acts && State.Record.SettlesIn && State.Written.SettlesIn;
    if (!IsActivationDue && Now < State.WriteStarted + Settings.RenewEvery)
      return LeaseAction::Wait;
    // Without LeaseInterest::Act, its own last action is a term ago.
    return write(
        State, Settings.Self, State.Record.Fence,
        Acts ? std::nullopt : settlesIn(State, Now, /*HasStopped=*/true), Now);
  }

  if (!Wanted)
    return LeaseAction::Wait;
  const bool Free = State.Version == 0 || State.Record.Holder.empty();
  const bool IsPassive = State.Record.SettlesIn.has_value();
  const bool Lapsed =
      Now >= State.VersionSince + Settings.Term -
                 (IsPassive ? Settings.Margin : Duration::zero());
  if (!Free && !Lapsed)
    return IsReadDue ? read(State) : LeaseAction::Wait;
  // If the version has changed since the last read, the write fails and the
  // object is read again.
  const std::uint64_t Last =
      std::max(State.Record.Fence, State.Era * FencesPerEra);
  return write(State, Settings.Self, Last + 1,
               Acts ? std::nullopt
                    : std::optional(timeUntil(actsAfterKnown(State), Now)),
               Now);
}

/// Adopts the stored record. If it equals a write of this process that is in
/// doubt, that write is confirmed.
static void adopt(LeaseState &State, const LeaseRecord &Record,
                  std::uint64_t Version, TimePoint Now) {
  const bool Confirmed = State.InDoubt && Record == State.Written;
  const TimePoint ActsFrom = actsAfterKnown(State);
  if (!State.Known || Version != State.Version)
    State.VersionSince = Now;
  State.Known = true;
  State.Record = Record;
  State.Version = Version;
  State.InDoubt = false;
  if (Record.Holder != State.Settings.Self) {
    State.HeldUntil = Now;
    return;
  }
  if (!Confirmed)
    return;
  State.Active = !Record.SettlesIn;
  if (Record.Fence != State.Fence) {
    State.Fence = Record.Fence;
    State.ActsFrom = ActsFrom;
  }
  // The term starts when the write was sent, since a contender may have seen
  // the new version immediately.
  State.HeldUntil =
      State.WriteStarted + State.Settings.Term - State.Settings.Margin;
}

void onLeaseRead(LeaseState &State, const PlatformResult &Result,
                 TimePoint Now) {
  State.CallPending = false;
  State.LastRead = Now;
  if (Result.Status == PlatformStatus::NotFound) {
    adopt(State, {}, 0, Now);
    return;
  }
  if (Result.Status != PlatformStatus::Ok)
    return;
  adopt(State, leaseFromJson(Result.Object.Value), Result.Object.Version, Now);
}

void onLeaseWritten(LeaseState &State, const PlatformResult &Result,
                    TimePoint Now) {
  State.CallPending = false;
  switch (Result.Status) {
  case PlatformStatus::Ok:
    State.InDoubt = true;
    adopt(State, State.Written, Result.Object.Version, Now);
    return;
  case PlatformStatus::Unavailable:
    return;
  default:
    // Conflict or no reply: only a read tells who holds the lease.
    State.InDoubt = true;
    return;
  }
}

bool holdsLease(const LeaseState &State, TimePoint Now) {
  return isOwnRecord(State) && Now < State.HeldUntil;
}

bool isSettled(const LeaseState &State, TimePoint Now) {
  return Now >= State.ActsFrom;
}

bool mayAct(const LeaseState &State, TimePoint Now, bool AfterOthers) {
  // A holder of an earlier era that has not learned of the restoration may act
  // until a term before EraActsFrom.
  return holdsLease(State, Now) && State.Active &&
         Now >= State.EraActsFrom - State.Settings.Term &&
         (!AfterOthers || isSettled(State, Now));
}

} // namespace galenaroute
