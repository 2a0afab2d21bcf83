#include "connection/PlatformEra.h"

#include "process/Log.h"

namespace galenaroute {

static constexpr std::string_view EraSuffix = ".era-";

std::string eraName(std::string_view Name, std::uint64_t Era) {
  std::string Result(Name);
  if (Era > 0)
    Result.append(EraSuffix).append(std::to_string(Era));
  return Result;
}

bool isNameInAnyEra(std::string_view ObjectName, std::string_view Name) {
  if (!ObjectName.starts_with(Name))
    return false;
  ObjectName.remove_prefix(Name.size());
  return ObjectName.empty() || ObjectName.starts_with(EraSuffix);
}

bool PlatformEra::note(std::uint64_t Era) {
  if (Era < this->Current) {
    // An answer without an era, such as one of a proxy, tells nothing.
    if (Era > 0)
      log(LogLevel::Warn, "platform.outdated_answer",
          {{"era", std::to_string(Era)},
           {"current_era", std::to_string(this->Current)}});
    return Era == 0;
  }
  const bool IsFirst = !this->HasAnswered;
  this->HasAnswered = true;
  if (Era == this->Current)
    return true;
  const EraChange Change{this->Current, Era};
  this->Current = Era;
  log(LogLevel::Info, IsFirst ? "platform.era" : "platform.era_changed",
      {{"era", std::to_string(Change.Now)},
       {"before", std::to_string(Change.Before)}});
  if (!IsFirst)
    this->Changed.emit(Change);
  return true;
}

} // namespace galenaroute
