// Streams that their callers take up again: where a ForwardRun goes on with
// them.

#include "process/FatalSignals.h"
#include "process/Log.h"
#include "request/ForwardRun.h"
#include "version/SoftwareVersions.h"

#include <algorithm>

namespace galenaroute {

/// Retry-After of a stream whose origin has no upstream. One that crashed may
/// return.
static constexpr Duration OriginRetryAfter = std::chrono::seconds(1);
/// Periods in which a record is stored, if at all. A caller that waits longer
/// waits in vain.
static constexpr int RetryPeriods = 2;

bool ForwardRun::isResumable() const {
  return this->Route && this->Route->IsStream &&
         this->Route->Repeat == Repeatability::Resumable;
}

bool ForwardRun::needsVersion() const {
  return this->Origin && !this->Services.OnlyVersion(this->Service->Name);
}

/// Returns the software version that has begun all streams of the route, or
/// nothing. Another service of the route may have begun the stream.
std::optional<std::string> ForwardRun::onlyVersionOfRoute() const {
  if (!this->Services.AreVersionsSettled()) {
    const auto Age = this->Services.VersionsViewAge();
    const TimePoint NeededUntil =
        this->Incoming->Arrived - SoftwareVersions::MaxUnsettledViewAge;
    if (!Age || EventLoop::now() - *Age < NeededUntil)
      return std::nullopt;
  }
  auto Result = this->Services.OnlyVersion(this->Service->Name);
  for (const WeightedService &Each : this->Route->Services)
    if (this->Services.OnlyVersion(Each.Service) != Result)
      return std::nullopt;
  return Result;
}

/// Finds where the stream began that the caller takes up, and goes on there.
void ForwardRun::findOrigin() {
  const RunningCall Scope(this->Call.Id);
  this->Search.IsNamed = !this->Call.Resumes.empty();
  if (const auto Found = this->Services.Streams.find(this->Stream);
      Found && this->Search.IsNamed) {
    this->goOnAt(*Found, OriginSource::Record);
    return;
  }
  if (const auto Version = this->onlyVersionOfRoute()) {
    this->goOnAt({this->Service->Name, *Version}, OriginSource::OnlyOne);
    return;
  }
  this->StreamsListed = this->Services.StreamsListed.connect(
      [this](const StreamOrigins *Stored) { this->onStreamsListed(Stored); });
  this->continueSearch();
}

void ForwardRun::continueSearch() {
  switch (nextOriginStep(this->Search)) {
  case OriginStep::GoOn:
    return;
  case OriginStep::List:
    this->listStreams();
    return;
  case OriginStep::ListLater:
    this->ListTimer = this->Services.Loop.timers().after(
        this->Services.StreamStorePeriod,
        [Self = this->shared_from_this()] { Self->listStreams(); });
    return;
  case OriginStep::Refuse:
    this->refuse(this->Search.IsNamed
                     ? "the software version that began the stream is not known"
                     : "the call takes up a stream without naming it, and its "
                       "service has several software versions",
                 RetryPeriods * this->Services.StreamStorePeriod);
    return;
  }
}

void ForwardRun::listStreams() {
  this->ListTimer.disconnect();
  if (this->Current != Phase::Done)
    this->Services.ListStreams();
}

void ForwardRun::onStreamsListed(const StreamOrigins *Stored) {
  const RunningCall Scope(this->Call.Id);
  // A list that began before the wait for the next one does not count.
  if (this->Current == Phase::Done || this->ListTimer.connected())
    return;
  const auto Self = this->shared_from_this();
  ++this->Search.Lists;
  this->Search.HasListFailed = Stored == nullptr;
  const auto Found =
      Stored ? Stored->find(this->Stream) : std::optional<StreamOrigin>();
  if (Found) {
    this->StreamsListed.disconnect();
    this->goOnAt(*Found, OriginSource::Stored);
    return;
  }
  // What the platform was asked for meanwhile may show the only version.
  if (const auto Version = this->onlyVersionOfRoute()) {
    this->StreamsListed.disconnect();
    this->goOnAt({this->Service->Name, *Version}, OriginSource::OnlyOne);
    return;
  }
  this->continueSearch();
}

/// Goes on with the stream at upstreams of its origin.
void ForwardRun::goOnAt(const StreamOrigin &Found, OriginSource Source) {
  this->Search.IsFound = true;
  this->Services.Stats.decision("stream.taken_up_by_" +
                                std::string(toString(Source)));
  const auto ViewAge = this->Services.VersionsViewAge();
  log(LogLevel::Info, "call.taken_up",
      {{"call", this->Call.Id},
       {"stream", this->Call.Resumes},
       {"service", Found.Service},
       {"software", Found.Version},
       {"known_by", std::string(toString(Source))},
       {"lists", std::to_string(this->Search.Lists)},
       {"view_ms", ViewAge ? std::to_string(toMilliseconds(*ViewAge)) : "-"}});
  const auto Service = this->Config->Services.find(Found.Service);
  const bool IsOnRoute = std::any_of(
      this->Route->Services.begin(), this->Route->Services.end(),
      [&](const auto &Each) { return Each.Service == Found.Service; });
  if (!IsOnRoute || Service == this->Config->Services.end()) {
    this->refuse("the service that began the stream is not on its route",
                 OriginRetryAfter);
    return;
  }
  this->setService(Service->second);
  this->Origin = Found;
  this->beginForwarding();
}

/// Ends the call if no upstream has the software version that began its stream.
/// Returns whether it did.
bool ForwardRun::endIfNoUpstreamOfVersion() {
  if (!this->Origin || this->Services.Upstreams.hasSoftware(
                           this->Service->Name, this->Origin->Version))
    return false;
  if (this->endIfEvacuated())
    return true;
  this->Services.Stats.decision("stream.no_upstream_of_version");
  this->refuseOrFail(
      "no upstream has the software version that began the stream",
      OriginRetryAfter);
  return true;
}

/// Notes that the upstream of \p First begins the answer. What upstreams with
/// other software write does not fit to it.
void ForwardRun::setOrigin(const ForwardSend &First) {
  if (!this->isResumable())
    return;
  if (!this->Origin)
    this->Origin = {this->Service->Name, First.SoftwareVersion};
  if (!this->Services.Streams.noteBegun(this->Stream, *this->Origin,
                                        EventLoop::now()))
    this->Services.Stats.decision("stream.not_recorded");
  const auto Sends = this->Live;
  for (const auto &Each : Sends)
    if (Each->SoftwareVersion != this->Origin->Version)
      this->cancelSend(*Each, "other_software");
}

} // namespace galenaroute
