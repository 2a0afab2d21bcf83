// The registered upstreams, and the state that this process has observed of
// each.
//
//   UpstreamTable Table(Settings);
//   Table.put(Registered, Now);
//   if (auto Chosen = Table.choose(Query, Now)) ...
//
// Guarantees: an upstream that is draining or gone, or whose zone is evacuated,
// is never chosen; the observed state of one incarnation is not used for
// another; memory is one small record for each registered upstream.

#ifndef GALENAROUTE_REQUEST_UPSTREAMTABLE_H
#define GALENAROUTE_REQUEST_UPSTREAMTABLE_H

#include "request/BrittleUpstreams.h"
#include "request/EngineMemory.h"
#include "request/EngineRoom.h"
#include "request/PrefillQueue.h"
#include "request/PromptReuse.h"
#include "request/QueueAdmission.h"
#include "request/SharedUse.h"
#include "request/UpstreamChoice.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace galenaroute {

/// An upstream's entry in the registry.
struct RegisteredUpstream {
  std::string Id;
  std::string Service;
  SocketAddress Address;
  std::string Zone;
  int Slots = 1;
  bool IsLeaving = false;
  std::string SoftwareVersion;
  Duration WarmUp{};       ///< Remaining time of slow start.
  std::int64_t BornMs = 0; ///< Unix time of its start; identifies incarnations.
  std::map<std::string, std::uint64_t> WeightVersions; ///< By model.
};

/// A registered upstream and its observed state.
struct UpstreamEntry {
  RegisteredUpstream Registered;
  std::uint64_t Incarnation = 0; ///< Its incarnationKey().
  int OwnCalls = 0;
  std::optional<UpstreamLoad> Load;
  int OwnCallsAtReport = 0;
  TimePoint ReportedAt;
  double FailureScore = 0;
  TimePoint FailureAt;
  TimePoint WarmUpEnd;
  std::optional<std::uint64_t> WeightVersion; ///< Of its single model.
  EngineMemory Memory;
  /// Prompt tokens of own calls in flight that have not begun to answer.
  std::uint64_t TokensAhead = 0;
  /// Tokens of own calls in flight, of prompts and answers.
  std::uint64_t OwnTokens = 0;
  /// The part of OwnCalls in each of the most urgent classes.
  std::array<int, ReportedClasses> OwnClassCalls{};
  std::uint32_t UseKey = 0; ///< See useKey().
  TimePoint ProgressAt;     ///< When it last began to answer a call.
  TimePoint HeardAt;        ///< When it last sent bytes of any answer.
  TimePoint SuspendedUntil; ///< No calls until then, as after a refusal.
  TimePoint PausedUntil;    ///< Backoff that it asked for.
  /// It announced that it leaves, in an answer or in the registry. The registry
  /// may lag behind, or be restored from a copy that does not know of it.
  bool AnnouncedLeaving = false;

  bool isLeaving() const {
    return this->Registered.IsLeaving || this->AnnouncedLeaving;
  }
  std::optional<TimePoint> MissingSince; ///< Set if missing in the last list.
  /// Set while its service is brittle.
  std::optional<BrittleAllowance> Allowance;
  BrittleSends RecentSends; ///< Counted while Allowance is set.
};

