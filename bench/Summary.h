// The measures of one run, and their comparison over seeds.

#ifndef GALENAROUTE_BENCH_SUMMARY_H
#define GALENAROUTE_BENCH_SUMMARY_H

#include "LoadRun.h"

#include <map>
#include <optional>

namespace galenaroute::bench {

/// One measure: how it is called in tables and plots.
struct Measure {
  std::string Name; ///< Of the plot file.
  std::string Title;
  std::string Unit;
};

/// All measures, in the order of the tables.
const std::vector<Measure> &allMeasures();

/// Values by the name of the measure. One without samples is left out.
using Values = std::map<std::string, double>;

/// Computes the measures of a run of \p Calls.
Values summarize(const RunRecord &Run, std::span<const PlannedCall> Calls,
                 const WorkloadSettings &Settings);

/// Returns the value below which \p Share of \p Samples lie, by the nearest
/// rank; nothing when there are no samples.
std::optional<double> quantile(std::vector<double> Samples, double Share);

/// The middle and the extremes of a measure over seeds.
struct Spread {
  double Median = 0;
  double Least = 0;
  double Most = 0;
};
std::optional<Spread> spreadOf(const std::vector<double> &Samples);

} // namespace galenaroute::bench

#endif // GALENAROUTE_BENCH_SUMMARY_H
