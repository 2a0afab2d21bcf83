#include "request/QueueAdmission.h"

#include <algorithm>
#include <numeric>

namespace galenaroute {

/// An engine prefills about 100 prompt tokens per millisecond.
static constexpr double PrefillTokensPerMs = 100;
/// Each step of an engine generates a token of each running call and takes a
/// few milliseconds.
static constexpr double MsPerOutputToken = 3;

template <typename T> static T sumOf(const ByClass<T> &Values) {
  return std::accumulate(Values.begin(), Values.end(), T{});
}

/// Returns the sum over the classes that are more urgent than \p Class.
template <typename T>
static T moreUrgent(const ByClass<T> &Values, std::size_t Class) {
  return std::accumulate(
      Values.begin(), Values.begin() + static_cast<std::ptrdiff_t>(Class), T{});
}

std::uint64_t totalMs(const QueuedWork &Work) {
  return sumOf(Work.OnTimeMs) + sumOf(Work.LateMs);
}

bool isEmpty(const QueuedWork &Work) { return totalMs(Work) == 0; }

void add(QueuedWork &Sum, const QueuedWork &Part) {
  for (std::size_t I = 0; I < PriorityClasses; ++I) {
    Sum.OnTimeMs[I] += Part.OnTimeMs[I];
    Sum.LateMs[I] += Part.LateMs[I];
  }
}

QueuedWork saturatingDifference(const QueuedWork &Of, const QueuedWork &Part) {
  QueuedWork Result;
  for (std::size_t I = 0; I < PriorityClasses; ++I) {
    Result.OnTimeMs[I] =
        Of.OnTimeMs[I] - std::min(Of.OnTimeMs[I], Part.OnTimeMs[I]);
    Result.LateMs[I] = Of.LateMs[I] - std::min(Of.LateMs[I], Part.LateMs[I]);
  }
  return Result;
}

void addCall(QueuedWork &Sum, std::size_t Class, bool IsLate,
             Duration SlotTime) {
  auto &Ms = (IsLate ? Sum.LateMs : Sum.OnTimeMs)[Class];
  Ms += static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, std::chrono::floor<Milliseconds>(SlotTime).count()));
}

Duration tokenWork(std::uint64_t UncachedTokens, std::uint64_t OutputTokens) {
  return fromSeconds((static_cast<double>(UncachedTokens) / PrefillTokensPerMs +
                      static_cast<double>(OutputTokens) * MsPerOutputToken) /
                     1000);
}

static BacklogItem *findItem(std::vector<BacklogItem> &Items,
                             std::uint32_t Key) {
  const auto Found =
      std::find_if(Items.begin(), Items.end(),
                   [&](const BacklogItem &Each) { return Each.Key == Key; });
  return Found == Items.end() ? nullptr : &*Found;
}

void addItems(std::vector<BacklogItem> &Sum,
              std::span<const BacklogItem> Part) {
  for (const BacklogItem &Each : Part)
    if (BacklogItem *Same = findItem(Sum, Each.Key))
      add(Same->Work, Each.Work);
    else
      Sum.push_back(Each);
}

void raiseItems(std::vector<BacklogItem> &Maxima,
                std::span<const BacklogItem> Part) {
  for (const BacklogItem &Each : Part)
    if (BacklogItem *Same = findItem(Maxima, Each.Key))
      for (std::size_t I = 0; I < PriorityClasses; ++I) {
        QueuedWork &Work = Same->Work;
        Work.OnTimeMs[I] = std::max(Work.OnTimeMs[I], Each.Work.OnTimeMs[I]);
        Work.LateMs[I] = std::max(Work.LateMs[I], Each.Work.LateMs[I]);
      }
    else
      Maxima.push_back(Each);
}

void limitItems(std::vector<BacklogItem> &Items) {
  std::erase_if(Items,
                [](const BacklogItem &Each) { return isEmpty(Each.Work); });
  if (Items.size() <= MaxBacklogItems)
    return;
  std::nth_element(Items.begin(),
                   Items.begin() + static_cast<std::ptrdiff_t>(MaxBacklogItems),
                   Items.end(), [](const BacklogItem &A, const BacklogItem &B) {
                     return totalMs(A.Work) > totalMs(B.Work);
                   });
  Items.resize(MaxBacklogItems);
}

void subtractItems(std::vector<BacklogItem> &From,
                   std::span<const BacklogItem> Part) {
  for (const BacklogItem &Each : Part)
    if (BacklogItem *Same = findItem(From, Each.Key))
      Same->Work = saturatingDifference(Same->Work, Each.Work);
}

void setReport(FleetBacklog &Backlog, const std::string &From,
               std::vector<BacklogItem> Items, TimePoint Now,
               std::size_t Members) {
  Backlog.Reports[From] = {std::move(Items), Now, Members};
}

void expireReports(FleetBacklog &Backlog, TimePoint Now) {
  std::erase_if(Backlog.Reports, [&](const auto &Each) {
    return Now - Each.second.At > Backlog.MaxAge;
  });
}

