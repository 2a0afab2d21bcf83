#include "process/StatusRelay.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace galenaroute {

/// A status whose number is lower than the last one's by less than this was
/// reordered; with a larger difference the entry has restarted.
static constexpr std::uint64_t MaxReordering = 16;

namespace {

/// Sums up statuses and digests.
class DigestSum {
public:
  void addUse(std::span<const UseItem> Items) {
    for (const UseItem &Each : Items)
      add(this->Use[Each.Key], Each.Use);
  }
  void addBacklog(std::span<const BacklogItem> Items) {
    addItems(this->Backlog, Items);
  }
  void addWithheld(std::span<const std::string> Ids) {
    this->Withheld.insert(Ids.begin(), Ids.end());
  }
  /// Merges \p Progress, keeping the most up-to-date one of each kind and
  /// the youngest of equal ones. Those with the same digest are equal, also if
  /// one of the entries started after a deletion and has not seen its revision.
  /// \p MessageAge is the age of the message that carried them.
  void
  addProgress(std::span<const std::pair<std::string, WatchProgress>> Progress,
              Duration MessageAge) {
    for (const auto &[Kind, Reported] : Progress) {
      WatchProgress Aged = Reported;
      Aged.Age += MessageAge;
      const auto [It, IsNew] = this->Progress.try_emplace(Kind, Aged);
      WatchProgress &Best = It->second;
      if (!IsNew && Aged.Era == Best.Era && Aged.Digest == Best.Digest) {
        const std::uint64_t LastChange =
            std::max(Aged.LastChange, Best.LastChange);
        if (Aged.Age < Best.Age)
          Best = Aged;
        Best.LastChange = LastChange;
        continue;
      }
      const auto Position = std::tie(Aged.Era, Aged.LastChange);
      const auto BestPosition = std::tie(Best.Era, Best.LastChange);
      if (!IsNew && (Position > BestPosition ||
                     (Position == BestPosition && Aged.Age < Best.Age)))
        Best = Aged;
    }
  }
  /// Moves the sums into \p Into.
  void store(StatusDigest &Into) {
    for (const auto &[Key, Sum] : this->Use)
      if (!isEmpty(Sum))
        Into.Use.push_back({Key, Sum});
    if (Into.Use.size() > StatusRelay::MaxUse) {
      std::nth_element(Into.Use.begin(), Into.Use.begin() + StatusRelay::MaxUse,
                       Into.Use.end(), [](const UseItem &A, const UseItem &B) {
                         return A.Use.Tokens > B.Use.Tokens;
                       });
      Into.Use.resize(StatusRelay::MaxUse);
    }
    limitItems(this->Backlog);
    Into.Backlog = std::move(this->Backlog);
    Into.Withheld.assign(this->Withheld.begin(), this->Withheld.end());
    Into.Progress.assign(this->Progress.begin(), this->Progress.end());
  }

private:
  std::unordered_map<std::uint32_t, UpstreamUse> Use;
  std::vector<BacklogItem> Backlog;
  std::set<std::string> Withheld;
  std::map<std::string, WatchProgress> Progress;
};

} // namespace

std::string customerReportName(const EntryStatus &Status) {
  return Status.From + "#" + std::to_string(Status.Incarnation);
}

void StatusRelay::updateMember(EntryStatus Status, TimePoint Now) {
  auto &Kept = this->Members[Status.From];
  const bool IsOld = Status.Sequence < Kept.Last.Sequence &&
                     Kept.Last.Sequence - Status.Sequence < MaxReordering;
  if (IsOld)
    return;
  if (!Status.Customers.empty())
    notePeerTimes(this->MemberTimes, customerReportName(Status),
                  Status.Customers, this->Shares, Now);
  Kept = {std::move(Status), Now};
}

void StatusRelay::updateGroup(StatusDigest Digest, TimePoint Now) {
  if (!Digest.Customers.empty())
    notePeerTimes(this->GroupTimes, Digest.From, Digest.Customers, this->Shares,
                  Now);
  auto &Kept = this->Groups[Digest.From];
  Kept = {std::move(Digest), Now};
}

