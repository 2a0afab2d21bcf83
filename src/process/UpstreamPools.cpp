#include "process/UpstreamPools.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

/// Each upstream is asked about this often, while the fleet is small.
static constexpr auto PollPeriod = Milliseconds(250);
/// Bounds the polls of one entry, whatever the number of its upstreams.
static constexpr std::size_t MaxPollsPerPeriod = 24;
static constexpr auto PollLimit = std::chrono::seconds(1);
static constexpr std::size_t MaxLoadBytes = 16 << 10;

std::optional<LoadReport> parseLoadReport(std::string_view Body,
                                          TimePoint Now) {
  const json Parsed = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Parsed.is_object())
    return std::nullopt;
  try {
    LoadReport Report;
    Report.SampledAt =
        Now - Milliseconds(Parsed.value("age_ms", std::int64_t{0}));
    Report.Running = Parsed.value("running", 0);
    Report.Queued = Parsed.value("queued", 0);
    Report.QueuedTokens = Parsed.value("queued_tokens", 0.0);
    Report.FreeBlocks = Parsed.value("free_blocks", 0);
    Report.WeightVersion = Parsed.value("weight_version", "");
    Report.PrefillTokensPerSecond =
        Parsed.value("prefill_tokens_per_second", 0.0);
    Report.Slots = Parsed.value("slots", 0);
    return Report;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

UpstreamPools::UpstreamPools(EventLoop &Loop, HttpClient &Http,
                             PoolOptions Options)
    : Loop(Loop), Http(Http), Options(std::move(Options)) {
  this->PollTimer = Loop.timers().every(PollPeriod, [this] { this->poll(); });
}

UpstreamPools::~UpstreamPools() { this->PollTimer.disconnect(); }

void UpstreamPools::setConfiguration(ConfigurationPtr Next) {
  this->Current = std::move(Next);
  this->update();
}

void UpstreamPools::setLeaving(std::set<std::string> Addresses) {
  if (Addresses == this->Leaving)
    return;
  this->Leaving = std::move(Addresses);
  this->update();
}

void UpstreamPools::setEntries(std::size_t Count) {
  this->Entries = Count;
  for (auto &[Name, Pool] : this->Pools)
    Pool->setEntries(Count);
}

void UpstreamPools::update() {
  if (!this->Current)
    return;
  for (const auto &[Name, Service] : this->Current->Services)
    this->of(Name).setService(Service, this->Leaving);
}

ServicePool &UpstreamPools::of(const std::string &Service) {
  std::unique_ptr<ServicePool> &Pool = this->Pools[Service];
  if (!Pool) {
    Pool = std::make_unique<ServicePool>(this->Loop, this->Options);
    Pool->setEntries(this->Entries);
  }
  return *Pool;
}

std::size_t UpstreamPools::queued() const {
  std::size_t Sum = 0;
  for (const auto &[Name, Pool] : this->Pools)
    Sum += Pool->queued();
  return Sum;
}

bool UpstreamPools::hasWork() const {
  return std::any_of(this->Pools.begin(), this->Pools.end(),
                     [](const auto &Each) { return Each.second->hasWork(); });
}

void UpstreamPools::poll() {
  if (!this->Current)
    return;
  std::vector<std::pair<const std::string *, const UpstreamConfig *>> All;
  for (const auto &[Name, Service] : this->Current->Services) {
    const std::vector<std::string> Used = this->of(Name).upstreams();
    for (const UpstreamConfig &Each : Service.Upstreams)
      if (std::binary_search(Used.begin(), Used.end(), Each.Name))
        All.emplace_back(&Name, &Each);
  }
  const std::size_t Count = std::min(All.size(), MaxPollsPerPeriod);
  for (std::size_t I = 0; I < Count; ++I) {
    const auto &[Service, Upstream] = All[this->PollCursor++ % All.size()];
    this->pollOne(*Service, *Upstream);
  }
}

void UpstreamPools::pollOne(const std::string &Service,
                            const UpstreamConfig &Upstream) {
  const auto Key = std::make_pair(Service, Upstream.Name);
  if (this->Polls.contains(Key))
    return;
  HttpCall Call = HttpCallBuilder(Upstream.Address)
                      .get("/v1/load")
                      .totalTimeout(PollLimit)
                      .build();
  Call.MaxBodyBytes = MaxLoadBytes;
  const TimePoint SentAt = EventLoop::now();
  this->Polls[Key] = this->Http.start(
      std::move(Call),
      {.OnDone = [this, Key, SentAt](const HttpResult &Result) {
        // Kept until this callback returns.
        const auto Ended = this->Polls.extract(Key);
        if (!Result.isSuccess())
          return;
        const TimePoint Now = EventLoop::now();
        if (auto Report = parseLoadReport(Result.Body, Now))
          this->of(Key.first).noteLoad(Key.second, std::move(*Report),
                                       Now - SentAt);
      }});
}

json UpstreamPools::digest() const {
  json Services = json::object();
  for (const auto &[Name, Pool] : this->Pools) {
    json Work = json::array(), Use = json::array();
    for (const UpstreamWork &Each : Pool->work())
      Work.push_back({Each.Upstream, Each.PendingTokens, Each.Outstanding});
    for (const CustomerUse &Each : Pool->use())
      Use.push_back({Each.Customer, Each.InFlight, Each.Queued, Each.WaitMs});
    Services[Name] = {{"work", Work}, {"use", Use}};
  }
  return {{"services", Services}};
}

void UpstreamPools::noteDigest(const std::string &Peer, const json &Digest) {
  for (const auto &[Name, Part] : Digest.at("services").items()) {
    const auto It = this->Pools.find(Name);
    // A peer may know a service that has not come into force here yet.
    if (It == this->Pools.end())
      continue;
    std::vector<UpstreamWork> Work;
    for (const json &Each : Part.at("work"))
      Work.push_back({Each.at(0), Each.at(1), Each.at(2)});
    std::vector<CustomerUse> Use;
    for (const json &Each : Part.at("use"))
      Use.push_back({Each.at(0), Each.at(1), Each.at(2), Each.at(3)});
    It->second->notePeer(Peer, Work, Use);
  }
}

} // namespace galenaroute
