// The upstreams that have registered, and what this process has learned of
// each from its own calls.
//
//   UpstreamTable Table(Settings);
//   Table.put(Registered, Now);
//   if (auto Chosen = Table.choose(Query, Now)) ...
//
// Guarantees: an upstream that leaves or has gone is never chosen; what was
// learned of one incarnation is not used for another; memory is one small
// record for each registered upstream.

#ifndef GALENAROUTE_REQUEST_UPSTREAMTABLE_H
#define GALENAROUTE_REQUEST_UPSTREAMTABLE_H

#include "request/EngineMemory.h"
#include "request/PromptReuse.h"
#include "request/SharedUse.h"
#include "request/UpstreamChoice.h"

#include <functional>
#include <map>
#include <set>

namespace galenaroute {

/// What an upstream says of itself in the registry.
struct RegisteredUpstream {
  std::string Id;
  std::string Service;
  SocketAddress Address;
  std::string Zone;
  int Slots = 1;
  bool IsLeaving = false;
  Duration WarmUp{};       ///< How much longer it is slow after its start.
  std::int64_t BornMs = 0; ///< Unix time of its start; names the incarnation.
  std::map<std::string, std::uint64_t> WeightVersions; ///< By model.
};

/// A registered upstream and what was learned of it.
struct UpstreamEntry {
  RegisteredUpstream Registered;
  int OwnCalls = 0;
  std::optional<UpstreamLoad> Load;
  int OwnCallsAtReport = 0;
  TimePoint ReportedAt;
  double FailureScore = 0;
  TimePoint FailureAt;
  TimePoint WarmAt;
  std::optional<std::uint64_t> WeightVersion; ///< Of its one model.
  EngineMemory Memory;
  /// Prompt tokens of own calls that have not begun to answer.
  std::uint64_t TokensAhead = 0;
  /// Tokens that own calls need there, prompts and answers.
  std::uint64_t OwnTokens = 0;
  std::uint32_t UseKey = 0; ///< See useKey().
  TimePoint ProgressAt;     ///< When it last began to answer a call.
  TimePoint ClosedUntil;    ///< It refuses calls until about then.
  TimePoint PausedUntil;    ///< It asked for no calls until then.
  bool SaidLeaving = false; ///< In an answer; the registry may not know yet.

  bool isLeaving() const {
    return this->Registered.IsLeaving || this->SaidLeaving;
  }
  std::optional<TimePoint> MissingSince; ///< Not in the last list.
};

struct UpstreamTableSettings {
  std::string Zone; ///< Of this process.
  UpstreamChoiceSettings Choice;
  /// A failure counts half after this time.
  Duration FailureHalfLife = std::chrono::milliseconds(1500);
  double MaxFailureScore = 6;
  /// Prompt tokens that this process may have an engine read at a time, unless
  /// it is one call alone. A prompt waits behind all that an engine has taken
  /// in, however urgent it is, so the rest waits here.
  std::uint64_t MaxTokensAhead = 5000;
  /// Calls that may wait at an engine, as it reported lately; beyond them only
  /// urgent ones are sent there, up to a limit of their own.
  int MaxWaiting = 1;
  int MaxWaitingUrgent = 6;
  Duration MaxReportAge = std::chrono::milliseconds(400);
  /// The same for all entries together, where the others have told what they
  /// have under way. An engine reads about 100 prompt tokens in a millisecond.
  std::uint64_t MaxTokensAheadOfAll = 8000;
  /// Part of an engine's memory that calls may need, those of the others that
  /// have told it counted.
  double MaxMemoryUse = 0.95;
  /// Until the others have told: they use an engine's memory about this much
  /// when this entry does.
  double OthersMemoryShare = 0.9;
  /// Part of this entry's share that may be in use where a call larger than
  /// the share is sent, so that the largest calls are not passed over for ever.
  double ShareBesideLargeCall = 0.3;
  /// Of the upstreams for a prompt these are considered: the first by its
  /// subject, the same at all entries, and some drawn for each call. If all
  /// entries compared all upstreams, they would send what comes within one
  /// status period to the same few.
  std::size_t RankedCandidates = 4;
  std::size_t DrawnCandidates = 2;
  /// A call that needs more than this part of an engine's memory finds room at
  /// few of them, so all are considered.
  double LargeCallShare = 0.25;
  /// How long an entry that is missing in a list is kept; entries that lapsed
  /// while the registry was away are back within 2 s of its return.
  Duration KeepMissing = std::chrono::milliseconds(1700);
};

/// For which call an upstream is wanted.
struct UpstreamQuery {
  std::string_view Service;
  std::span<const std::string> Excluded; ///< Ids.
  std::string_view Subject;              ///< Of the prompt; empty without one.
  std::span<const PromptPart> Parts;
  /// Returns the scope within which parts are shared on an engine with the
  /// weights given, and the store that holds the part with the key given.
  std::function<std::string(std::uint64_t Weights)> ScopeOf;
  std::function<const StoreView *(const std::string &PartKey,
                                  std::uint32_t Tokens)>
      StoredIn;
  std::string_view HomeZone;      ///< See homeZone().
  std::uint64_t MemoryTokens = 0; ///< That an engine can keep for later.
  std::uint64_t EngineTokens = 0; ///< That an engine can hold in all.
  std::uint32_t CallTokens = 0;   ///< That the call needs at most.
  bool IsUrgent = false;          ///< Goes ahead of what waits there.
  std::uint64_t Draw = 0; ///< Random; decides which upstreams are considered.
  std::optional<std::uint64_t> NewestWeights;
  std::uint64_t LeastWeights = 0; ///< Engines with older ones are left out.
};

class UpstreamTable {
public:
  /// Tells whether a connection to an address is idle, and whether a new one
  /// may be opened.
  struct Room {
    bool HasIdle = false;
    bool MayOpen = true;
  };
  using RoomOf = std::function<Room(const UpstreamEntry &Entry)>;