void noteStandstill(FleetBacklog &Backlog, TimePoint Now) {
  Backlog.Reports.clear();
  Backlog.TrustedFrom = Now + Backlog.MaxAge;
  Backlog.IsReassessmentDue = true;
}

bool takeReassessment(FleetBacklog &Backlog, TimePoint Now) {
  if (!Backlog.IsReassessmentDue || Now < Backlog.TrustedFrom)
    return false;
  Backlog.IsReassessmentDue = false;
  return true;
}

OthersBacklog backlogOfOthers(const FleetBacklog &Backlog, std::uint32_t Key,
                              TimePoint Now) {
  OthersBacklog Result;
  for (const auto &[From, Each] : Backlog.Reports) {
    if (Now - Each.At > Backlog.MaxAge)
      continue;
    Result.Gateways += Each.Members;
    Result.Age = std::max(Result.Age, Now - Each.At);
    for (const BacklogItem &Item : Each.Items)
      if (Item.Key == Key)
        add(Result.Work, Item.Work);
  }
  return Result;
}

/// Returns how many slots calls of \p Class can hold at a time beside the more
/// urgent ones in flight.
static double slotsFor(const ServiceSlots &Slots, std::size_t Class,
                       const AdmissionSettings &Settings) {
  // The mean time of a call includes its wait at the engine, so that calls that
  // wait there count as if they had a slot.
  const auto Capacity =
      static_cast<double>(std::max(Slots.Slots, sumOf(Slots.ClassCalls)));
  const auto Urgent = static_cast<double>(moreUrgent(Slots.ClassCalls, Class));
  const double Free = std::max(Capacity * Settings.MinShare, Capacity - Urgent);
  if (Slots.MemoryCalls[Class] == 0)
    return Free;
  return std::min(Free, static_cast<double>(std::max(Slots.MemoryCalls[Class],
                                                     Slots.ClassCalls[Class])));
}

/// Returns the time in which \p Share of the slots do the work of \p Class and
/// more urgent ones.
static Duration timeFor(const ServiceSlots &Slots,
                        const ByClass<std::uint64_t> &Work, std::size_t Class,
                        double Share, const AdmissionSettings &Settings) {
  double Ms = 0;
  for (std::size_t I = 0; I <= Class; ++I)
    if (Work[I] > 0)
      Ms +=
          static_cast<double>(Work[I]) / (slotsFor(Slots, I, Settings) * Share);
  return fromSeconds(Ms / 1000);
}

WaitEstimate fleetWait(const ServiceSlots &Slots, const QueuedWork &Own,
                       const OthersBacklog &Others, const AdmissionCall &Call,
                       const AdmissionSettings &Settings) {
  if (Slots.Slots == 0)
    return {};
  const auto Gateways =
      static_cast<double>(std::max<std::size_t>(1, Slots.Gateways));
  const double Share =
      std::min(1.0, (1 + static_cast<double>(Others.Gateways)) / Gateways);
  const auto TimeOf = [&](const ByClass<std::uint64_t> &Work) {
    return timeFor(Slots, Work, Call.Class, Share, Settings);
  };
  const auto SumOf = [&](const ByClass<std::uint64_t> &Work) {
    return moreUrgent(Work, Call.Class + 1);
  };
  // Since the report, the slots have worked for that long.
  const auto Remaining = [&](Duration Time) {
    return std::max(Duration::zero(), Time - Others.Age);
  };
  const WaitEstimate OnTime{SumOf(Own.OnTimeMs) + SumOf(Others.Work.OnTimeMs),
                            TimeOf(Own.OnTimeMs) +
                                Remaining(TimeOf(Others.Work.OnTimeMs))};
  if (OnTime.Wait <= Call.UntilLate)
    return OnTime;
  return {
      OnTime.BacklogMs + SumOf(Own.LateMs) + SumOf(Others.Work.LateMs),
      TimeOf(Own.OnTimeMs) + TimeOf(Own.LateMs) +
          Remaining(TimeOf(Others.Work.OnTimeMs) + TimeOf(Others.Work.LateMs))};
}

WaitEstimate expectedWait(const ServiceSlots &Slots, const QueuedWork &Own,
                          const OthersBacklog &Others,
                          const AdmissionCall &Call,
                          const AdmissionSettings &Settings) {
  const WaitEstimate Fleet = fleetWait(Slots, Own, Others, Call, Settings);
  const WaitEstimate Here = fleetWait(Slots, Own, {}, Call, Settings);
  return Here.Wait < Fleet.Wait ? Here : Fleet;
}

bool mayRefuse(const ServiceSlots &Slots, const FleetBacklog &Backlog,
               std::size_t Class, TimePoint Now,
               const AdmissionSettings &Settings) {
  if (!Slots.At || Now - *Slots.At > Settings.MaxSlotsAge ||
      Now < Backlog.TrustedFrom)
    return false;
  const std::uint64_t Calls = sumOf(Slots.ClassCalls);
  if (static_cast<double>(Calls) <
      static_cast<double>(Slots.Slots) * Settings.MinBusyShare)
    return false;
  return Class > 0 || Calls == Slots.ClassCalls[0];
}

} // namespace galenaroute
