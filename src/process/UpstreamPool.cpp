#include "process/UpstreamPool.h"

#include <algorithm>

namespace galenaroute {

std::optional<std::string>
UpstreamPool::choose(const ServiceConfig &Service,
                     std::span<const std::string> Avoid) const {
  const UpstreamConfig *Best = nullptr;
  int Least = 0;
  for (const UpstreamConfig &Each : Service.Upstreams) {
    if (Each.State == UpstreamState::Leaving ||
        std::find(Avoid.begin(), Avoid.end(), Each.Name) != Avoid.end())
      continue;
    const auto It = this->Outstanding.find(Each.Name);
    const int Count = It == this->Outstanding.end() ? 0 : It->second;
    if (!Best || Count < Least) {
      Best = &Each;
      Least = Count;
    }
  }
  if (!Best)
    return std::nullopt;
  return Best->Name;
}

void UpstreamPool::noteSent(const std::string &Attempt,
                            const std::string &Upstream) {
  if (this->Attempts.emplace(Attempt, Upstream).second)
    ++this->Outstanding[Upstream];
}

void UpstreamPool::noteEnded(const std::string &Attempt) {
  const auto It = this->Attempts.find(Attempt);
  if (It == this->Attempts.end())
    return;
  const auto Count = this->Outstanding.find(It->second);
  if (--Count->second == 0)
    this->Outstanding.erase(Count);
  this->Attempts.erase(It);
}

} // namespace galenaroute
