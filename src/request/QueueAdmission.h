// Decides from the backlog of all gateways whether a new call is queued or
// refused at once.
//
//   addCall(Own, Class, IsLate, SlotTime);     // for each queued call
//   setReport(Backlog, From, Items, Now, Members);
//   const OthersBacklog Others = backlogOfOthers(Backlog, Key, Now);
//   if (mayRefuse(Slots, Backlog, Class, Now, {}) &&
//       expectedWait(Slots, Own, Others, Call, {}).Wait > Call.MaxWait) ...
//
// A call that will not be sent within its queueing time would wait in vain, and
// its caller could have retried meanwhile. The backlog is the engine time that
// the queued calls need, in ms of one slot, so that a few long calls count as
// much as many short ones. A wrong or old estimate refuses too few calls rather
// than too many: what the others have queued is reduced by the work that was
// possible since their report, and without current information no call is
// refused.
//
// Guarantees: no I/O and no clock; the time of a decision does not depend on
// the number of queued calls; the state is a short list for each source of
// reports and is dropped when it expires.

#ifndef GALENAROUTE_REQUEST_QUEUEADMISSION_H
#define GALENAROUTE_REQUEST_QUEUEADMISSION_H

#include "request/EngineRoom.h"

#include <map>
#include <string>
#include <vector>

namespace galenaroute {

/// Work of queued calls by class, in ms of one slot. Late calls go after all
/// others, so that they are counted apart.
struct QueuedWork {
  ByClass<std::uint64_t> OnTimeMs{};
  ByClass<std::uint64_t> LateMs{};
};

bool isEmpty(const QueuedWork &Work);
std::uint64_t totalMs(const QueuedWork &Work);
void add(QueuedWork &Sum, const QueuedWork &Part);
/// Returns \p Of minus \p Part, clamped to zero.
QueuedWork saturatingDifference(const QueuedWork &Of, const QueuedWork &Part);
/// Adds a queued call that will hold a slot for \p SlotTime.
void addCall(QueuedWork &Sum, std::size_t Class, bool IsLate,
             Duration SlotTime);

/// Returns the engine time of a call by its tokens.
Duration tokenWork(std::uint64_t UncachedTokens, std::uint64_t OutputTokens);

/// The backlog of one service, in messages.
struct BacklogItem {
  std::uint32_t Key = 0; ///< useKey() of the service's name.
  QueuedWork Work;
};

/// Services in one message; those with the most work are listed.
inline constexpr std::size_t MaxBacklogItems = 16;
/// Larger values in messages are read as this one, so that sums don't overflow.
inline constexpr std::uint64_t MaxBacklogMs = 1'000'000'000;

/// Adds the items of \p Part to the items of \p Sum with the same keys.
void addItems(std::vector<BacklogItem> &Sum, std::span<const BacklogItem> Part);
/// Raises the items of \p Maxima to those of \p Part where they are larger.
void raiseItems(std::vector<BacklogItem> &Maxima,
                std::span<const BacklogItem> Part);
/// Removes empty items and those beyond MaxBacklogItems.
void limitItems(std::vector<BacklogItem> &Items);
/// Subtracts the items of \p Part from the items of \p From.
void subtractItems(std::vector<BacklogItem> &From,
                   std::span<const BacklogItem> Part);

struct BacklogReport {
  std::vector<BacklogItem> Items;
  TimePoint At;
  std::size_t Members = 1; ///< Gateways whose backlog Items sums.
};

/// What the other gateways have reported.
struct FleetBacklog {
  Duration MaxAge = std::chrono::milliseconds(400);
  std::map<std::string, BacklogReport> Reports; ///< By source.
  /// Before this time, reports may have waited while this process stood still.
  TimePoint TrustedFrom;
  /// Whether the queue is to be assessed again from TrustedFrom on.
  bool IsReassessmentDue = false;
};

/// Replaces the report of \p From.
void setReport(FleetBacklog &Backlog, const std::string &From,
               std::vector<BacklogItem> Items, TimePoint Now,
               std::size_t Members);
/// Removes reports older than MaxAge.
void expireReports(FleetBacklog &Backlog, TimePoint Now);
/// Drops what was known before this process stood still.
void noteStandstill(FleetBacklog &Backlog, TimePoint Now);
/// Returns, once after a standstill, whether the queues are to be assessed
/// again now.
bool takeReassessment(FleetBacklog &Backlog, TimePoint Now);

/// The backlog of a service at the other gateways that are heard.
struct OthersBacklog {
  QueuedWork Work;
  std::size_t Gateways = 0;
  Duration Age{}; ///< Of the oldest report.
};

OthersBacklog backlogOfOthers(const FleetBacklog &Backlog, std::uint32_t Key,
                              TimePoint Now);

/// The slots of a service and the calls of all gateways there, as far as known.
struct ServiceSlots {
  std::uint64_t Slots = 0;
  ByClass<std::uint64_t> ClassCalls{};
  /// Calls of each class that fit in the memory of all engines; zero if
  /// unknown.
  ByClass<std::uint64_t> MemoryCalls{};
  std::size_t Gateways = 1; ///< That share the slots.
  /// When this was found; unset before the first time and after a standstill.
  std::optional<TimePoint> At;
};

struct AdmissionSettings {
  /// Fraction of the slots that a class gets whatever the others need.
  double MinShare = 0.25;
  /// No call is refused while a smaller fraction of the slots is in use.
  double MinBusyShare = 0.5;
  /// Older information on the slots is not used.
  Duration MaxSlotsAge = std::chrono::seconds(1);
};

/// A call that is to be queued.
struct AdmissionCall {
  std::size_t Class = 0;
  Duration UntilLate{}; ///< Until it goes after all calls on time.
  Duration MaxWait{};   ///< How long it may still be queued.
};

struct WaitEstimate {
  std::uint64_t BacklogMs = 0; ///< Work ahead of the call.
  Duration Wait{};
};

/// Returns the wait behind \p Own and \p Others at the share of the slots of
/// the gateways that are heard. A call that would be late before it is sent
/// waits for the late calls of its class as well.
WaitEstimate fleetWait(const ServiceSlots &Slots, const QueuedWork &Own,
                       const OthersBacklog &Others, const AdmissionCall &Call,
                       const AdmissionSettings &Settings);

/// Returns the expected wait: fleetWait(), or the wait behind the own queue at
/// one gateway's share of the slots if that is shorter. All gateways get equal
/// shares of the free slots, and only the own queue is known without delay.
WaitEstimate expectedWait(const ServiceSlots &Slots, const QueuedWork &Own,
                          const OthersBacklog &Others,
                          const AdmissionCall &Call,
                          const AdmissionSettings &Settings);

/// Returns whether calls of \p Class may be refused: the information is
/// current, the slots are in use, and no less urgent call holds one that the
/// most urgent class could get.
bool mayRefuse(const ServiceSlots &Slots, const FleetBacklog &Backlog,
               std::size_t Class, TimePoint Now,
               const AdmissionSettings &Settings);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_QUEUEADMISSION_H
