#include "BuildReplacements.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace galenaroute::soak {

/// Parts of the time with faults in which all daemons are replaced.
struct ReplacementSpan {
  bool IsToNew;
  double From;
  double To;
};
static constexpr ReplacementSpan Spans[] = {{true, 0.05, 0.45},
                                            {false, 0.55, 0.95}};
static constexpr std::uint64_t LongestAwayMs = 600;

std::vector<BuildReplacement>
drawReplacements(std::uint64_t Seed, std::size_t Daemons, Duration Length) {
  std::mt19937_64 Random(Seed * 101 + 60);
  std::vector<std::size_t> Order(Daemons);
  std::iota(Order.begin(), Order.end(), 0);
  std::vector<BuildReplacement> Result;
  for (const ReplacementSpan &Each : Spans) {
    std::shuffle(Order.begin(), Order.end(), Random);
    const double Step = (Each.To - Each.From) / static_cast<double>(Daemons);
    for (std::size_t I = 0; I < Daemons; ++I) {
      const double Part = Each.From + Step * static_cast<double>(I);
      Result.push_back({.At = scaled(Length, Part),
                        .Daemon = Order[I],
                        .IsToNew = Each.IsToNew,
                        .Kills = Random() % 2 == 0,
                        .Away = Milliseconds(Random() % (LongestAwayMs + 1))});
    }
  }
  return Result;
}

} // namespace galenaroute::soak