struct UpstreamTableSettings {
  std::string Zone; ///< Of this process.
  /// Id of this process. Gateways with different ids prefer different engines
  /// beside the ranked ones.
  std::string GatewayId;
  /// Divides calls by the calls expected since the last reports instead of
  /// sending each to the cheapest upstream, see LoadEstimate.h.
  bool DividesCalls = true;
  /// Mean age of the use that the other gateways report.
  Duration PeerUseAge = std::chrono::milliseconds(200);
  UpstreamChoiceSettings Choice;
  PrefillQueueSettings Prefill;
  std::size_t MinLargeFleet = 17; ///< Gateways; see isLargeFleet().
  /// Half-life of the failure score.
  Duration FailureHalfLife = std::chrono::milliseconds(1500);
  double MaxFailureScore = 6;
  /// Maximum prompt tokens of this process in prefill at one engine; a single
  /// larger call is allowed. An engine prefills prompts in order of arrival,
  /// whatever their urgency, so further calls are queued here.
  std::uint64_t MaxTokensAhead = 5000;
  /// Maximum calls queued at an engine, by its recent report, and the higher
  /// limit up to which urgent calls are still sent there. For calls with a
  /// class, the limits of EngineRoomSettings apply.
  int MaxWaiting = 1;
  int MaxWaitingUrgent = 6;
  EngineRoomSettings Room;
  BrittleSettings Brittle;
  Duration MaxReportAge = std::chrono::milliseconds(400);
  /// Limit on the prompt tokens of all gateways together, applied when the
  /// other gateways have reported their use. An engine prefills about 100
  /// prompt tokens per millisecond.
  std::uint64_t MaxTotalTokensAhead = 8000;
  /// Fraction of an engine's memory that calls may use, including the reported
  /// calls of other gateways.
  double MaxMemoryUse = 0.95;
  /// Without reports of the other gateways: the memory that each of them is
  /// assumed to use, relative to the use of this one.
  double PeerMemoryShare = 0.9;
  /// Fraction of this gateway's share of an engine's memory that may be in use
  /// when a call larger than the share is sent there. Prevents starvation of
  /// the largest calls.
  double MaxShareWithLargeCall = 0.3;
  /// Candidates for a prompt: the first ones by the rendezvous rank of its
  /// subject, the same at all gateways, and some at random for each call. If
  /// all gateways compared all upstreams, they would send the calls of one
  /// status period to the same few.
  std::size_t RankedCandidates = 4;
  std::size_t RandomCandidates = 2;
  /// Random candidates of a short call of a service with several priorities: an
  /// engine without a prefill queue saves it more time than cached parts.
  std::size_t ShortCallCandidates = 24;
  /// Engines that this process knows to hold the shared parts of the prompt,
  /// in addition.
  std::size_t HolderCandidates = 3;
  /// The random candidates are drawn from this many engines, which differ
  /// between gateways, so that each gateway has idle connections to them; 0 for
  /// all engines.
  std::size_t SubsetSize = 12;
  /// For a call that needs more than this fraction of an engine's memory all
  /// engines are candidates, since few of them have enough free.
  double LargeCallShare = 0.25;
  /// How long an entry that is missing in a list is kept. Entries that expired
  /// during an outage of the registry are back within 2 s of its recovery.
  Duration MissingRetention = std::chrono::milliseconds(1700);
};

/// The properties of a call by which its upstream is chosen.
struct UpstreamQuery {
  std::string_view Service;
  std::span<const std::string> Excluded; ///< Ids of upstreams not to use.
  std::string_view Subject;              ///< Of the prompt; empty if none.
  std::span<const PromptPart> Parts;
  /// Returns the cache scope on an engine with the given weights.
  std::function<std::string(std::uint64_t Weights)> ScopeOf;
  /// Returns the store that holds the part with the given key, or null.
  std::function<const StoreView *(const std::string &PartKey,
                                  std::uint32_t Tokens)>
      StoredIn;
  std::string_view HomeZone;      ///< See homeZone().
  std::uint64_t MemoryTokens = 0; ///< Capacity of an engine's prefix cache.
  std::uint64_t EngineTokens = 0; ///< Capacity of an engine's memory.
  std::uint32_t CallTokens = 0;   ///< Maximum that the call needs.
  bool IsUrgent = false;          ///< Allowed where other calls are queued.
  /// The call's priorityClass(), if the service has several priorities.
  std::optional<std::size_t> Class;
  Duration Target{};   ///< Latency target of the call.
  Duration ToTarget{}; ///< Time until the call is late.
  /// An engine's memory divided by its slots. Calls that need no more are short
  /// and choose among more engines.
  std::uint64_t ShortCallTokens = 0;
  std::uint64_t Draw = 0; ///< Random; selects the random candidates.
  std::optional<std::uint64_t> NewestWeightVersion;
  std::uint64_t MinWeightVersion = 0; ///< Engines with older ones are excluded.
  /// Upstreams with other software are excluded.
  std::optional<std::string_view> SoftwareVersion;
  /// Upstreams with this software are excluded.
  std::span<const std::string> ExcludedSoftware;
};

