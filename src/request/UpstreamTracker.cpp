#include "request/UpstreamTracker.h"

#include <algorithm>
#include <functional>

namespace galenaroute {

/// Maximum changes kept per upstream while no report arrives; beyond it the
/// oldest ones are merged.
static constexpr std::size_t MaxWorkChanges = 1024;

static double movingAverage(double Old, double Sample, double Weight) {
  return Old > 0 ? Old + Weight * (Sample - Old) : Sample;
}

static UpstreamRecord *find(UpstreamTracker &Tracker, std::string_view Name) {
  const auto It = Tracker.Upstreams.find(Name);
  return It == Tracker.Upstreams.end() ? nullptr : &It->second;
}

void setUpstreams(UpstreamTracker &Tracker, const ServiceConfig &Service,
                  std::string_view Cell, std::string_view OwnZone,
                  const std::set<std::string> &Leaving) {
  std::vector<std::string> Names;
  Names.reserve(Service.Upstreams.size());
  for (const UpstreamConfig &Upstream : Service.Upstreams)
    Names.push_back(Upstream.Name);
  std::map<std::string, UpstreamRecord, std::less<>> Kept;
  for (const std::size_t I :
       rendezvousSubset(Cell, Names, Tracker.Options.SubsetLimit)) {
    const UpstreamConfig &Upstream = Service.Upstreams[I];
    UpstreamRecord Record;
    if (UpstreamRecord *Old = find(Tracker, Upstream.Name))
      Record = std::move(*Old);
    Record.Zone = Upstream.Zone;
    Record.Slots = Service.Slots;
    Record.Live = Upstream.State == UpstreamState::Live &&
                  !Leaving.contains(Upstream.Name) &&
                  !Leaving.contains(Upstream.Address.toString());
    if (!Record.NetworkMeasured)
      Record.NetworkDelay = Upstream.Zone == OwnZone
                                ? Tracker.Options.SameZoneDelay
                                : Tracker.Options.OtherZoneDelay;
    Kept.emplace(Upstream.Name, std::move(Record));
  }
  Tracker.Upstreams = std::move(Kept);
}

/// Returns whether a slow upstream may get one request at full share as a
/// probe. It must be idle, so that only one request is at risk.
static bool isProbeDue(const UpstreamRecord &Record, TimePoint Now) {
  return Record.Share < 1 && Record.ProbeAt <= Now &&
         Record.OwnOutstanding == std::array<int, PromptClassCount>{};
}

static void addChange(UpstreamRecord &Record, WorkChange Change) {
  Record.TokensSinceReport += Change.Tokens;
  Record.RequestsSinceReport += Change.Requests;
  Record.ChangesSinceReport.push_back(Change);
  if (Record.ChangesSinceReport.size() > MaxWorkChanges) {
    WorkChange Oldest = Record.ChangesSinceReport.front();
    Record.ChangesSinceReport.pop_front();
    Record.ChangesSinceReport.front().Tokens += Oldest.Tokens;
    Record.ChangesSinceReport.front().Requests += Oldest.Requests;
  }
}

void noteSent(UpstreamTracker &Tracker, const SentAttempt &Sent,
              TimePoint Now) {
  UpstreamRecord *Record = find(Tracker, Sent.Upstream);
  if (!Record || Tracker.Attempts.contains(Sent.Attempt))
    return;
  const UpstreamView View =
      viewOf(Sent.Upstream, *Record, Tracker.Options, Now);
  AttemptInFlight Flight{
      .Upstream = Sent.Upstream,
      .Serial = Tracker.NextSerial++,
      .Class = Sent.Class,
      .SentAt = Now,
      .UncachedTokens = Sent.UncachedTokens,
      .TokensAhead = tokensAhead(View, Sent.Class, Tracker.Route),
      .WaitedForSlot = std::max(View.outstanding(),
                                View.HasReport ? View.ReportedRequests +
                                                     View.RequestsSinceReport
                                               : 0) >= View.Slots};
  if (isProbeDue(*Record, Now)) {
    Record->ProbeInterval =
        std::min(2 * Record->ProbeInterval, Record->MaxProbeInterval);
    Record->ProbeAt = Now + Record->ProbeInterval;
  }
  Record->OwnPending[static_cast<std::size_t>(Sent.Class)] +=
      Sent.UncachedTokens;
  ++Record->OwnOutstanding[static_cast<std::size_t>(Sent.Class)];
  addChange(*Record, {Now, Sent.UncachedTokens, 1});
  Record->AwaitingFirstToken.emplace(Flight.Serial, Flight);
  Tracker.Attempts.emplace(Sent.Attempt, std::move(Flight));
}

/// Removes the attempt from those that wait for their first token.
static void removeAwaiting(UpstreamRecord &Record,
                           const AttemptInFlight &Flight) {
  if (Record.AwaitingFirstToken.erase(Flight.Serial) == 0)
    return;
  double &Pending = Record.OwnPending[static_cast<std::size_t>(Flight.Class)];
  Pending -= Flight.UncachedTokens;
  // Floating-point sums drift, so they are reset when the queue is empty.
  if (Record.AwaitingFirstToken.empty())
    Record.OwnPending = {};
  else
    Pending = std::max(Pending, 0.0);
}

void noteFirstToken(UpstreamTracker &Tracker, const std::string &Attempt,
                    std::optional<double> UncachedTokens, TimePoint Now) {
  const auto It = Tracker.Attempts.find(Attempt);
  if (It == Tracker.Attempts.end() || It->second.FirstTokenAt)
    return;
  AttemptInFlight &Flight = It->second;
  Flight.FirstTokenAt = Now;
  UpstreamRecord *Record = find(Tracker, Flight.Upstream);
  if (!Record)
    return;
  removeAwaiting(*Record, Flight);
  Record->ConsecutiveFailures = 0;
  // Otherwise a wrong cache hint would distort the observed speed.
  const double Own = UncachedTokens.value_or(Flight.UncachedTokens);
  const double Tokens = Flight.TokensAhead + Own;
  // The sample is the speed at which the estimate of the time to first token
  // would have been exact.
  if (!Flight.WaitedForSlot && Tokens >= Tracker.Options.MinSampleTokens) {
    const Duration Elapsed =
        std::max<Duration>(Now - Flight.SentAt - 2 * Record->NetworkDelay,
                           std::chrono::microseconds(100));
    Record->ObservedPrefill =
        movingAverage(Record->ObservedPrefill, Tokens / toSeconds(Elapsed),
                      Tracker.Options.Smoothing);
    Record->PrefillObservedAt = Now;
  }
}

static void
endAttempt(UpstreamTracker &Tracker, const std::string &Attempt, TimePoint Now,
           const std::function<void(UpstreamRecord &, const AttemptInFlight &)>
               &Observe) {
  const auto It = Tracker.Attempts.find(Attempt);
  if (It == Tracker.Attempts.end())
    return;
  const AttemptInFlight Flight = std::move(It->second);
  Tracker.Attempts.erase(It);
  UpstreamRecord *Record = find(Tracker, Flight.Upstream);
  if (!Record)
    return;
  removeAwaiting(*Record, Flight);
  int &Outstanding =
      Record->OwnOutstanding[static_cast<std::size_t>(Flight.Class)];
  Outstanding = std::max(Outstanding - 1, 0);
  addChange(*Record, {Now, 0, -1});
  Observe(*Record, Flight);
}

void noteFinished(UpstreamTracker &Tracker, const std::string &Attempt,
                  double GeneratedTokens, TimePoint Now) {
  const double Weight = Tracker.Options.Smoothing;
  endAttempt(Tracker, Attempt, Now,
             [&](UpstreamRecord &Record, const AttemptInFlight &Flight) {
               Record.ConsecutiveFailures = 0;
               Record.PausedUntil = {};
               Record.MeanService = fromSeconds(movingAverage(
                   toSeconds(Record.MeanService),
                   std::max(toSeconds(Now - Flight.SentAt), 1e-6), Weight));
               if (!Flight.FirstTokenAt || GeneratedTokens < 2)
                 return;
               const double Seconds = toSeconds(Now - *Flight.FirstTokenAt);
               if (Seconds > 0) {
                 Record.ObservedDecode =
                     movingAverage(Record.ObservedDecode,
                                   (GeneratedTokens - 1) / Seconds, Weight);
                 Record.DecodeObservedAt = Now;
               }
             });
}

void noteFailed(UpstreamTracker &Tracker, const std::string &Attempt,
                AttemptFailure Failure, TimePoint Now) {
  const TrackerOptions &Options = Tracker.Options;
  endAttempt(Tracker, Attempt, Now,
             [&](UpstreamRecord &Record, const AttemptInFlight &) {
               if (Failure == AttemptFailure::Cancelled)
                 return;
               if (Failure == AttemptFailure::Refused) {
                 Record.PausedUntil =
                     std::max(Record.PausedUntil, Now + Options.RefusedPause);
                 return;
               }
               ++Record.ConsecutiveFailures;
               const int Beyond =
                   Record.ConsecutiveFailures - Options.FailuresBeforePause;
               if (Beyond < 0)
                 return;
               const Duration Pause = std::min<Duration>(
                   Options.InitialPause * (1 << std::min(Beyond, 16)),
                   Options.MaxPause);
               Record.PausedUntil = std::max(Record.PausedUntil, Now + Pause);
             });
}

void noteVersionMismatch(UpstreamTracker &Tracker, std::string_view Upstream) {
  const auto It = Tracker.Upstreams.find(std::string(Upstream));
  if (It != Tracker.Upstreams.end() && It->second.Report)
    It->second.Report->WeightVersion.clear();
}

void noteLoadReport(UpstreamTracker &Tracker, std::string_view Upstream,
                    LoadReport Report, TimePoint Now) {
  UpstreamRecord *Record = find(Tracker, Upstream);
  // Answers to two polls may arrive out of order.
  if (!Record ||
      (Record->Report && Record->Report->SampledAt > Report.SampledAt))
    return;
  Report.SampledAt = std::min(Report.SampledAt, Now);
  // Work sent within one network delay of the sample had not arrived by then.
  const TimePoint Covered = Report.SampledAt - Record->NetworkDelay;
  while (!Record->ChangesSinceReport.empty() &&
         Record->ChangesSinceReport.front().At <= Covered) {
    Record->TokensSinceReport -= Record->ChangesSinceReport.front().Tokens;
    Record->RequestsSinceReport -= Record->ChangesSinceReport.front().Requests;
    Record->ChangesSinceReport.pop_front();
  }
  if (Record->ChangesSinceReport.empty()) {
    Record->TokensSinceReport = 0;
    Record->RequestsSinceReport = 0;
  }
  Record->Report = std::move(Report);
}

void noteRoundTrip(UpstreamTracker &Tracker, std::string_view Upstream,
                   Duration RoundTrip) {
  UpstreamRecord *Record = find(Tracker, Upstream);
  if (!Record || RoundTrip < Duration::zero())
    return;
  if (!Record->NetworkMeasured || RoundTrip / 2 < Record->NetworkDelay)
    Record->NetworkDelay = RoundTrip / 2;
  Record->NetworkMeasured = true;
}

void notePeerDigest(UpstreamTracker &Tracker, std::string_view Peer,
                    std::span<const UpstreamWork> Work, TimePoint Now) {
  removePeer(Tracker, Peer);
  for (const UpstreamWork &Part : Work) {
    UpstreamRecord *Record = find(Tracker, Part.Upstream);
    if (!Record || Record->Peers.size() >= Tracker.Options.MaxPeers)
      continue;
    Record->Peers.insert_or_assign(
        std::string(Peer),
        PeerShare{Now, Part.PendingTokens, Part.Outstanding});
  }
}

void removePeer(UpstreamTracker &Tracker, std::string_view Peer) {
  for (auto &[Name, Record] : Tracker.Upstreams)
    if (const auto It = Record.Peers.find(Peer); It != Record.Peers.end())
      Record.Peers.erase(It);
}

std::vector<UpstreamWork> ownWork(const UpstreamTracker &Tracker) {
  std::vector<UpstreamWork> Work;
  for (const auto &[Name, Record] : Tracker.Upstreams)
    if (Record.OwnOutstanding != std::array<int, PromptClassCount>{})
      Work.push_back({Name, Record.OwnPending, Record.OwnOutstanding});
  return Work;
}

UpstreamView viewOf(std::string_view Name, const UpstreamRecord &Record,
                    const TrackerOptions &Options, TimePoint Now) {
  UpstreamView View{.Name = Name,
                    .Zone = Record.Zone,
                    .TakesNewWork = Record.Live && (Options.IgnorePauses ||
                                                    Record.PausedUntil <= Now),
                    .Slots = Record.Slots,
                    .PendingTokens = Record.OwnPending,
                    .OutstandingByClass = Record.OwnOutstanding,
                    .DecodeTokensPerSecond = Record.ObservedDecode,
                    .MeanService = Record.MeanService,
                    .NetworkDelay = Record.NetworkDelay,
                    .Share = Record.Share};
  for (const auto &[Peer, Part] : Record.Peers) {
    if (Now - Part.ReceivedAt > Options.MaxDigestAge)
      continue;
    for (std::size_t I = 0; I < PromptClassCount; ++I) {
      View.PendingTokens[I] += Part.PendingTokens[I];
      View.OutstandingByClass[I] += Part.Outstanding[I];
    }
  }
  double Speed = 0;
  if (Record.ObservedPrefill > 0 &&
      Now - Record.PrefillObservedAt <= Options.MaxSpeedAge)
    Speed = Record.ObservedPrefill;
  if (Record.Report) {
    const LoadReport &Report = *Record.Report;
    View.WeightVersion = Report.WeightVersion;
    if (Report.Slots > 0)
      View.Slots = Report.Slots;
    View.ReportAge = Now - Report.SampledAt;
    View.HasReport = View.ReportAge <= Options.MaxReportAge;
    if (View.HasReport) {
      View.TakesNewWork = View.TakesNewWork && Report.HasWeights;
      View.ReportedTokens = Report.QueuedTokens;
      View.ReportedRequests = Report.Running + Report.Queued;
      View.TokensSinceReport = Record.TokensSinceReport;
      View.RequestsSinceReport = Record.RequestsSinceReport;
      // Both lag; the lower one shows a slowdown first. In the experiment of
      // MicroBenchmarks.cpp this reduced the mean wait at 70 and 80 % load by
      // 12 to 55 %.
      if (Speed <= 0 || Report.PrefillTokensPerSecond <= 0)
        Speed = std::max(Speed, Report.PrefillTokensPerSecond);
      else
        Speed = std::min(Speed, Report.PrefillTokensPerSecond);
    }
  }
  if (Speed <= 0)
    Speed = Record.ObservedPrefill;
  // A stalled upstream yields no samples, so the wait of its oldest attempt is
  // used as an upper bound of its speed.
  if (Speed > 0 && !Record.AwaitingFirstToken.empty()) {
    const AttemptInFlight &Oldest = Record.AwaitingFirstToken.begin()->second;
    const double Waited =
        toSeconds(Now - Oldest.SentAt - 2 * Record.NetworkDelay);
    const double Tokens = Oldest.TokensAhead + Oldest.UncachedTokens;
    if (!Oldest.WaitedForSlot && Waited > 0.1 && Tokens > 0)
      Speed = std::min(Speed, std::max(Tokens / Waited, 1.0));
  }
  View.PrefillTokensPerSecond = Speed;
  if (isProbeDue(Record, Now)) {
    View.Share = 1;
    if (Record.ProbeSpeed > 0)
      View.PrefillTokensPerSecond = std::max(Speed, Record.ProbeSpeed);
  }
  return View;
}

void viewsOf(const UpstreamTracker &Tracker, TimePoint Now,
             std::vector<UpstreamView> &Views) {
  Views.clear();
  bool Any = false;
  for (const auto &[Name, Record] : Tracker.Upstreams) {
    Views.push_back(viewOf(Name, Record, Tracker.Options, Now));
    Any = Any || Views.back().TakesNewWork;
  }
  if (Any)
    return;
  TrackerOptions Unpaused = Tracker.Options;
  Unpaused.IgnorePauses = true;
  Views.clear();
  for (const auto &[Name, Record] : Tracker.Upstreams)
    Views.push_back(viewOf(Name, Record, Unpaused, Now));
}

} // namespace galenaroute
