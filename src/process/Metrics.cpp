#include "process/Metrics.h"

#include "process/BuildVersion.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace galenaroute {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Histogram;

/// Histogram buckets in seconds, with bounds at the targets of 1.2 s to the
/// first token and 48 ms between tokens.
static const Histogram::BucketBoundaries &requestBounds() {
  static const Histogram::BucketBoundaries Bounds = {
      0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 15, 30, 60, 300};
  return Bounds;
}
static const Histogram::BucketBoundaries &gapBounds() {
  static const Histogram::BucketBoundaries Bounds = {
      0.005, 0.01, 0.02, 0.03, 0.048, 0.08, 0.15, 0.3, 1, 3};
  return Bounds;
}

/// Bounds of ranks, as far as engines are ranked.
static const Histogram::BucketBoundaries &rankBounds() {
  static const Histogram::BucketBoundaries Bounds = {0, 1, 2, 3};
  return Bounds;
}
/// Bounds of calls per slot. Above 1, calls wait.
static const Histogram::BucketBoundaries &loadBounds() {
  static const Histogram::BucketBoundaries Bounds = {0.25, 0.5, 0.75, 0.9,
                                                     1,    1.1, 1.5,  2};
  return Bounds;
}

Metrics::Metrics() : Metrics(std::make_shared<prometheus::Registry>()) {}

Metrics::Metrics(const std::shared_ptr<prometheus::Registry> &Given)
    : OpenRequests(BuildGauge()
                       .Name("galenaroute_open_requests")
                       .Help("Requests that have not ended")
                       .Register(*Given)
                       .Add({})),
      ConfigEpoch(BuildGauge()
                      .Name("galenaroute_config_epoch")
                      .Help("Epoch of the configuration in force")
                      .Register(*Given)
                      .Add({})),
      Draining(BuildGauge()
                   .Name("galenaroute_draining")
                   .Help("1 while the daemon is stopping")
                   .Register(*Given)
                   .Add({})),
      Registry(Given), Requests(BuildCounter()
                                    .Name("galenaroute_requests_total")
                                    .Help("Requests that ended, by outcome")
                                    .Register(*Given)),
      RequestSeconds(BuildHistogram()
                         .Name("galenaroute_request_seconds")
                         .Help("From arrival to the end of the answer")
                         .Register(*Given)),
      FirstTokenSeconds(BuildHistogram()
                            .Name("galenaroute_first_token_seconds")
                            .Help("From arrival to the first token")
                            .Register(*Given)),
      TokenGapSeconds(BuildHistogram()
                          .Name("galenaroute_token_gap_seconds")
                          .Help("Between two tokens of an answer")
                          .Register(*Given)),
      PromptTokens(BuildCounter()
                       .Name("galenaroute_prompt_tokens_total")
                       .Help("Prompt tokens of finished answers, by whether "
                             "they were cached")
                       .Register(*Given)),
      Decisions(BuildCounter()
                    .Name("galenaroute_decisions_total")
                    .Help("Events of the time line, by kind")
                    .Register(*Given)),
      Refusals(BuildCounter()
                   .Name("galenaroute_refusals_total")
                   .Help("Calls that were refused, by reason")
                   .Register(*Given)),
      BacklogMs(BuildGauge()
                    .Name("galenaroute_backlog_ms")
                    .Help("Engine time that the calls queued here need, by "
                          "service and class")
                    .Register(*Given)),
      CustomerMs(
          BuildGauge()
              .Name("galenaroute_customer_engine_ms")
              .Help("Recent engine time by customer, of the largest ones")
              .Register(*Given)),
      Gateways(BuildGauge()
                   .Name("galenaroute_gateways")
                   .Help("Live gateways, by the level of their build")
                   .Register(*Given)),
      Choices(BuildCounter()
                  .Name("galenaroute_upstream_choices_total")
                  .Help("Calls sent, by the kind of the chosen upstream")
                  .Register(*Given)),
      ChoiceRank(BuildHistogram()
                     .Name("galenaroute_upstream_choice_rank")
                     .Help("Rank of the chosen engine among the eligible "
                           "ones of the prompt's subject")
                     .Register(*Given)),
      ChoiceLoad(BuildHistogram()
                     .Name("galenaroute_upstream_choice_load")
                     .Help("Calls per slot that were expected at the chosen "
                           "upstream")
                     .Register(*Given)) {
  BuildGauge()
      .Name("galenaroute_build_info")
      .Help("1, with the commit that the daemon was built from")
      .Register(*Given)
      .Add({{"build", std::string(buildVersion())}})
      .Set(1);
}

