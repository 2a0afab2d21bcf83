#include "Workload.h"

#include <algorithm>
#include <random>

namespace galenaroute::bench {

namespace {

/// Bytes of text in one block of 1,000 tokens.
constexpr std::size_t BlockBytes = 4000;

using Random = std::mt19937_64;

std::string textOf(Random &Generator, const std::string &Head,
                   std::size_t Bytes) {
  std::string Result = Head;
  std::uniform_int_distribution<int> Letter('a', 'z');
  while (Result.size() < Bytes)
    Result += static_cast<char>(Letter(Generator));
  return Result;
}

/// Returns Poisson arrivals at \p Rate, times the swing's factor within it.
std::vector<Duration> arrivals(const WorkloadSettings &Settings, double Rate,
                               Random &Generator) {
  std::vector<Duration> Result;
  if (Rate <= 0)
    return Result;
  // Thinning: draws at the highest rate, of which a share is kept outside the
  // swing.
  const double Highest = Rate * Settings.SwingFactor;
  std::exponential_distribution<double> Gap(Highest);
  std::uniform_real_distribution<double> Share;
  const double End = toSeconds(Settings.Length);
  for (double At = Gap(Generator); At < End; At += Gap(Generator)) {
    const bool IsSwing = isWithin(fromSeconds(At), Settings.Length,
                                  Settings.SwingFrom, Settings.SwingTo);
    const bool IsKept = Share(Generator) * Settings.SwingFactor < 1;
    if (IsSwing || IsKept)
      Result.push_back(fromSeconds(At));
  }
  return Result;
}

} // namespace

std::string_view toString(CallClass Class) {
  switch (Class) {
  case CallClass::Long:
    return "long";
  case CallClass::Short:
    return "short";
  case CallClass::Straggler:
    return "straggler";
  case CallClass::Lookup:
    return "lookup";
  case CallClass::Payment:
    return "payment";
  }
  return "";
}

WorkloadSettings harwoodWorkload(double Scale) {
  WorkloadSettings Result;
  Result.LongPerSecond *= Scale;
  Result.ShortPerSecond *= Scale;
  Result.StragglersPerSecond *= Scale;
  Result.LookupsPerSecond *= Scale;
  Result.PaymentsPerSecond *= Scale;
  return Result;
}

WorkloadSettings cedarlineWorkload(double Scale) {
  WorkloadSettings Result;
  Result.LongPerSecond = 8 * Scale;
  Result.LongPrompts = 20;
  Result.LongBlocksLeast = 6;
  Result.LongBlocksMost = 14;
  Result.ShortPerSecond = 40 * Scale;
  Result.StragglersPerSecond = 1 * Scale;
  Result.LookupsPerSecond = 20 * Scale;
  Result.PaymentsPerSecond = 2 * Scale;
  return Result;
}

std::vector<PlannedCall> planCalls(const WorkloadSettings &Settings,
                                   std::uint64_t Seed, std::size_t Customers) {
  Random Generator(Seed);
  std::vector<std::string> LongPrompts;
  LongPrompts.reserve(static_cast<std::size_t>(Settings.LongPrompts));
  std::uniform_int_distribution<int> Blocks(Settings.LongBlocksLeast,
                                            Settings.LongBlocksMost);
  for (int I = 0; I < Settings.LongPrompts; ++I)
    LongPrompts.push_back(textOf(
        Generator, "long " + std::to_string(Seed) + "/" + std::to_string(I),
        static_cast<std::size_t>(Blocks(Generator)) * BlockBytes));
  std::vector<PlannedCall> Result;
  const auto Add = [&](CallClass Class, double Rate, auto &&Fill) {
    for (const Duration At : arrivals(Settings, Rate, Generator)) {
      PlannedCall Call;
      Call.At = At;
      Call.Class = Class;
      Call.Entry = Generator();
      Call.Customer = Generator() % Customers;
      Fill(Call);
      Result.push_back(std::move(Call));
    }
  };
  Add(CallClass::Long, Settings.LongPerSecond, [&](PlannedCall &Call) {
    const std::size_t Which = Generator() % LongPrompts.size();
    Call.Prompt = LongPrompts[Which];
    // A prompt belongs to one customer, or its cache could not be reused.
    Call.Customer = Which % Customers;
    Call.Answer = Settings.LongAnswer;
  });
  Add(CallClass::Short, Settings.ShortPerSecond, [&](PlannedCall &Call) {
    Call.Prompt = textOf(Generator, "short", 400);
    Call.Answer = Settings.ShortAnswer;
  });
  Add(CallClass::Straggler, Settings.StragglersPerSecond,
      [&](PlannedCall &Call) {
        Call.Prompt = textOf(
            Generator, "straggler",
            static_cast<std::size_t>(Settings.StragglerBlocks) * BlockBytes);
        Call.Answer = Settings.StragglerAnswer;
      });
  Add(CallClass::Lookup, Settings.LookupsPerSecond, [](PlannedCall &) {});
  Add(CallClass::Payment, Settings.PaymentsPerSecond, [&](PlannedCall &Call) {
    Call.Key = "pay-" + std::to_string(Generator());
  });
  std::stable_sort(
      Result.begin(), Result.end(),
      [](const PlannedCall &A, const PlannedCall &B) { return A.At < B.At; });
  if (Result.size() > Settings.MaxCalls)
    Result.resize(Settings.MaxCalls);
  return Result;
}

bool isWithin(Duration At, Duration Length, double From, double To) {
  const double Share = toSeconds(At) / toSeconds(Length);
  return Share >= From && Share < To;
}

} // namespace galenaroute::bench
