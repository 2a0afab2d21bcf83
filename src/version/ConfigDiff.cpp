#include "version/ConfigDiff.h"

namespace galenaroute {

using nlohmann::json;

static void diffRecord(const std::string &Key, const json &Before,
                       const json &After, std::vector<ConfigChange> &Out) {
  for (const auto &[Field, New] : After.items()) {
    const json Old = Before.value(Field, json());
    if (Old != New)
      Out.push_back({ChangeKind::Changed, Key, Field, Old, New});
  }
}

std::vector<ConfigChange> diffConfigurations(const Configuration &Before,
                                             const Configuration &After) {
  const ConfigRecords From = toRecords(Before);
  const ConfigRecords To = toRecords(After);
  std::vector<ConfigChange> Result;
  for (const auto &[Key, Old] : From)
    if (!To.contains(Key))
      Result.push_back({ChangeKind::Removed, Key, "", Old, nullptr});
  for (const auto &[Key, New] : To) {
    const auto It = From.find(Key);
    if (It == From.end())
      Result.push_back({ChangeKind::Added, Key, "", nullptr, New});
    else
      diffRecord(Key, It->second, New, Result);
  }
  return Result;
}

std::string toText(const ConfigChange &Change) {
  switch (Change.Kind) {
  case ChangeKind::Added:
    return "+ " + Change.Record + " " + Change.After.dump();
  case ChangeKind::Removed:
    return "- " + Change.Record;
  case ChangeKind::Changed:
    break;
  }
  return "~ " + Change.Record + " " + Change.Field + ": " +
         Change.Before.dump() + " -> " + Change.After.dump();
}

json toJson(const ConfigChange &Change) {
  static constexpr const char *Names[] = {"added", "removed", "changed"};
  return {{"change", Names[static_cast<int>(Change.Kind)]},
          {"record", Change.Record},
          {"field", Change.Field},
          {"before", Change.Before},
          {"after", Change.After}};
}

} // namespace galenaroute