  explicit UpstreamTable(UpstreamTableSettings Settings, RoomOf Rooms)
      : Settings(std::move(Settings)), Rooms(std::move(Rooms)) {}

  /// Takes in an entry of the registry.
  void put(const RegisteredUpstream &Upstream, TimePoint Now);
  void remove(std::string_view Id);
  /// Takes in a whole list: entries not in \p Ids are dropped after a while.
  void retain(const std::set<std::string> &Ids, TimePoint Now);
  /// Drops entries that stayed missing for too long.
  void expire(TimePoint Now);

  const UpstreamEntry *find(std::string_view Id) const;
  const std::map<std::string, UpstreamEntry, std::less<>> &entries() const {
    return this->Entries;
  }

  struct Chosen {
    const UpstreamEntry *Entry = nullptr;
    std::uint32_t TokensToRead = 0; ///< Expected of the call's prompt.
  };

  /// Chooses an upstream, or none when none has a connection to be had.
  Chosen choose(const UpstreamQuery &Query, TimePoint Now) const;
  /// The engine where prompts of the subject are at home, whatever its load.
  const UpstreamEntry *home(const UpstreamQuery &Query) const;

  /// \p PromptTokens are those to be read, see noteStarted(); \p CallTokens
  /// are those that the call needs in all, see noteEnded().
  void noteSent(std::string_view Id, std::uint32_t PromptTokens,
                std::uint32_t CallTokens);
  /// The call's prompt was read, or never will be.
  void noteStarted(std::string_view Id, std::uint32_t PromptTokens);
  void noteEnded(std::string_view Id, std::uint32_t CallTokens);
  /// What this entry has under way at engines, to tell the others.
  std::vector<UseItem> ownUse() const;
  UseItem ownUseOf(const UpstreamEntry &Entry) const;
  /// What the other entries have told.
  SharedUse &othersUse() { return this->Others; }
  /// Calls of the other entries there, those that were not heard estimated;
  /// nothing when none was heard.
  std::optional<UpstreamUse> useOfOthers(const UpstreamEntry &Entry) const;
  /// Calls of all entries under way at an upstream, as far as told.
  std::uint64_t callsAt(const UpstreamEntry &Entry) const;
  /// Entries of the system that send calls, this one included.
  void setSenders(std::size_t Count) { this->Senders = Count; }
  /// The call uses these parts there.
  void noteParts(std::string_view Id, const UpstreamQuery &Query);
  /// The upstream refuses calls for now.
  void noteClosed(std::string_view Id, TimePoint Until);
  /// The upstream asked for no calls until \p Until.
  void notePaused(std::string_view Id, TimePoint Until, TimePoint Now);
  /// The upstream said that it leaves. Holds for its incarnation, also when it
  /// is missing in the registry for a while.
  void noteLeaving(std::string_view Id);
  /// Returns from when an upstream of the service may take calls: the past
  /// where one may now, nothing where none is expected to.
  std::optional<TimePoint> opensAt(std::string_view Service) const;
  void noteLoad(std::string_view Id, const UpstreamLoad &Load, TimePoint Now);
  void noteFailure(std::string_view Id, double Weight, TimePoint Now);
  void noteProgress(std::string_view Id, TimePoint Now);
  void noteSuccess(std::string_view Id);
  void noteWeights(std::string_view Id, std::uint64_t Version);

  /// Called with an upstream that has gone or restarted and had not said that
  /// it leaves.
  std::function<void(const RegisteredUpstream &Ended)> OnEnded =
      [](const RegisteredUpstream &) {};
  /// Called with the address of an upstream that has gone, restarted or said
  /// that it leaves.
  std::function<void(const SocketAddress &Address)> OnGone =
      [](const SocketAddress &) {};

private:
  UpstreamEntry *findMutable(std::string_view Id);
  bool isEligible(const UpstreamEntry &Entry, const UpstreamQuery &Query,
                  TimePoint Now) const;
  /// Whether any engine is believed to hold a part, by its key; filled as
  /// needed during one choice.
  using HeldParts = std::map<std::string, bool>;

  /// Upstreams to consider for a prompt, its home first.
  std::vector<const UpstreamEntry *> shortList(const UpstreamQuery &Query,
                                               TimePoint Now) const;
  bool isHeldAnywhere(const std::string &Key, HeldParts &Seen) const;
  void addPrompt(UpstreamCandidate &Candidate, const UpstreamEntry &Entry,
                 const UpstreamQuery &Query, HeldParts &Seen) const;
  /// \p Others is useOfOthers() of the entry, here and below.
  bool hasRoom(const UpstreamEntry &Entry,
               const std::optional<UpstreamUse> &Others,
               const UpstreamQuery &Query, std::uint32_t TokensToRead,
               TimePoint Now) const;
  bool hasMemory(const UpstreamEntry &Entry,
                 const std::optional<UpstreamUse> &Others,
                 const UpstreamQuery &Query) const;
  UpstreamCandidate candidateOf(const UpstreamEntry &Entry,
                                const std::optional<UpstreamUse> &Others,
                                TimePoint Now) const;
  double failureScore(const UpstreamEntry &Entry, TimePoint Now) const;

  UpstreamTableSettings Settings;
  RoomOf Rooms;
  std::size_t Senders = 1;
  SharedUse Others{std::chrono::milliseconds(500)};
  /// Incarnations that said they leave, by id; bounded by MaxLeavers.
  std::map<std::string, std::int64_t, std::less<>> Leavers;
  std::map<std::string, UpstreamEntry, std::less<>> Entries;
};

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_UPSTREAMTABLE_H
