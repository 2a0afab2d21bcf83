#include "PromptChecks.h"

#include <algorithm>

namespace galenaroute::soak {

/// Shares are compared over at least this many calls each.
static constexpr std::size_t LeastCallsToCompare = 20;
static constexpr double LeastBegunShare = 0.5;
/// Crashes of a part after which it is blocked.
static constexpr std::size_t CrashesToBlock = 5;
static constexpr std::size_t LateCallsAllowed = 3;
/// Upstreams are back this long after the last call with a crashing part.
static constexpr Duration AftermathTime = std::chrono::seconds(4);

/// Returns the time of the fifth crash, or of the last if there are fewer.
static std::optional<TimePoint> blockedFrom(const CrashingPartView &Part) {
  if (Part.Crashes.empty())
    return std::nullopt;
  return Part.Crashes[std::min(Part.Crashes.size(), CrashesToBlock) - 1];
}

static void checkBlocks(const SoakHistory &History, const SoakBounds &Bounds,
                        std::vector<BrokenPromise> &Found) {
  for (const auto &[Id, Part] : History.Prompts.Parts) {
    if (Part.Crashes.size() < CrashesToBlock)
      continue;
    const TimePoint From = *blockedFrom(Part) + Bounds.Contact;
    const auto Late = static_cast<std::size_t>(std::count_if(
        History.Prompts.Arrivals.begin(), History.Prompts.Arrivals.end(),
        [&, &Name = Id](const PartArrival &Each) {
          return Each.Part == Name && Each.At > From &&
                 isInTouch(History, Bounds, Each.Daemon, Each.At);
        }));
    if (Late > LateCallsAllowed)
      Found.push_back({"a crashing part is blocked", "",
                       std::to_string(Late) + " later arrivals of part " + Id +
                           ", " + std::to_string(Part.Crashes.size()) +
                           " crashes"});
  }
}

namespace {

struct Share {
  std::size_t Sent = 0;
  std::size_t Begun = 0;

  void add(const PromptView &Call) {
    ++this->Sent;
    this->Begun += Call.Events > 0;
  }
  double value() const {
    return static_cast<double>(this->Begun) / static_cast<double>(this->Sent);
  }
  std::string toString() const {
    return std::to_string(this->Begun) + " of " + std::to_string(this->Sent);
  }
};

} // namespace

/// Returns whether calls with a crashing part were sent shortly before \p At.
static bool isDisrupted(const PromptHistory &Prompts, TimePoint At) {
  return std::any_of(Prompts.Parts.begin(), Prompts.Parts.end(),
                     [&](const auto &Each) {
                       return Each.second.From <= At &&
                              At <= Each.second.Until + AftermathTime;
                     });
}

/// Sound calls with the key or the first part of the crashing ones are answered
/// about as often as at other times.
static void checkSoundCalls(const SoakHistory &History,
                            const SoakBounds &Bounds,
                            std::vector<BrokenPromise> &Found) {
  const PromptHistory &Prompts = History.Prompts;
  Share Usual;
  for (const PromptView &Each : Prompts.Sound)
    if (isInTouch(History, Bounds, Each.Daemon, Each.SentAt) &&
        !isDisrupted(Prompts, Each.SentAt))
      Usual.add(Each);
  if (Usual.Sent < LeastCallsToCompare)
    return;
  for (const auto &[Id, Part] : Prompts.Parts) {
    const auto Blocked = blockedFrom(Part);
    if (!Blocked)
      continue;
    Share Beside;
    for (const PromptView &Each : Prompts.Sound)
      if (Each.SentAt > *Blocked + 2 * Bounds.Contact &&
          Each.SentAt <= Part.Until &&
          (Each.Key == Part.Key || Each.FirstPart == Part.FirstPart) &&
          isInTouch(History, Bounds, Each.Daemon, Each.SentAt))
        Beside.add(Each);
    if (Beside.Sent >= LeastCallsToCompare &&
        Beside.value() < LeastBegunShare * Usual.value())
      Found.push_back({"sound prompts stay served", "",
                       Beside.toString() + " begun beside part " + Id + ", " +
                           Usual.toString() + " at other times"});
  }
}

/// A stream that breaks off inside an event must not look whole to its caller.
static void checkWholeStreams(const SoakHistory &History,
                              std::vector<BrokenPromise> &Found) {
  for (const PromptView &Each : History.Prompts.Sound)
    if (Each.IsWhole && Each.Events != History.Prompts.EventsOfWhole)
      Found.push_back({"a whole stream has all events", "",
                       std::to_string(Each.Events) + " of " +
                           std::to_string(History.Prompts.EventsOfWhole) +
                           " events"});
}

void checkPrompts(const SoakHistory &History, const SoakBounds &Bounds,
                  std::vector<BrokenPromise> &Found) {
  checkBlocks(History, Bounds, Found);
  checkSoundCalls(History, Bounds, Found);
  checkWholeStreams(History, Found);
}

} // namespace galenaroute::soak
