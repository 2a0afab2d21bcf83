// The origins of streams at ForwardGateway: what stores them, and which calls
// use them. See docs/design/software-versions.md.

#include "process/ForwardGateway.h"
#include "process/GossipMessages.h"

namespace galenaroute {

StreamOriginStoreParts ForwardGateway::streamStoreParts() {
  return {
      .Loop = this->Loop,
      .Api = this->Parts.Api,
      .Streams = this->Services.Streams,
      .NodeId = this->Settings.NodeId,
      .NeedsRecords = [this] { return this->SoftwareVersions.needsRecords(); },
      .GatewayCount = [this] { return this->gatewayCount(); },
      .Tell =
          [this](const StreamRecordUpdates &News) {
            return this->tellStreams(News);
          },
      .OnEarlierSet =
          [this](const std::string &Service,
                 const std::set<std::string> &Versions) {
            this->SoftwareVersions.noteEarlierSet(Service, Versions);
          }};
}

/// Sends records that cannot be stored to gateways that store them. Returns
/// whether there are any.
bool ForwardGateway::tellStreams(const StreamRecordUpdates &News) {
  const std::string Bytes = encodeGossip({.Streams = News});
  const std::vector<SocketAddress> Receivers = chooseRecordReceivers(
      this->Entries.alive(EventLoop::now()), this->Settings.NodeId);
  for (const SocketAddress &To : Receivers)
    this->Channel->send(To, Bytes);
  return !Receivers.empty();
}

/// Returns whether no gateway would keep the records of new streams of this
/// one, while others could store those of theirs: all that reach the platform
/// are of earlier builds. While none reaches it, no gateway is better.
bool ForwardGateway::lacksRecordKeepers() const {
  if (!this->StreamStore.isLate())
    return false;
  bool IsStoredElsewhere = false;
  bool IsKept = false;
  this->Entries.forEachAlive(EventLoop::now(), [&](const EntryRecord &Each) {
    IsStoredElsewhere |= Each.ReachesPlatform;
    IsKept |=
        Each.ReachesPlatform && keeps(Each.Level, FleetRule::StreamRecords);
  });
  return IsStoredElsewhere && !IsKept;
}

/// Lets calls find where the streams began that their callers take up.
void ForwardGateway::connectStreams() {
  this->Services.OnlyVersion = [this](std::string_view Service) {
    return this->SoftwareVersions.onlyVersion(Service);
  };
  this->Services.UnsettledVersions = [this](std::string_view Service) {
    return this->SoftwareVersions.unsettledVersions(Service);
  };
  this->Services.VersionsViewAge = [this] {
    return this->SoftwareVersions.viewAge();
  };
  this->Services.AreVersionsSettled = [this] {
    return this->Entries.doAllKeep(FleetRule::SettledVersions);
  };
  this->Services.LacksRecordKeepers = [this] {
    return this->lacksRecordKeepers();
  };
  this->SoftwareVersions.Settled.connect([this] { this->wakeQueues(); });
  this->Services.ListStreams = [this] {
    this->SoftwareVersions.refresh();
    this->StreamStore.list();
  };
  this->StreamStore.Listed.connect([this](const StreamOrigins *Stored) {
    this->Services.StreamsListed.emit(Stored);
  });
}

VersionsByService ForwardGateway::registeredVersions() const {
  VersionsByService Result;
  for (const auto &[Id, Entry] : this->Upstreams.entries())
    if (this->ResumableServices.contains(Entry.Registered.Service))
      Result[Entry.Registered.Service].insert(Entry.Registered.SoftwareVersion);
  return Result;
}

} // namespace galenaroute