/// Returns how many of the \p MaxConnections that an upstream accepts from all
/// gateways one of \p KnownGateways may open.
std::size_t connectionShare(std::size_t MaxConnections,
                            std::size_t KnownGateways);

/// The registered upstreams of all services.
class UpstreamTable {
public:
  /// Whether a connection to an upstream is idle, and whether a new one may be
  /// opened.
  struct ConnectionCapacity {
    bool HasIdle = false;
    bool MayOpen = true;
  };
  using ConnectionCapacityOf =
      std::function<ConnectionCapacity(const UpstreamEntry &Entry)>;

  /// Whether the rate limit of an upstream allows a call now.
  struct CallPermission {
    bool MayCall = true;
    /// When calls are expected to be allowed; in the past if unknown.
    TimePoint ExpectedAt;
  };

  explicit UpstreamTable(UpstreamTableSettings Settings,
                         ConnectionCapacityOf CapacityOf);

  /// Adds or updates an entry of the registry.
  void put(const RegisteredUpstream &Upstream, TimePoint Now);
  void remove(std::string_view Id, TimePoint Now);
  /// Applies a complete list: entries not in \p Ids expire unless they return.
  void retain(const std::set<std::string> &Ids, TimePoint Now);
  /// Removes entries that have been missing for too long.
  void expire(TimePoint Now);

  /// Begins or ends the evacuation of a zone, whose upstreams get no new calls
  /// meanwhile. Returns whether this changed anything.
  bool setEvacuated(std::string_view Zone, bool Evacuated);
  const std::set<std::string, std::less<>> &evacuatedZones() const {
    return this->EvacuatedZones;
  }
  bool isEvacuated(const UpstreamEntry &Entry) const {
    return !this->EvacuatedZones.empty() &&
           this->EvacuatedZones.contains(Entry.Registered.Zone);
  }
  /// Returns whether an upstream of the service that takes new calls runs the
  /// software version.
  bool hasSoftware(std::string_view Service, std::string_view Version) const;
  /// Returns whether the service has upstreams, all in evacuated zones.
  bool isServiceEvacuated(std::string_view Service) const;

  const UpstreamEntry *find(std::string_view Id) const;
  const std::map<std::string, UpstreamEntry, std::less<>> &entries() const {
    return this->Entries;
  }

  struct Chosen {
    const UpstreamEntry *Entry = nullptr;
    std::uint32_t TokensToPrefill =
        0;                  ///< Prompt tokens expected to be prefilled.
    std::uint32_t Work = 0; ///< See noteSent().
    ChoiceKind Kind = ChoiceKind::Random;
    /// Of a home or ranked engine, among the eligible ones.
    std::optional<std::size_t> Rank;
    double EstimatedCalls = 0; ///< See expectedRuns(), without this call.
    /// Upstreams that were left out only because they may not be called at this
    /// time, see CallPermission.
    std::vector<const UpstreamEntry *> WithoutPermit;
    /// How many were left out only because they are brittle, see mayCall().
    std::size_t WithoutAllowance = 0;
    /// Keys and shares of the candidates, and the index of Entry among them.
    std::vector<std::uint32_t> Keys;
    std::vector<double> Shares;
    std::size_t Index = 0;
  };

  /// Chooses an upstream; Entry is null if none has capacity and a connection.
  Chosen choose(const UpstreamQuery &Query, TimePoint Now) const;
  /// Returns the home engine of the subject, whatever its load: the one with
  /// the highest rendezvous rank outside the evacuated zones.
  const UpstreamEntry *home(const UpstreamQuery &Query) const;
  /// Notes that a call is sent as chosen.
  void noteChoice(const Chosen &Choice, std::string_view Service,
                  TimePoint Now);

