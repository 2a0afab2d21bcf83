// The load of one run, planned ahead from a seed.
//
//   WorkloadSettings Settings = harwoodWorkload(/*Scale=*/0.5);
//   std::vector<PlannedCall> Calls = planCalls(Settings, Seed);
//
// Arrivals are open-loop: they follow a Poisson process and don't wait for
// answers, so that a system that falls behind shows it. The rate doubles
// during the swing. Equal settings and seeds give equal plans, so policies are
// compared on the same calls.

#ifndef GALENAROUTE_BENCH_WORKLOAD_H
#define GALENAROUTE_BENCH_WORKLOAD_H

#include "process/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenaroute::bench {

/// What a call asks for.
enum class CallClass {
  Long,      ///< A long prompt, which returns after gaps.
  Short,     ///< A quick question, chat turn or tag.
  Straggler, ///< Many times longer than the rest.
  Lookup,    ///< An idempotent call of the plain service.
  Payment,   ///< A call of the plain service that must not repeat.
};

std::string_view toString(CallClass Class);

struct WorkloadSettings {
  Duration Length = std::chrono::seconds(6);
  std::size_t MaxCalls = 5000;

  double LongPerSecond = 6;
  int LongPrompts = 14; ///< Different long prompts; each returns.
  int LongBlocksLeast = 4;
  int LongBlocksMost = 10; ///< Of 1,000 tokens.
  int LongAnswer = 30;     ///< Tokens.

  double ShortPerSecond = 25;
  int ShortAnswer = 12;

  double StragglersPerSecond = 0.4;
  int StragglerBlocks = 30;
  int StragglerAnswer = 200;

  double LookupsPerSecond = 10;
  double PaymentsPerSecond = 2;

  double SwingFactor = 2;
  double SwingFrom = 0.55; ///< As a share of Length.
  double SwingTo = 0.85;

  double SlowFrom = 0.15; ///< When some upstreams are slowed.
  double SlowTo = 0.45;
};

struct PlannedCall {
  Duration At{};
  CallClass Class = CallClass::Short;
  std::string Prompt;      ///< Of prompts only.
  int Answer = 0;          ///< Tokens.
  std::uint64_t Entry = 0; ///< Selects the daemon, modulo their number.
  std::size_t Customer = 0;
  std::string Key; ///< Idempotency key of a payment.
};

/// Race timing: long handbook prompts, many quick questions.
WorkloadSettings harwoodWorkload(double Scale);

/// Sourcing tools: longer dossiers, chat and stock lookups beside them.
WorkloadSettings cedarlineWorkload(double Scale);

/// Plans the calls of one run, ordered by time.
std::vector<PlannedCall> planCalls(const WorkloadSettings &Settings,
                                   std::uint64_t Seed, std::size_t Customers);

/// Returns whether \p At lies from \p From to \p To, as shares of the run.
bool isWithin(Duration At, Duration Length, double From, double To);

} // namespace galenaroute::bench

#endif // GALENAROUTE_BENCH_WORKLOAD_H
