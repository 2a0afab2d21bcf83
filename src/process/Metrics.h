// Prometheus metrics of a daemon.
//
//   Metrics Stats;
//   Stats.requestEnded("steward-models", "ok", Elapsed);
//   Reply->send(200, {}, Stats.toText());
//
// Label values are service names or come from fixed sets, never request ids or
// upstreams, so that the number of time series doesn't grow with the traffic or
// the fleet. Of customers, only those with the largest engine times are listed.

#ifndef GALENAROUTE_PROCESS_METRICS_H
#define GALENAROUTE_PROCESS_METRICS_H

#include "process/Clock.h"

#include <map>
#include <memory>
#include <optional>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace galenaroute {

class Metrics {
public:
  Metrics();

  /// \p Outcome is `ok`, `caller_left` or the code of an error kind.
  void requestEnded(const std::string &Service, const std::string &Outcome,
                    Duration Elapsed);
  void firstToken(const std::string &Service, Duration Elapsed);
  void tokenGap(const std::string &Service, Duration Gap);
  void promptTokens(const std::string &Service, double Total, double Cached);
  /// Counts a call that was refused. \p Reason is one of a fixed set of texts.
  void refused(const std::string &Reason);
  /// Sets the work that is queued here, see QueueAdmission.h.
  void backlog(const std::string &Service, std::size_t Class, double Ms);
  /// Counts an upstream that a call is sent to. \p Rank is that of an engine
  /// among the eligible ones of a prompt's subject; \p CallsPerSlot is the load
  /// that the choice assumed there.
  void upstreamChosen(const std::string &Service, std::string_view Kind,
                      std::optional<std::size_t> Rank, double CallsPerSlot);
  /// Counts a timeline event, such as `retry` or `line.foreign`.
  void decision(const std::string &Kind);
  /// Replaces the numbers of live gateways by the level of their build.
  void gatewaysByLevel(const std::map<std::uint32_t, std::size_t> &Counts);
  /// Replaces the engine times by name of customer.
  void customerTimes(const std::map<std::string, double> &Milliseconds);

  prometheus::Gauge &OpenRequests;
  prometheus::Gauge &ConfigEpoch;
  prometheus::Gauge &Draining;

  /// The registry, for components that add their own metrics.
  prometheus::Registry &registry() { return *this->Registry; }

  /// Returns all metrics in the Prometheus text format.
  std::string toText() const;

private:
  explicit Metrics(const std::shared_ptr<prometheus::Registry> &Registry);

  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &RequestSeconds;
  prometheus::Family<prometheus::Histogram> &FirstTokenSeconds;
  prometheus::Family<prometheus::Histogram> &TokenGapSeconds;
  prometheus::Family<prometheus::Counter> &PromptTokens;
  prometheus::Family<prometheus::Counter> &Decisions;
  prometheus::Family<prometheus::Counter> &Refusals;
  prometheus::Family<prometheus::Gauge> &BacklogMs;
  prometheus::Family<prometheus::Gauge> &CustomerMs;
  prometheus::Family<prometheus::Gauge> &Gateways;
  prometheus::Family<prometheus::Counter> &Choices;
  prometheus::Family<prometheus::Histogram> &ChoiceRank;
  prometheus::Family<prometheus::Histogram> &ChoiceLoad;
  std::map<std::string, prometheus::Gauge *> CustomerGauges;  ///< By name.
  std::map<std::uint32_t, prometheus::Gauge *> GatewayGauges; ///< By level.
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_METRICS_H
