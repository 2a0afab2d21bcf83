#include "Fleet.h"

#include <algorithm>
#include <cmath>
#include <iostream>

namespace galenaroute::bench {

using namespace std::chrono_literals;
using nlohmann::json;
using testing_support::Program;

namespace {

/// Engines of the deployments as the design page has them.
constexpr double HarwoodEngines = 12;
constexpr double CedarlineEngines = 20;
/// Small enough that a long prompt is evicted before it returns.
constexpr std::string_view CacheBlocks = "40";
constexpr std::string_view PrefillTokensPerSecond = "15000";
constexpr double SlowShare = 1.0 / 6;

testing_support::ListingParts partsOf(const std::string &Deployment) {
  testing_support::ListingParts Result;
  Result.DeadlineMs = 10000;
  Result.Customers.clear();
  for (int I = 0; I < 10; ++I)
    Result.Customers.push_back("customer-" + std::to_string(I));
  if (Deployment != "cedarline")
    return Result;
  Result.Deployment = "cedarline";
  Result.Region = "pnw";
  Result.Zones = {"pnw-a", "pnw-b", "pnw-c"};
  Result.ModelService = "bean-llm";
  Result.Model = "bean-7b";
  Result.PlainService = "desk-app";
  Result.PaidPath = "/commitments";
  Result.ReadPath = "/stock";
  Result.MaxConcurrentLoads = 3;
  return Result;
}

} // namespace

Fleet::Fleet(const FleetSettings &Settings)
    : Settings(Settings), Harness(Settings.BuildDir),
      Parts(partsOf(Settings.Deployment)) {
  const Program &Platform = this->Harness.startEmulator("platform", {});
  const bool IsCedarline = Settings.Deployment == "cedarline";
  this->startEngines(static_cast<std::size_t>(std::max(
      2.0, std::round((IsCedarline ? CedarlineEngines : HarwoodEngines) *
                      Settings.Scale))));
  const std::vector<std::string> StoreNames =
      IsCedarline ? std::vector<std::string>{"prompt-vault-a", "prompt-vault-b"}
                  : std::vector<std::string>{"handbook-cache", "photo-cache"};
  for (std::size_t I = 0; I < 2; ++I) {
    this->Stores.push_back(
        &this->Harness.startEmulator("store", {"--link-mbps", "60"}));
    this->Parts.Stores.push_back(
        {StoreNames[I], this->Stores.back()->address(), this->Parts.Zones[I]});
  }
  this->Parts.StoreLinkMbps = 60;
  for (std::size_t I = 0; I < 3; ++I) {
    this->PlainServers.push_back(&this->Harness.startEmulator("service", {}));
    this->Parts.PlainServers.push_back({"desk-" + std::to_string(I + 1),
                                        this->PlainServers.back()->address(),
                                        this->Parts.Zones[I]});
  }
  this->Daemons =
      this->Harness.startDaemons(Platform.address(), this->Parts.Zones,
                                 {"--routing-policy", Settings.Policy,
                                  "--log-level", "error", "--keep-ms", "0"});
  this->Harness.applyListing(Platform.address(),
                             testing_support::listingText(this->Parts));
  for (const Program *Each : this->Daemons)
    this->Harness.waitFor("a ready daemon", [&] {
      return this->Harness.getJson(Each->address(), "/v1/status")
          .value("ready", false);
    });
}

void Fleet::startEngines(std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    this->Engines.push_back(&this->Harness.startEmulator(
        "engine", {"--seed", std::to_string(this->Settings.Seed * 100 + I),
                   "--decode-ms", "10", "--cache-blocks",
                   std::string(CacheBlocks), "--prefill-tokens-per-second",
                   std::string(PrefillTokensPerSecond), "--kv-link-mbps", "40",
                   "--block-bytes", "65536", "--event-gap-share", "0.01"}));
    this->Parts.Engines.push_back({"engine-" + std::to_string(I + 1),
                                   this->Engines.back()->address(),
                                   this->Parts.Zones[I % 3]});
  }
}

void Fleet::slowEngines(Duration Span) {
  const auto Count = static_cast<std::size_t>(std::max(
      1.0, std::round(static_cast<double>(this->Engines.size()) * SlowShare)));
  const json Fault = {{"slow_factor", 5},
                      {"slow_ms", toMilliseconds(Span)},
                      {"report_lag_ms", 1500}};
  for (std::size_t I = 0; I < Count; ++I)
    this->Harness.client().startDetached(
        HttpCallBuilder(this->Engines[I]->address())
            .post("/admin/fault", Fault.dump())
            .build(),
        [](const HttpResult &) {});
}

void Fleet::printTimeline(const std::string &Request) {
  std::cerr << "time line of " << Request << ":\n";
  for (std::size_t I = 0; I < this->PlainServers.size(); ++I)
    std::cerr << "  runs at " << this->Parts.PlainServers[I].Name << ": "
              << this->Harness
                     .get(this->PlainServers[I]->address(),
                          "/admin/runs?key=" + Request)
                     .Body
              << "\n";
  for (const Program *Each : this->Daemons) {
    const json Body = this->Harness.getJson(Each->address(),
                                            "/v1/timeline?request=" + Request);
    if (!Body.is_object())
      continue;
    for (const json &Event : Body.value("events", json::array()))
      std::cerr << "  " << Body.value("process", "") << " "
                << Event.value("micros", std::int64_t{0}) << " "
                << Event.value("kind", "") << " " << Event.value("detail", "")
                << "\n";
  }
}

FleetCounts Fleet::counts() {
  FleetCounts Result;
  for (const Program *Each : this->Engines) {
    const json Stats = this->Harness.getJson(Each->address(), "/admin/stats");
    if (!Stats.is_object())
      continue;
    Result.PromptTokens += Stats.value("prompt_tokens", 0.0);
    Result.CachedTokens += Stats.value("cached_tokens", 0.0);
    Result.CacheViolations += Stats.value("cache_violations", 0.0);
    Result.KvMegabytes += Stats.value("kv_bytes", 0.0) / 1e6;
  }
  for (const Program *Each : this->Stores) {
    const json Usage = this->Harness.getJson(Each->address(), "/v1/usage");
    if (Usage.is_object())
      Result.LinkBusyShare += Usage.value("link_busy_share", 0.0) /
                              static_cast<double>(this->Stores.size());
  }
  std::map<std::string, int> Runs;
  for (const Program *Each : this->PlainServers) {
    const json Body = this->Harness.getJson(Each->address(), "/admin/runs");
    if (!Body.is_object())
      continue;
    for (const auto &[Key, Count] : Body["runs"].items())
      if (Key.starts_with("pay-"))
        Runs[Key] += Count.get<int>();
  }
  for (const auto &[Key, Count] : Runs) {
    if (Count <= 1)
      continue;
    ++Result.RepeatedPayments;
    this->printTimeline(Key);
  }
  return Result;
}

} // namespace galenaroute::bench
