// The version of this build: the commit that it was built from, or "unknown"
// outside a repository.

#ifndef GALENAROUTE_PROCESS_BUILDVERSION_H
#define GALENAROUTE_PROCESS_BUILDVERSION_H

#include <string_view>

namespace galenaroute {

std::string_view buildVersion();

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_BUILDVERSION_H
