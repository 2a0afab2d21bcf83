#include "version/Lease.h"

#include "process/ErrorKind.h"

namespace galenaroute {

using nlohmann::json;

json toJson(const LeaseRecord &Record) {
  return {{"holder", Record.Holder},
          {"fence", Record.Fence},
          {"renewals", Record.Renewals}};
}

LeaseRecord leaseFromJson(const json &Value) {
  try {
    return {Value.at("holder"), Value.at("fence"), Value.at("renewals")};
  } catch (const json::exception &Failure) {
    throw Error(ErrorKind::BadRequest,
                std::string("malformed lease object: ") + Failure.what());
  }
}

static bool isOwnRecord(const LeaseState &State) {
  return State.Known && State.Record.Holder == State.Settings.Self;
}

/// Starts a write conditional on the known version. Each write has a unique
/// number: a delayed write that takes effect late must not be mistaken for a
/// newer one, whose term would end later.
static LeaseAction write(LeaseState &State, std::string Holder,
                         std::uint64_t Fence, TimePoint Now) {
  State.Written = {std::move(Holder), Fence, ++State.Writes};
  State.WriteStarted = Now;
  State.CallPending = true;
  return LeaseAction::Write;
}

static LeaseAction read(LeaseState &State) {
  State.CallPending = true;
  return LeaseAction::Read;
}

LeaseAction nextLeaseAction(LeaseState &State, TimePoint Now,
                            LeaseInterest Interest) {
  const LeaseSettings &Settings = State.Settings;
  const bool Wanted = Interest == LeaseInterest::Hold;
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
      return write(State, "", State.Record.Fence, Now);
    }
    if (Now < State.WriteStarted + Settings.RenewEvery)
      return LeaseAction::Wait;
    return write(State, Settings.Self, State.Record.Fence, Now);
  }

  if (!Wanted)
    return LeaseAction::Wait;
  const bool Free = State.Version == 0 || State.Record.Holder.empty();
  const bool Lapsed = Now >= State.VersionSince + Settings.Term;
  if (!Free && !Lapsed)
    return IsReadDue ? read(State) : LeaseAction::Wait;
  // If the version has changed since the last read, the write fails and the
  // object is read again.
  return write(State, Settings.Self, State.Record.Fence + 1, Now);
}

/// Adopts the stored record. If it equals a write of this process that is in
/// doubt, that write is confirmed.
static void adopt(LeaseState &State, const LeaseRecord &Record,
                  std::uint64_t Version, TimePoint Now) {
  const bool Confirmed = State.InDoubt && Record == State.Written;
  const LeaseRecord Before = State.Record;
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
  if (Record.Fence != State.Fence) {
    State.Fence = Record.Fence;
    State.HeldSince = Now;
    State.PredecessorResigned = Before.Holder.empty();
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

} // namespace galenaroute
