// Continuous batching of one engine as a function of steps: a step hands a
// budget of prompt tokens to the runs in prefill and one token to each run in
// decode.
//
//   enqueue(State, {.Id = Id, .Priority = 0, .Uncached = 3000, .MaxTokens =
//   5}); for (const BatchEvent &Each : step(State, TokensPerStep)) ...
//
// The prefill budget is shared evenly by all runs in prefill, so a long prompt
// delays a short one that runs beside it, as chunked prefill does. Waiting
// runs start in the order of their priority and then of their arrival.

#ifndef GALENAROUTE_EMULATOR_BATCH_H
#define GALENAROUTE_EMULATOR_BATCH_H

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace galenaroute::emulator {

/// One run in the queue or in a slot.
struct BatchRun {
  std::string Id;
  int Priority = 0;    ///< Higher values start first.
  double Uncached = 0; ///< Prompt tokens that prefill still has to process.
  std::uint64_t MaxTokens = 0;
  std::uint64_t Generated = 0;
};

struct BatchState {
  std::size_t Slots = 8;
  std::size_t MaxQueued = 64;
  std::vector<BatchRun> Running;
  std::deque<BatchRun> Queued; ///< In the order in which they start.
};

/// What happened to a run in a step.
struct BatchEvent {
  enum class Type {
    Prefilled, ///< The whole prompt is processed.
    Token,     ///< Generated the token at Offset.
    Finished,  ///< Generated its last token and left its slot.
  };
  Type What;
  std::string Id;
  std::uint64_t Offset = 0;
};

/// Adds \p Run to the queue; returns false when the queue is full.
bool enqueue(BatchState &State, BatchRun Run);

/// Moves waiting runs into free slots and returns their ids.
std::vector<std::string> startWaiting(BatchState &State);

/// Processes up to \p PrefillTokens prompt tokens and one decode step.
std::vector<BatchEvent> step(BatchState &State, double PrefillTokens);

/// Removes a run; returns false when it is not there.
bool removeRun(BatchState &State, const std::string &Id);

/// Returns the run in a slot with id \p Id, or null.
BatchRun *findRunning(BatchState &State, const std::string &Id);

/// Returns the prompt tokens that are still to be processed.
double pendingTokens(const BatchState &State);

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_BATCH_H