  /// Adds a call in flight. \p Work is what it adds to the prefill queue, in
  /// prompt tokens (those to be prefilled, or prefillWork()), and counts until
  /// notePrefillEnded(); \p CallTokens are needed in total and count until
  /// noteEnded(), which gets the same \p Class, see UpstreamQuery.
  void noteSent(std::string_view Id, std::uint32_t Work,
                std::uint32_t CallTokens,
                std::optional<std::size_t> Class = std::nullopt);
  /// Notes that the call's prompt was prefilled or never will be.
  void notePrefillEnded(std::string_view Id, std::uint32_t PromptTokens);
  void noteEnded(std::string_view Id, std::uint32_t CallTokens,
                 std::optional<std::size_t> Class = std::nullopt);
  /// Notes that a call is to be sent.
  void noteWanted(const UpstreamQuery &Query, TimePoint Now);
  /// Notes that a call ended \p Elapsed after it was sent, with an answer.
  void noteCallTime(std::string_view Service, std::size_t Class,
                    Duration Elapsed);
  /// Updates the estimates of the calls in flight of each class; to be called
  /// in each status period.
  void updateEstimates(TimePoint Now);
  /// Notes that this process stood still, so that what it knows is outdated.
  void noteStandstill();
  /// Returns the estimate for a service.
  const RoomEstimate &estimateOf(std::string_view Service) const;
  /// Returns the slots of a service and the calls there at the last update of
  /// its estimate.
  ServiceSlots slotsOf(std::string_view Service) const;
  /// Returns how long calls of the class hold a slot on average, or \p Default
  /// if that is unknown.
  Duration slotTime(std::string_view Service, std::size_t Class,
                    Duration Default) const;
  /// Returns the calls of this gateway in flight at engines, to be reported to
  /// the other gateways.
  std::vector<UseItem> ownUse() const;
  UseItem ownUseOf(const UpstreamEntry &Entry) const;
  /// The use that the other gateways have reported.
  SharedUse &peerUse() { return this->PeerUse; }
  /// Returns the use of an upstream by the other gateways, scaled up for those
  /// without a report, or nothing if none has reported.
  std::optional<UpstreamUse> peerUseAt(const UpstreamEntry &Entry) const;
  /// Returns the calls of all gateways in flight at an upstream, as far as
  /// reported.
  std::uint64_t totalCallsAt(const UpstreamEntry &Entry) const;
  /// Returns whether the fleet is so large that each gateway knows little of
  /// the load at an engine by itself. Below, reserved capacity would keep more
  /// calls waiting than it lets begin in time.
  bool isLargeFleet() const {
    return this->GatewayCount >= this->Settings.MinLargeFleet;
  }
  /// Sets the number of gateways that send calls, including this one.
  void setGatewayCount(std::size_t Count) { this->GatewayCount = Count; }
  /// Sets the gateways among which the room of brittle upstreams is divided:
  /// \p Known counts this one and the others, including those that are not
  /// heard; \p Others are the stableHash() of their ids, as far as known.
  void setFleet(std::size_t Known, std::vector<std::uint64_t> Others);
  /// Notes what an answer of the upstream states, see CallAnswer.
  void noteBrittle(std::string_view Id, std::optional<int> MaxRefusals,
                   TimePoint Now);
  /// Notes a call that a brittle upstream may refuse, and that it did or did
  /// not. \p SentAt identifies the call.
  void noteAwaited(std::string_view Id, TimePoint SentAt);
  void noteAccepted(std::string_view Id, TimePoint SentAt);
  void noteRefused(std::string_view Id, TimePoint SentAt, TimePoint Now);
  /// Notes that a call uses the parts of \p Query at the engine.
  void noteParts(std::string_view Id, const UpstreamQuery &Query);
  /// Sends no calls to the upstream until \p Until, as after a refusal.
  void suspendUntil(std::string_view Id, TimePoint Until);
  /// Notes that an incarnation of the upstream asked for a backoff until
  /// \p Until. This and noteLeaving() apply to that incarnation alone, also if
  /// its registry entry was removed before or is lost and returns.
  void notePaused(std::string_view Id, std::uint64_t Incarnation,
                  TimePoint Until, TimePoint Now);
  /// Notes that an incarnation of the upstream announced that it leaves.
  void noteLeaving(std::string_view Id, std::uint64_t Incarnation,
                   TimePoint Now);
  /// Returns the earliest time at which an upstream of the service accepts
  /// calls: in the past if one accepts them now, nothing if there is none
  /// outside the evacuated zones.
  std::optional<TimePoint> availableAt(std::string_view Service) const;
  void noteLoad(std::string_view Id, const UpstreamLoad &Load, TimePoint Now);
  void noteFailure(std::string_view Id, double Weight, TimePoint Now);
  /// Forgets the failures of the upstreams of a service.
  void clearFailures(std::string_view Service);
  void noteProgress(std::string_view Id, TimePoint Now);
  void noteHeard(std::string_view Id, TimePoint Now);
  void noteSuccess(std::string_view Id);
  void noteWeights(std::string_view Id, std::uint64_t Version);

