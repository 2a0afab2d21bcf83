// Decides whether this gateway is cut off from the upstreams of a service,
// from what its own connections show and what other gateways hear.
//
//   PathEvidence Evidence;
//   noteConnectFailed(Evidence, Upstream, Now);
//   if (updateCut(Evidence, RegisteredUpstreams, Now))
//     // Evidence.IsCut has changed.
//   if (takeTrial(Evidence, Now))
//     // Send one call on a new direct connection.
//
// Does no I/O. Memory is bounded by the upstreams of the service.

#ifndef GALENAROUTE_REQUEST_UPSTREAMPATHS_H
#define GALENAROUTE_REQUEST_UPSTREAMPATHS_H

#include "process/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroute {

/// What a direct connection to an upstream has shown.
enum class PathEvent {
  ConnectFailed, ///< It was not established.
  LinkLost,      ///< It was reset, given up by the kernel, or is silent.
  Connected,     ///< A new one was established.
  Heard,         ///< Bytes of an answer arrived.
};

/// What is known of the direct path to the upstreams of one service.
struct PathEvidence {
  struct Failures {
    TimePoint First;
    TimePoint Last;
  };
  using FailuresByUpstream = std::map<std::string, Failures, std::less<>>;

  /// Since the last connection that was established. Bytes on older ones don't
  /// clear them: these may live on while new ones are refused.
  FailuresByUpstream ConnectFailures;
  FailuresByUpstream LostLinks; ///< Since bytes were last heard.
  std::optional<TimePoint> HeardAt;
  /// When another gateway was last known to hear the service.
  std::optional<TimePoint> OthersHeardAt;
  bool IsCut = false;
  TimePoint NextTrialAt;
  /// Upstreams that were connected in trials, and when first, since the last
  /// trial that failed.
  std::map<std::string, TimePoint, std::less<>> TrialsConnected;
};

void noteConnectFailed(PathEvidence &Evidence, std::string_view Upstream,
                       TimePoint Now);
void noteLinkLost(PathEvidence &Evidence, std::string_view Upstream,
                  TimePoint Now);
void noteConnected(PathEvidence &Evidence, std::string_view Upstream,
                   TimePoint Now);
void noteHeard(PathEvidence &Evidence, TimePoint Now);
void noteEvent(PathEvidence &Evidence, PathEvent Event,
               std::string_view Upstream, TimePoint Now);
void noteOthersHear(PathEvidence &Evidence, TimePoint Now);
/// Notes that the process stood still, which connections take for silence.
void notePause(PathEvidence &Evidence);

/// Updates IsCut. Returns whether it has changed.
bool updateCut(PathEvidence &Evidence, std::size_t RegisteredUpstreams,
               TimePoint Now);

/// Returns whether a call is to be sent on a new direct connection to find out
/// whether the cut has ended, and counts it as sent.
bool takeTrial(PathEvidence &Evidence, TimePoint Now);

/// Returns whether open direct connections still serve.
bool areOpenConnectionsUsable(const PathEvidence &Evidence, TimePoint Now);

/// Returns whether this gateway may open connections of the service for others.
bool hearsService(const PathEvidence &Evidence, TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_UPSTREAMPATHS_H
