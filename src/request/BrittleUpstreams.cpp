#include "request/BrittleUpstreams.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace galenaroute {

bool noteStatement(std::optional<BrittleStatement> &Statement,
                   std::optional<int> MaxRefusals, TimePoint Now,
                   const BrittleSettings &Settings) {
  if (!MaxRefusals) {
    if (!Statement || Now - Statement->StatedAt < Settings.EndAfter)
      return false;
    Statement.reset();
    return true;
  }
  const bool Changed = !Statement || Statement->MaxRefusals != *MaxRefusals;
  Statement = BrittleStatement{*MaxRefusals, Now};
  return Changed;
}

bool isForgotten(const BrittleStatement &Statement, TimePoint Now,
                 const BrittleSettings &Settings) {
  return Now - Statement.StatedAt > Settings.ForgetAfter;
}

std::size_t dealtPart(std::size_t Total, std::size_t Gateways,
                      std::size_t Position) {
  const std::size_t Count = std::max<std::size_t>(1, Gateways);
  return Total / Count + (Position < Total % Count ? 1 : 0);
}

/// Returns how many refusals per second the gateways may cause together.
static std::size_t usableRefusals(int MaxRefusals,
                                  const BrittleSettings &Settings) {
  if (MaxRefusals <= 0)
    return 0;
  return static_cast<std::size_t>(
      std::max(1.0, std::floor(MaxRefusals * Settings.RefusalShare)));
}

BrittleAllowance allowanceAt(const BrittleShare &Share,
                             const BrittleSettings &Settings) {
  const std::size_t Refusals = usableRefusals(Share.MaxRefusals, Settings);
  BrittleAllowance Result;
  Result.RefusalLock = Settings.RefusalWindow;
  Result.MaxCalls = dealtPart(Share.Slots, Share.Gateways, Share.Position);
  Result.IsPooled = Share.Gateways <= Refusals;
  if (Result.IsPooled) {
    Result.MaxAwaited = dealtPart(Refusals, Share.Gateways, Share.Position);
    Result.MaxCalls = std::max<std::size_t>(1, Result.MaxCalls);
  } else if (Result.MaxCalls > 0) {
    Result.MaxAwaited =
        std::max<std::size_t>(1, Result.MaxCalls / Settings.SlotsPerAwaited);
  }
  return Result;
}

BrittleAllowance allowanceWithoutShare(const BrittleShare &Share,
                                       std::size_t Upstreams,
                                       const BrittleSettings &Settings) {
  const std::size_t Refusals = usableRefusals(Share.MaxRefusals, Settings);
  if (Refusals == 0)
    return {};
  const double GatewaysPerUpstream =
      static_cast<double>(Share.Gateways) /
      static_cast<double>(std::max<std::size_t>(1, Upstreams));
  return {.MaxAwaited = 1,
          .MaxCalls = 1,
          .RefusalLock = std::max(Settings.RefusalWindow,
                                  fromSeconds(2 * GatewaysPerUpstream /
                                              static_cast<double>(Refusals)))};
}

static std::size_t countAwaited(const BrittleSends &Sends, TimePoint Now,
                                const BrittleSettings &Settings) {
  return static_cast<std::size_t>(std::count_if(
      Sends.AwaitedSince.begin(), Sends.AwaitedSince.end(),
      [&](TimePoint Each) { return Now - Each < Settings.AcceptedAfter; }));
}

static std::size_t countLocked(const BrittleSends &Sends, TimePoint Now) {
  return static_cast<std::size_t>(
      std::count_if(Sends.LockedUntil.begin(), Sends.LockedUntil.end(),
                    [Now](TimePoint Each) { return Now < Each; }));
}

/// Returns how many calls may be in flight.
static double maxCalls(const BrittleAllowance &Allowance,
                       const BrittleSends &Sends, TimePoint Now,
                       const BrittleSettings &Settings) {
  const auto Share = static_cast<double>(Allowance.MaxCalls);
  if (!Allowance.IsPooled)
    return Share;
  if (!Sends.RefusedAt)
    return std::numeric_limits<double>::infinity();
  return std::max(
      Share, std::floor(Sends.KeptCalls + toSeconds(Now - *Sends.RefusedAt) /
                                              toSeconds(Settings.GrowthTime)));
}

bool mayCall(const BrittleAllowance &Allowance, const BrittleSends &Sends,
             int OwnCalls, TimePoint Now, const BrittleSettings &Settings) {
  return OwnCalls < maxCalls(Allowance, Sends, Now, Settings) &&
         countAwaited(Sends, Now, Settings) + countLocked(Sends, Now) <
             Allowance.MaxAwaited;
}

void noteAwaited(BrittleSends &Sends, TimePoint Now,
                 const BrittleSettings &Settings) {
  std::erase_if(Sends.AwaitedSince, [&](TimePoint Each) {
    return Now - Each >= Settings.AcceptedAfter;
  });
  Sends.AwaitedSince.push_back(Now);
}

void noteAnswered(BrittleSends &Sends, TimePoint SentAt) {
  const auto Found =
      std::find(Sends.AwaitedSince.begin(), Sends.AwaitedSince.end(), SentAt);
  if (Found != Sends.AwaitedSince.end())
    Sends.AwaitedSince.erase(Found);
}

void noteRefused(BrittleSends &Sends, const BrittleAllowance &Allowance,
                 TimePoint SentAt, int OwnCalls, TimePoint Now,
                 const BrittleSettings &Settings) {
  noteAnswered(Sends, SentAt);
  std::erase_if(Sends.LockedUntil,
                [Now](TimePoint Each) { return Each <= Now; });
  Sends.LockedUntil.push_back(Now + Allowance.RefusalLock);
  Sends.KeptCalls = OwnCalls * Settings.KeptShare;
  Sends.RefusedAt = Now;
}

} // namespace galenaroute