  /// Returns the permission to call an upstream.
  std::function<CallPermission(const UpstreamEntry &Entry)> PermissionOf =
      [](const UpstreamEntry &) { return CallPermission{}; };
  /// Called with an upstream that was removed or has restarted without
  /// announcing that it leaves.
  std::function<void(const UpstreamEntry &Ended)> OnUnexpectedEnd =
      [](const UpstreamEntry &) {};
  /// Called with an upstream that was removed at \p RemovedAt without
  /// announcing that it leaves, and that is registered again as the same
  /// incarnation.
  std::function<void(const UpstreamEntry &Returned, TimePoint RemovedAt)>
      OnReturned = [](const UpstreamEntry &, TimePoint) {};
  /// Called with the address of an upstream that was removed, has restarted,
  /// announced that it leaves, or whose zone is evacuated.
  std::function<void(const SocketAddress &Address)> OnUnavailable =
      [](const SocketAddress &) {};

private:
  UpstreamEntry *findMutable(std::string_view Id);
  struct Announcement;
  Announcement &announcementOf(std::uint64_t Incarnation, TimePoint Now);
  bool isEligible(const UpstreamEntry &Entry, const UpstreamQuery &Query,
                  TimePoint Now) const;
  /// A prompt part as it is cached with some weights.
  struct PartKey {
    std::string Key; ///< See partKey().
    std::uint64_t Hash = 0;
    bool IsCachedAnywhere = false;
  };
  /// The shared parts of a prompt by weight version, for the duration of one
  /// choice.
  using SharedParts = std::map<std::uint64_t, std::vector<PartKey>>;
  struct Selection {
    /// The candidates for a call, the home of its subject first.
    std::vector<const UpstreamEntry *> Candidates;
    /// How many of them are ranked, and are no random ones or holders.
    std::size_t Ranked = 0;
    /// How many of those after the ranked ones are holders.
    std::size_t Holders = 0;
    /// Eligible upstreams of the service.
    std::size_t Upstreams = 0;
  };