void Metrics::refused(const std::string &Reason) {
  this->Refusals.Add({{"reason", Reason}}).Increment();
}

void Metrics::backlog(const std::string &Service, std::size_t Class,
                      double Ms) {
  this->BacklogMs.Add({{"service", Service}, {"class", std::to_string(Class)}})
      .Set(Ms);
}

void Metrics::requestEnded(const std::string &Service,
                           const std::string &Outcome, Duration Elapsed) {
  this->Requests.Add({{"service", Service}, {"outcome", Outcome}}).Increment();
  this->RequestSeconds.Add({{"service", Service}}, requestBounds())
      .Observe(toSeconds(Elapsed));
}

void Metrics::firstToken(const std::string &Service, Duration Elapsed) {
  this->FirstTokenSeconds.Add({{"service", Service}}, requestBounds())
      .Observe(toSeconds(Elapsed));
}

void Metrics::tokenGap(const std::string &Service, Duration Gap) {
  this->TokenGapSeconds.Add({{"service", Service}}, gapBounds())
      .Observe(toSeconds(Gap));
}

void Metrics::promptTokens(const std::string &Service, double Total,
                           double Cached) {
  this->PromptTokens.Add({{"service", Service}, {"source", "cached"}})
      .Increment(Cached);
  this->PromptTokens.Add({{"service", Service}, {"source", "computed"}})
      .Increment(std::max(0.0, Total - Cached));
}

void Metrics::decision(const std::string &Kind) {
  this->Decisions.Add({{"kind", Kind}}).Increment();
}

void Metrics::customerTimes(const std::map<std::string, double> &Milliseconds) {
  std::erase_if(this->CustomerGauges, [&](const auto &Each) {
    if (Milliseconds.contains(Each.first))
      return false;
    this->CustomerMs.Remove(Each.second);
    return true;
  });
  for (const auto &[Name, Ms] : Milliseconds) {
    auto &Gauge = this->CustomerGauges[Name];
    if (!Gauge)
      Gauge = &this->CustomerMs.Add({{"customer", Name}});
    Gauge->Set(Ms);
  }
}

void Metrics::gatewaysByLevel(
    const std::map<std::uint32_t, std::size_t> &Counts) {
  for (const auto &[Level, Gauge] : this->GatewayGauges)
    Gauge->Set(0);
  for (const auto &[Level, Count] : Counts) {
    auto &Gauge = this->GatewayGauges[Level];
    if (!Gauge)
      Gauge = &this->Gateways.Add({{"level", std::to_string(Level)}});
    Gauge->Set(static_cast<double>(Count));
  }
}

void Metrics::upstreamChosen(const std::string &Service, std::string_view Kind,
                             std::optional<std::size_t> Rank,
                             double CallsPerSlot) {
  this->Choices.Add({{"service", Service}, {"kind", std::string(Kind)}})
      .Increment();
  if (Rank)
    this->ChoiceRank.Add({{"service", Service}}, rankBounds())
        .Observe(static_cast<double>(*Rank));
  this->ChoiceLoad.Add({{"service", Service}}, loadBounds())
      .Observe(CallsPerSlot);
}

std::string Metrics::toText() const {
  std::ostringstream Out;
  prometheus::TextSerializer().Serialize(Out, this->Registry->Collect());
  return Out.str();
}

} // namespace galenaroute
