// The prompts of a soak: engines of their own, sound calls, and parts that
// crash the engines, one after the other.
//
//   SoakPrompts Prompts(Loop, Store, Places);     // before the daemons start
//   Prompts.start(Length);                      // with the traffic
//   Prompts.step();                             // often
//   Prompts.stop();
//   History.Prompts = Prompts.history();
//
// Guarantees: what is sent depends on the settings only.

#ifndef GALENAROUTE_SOAK_SOAKPROMPTS_H
#define GALENAROUTE_SOAK_SOAKPROMPTS_H

#include "PromptHistory.h"
#include "PromptUpstreams.h"
#include "process/FakePlatformServer.h"
#include "process/PlatformDaemons.h"

namespace galenaroute::soak {

/// Adds the routes, the service and the customers of the prompts to a
/// configuration.
nlohmann::json withPrompts(nlohmann::json Config);

class SoakPrompts {
public:
  SoakPrompts(EventLoop &Loop, testing_support::FakePlatformServer &Store,
              const testing_support::PlatformDaemons &Places);
  ~SoakPrompts();
  SoakPrompts(const SoakPrompts &) = delete;
  SoakPrompts &operator=(const SoakPrompts &) = delete;

  /// Sends for \p Length from now on.
  void start(Duration Length);
  void step() { this->Callers.collect(); }
  void stop();
  /// Ends an engine that no call has crashed.
  void crashEngine(std::size_t Target);
  /// Returns what was seen so far.
  PromptHistory history() const;

private:
  void sendSound();
  void beginPart();
  void sendCrashing(const std::string &Part);
  void after(Duration Delay, const std::function<void()> &Action);

  struct SentPrompt {
    std::size_t Index; ///< In the calls of Callers.
    std::string Key;
    std::string FirstPart;
  };

  EventLoop &Loop;
  const testing_support::PlatformDaemons &Places;
  testing_support::PromptUpstreams Engines;
  testing_support::PromptCallers Callers;
  std::size_t SoundCalls = 0;
  std::size_t CrashingCalls = 0;
  std::vector<SentPrompt> Sound;
  std::map<std::string, CrashingPartView> Parts;
  std::vector<sigc::connection> Timers;
};

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_SOAKPROMPTS_H
