#include "process/FleetRules.h"

namespace galenaroute {

/// Builds that keep these rules send records of at least these fields.
static constexpr BuildLevel StreamRulesLevel = 1;
static constexpr std::size_t StreamRulesFields = 15;
static constexpr BuildLevel CautiousDatesLevel = 2;

bool keeps(BuildLevel Level, FleetRule Rule) {
  switch (Rule) {
  case FleetRule::StreamRecords:
  case FleetRule::SettledVersions:
    return Level >= StreamRulesLevel;
  case FleetRule::CautiousDates:
    return Level >= CautiousDatesLevel;
  }
  return false;
}

BuildLevel unstatedLevel(std::size_t Fields) {
  return Fields >= StreamRulesFields ? StreamRulesLevel : 0;
}

} // namespace galenaroute
