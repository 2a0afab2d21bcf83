// The metrics of a daemon, kept by prometheus-cpp and served as text.
//
//   Metrics Stats;
//   Stats.requestEnded("steward-models", "ok", Elapsed);
//   Reply->send(200, {}, Stats.toText());
//
// Labels are service names and closed sets of words, never customers, request
// ids or upstreams, so that the number of series does not grow with traffic or
// with the fleet.

#ifndef GALENAROUTE_PROCESS_METRICS_H
#define GALENAROUTE_PROCESS_METRICS_H

#include "process/Clock.h"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

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
  /// Counts an event of the time line, such as `retry` or `line.foreign`.
  void decision(const std::string &Kind);

  prometheus::Gauge &OpenRequests;
  prometheus::Gauge &ConfigEpoch;
  prometheus::Gauge &Draining;

  /// The registry, for other parts that keep metrics of their own.
  prometheus::Registry &registry() { return *this->Registry; }

  /// Returns the Prometheus text format.
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
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_METRICS_H
