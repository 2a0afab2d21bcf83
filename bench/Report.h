// Tables and plots of an experiment.

#ifndef GALENAROUTE_BENCH_REPORT_H
#define GALENAROUTE_BENCH_REPORT_H

#include "Summary.h"

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>

namespace galenaroute::bench {

/// The values of all runs, by deployment, policy and seed.
struct Results {
  std::vector<std::string> Deployments;
  std::vector<std::string> Policies; ///< The first is the one compared with.
  std::map<std::string, std::map<std::string, std::map<std::uint64_t, Values>>>
      Runs;
};

/// Returns the samples of \p Name over the seeds.
std::vector<double> samplesOf(const Results &All, const std::string &Deployment,
                              const std::string &Policy,
                              const std::string &Name);

/// Returns for each seed the value of \p Policy over that of the first policy;
/// seeds where the latter is zero are left out.
std::vector<double> ratiosOf(const Results &All, const std::string &Deployment,
                             const std::string &Policy,
                             const std::string &Name);

/// Prints one table for each deployment: median (least to most) and the median
/// ratio to the first policy.
void printTables(std::ostream &Out, const Results &All);

/// Returns a bar plot of \p Which with the spread over the seeds, as SVG.
std::string plotSvg(const Results &All, const Measure &Which);

nlohmann::json toJson(const Results &All);

} // namespace galenaroute::bench

#endif // GALENAROUTE_BENCH_REPORT_H
