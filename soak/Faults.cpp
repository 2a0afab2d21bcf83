#include "Faults.h"

#include <random>

namespace galenaroute::soak {

/// Faults begin when the daemons have served calmly for a while.
static constexpr Duration CalmStart = std::chrono::seconds(2);
static constexpr Duration LeastLength = std::chrono::milliseconds(300);

std::string_view toString(FaultKind Kind) {
  switch (Kind) {
  case FaultKind::Freeze:
    return "freeze";
  case FaultKind::Kill:
    return "kill";
  case FaultKind::KillAll:
    return "kill_all";
  case FaultKind::Stop:
    return "stop";
  case FaultKind::HangUp:
    return "hang_up";
  case FaultKind::UpstreamCrash:
    return "upstream_crash";
  case FaultKind::UpstreamLeave:
    return "upstream_leave";
  case FaultKind::LinkSlow:
    return "link_slow";
  case FaultKind::LinkSilent:
    return "link_silent";
  case FaultKind::LinkOneWay:
    return "link_one_way";
  case FaultKind::LinkThrottled:
    return "link_throttled";
  case FaultKind::LinkReset:
    return "link_reset";
  case FaultKind::StoreAway:
    return "store_away";
  case FaultKind::StoreAwayAll:
    return "store_away_all";
  case FaultKind::StoreSlow:
    return "store_slow";
  }
  return "unknown";
}

static bool strikesDaemons(FaultKind Kind) {
  return Kind <= FaultKind::HangUp || Kind >= FaultKind::StoreAway;
}

std::vector<Fault> drawFaults(std::uint64_t Seed,
                              const FaultSettings &Settings) {
  std::mt19937_64 Random(Seed);
  // The distributions of the standard library differ between versions.
  const auto Below = [&](std::uint64_t Bound) { return Random() % Bound; };
  const auto Between = [&](Duration Least, Duration Most) {
    return Least + Duration(static_cast<Duration::rep>(Below(
                       static_cast<std::uint64_t>((Most - Least).count()))));
  };
  std::vector<Fault> Result;
  for (Duration At = CalmStart; At < CalmStart + Settings.Length;
       At += Between(Duration::zero() + std::chrono::milliseconds(1),
                     Settings.Gap * 2)) {
    Fault Next;
    Next.At = At;
    Next.Kind = static_cast<FaultKind>(Below(FaultKinds));
    Next.For = Between(LeastLength, Settings.Longest);
    Next.Target = Below(strikesDaemons(Next.Kind) ? Settings.Daemons
                                                  : Settings.Upstreams);
    Result.push_back(Next);
  }
  return Result;
}

} // namespace galenaroute::soak
