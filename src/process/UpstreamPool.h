// What the process knows of its upstreams, and the choice among them.
//
//   std::optional<std::string> Name = Pool.choose(Service, Avoid);
//   Pool.noteSent(Attempt, *Name);
//   ...
//   Pool.noteEnded(Attempt);

#ifndef GALENAROUTE_PROCESS_UPSTREAMPOOL_H
#define GALENAROUTE_PROCESS_UPSTREAMPOOL_H

#include "version/Configuration.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace galenaroute {

class UpstreamPool {
public:
  /// Returns the live upstream of \p Service with the least outstanding work
  /// that is not in \p Avoid.
  std::optional<std::string> choose(const ServiceConfig &Service,
                                    std::span<const std::string> Avoid) const;

  void noteSent(const std::string &Attempt, const std::string &Upstream);
  void noteEnded(const std::string &Attempt);

private:
  std::map<std::string, std::string> Attempts; ///< To their upstreams.
  std::map<std::string, int> Outstanding;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_UPSTREAMPOOL_H