std::optional<AddedUse>
StatusRelay::applyIncrement(const EntryStatus &Increment) {
  const auto It = this->Members.find(Increment.From);
  if (It == this->Members.end() || Increment.Use.empty())
    return std::nullopt;
  EntryStatus &Kept = It->second.Last;
  if (Increment.Sequence <= Kept.Sequence)
    return std::nullopt;
  Kept.Sequence = Increment.Sequence;
  const UseItem &Next = Increment.Use.front();
  const UpstreamUse Before = replaceItem(Kept.Use, Next);
  // The next digest accounts for calls that have ended meanwhile.
  return AddedUse{entryKey(Increment.From),
                  {Next.Key, saturatingDifference(Next.Use, Before)}};
}

void StatusRelay::applyAdded(const std::string &Relay,
                             std::span<const AddedUse> Items) {
  const auto It = this->Groups.find(Relay);
  if (It == this->Groups.end())
    return;
  for (const AddedUse &Each : Items)
    It->second.Last.Use.push_back(Each.Item);
}

void StatusRelay::expire(TimePoint Now, Duration MaxAge) {
  const auto IsOld = [&](const auto &Each) {
    return Now - Each.second.At > MaxAge;
  };
  std::erase_if(this->Members, IsOld);
  std::erase_if(this->Groups, IsOld);
}

StatusDigest StatusRelay::groupDigest(const std::string &Self,
                                      TimePoint Now) const {
  StatusDigest Result;
  Result.From = Self;
  Result.IsGroupOnly = true;
  DigestSum Sum;
  for (const auto &[Id, Each] : this->Members) {
    Sum.addUse(Each.Last.Use);
    Sum.addBacklog(Each.Last.Backlog);
    Sum.addWithheld(Each.Last.Withheld);
    Sum.addProgress(Each.Last.Progress, Now - Each.At);
    Result.Alive.push_back(entryKey(Id));
    Result.LastSequences.emplace_back(entryKey(Id), Each.Last.Sequence);
  }
  Result.Members = static_cast<std::uint32_t>(this->Members.size());
  Result.Customers = largest(totalTimes(this->MemberTimes, this->Shares, Now),
                             this->Shares.MaxForwarded);
  Sum.store(Result);
  return Result;
}

StatusDigest StatusRelay::fleetDigest(const std::string &Self,
                                      TimePoint Now) const {
  StatusDigest Result = this->groupDigest(Self, Now);
  Result.IsGroupOnly = false;
  DigestSum Sum;
  Sum.addUse(Result.Use);
  Sum.addBacklog(Result.Backlog);
  Sum.addWithheld(Result.Withheld);
  Sum.addProgress(Result.Progress, Duration::zero());
  for (const auto &[Id, Each] : this->Groups) {
    // An entry that has just switched relays is briefly in two groups.
    Sum.addUse(Each.Last.Use);
    Sum.addBacklog(Each.Last.Backlog);
    Sum.addWithheld(Each.Last.Withheld);
    Sum.addProgress(Each.Last.Progress, Now - Each.At);
    Result.Members += Each.Last.Members;
    Result.Alive.insert(Result.Alive.end(), Each.Last.Alive.begin(),
                        Each.Last.Alive.end());
  }
  Result.Use.clear();
  Result.Customers =
      largest(sumOf(totalTimes(this->MemberTimes, this->Shares, Now),
                    totalTimes(this->GroupTimes, this->Shares, Now)),
              this->Shares.MaxForwarded);
  Sum.store(Result);
  return Result;
}

std::vector<std::string> StatusRelay::members() const {
  std::vector<std::string> Result;
  for (const auto &[Id, Each] : this->Members)
    Result.push_back(Id);
  return Result;
}

std::vector<std::string> StatusRelay::peers() const {
  std::vector<std::string> Result;
  for (const auto &[Id, Each] : this->Groups)
    Result.push_back(Id);
  return Result;
}

} // namespace galenaroute
