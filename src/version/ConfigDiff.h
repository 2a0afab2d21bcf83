// Computes the difference between two configurations for display.
//
//   for (const ConfigChange &Each : diffConfigurations(InForce, Wanted))
//     std::cout << toText(Each) << "\n";
//
// Guarantees: the result depends only on the contents, not on the epochs;
// removed records come first, then added and changed ones in order of their
// keys.

#ifndef GALENAROUTE_VERSION_CONFIGDIFF_H
#define GALENAROUTE_VERSION_CONFIGDIFF_H

#include "version/ConfigObjects.h"

namespace galenaroute {

enum class ChangeKind { Added, Removed, Changed };

/// One difference. Field is empty for added and removed records.
struct ConfigChange {
  ChangeKind Kind = ChangeKind::Changed;
  std::string Record; ///< Key of the record, such as `store/photo-cache`.
  std::string Field;
  nlohmann::json Before; ///< Null for an added record.
  nlohmann::json After;  ///< Null for a removed record.
};

/// Returns the changes from \p Before to \p After, by record and field.
std::vector<ConfigChange> diffConfigurations(const Configuration &Before,
                                             const Configuration &After);

/// Returns one line, such as `~ customer/marshals weight: 4 -> 5`.
std::string toText(const ConfigChange &Change);

nlohmann::json toJson(const ConfigChange &Change);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGDIFF_H