  /// Notes in \p Result which upstreams lack a permit or an allowance.
  Selection selectCandidates(const UpstreamQuery &Query, SharedParts &Parts,
                             TimePoint Now, Chosen &Result) const;
  bool hasAllowance(const UpstreamEntry &Entry, TimePoint Now) const;
  /// Returns the position of this gateway in the upstream's order of them.
  std::size_t positionAt(const UpstreamEntry &Entry) const;
  void updateAllowances(std::string_view Service);
  void endBrittle(std::string_view Service, std::string_view Reason);
  /// Moves the \p Count best entries in [From, end) by \p KeyOf to \p From.
  template <typename Function>
  static void sortFirst(std::vector<const UpstreamEntry *> &Entries,
                        std::size_t From, std::size_t Count, Function KeyOf);
  static std::vector<PartKey> &partsOf(SharedParts &Parts,
                                       const UpstreamEntry &Entry,
                                       const UpstreamQuery &Query);
  void addPromptCost(UpstreamCandidate &Candidate, const UpstreamEntry &Entry,
                     const UpstreamQuery &Query, SharedParts &Parts) const;
  /// Returns the calls per second of all gateways to one of \p Upstreams of a
  /// service, or nothing if this process has sent none.
  std::optional<double> callsPerUpstream(std::string_view Service,
                                         std::size_t Upstreams,
                                         TimePoint Now) const;
  /// Returns whether the rate of calls to a service is little known, in a large
  /// fleet.
  bool isRateNew(std::string_view Service, TimePoint Now) const;
  int ownCallsOf(std::string_view Service) const;
  /// Returns whether a call to one of \p Candidates is to wait because this
  /// process stood still shortly before.
  bool isPaced(const UpstreamQuery &Query,
               std::span<const UpstreamEntry *const> Candidates,
               TimePoint Now) const;
  /// In this and the following functions, \p PeerUse is peerUseAt() of the
  /// entry.
  bool hasCapacity(const UpstreamEntry &Entry,
                   const std::optional<UpstreamUse> &PeerUse,
                   const UpstreamQuery &Query, std::uint32_t TokensToPrefill,
                   TimePoint Now) const;
  bool hasMemory(const UpstreamEntry &Entry,
                 const std::optional<UpstreamUse> &PeerUse,
                 const UpstreamQuery &Query, TimePoint Now) const;
  EngineCalls callsAt(const UpstreamEntry &Entry,
                      const std::optional<UpstreamUse> &PeerUse,
                      TimePoint Now) const;
  RoomEstimate &mutableEstimate(std::string_view Service);
  UpstreamCandidate candidateOf(const UpstreamEntry &Entry,
                                const std::optional<UpstreamUse> &PeerUse,
                                TimePoint Now) const;
  double failureScore(const UpstreamEntry &Entry, TimePoint Now) const;

  UpstreamTableSettings Settings;
  ConnectionCapacityOf CapacityOf;
  std::size_t GatewayCount = 1;
  std::size_t KnownGateways = 1;
  std::vector<std::uint64_t> OtherGateways; ///< See setFleet().
  /// By service that is brittle.
  std::map<std::string, std::optional<BrittleStatement>, std::less<>> Brittle;
  SharedUse PeerUse{std::chrono::milliseconds(500)};
  std::set<std::string, std::less<>> EvacuatedZones;
  /// What an incarnation has announced of itself. Outlives its entry.
  struct Announcement {
    bool IsLeaving = false;
    TimePoint PausedUntil;
    TimePoint NotedAt;
  };
  /// By incarnationKey(); bounded by MaxAnnouncements.
  std::unordered_map<std::uint64_t, Announcement> Announcements;
  /// An incarnation that was removed without announcing that it leaves.
  struct LapsedUpstream {
    std::uint64_t Incarnation = 0;
    TimePoint RemovedAt;
  };
  void rememberLapsed(const UpstreamEntry &Upstream, TimePoint Now);
  /// By id; bounded by MaxLapsedUpstreams.
  std::map<std::string, LapsedUpstream, std::less<>> Lapsed;
  std::map<std::string, UpstreamEntry, std::less<>> Entries;
  /// By service with several priorities.
  std::map<std::string, RoomEstimate, std::less<>> Estimates;
  /// The calls of this process to a service.
  struct ServiceSends {
    SendRate Rate;
    TimePoint PacedUntil;      ///< See isPaced().
    int CallsBeforePacing = 0; ///< In flight when it began.
  };
  /// By service; bounded by MaxRates.
  std::map<std::string, ServiceSends, std::less<>> Rates;
  ShareCredits Credits;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_UPSTREAMTABLE_H
