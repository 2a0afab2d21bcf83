// What ForwardGateway reports of the builds that the fleet runs. See
// docs/design/builds-side-by-side.md.

#include "process/ForwardGateway.h"
#include "process/Log.h"

#include <algorithm>

namespace galenaroute {

/// Reports the levels of the live gateways, with this one.
void ForwardGateway::reportBuilds() {
  std::map<BuildLevel, std::size_t> Counts{{OwnLevel, 1}};
  BuildLevel Needed = 0;
  this->Entries.forEachAlive(EventLoop::now(), [&](const EntryRecord &Each) {
    // Later builds count as one, so that what others send adds no time series.
    ++Counts[std::min(Each.Level, OwnLevel + 1)];
    Needed = std::max(Needed, Each.LeastPeerLevel);
  });
  this->Stats.gatewaysByLevel(Counts);
  std::string Levels;
  for (const auto &[Level, Count] : Counts)
    Levels += (Levels.empty() ? "" : ",") + std::to_string(Level);
  if (Levels == this->ReportedLevels)
    return;
  this->ReportedLevels = Levels;
  log(LogLevel::Info, "fleet.builds",
      {{"levels", Levels}, {"own", std::to_string(OwnLevel)}});
  if (Counts.begin()->first < LeastPeerLevel)
    log(LogLevel::Warn, "fleet.older_build",
        {{"message", "gateways run a build beside which some streams are "
                     "refused; see docs/operating.md"},
         {"level", std::to_string(Counts.begin()->first)}});
  if (OwnLevel < Needed)
    log(LogLevel::Error, "process.build_too_old",
        {{"message", "other gateways run a build that does not keep all rules "
                     "beside this one"},
         {"own", std::to_string(OwnLevel)},
         {"needed", std::to_string(Needed)}});
}

} // namespace galenaroute
