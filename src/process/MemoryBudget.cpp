#include "process/MemoryBudget.h"

#include <algorithm>

namespace galenaroute {

MemoryLimits memoryLimits(std::size_t MemoryBytes) {
  MemoryLimits Result;
  const auto Set = [&](MemoryPart Part, std::size_t Bytes) {
    Result.Parts.at(static_cast<std::size_t>(Part)) = Bytes;
  };
  Set(MemoryPart::Calls, MemoryBytes / 4);
  Set(MemoryPart::Ready, MemoryBytes / 48);
  Set(MemoryPart::Directory, MemoryBytes / 48);
  Set(MemoryPart::Metrics, MemoryBytes / 24);
  Set(MemoryPart::Upstreams, MemoryBytes / 8);
  Result.MaxBytes = MemoryBytes / 2;
  return Result;
}

bool MemoryBudget::mayGrow(MemoryPart Part, std::size_t Held,
                           std::size_t More) const {
  if (this->IsShort)
    return false;
  const std::size_t Limit = this->limit(Part);
  const std::size_t Used = this->used(Part);
  const std::size_t Others = Used - std::min(Used, Held);
  if (Others <= Limit / 8 && Held + More <= this->Limits.MaxBytes)
    return true;
  const std::size_t Bound = Held + More > LargeHolding ? Limit / 4 * 3 : Limit;
  return Used + More <= Bound;
}

bool MemoryCharge::tryGrow(std::size_t More) {
  if (!this->Budget.mayGrow(this->Part, this->Held, More))
    return false;
  this->set(this->Held + More);
  return true;
}

void MemoryCharge::set(std::size_t Bytes) {
  std::size_t &Used =
      this->Budget.Used.at(static_cast<std::size_t>(this->Part));
  Used += Bytes;
  Used -= this->Held;
  this->Held = Bytes;
}

std::optional<std::size_t> chooseToShed(std::span<const MemoryHolder> Holders,
                                        Duration MinSilence,
                                        std::size_t MinBytes) {
  std::optional<std::size_t> Chosen;
  for (std::size_t I = 0; I < Holders.size(); ++I) {
    const MemoryHolder &Each = Holders[I];
    if (!Each.MayEnd || Each.Silence < MinSilence || Each.Bytes <= MinBytes)
      continue;
    if (!Chosen || Each.Bytes > Holders[*Chosen].Bytes)
      Chosen = I;
  }
  return Chosen;
}

} // namespace galenaroute
