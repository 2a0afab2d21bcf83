#include "Batch.h"

#include <algorithm>

namespace galenaroute::emulator {

namespace {

/// Shares \p Budget evenly by the runs in prefill; what a short prompt does
/// not need goes to the others.
void prefill(std::vector<BatchRun> &Running, double Budget) {
  std::vector<BatchRun *> Open;
  for (BatchRun &Each : Running)
    if (Each.Uncached > 0)
      Open.push_back(&Each);
  std::sort(Open.begin(), Open.end(), [](const BatchRun *A, const BatchRun *B) {
    return A->Uncached < B->Uncached;
  });
  for (std::size_t I = 0; I < Open.size(); ++I) {
    const double Share = Budget / static_cast<double>(Open.size() - I);
    const double Used = std::min(Share, Open[I]->Uncached);
    Open[I]->Uncached -= Used;
    Budget -= Used;
  }
}

} // namespace

bool enqueue(BatchState &State, BatchRun Run) {
  if (State.Queued.size() >= State.MaxQueued &&
      State.Running.size() >= State.Slots)
    return false;
  const auto Position =
      std::upper_bound(State.Queued.begin(), State.Queued.end(), Run,
                       [](const BatchRun &A, const BatchRun &B) {
                         return A.Priority > B.Priority;
                       });
  State.Queued.insert(Position, std::move(Run));
  return true;
}

std::vector<std::string> startWaiting(BatchState &State) {
  std::vector<std::string> Result;
  while (State.Running.size() < State.Slots && !State.Queued.empty()) {
    Result.push_back(State.Queued.front().Id);
    State.Running.push_back(std::move(State.Queued.front()));
    State.Queued.pop_front();
  }
  return Result;
}

std::vector<BatchEvent> step(BatchState &State, double PrefillTokens) {
  using Type = BatchEvent::Type;
  std::vector<BatchEvent> Events;
  std::vector<BatchRun *> InPrefill;
  for (BatchRun &Each : State.Running) {
    if (Each.Uncached > 0) {
      InPrefill.push_back(&Each);
      continue;
    }
    if (Each.Generated == 0)
      Events.push_back({Type::Prefilled, Each.Id});
    if (Each.Generated < Each.MaxTokens)
      Events.push_back({Type::Token, Each.Id, Each.Generated++});
  }
  prefill(State.Running, PrefillTokens);
  // The step that completes a prompt also yields its first token.
  for (BatchRun *Each : InPrefill) {
    if (Each->Uncached > 0)
      continue;
    Each->Uncached = 0;
    Events.push_back({Type::Prefilled, Each->Id});
    if (Each->MaxTokens > 0)
      Events.push_back({Type::Token, Each->Id, Each->Generated++});
  }
  std::erase_if(State.Running, [&](const BatchRun &Each) {
    if (Each.Uncached > 0 || Each.Generated < Each.MaxTokens)
      return false;
    Events.push_back({Type::Finished, Each.Id});
    return true;
  });
  return Events;
}

bool removeRun(BatchState &State, const std::string &Id) {
  const auto IsIt = [&](const BatchRun &Each) { return Each.Id == Id; };
  return std::erase_if(State.Running, IsIt) +
             std::erase_if(State.Queued, IsIt) >
         0;
}

BatchRun *findRunning(BatchState &State, const std::string &Id) {
  const auto It =
      std::find_if(State.Running.begin(), State.Running.end(),
                   [&](const BatchRun &Each) { return Each.Id == Id; });
  return It == State.Running.end() ? nullptr : &*It;
}

double pendingTokens(const BatchState &State) {
  double Result = 0;
  for (const BatchRun &Each : State.Running)
    Result += Each.Uncached;
  for (const BatchRun &Each : State.Queued)
    Result += Each.Uncached;
  return Result;
}

} // namespace galenaroute::emulator
