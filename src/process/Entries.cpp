#include "process/Entries.h"

#include <algorithm>
#include <cmath>

namespace galenaroute {

namespace {

struct Candidate {
  const MemberInfo *Info;
  int Rank;    ///< 0: own zone, 1: another zone, 2: suspect.
  double Draw; ///< Lower is earlier within a rank.
};

/// A sort key that puts a candidate first with a probability in proportion to
/// its weight, which is the inverse of its load.
double drawFor(std::uint32_t Load, std::mt19937_64 &Random) {
  std::exponential_distribution<double> Draw(1.0 / (1.0 + Load));
  return Draw(Random);
}

} // namespace

std::vector<Entry> chooseEntries(const Membership &Members,
                                 std::uint32_t SelfLoad,
                                 const EntriesSettings &Settings,
                                 std::mt19937_64 &Random) {
  const std::string &Zone = Members.Self.Zone;
  std::vector<Candidate> Ordered;
  if (!Members.Self.Leaving && !isSelfListedLeaving(Members))
    Ordered.push_back({&Members.Self, 0, drawFor(SelfLoad, Random)});
  for (const auto &[Id, Each] : Members.Members) {
    if (Each.Info.State == MemberState::Dead || Each.Info.Leaving ||
        Members.ListedLeaving.contains(Each.Info.PeerAddress))
      continue;
    const int Rank = Each.Info.State == MemberState::Suspect ? 2
                     : Each.Info.Zone == Zone                ? 0
                                                             : 1;
    Ordered.push_back({&Each.Info, Rank, drawFor(Each.Load, Random)});
  }
  std::sort(Ordered.begin(), Ordered.end(),
            [](const Candidate &A, const Candidate &B) {
              return std::tie(A.Rank, A.Draw) < std::tie(B.Rank, B.Draw);
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
