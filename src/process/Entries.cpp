#include "process/Entries.h"

#include <algorithm>
#include <cmath>

namespace galenaroute {

namespace {

struct Candidate {
  const MemberInfo *Info;
  int Rank;       ///< 0: local zone, 1: another zone, 2: suspect.
  double SortKey; ///< Sort key within a rank; lower comes first.
};

/// Returns a random sort key. Each candidate comes first with a probability
/// proportional to its weight, 1 / (1 + Load).
double randomSortKey(std::uint32_t Load, std::mt19937_64 &Random) {
  std::exponential_distribution<double> Distribution(1.0 / (1.0 + Load));
  return Distribution(Random);
}

} // namespace

std::vector<Entry> chooseEntries(const Membership &Members,
                                 std::uint32_t SelfLoad,
                                 const EntriesSettings &Settings,
                                 std::mt19937_64 &Random) {
  const std::string &Zone = Members.Self.Zone;
  std::vector<Candidate> Ordered;
  if (!Members.Self.Leaving && !isSelfListedLeaving(Members))
    Ordered.push_back({&Members.Self, 0, randomSortKey(SelfLoad, Random)});
  for (const auto &[Id, Each] : Members.Members) {
    if (Each.Info.State == MemberState::Dead || Each.Info.Leaving ||
        Members.ListedLeaving.contains(Each.Info.PeerAddress))
      continue;
    const int Rank = Each.Info.State == MemberState::Suspect ? 2
                     : Each.Info.Zone == Zone                ? 0
                                                             : 1;
    Ordered.push_back({&Each.Info, Rank, randomSortKey(Each.Load, Random)});
  }
  std::sort(Ordered.begin(), Ordered.end(),
            [](const Candidate &A, const Candidate &B) {
              return std::tie(A.Rank, A.SortKey) < std::tie(B.Rank, B.SortKey);
            });
  if (!Ordered.empty() && Ordered.front().Rank < 2)
    std::erase_if(Ordered,
                  [](const Candidate &Each) { return Each.Rank == 2; });

  if (Ordered.size() > Settings.MaxEntries) {
    const auto Other =
        std::find_if(Ordered.begin(), Ordered.end(),
                     [](const Candidate &Each) { return Each.Rank == 1; });
    const auto Last =
        Ordered.begin() + static_cast<std::ptrdiff_t>(Settings.MaxEntries) - 1;
    if (Other != Ordered.end() && Other > Last)
      *Last = *Other;
    Ordered.resize(Settings.MaxEntries);
  }

  std::vector<Entry> Result;
  Result.reserve(Ordered.size());
  for (const Candidate &Each : Ordered)
    Result.push_back({Each.Info->CallerAddress, Each.Info->Zone});
  return Result;
}

} // namespace galenaroute
