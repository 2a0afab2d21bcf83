// Of the run of a process soak: upstreams and the store.

#include "ProcessRun.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <utility>

namespace galenaroute::process_soak {

using namespace std::chrono_literals;

/// Longer than the store stands still.
static constexpr Duration ControlLimit = 5s;
static constexpr int UpstreamPort = 9000;
/// Upstreams that come back with a new version at the same time as the first.
static constexpr std::uint64_t FollowsOneIn = 4;

void ProcessRun::startStore() {
  const std::string File = this->pathOf("store.address");
  this->Store = this->startPart(
      "store",
      {"--role", "store", "--address-file", File, "--address",
       "127." + std::to_string(this->Places.Network) +
           ".2.1:" + std::to_string(UpstreamPort),
       "--length-ms",
       std::to_string(toMilliseconds(SettleTime + this->Settings.Plan.Length)),
       "--count", std::to_string(this->Daemons.size()), "--seed",
       std::to_string(this->Settings.Plan.Seed)});
  if (!this->waitFor([&] { return std::filesystem::exists(File); }, StartLimit))
    throw std::runtime_error("the store does not start");
  std::ifstream Addresses(File);
  const auto Next = [&Addresses] {
    std::string Line;
    std::getline(Addresses, Line);
    return SocketAddress::parse(Line);
  };
  this->StoreAddress = Next();
  this->StoreControl = Next();
  for (std::size_t I = 0; I < this->Daemons.size(); ++I)
    this->StoreDoors.push_back(Next());
}

void ProcessRun::freezeStore(Duration For) {
  const TimePoint From = EventLoop::now();
  this->StoreFrozenUntil = std::max(this->StoreFrozenUntil, From + For);
  this->Store->signal(SIGSTOP);
  this->after(For, [this, From] {
    if (EventLoop::now() >= this->StoreFrozenUntil)
      this->Store->signal(SIGCONT);
    this->History.StoreFreezes.push_back({From, EventLoop::now()});
  });
}

/// Lets the store turn a daemon away.
void ProcessRun::turnAway(const Deed &Next) {
  this->Client.startDetached(
      HttpCallBuilder(this->StoreControl)
          .put("/doors/" + std::to_string(Next.Target),
               nlohmann::json{{"how", toString(Next.Way)},
                              {"forMs", toMilliseconds(Next.For)}}
                   .dump())
          .totalTimeout(ControlLimit)
          .newConnection()
          .build(),
      [this, Next](const HttpResult &Result) {
        // The answer is late while the store stands still.
        this->History.LastFaultAt =
            std::max(this->History.LastFaultAt, EventLoop::now() + Next.For);
        this->note((Result.isSuccess() ? "the store turns away daemon "
                                       : "the store fails to turn away ") +
                   std::to_string(Next.Target) + " by " + toString(Next.Way));
      });
}

std::uint64_t ProcessRun::oldestVersion() const {
  return this->NewestVersion < this->Settings.Versions
             ? 1
             : this->NewestVersion - this->Settings.Versions + 1;
}

/// Draws the software version of the next upstream: half of the time the newest
/// one.
std::uint64_t ProcessRun::drawVersion() const {
  std::mt19937_64 Random(this->Settings.Plan.Seed * 1000 +
                         this->UpstreamIds.size());
  const std::uint64_t Oldest = this->oldestVersion();
  if (Random() % 2 == 0)
    return this->NewestVersion;
  return Oldest + Random() % (this->NewestVersion - Oldest + 1);
}

void ProcessRun::startUpstream(std::size_t Index) {
  UpstreamPart &Part = this->Upstreams[Index];
  if (Part.Child || this->IsEnding)
    return;
  Part.Id = this->Name + "u" + std::to_string(Index) + "-" +
            std::to_string(this->UpstreamIds.size());
  if (!std::exchange(Part.Returns, false)) {
    Part.EntryId = Part.Id;
    Part.Version = Part.NextVersion.value_or(this->drawVersion());
    Part.NextVersion.reset();
  }
  this->UpstreamIds.push_back(Part.Id);
  Part.IsLeaving = false;
  Part.SilentUntil = {};
  const std::string Service = "d" + std::to_string(Index % Services);
  const std::string Version = std::to_string(Part.Version);
  this->History.Upstreams[Part.Id] = {.Version = Service + "/" + Version,
                                      .StartedAt = EventLoop::now()};
  this->note("upstream " + Part.Id + " starts with version " + Service + "/" +
             Version +
             (Part.EntryId == Part.Id ? "" : " under the id " + Part.EntryId));
  Part.Child = this->startPart(
      Part.Id,
      {"--role", "upstream", "--id", Part.EntryId, "--store",
       this->StoreAddress.toString(), "--service", Service, "--version",
       Version, "--address",
       "127." + std::to_string(this->Places.Network) + ".1." +
           std::to_string(Index + 2) + ":" + std::to_string(UpstreamPort),
       "--seed",
       std::to_string(this->Settings.Plan.Seed * 1000 +
                      this->UpstreamIds.size())});
}

void ProcessRun::silenceUpstream(std::size_t Index, Duration For) {
  UpstreamPart &Part = this->Upstreams[Index];
  const TimePoint From = EventLoop::now();
  // Silences that overlap would be longer than the longest that is drawn.
  if (!Part.Child || From < Part.SilentUntil)
    return;
  Part.SilentUntil = From + For;
  Part.Child->signal(SIGSTOP);
  this->after(For, [this, Index, From, Id = Part.Id] {
    UpstreamPart &Again = this->Upstreams[Index];
    if (Again.Id == Id && Again.Child)
      Again.Child->signal(SIGCONT);
    this->History.Silences[Id].push_back({From, EventLoop::now()});
  });
}

void ProcessRun::endUpstream(std::size_t Index, int Number, Duration Away) {
  UpstreamPart &Part = this->Upstreams[Index];
  if (!Part.Child || Part.IsLeaving)
    return;
  Part.IsLeaving = true;
  this->History.Upstreams[Part.Id].EndsAt = EventLoop::now();
  if (Number == SIGKILL)
    this->History.UpstreamEnds[Part.Id] = EventLoop::now();
  Part.Child->signal(Number);
  this->after(Away, [this, Index] { this->startUpstream(Index); });
}

/// Starts an upstream again under its id, with its version.
void ProcessRun::returnUpstream(std::size_t Index, Duration Away) {
  UpstreamPart &Part = this->Upstreams[Index];
  if (!Part.Child || Part.IsLeaving)
    return;
  Part.Returns = true;
  this->endUpstream(Index, SIGKILL, Away);
}

/// Lets an upstream come back with a version that none has had, and those of
/// versions beyond the number that may run side by side leave.
void ProcessRun::rollOut(std::size_t Index, bool Kills, Duration Away) {
  if (this->Settings.Versions < 2)
    return;
  ++this->NewestVersion;
  std::mt19937_64 Random(this->Settings.Plan.Seed * 1000 + this->NewestVersion);
  for (std::size_t I = 0; I < this->Upstreams.size(); ++I) {
    // Others follow with the same version.
    if (I != Index && Random() % FollowsOneIn != 0)
      continue;
    this->Upstreams[I].NextVersion = this->NewestVersion;
    this->endUpstream(I, Kills ? SIGKILL : SIGTERM, Away);
  }
  for (std::size_t I = 0; I < this->Upstreams.size(); ++I)
    if (this->Upstreams[I].Version < this->oldestVersion())
      this->endUpstream(I, SIGTERM, Away);
}

void ProcessRun::reapUpstreams() {
  for (std::size_t I = 0; I < this->Upstreams.size(); ++I) {
    UpstreamPart &Part = this->Upstreams[I];
    if (!Part.Child || !Part.Child->poll())
      continue;
    this->History.UpstreamEnds.try_emplace(Part.Id, EventLoop::now());
    auto &EndsAt = this->History.Upstreams[Part.Id].EndsAt;
    EndsAt = EndsAt.value_or(EventLoop::now());
    if (Part.Child->exitCode() != 0 && Part.Child->exitCode() != -SIGKILL)
      this->note("upstream " + Part.Id + " ended with " +
                 std::to_string(Part.Child->exitCode()));
    Part.Child.reset();
    this->after(RestartDelay, [this, I] { this->startUpstream(I); });
  }
}

/// Starts half of the upstreams before the daemons, and the others while these
/// start.
void ProcessRun::startUpstreams() {
  std::mt19937_64 Random(this->Settings.Plan.Seed * 101 + 51);
  for (std::size_t I = 0; I < this->Upstreams.size(); ++I) {
    const Duration Delay =
        Milliseconds(Random() % static_cast<std::uint64_t>(
                                    toMilliseconds(LatestRegistration)));
    if (Random() % 2 == 0)
      this->startUpstream(I);
    else
      this->after(Delay, [this, I] { this->startUpstream(I); });
  }
}

} // namespace galenaroute::process_soak
