#include "Summary.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace galenaroute::bench {

namespace {

/// The design page's target for the first token.
constexpr double InTimeSeconds = 1.2;
constexpr double TokensPerBlock = 1000;
constexpr double BytesPerBlock = 4000;

bool isPrompt(CallClass Class) {
  return Class == CallClass::Long || Class == CallClass::Short ||
         Class == CallClass::Straggler;
}

/// The share of the prompt work that could have been reused and was not. The
/// first use of each prompt has nothing to reuse. Engines count prompts that
/// they began, so calls that were never begun drop out.
std::optional<double> recomputedShare(const RunRecord &Run,
                                      std::span<const PlannedCall> Calls) {
  std::set<std::string_view> Seen;
  double Reusable = 0;
  for (std::size_t I = 0; I < Calls.size(); ++I)
    if (Run.Calls[I].End == Outcome::Answered && isPrompt(Calls[I].Class) &&
        !Seen.insert(Calls[I].Prompt).second)
      Reusable += std::floor(static_cast<double>(Calls[I].Prompt.size()) /
                             BytesPerBlock) *
                  TokensPerBlock;
  if (Reusable <= 0)
    return std::nullopt;
  return std::clamp(1 - Run.Counts.CachedTokens / Reusable, 0.0, 1.0);
}

void put(Values &Result, const std::string &Name, std::optional<double> Value) {
  if (Value)
    Result[Name] = *Value;
}

} // namespace

const std::vector<Measure> &allMeasures() {
  static const std::vector<Measure> Result = {
      {"ttft_p50", "Time to first token, median", "ms"},
      {"ttft_p95", "Time to first token, 95 in 100", "ms"},
      {"ttft_p99", "Time to first token, 99 in 100", "ms"},
      {"long_ttft_p95", "First token of long prompts, 95 in 100", "ms"},
      {"recomputed", "Share of reusable prompt work recomputed", "%"},
      {"link_busy", "Store links busy", "%"},
      {"kv_megabytes", "KV cache moved over engine links", "MB"},
      {"crest_in_time", "Crest: answered, first token within 1.2 s", "%"},
      {"crest_refused", "Crest: refused, not run", "%"},
      {"crest_lost", "Crest: lost", "%"},
      {"short_ttft_p95", "Head-of-line: short prompts, 95 in 100", "ms"},
      {"lookup_p95", "Head-of-line: lookups, 95 in 100", "ms"},
      {"slowed_ttft_p99", "Slowed upstreams: first token, 99 in 100", "ms"},
      {"answered", "Answered over the whole run", "%"},
      {"wrong", "Wrong answers", ""},
      {"violations", "Cache blocks found under the wrong key", ""},
      {"repeated", "Payments that ran more than once", ""},
  };
  return Result;
}

std::optional<double> quantile(std::vector<double> Samples, double Share) {
  if (Samples.empty())
    return std::nullopt;
  std::sort(Samples.begin(), Samples.end());
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Samples.size())));
  return Samples[std::clamp<std::size_t>(Rank, 1, Samples.size()) - 1];
}

std::optional<Spread> spreadOf(const std::vector<double> &Samples) {
  if (Samples.empty())
    return std::nullopt;
  const auto [Least, Most] =
      std::minmax_element(Samples.begin(), Samples.end());
  std::vector<double> Sorted = Samples;
  std::sort(Sorted.begin(), Sorted.end());
  const std::size_t Half = Sorted.size() / 2;
  const double Median = Sorted.size() % 2 == 1
                            ? Sorted[Half]
                            : (Sorted[Half - 1] + Sorted[Half]) / 2;
  return Spread{Median, *Least, *Most};
}

Values summarize(const RunRecord &Run, std::span<const PlannedCall> Calls,
                 const WorkloadSettings &Settings) {
  std::vector<double> All;
  std::vector<double> Long;
  std::vector<double> Short;
  std::vector<double> Lookups;
  std::vector<double> Slowed;
  std::map<Outcome, double> Ends;
  std::map<Outcome, double> CrestEnds;
  double Crest = 0;
  double CrestInTime = 0;
  for (const CallRecord &Each : Run.Calls) {
    ++Ends[Each.End];
    const double Ms = Each.FirstSeconds * 1000;
    const bool HasFirst =
        Each.End == Outcome::Answered && Each.FirstSeconds >= 0;
    if (HasFirst && isPrompt(Each.Class)) {
      // Stragglers are the disturbance and not what is measured.
      if (Each.Class != CallClass::Straggler)
        All.push_back(Ms);
      if (Each.Class == CallClass::Long)
        Long.push_back(Ms);
      if (Each.Class == CallClass::Short)
        Short.push_back(Ms);
      if (Each.Class != CallClass::Straggler &&
          isWithin(Each.At, Settings.Length, Settings.SlowFrom,
                   Settings.SlowTo))
        Slowed.push_back(Ms);
    }
    if (HasFirst && Each.Class == CallClass::Lookup)
      Lookups.push_back(Ms);
    if (isWithin(Each.At, Settings.Length, Settings.SwingFrom,
                 Settings.SwingTo)) {
      ++Crest;
      ++CrestEnds[Each.End];
      CrestInTime += HasFirst && Each.FirstSeconds <= InTimeSeconds ? 1 : 0;
    }
  }
  Values Result;
  put(Result, "ttft_p50", quantile(All, 0.5));
  put(Result, "ttft_p95", quantile(All, 0.95));
  put(Result, "ttft_p99", quantile(All, 0.99));
  put(Result, "long_ttft_p95", quantile(Long, 0.95));
  put(Result, "short_ttft_p95", quantile(Short, 0.95));
  put(Result, "lookup_p95", quantile(Lookups, 0.95));
  put(Result, "slowed_ttft_p99", quantile(Slowed, 0.99));
  if (const auto Share = recomputedShare(Run, Calls))
    Result["recomputed"] = *Share * 100;
  Result["link_busy"] = Run.Counts.LinkBusyShare * 100;
  Result["kv_megabytes"] = Run.Counts.KvMegabytes;
  if (Crest > 0) {
    Result["crest_in_time"] = 100 * CrestInTime / Crest;
    Result["crest_refused"] = 100 * CrestEnds[Outcome::Refused] / Crest;
    Result["crest_lost"] = 100 * CrestEnds[Outcome::Lost] / Crest;
  }
  if (!Run.Calls.empty())
    Result["answered"] =
        100 * Ends[Outcome::Answered] / static_cast<double>(Run.Calls.size());
  Result["wrong"] = Ends[Outcome::Wrong];
  Result["violations"] = Run.Counts.CacheViolations;
  Result["repeated"] = Run.Counts.RepeatedPayments;
  return Result;
}

} // namespace galenaroute::bench
