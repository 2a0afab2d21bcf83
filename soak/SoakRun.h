// One soak: real daemons before upstreams and a store of its own, with faults
// from outside the daemons while callers send.
//
//   SoakRun Run(Settings);
//   Run.play();
//   checkHistory(Run.history(), {});
//
// Guarantees: what is drawn depends on the seed only; each process started is
// ended, by its id, when the run goes out of scope.

#ifndef GALENAROUTE_SOAK_SOAKRUN_H
#define GALENAROUTE_SOAK_SOAKRUN_H

#include "BuildReplacements.h"
#include "Faults.h"
#include "FaultyLink.h"
#include "History.h"
#include "RawSocket.h"
#include "SoakConfigs.h"
#include "SoakConnections.h"
#include "SoakForeignEntries.h"
#include "SoakPrompts.h"
#include "SoakSilences.h"
#include "SoakWeights.h"
#include "connection/CallListener.h"
#include "process/FakePlatformServer.h"
#include "process/PlatformDaemons.h"
#include "process/ProcessHarness.h"

namespace galenaroute::soak {

struct SoakSettings {
  std::string BuildDir; ///< Where galenaroute-platform is.
  std::uint64_t Seed = 1;
  FaultSettings Faults;
  /// Each caller sends a call in this time on average.
  Duration CallGap = std::chrono::milliseconds(25);
  /// After the last fault, long enough to see whether service recovers.
  Duration CalmEnd = std::chrono::seconds(16);
  /// Second byte of the daemons' loopback addresses; differs between runs that
  /// overlap, since all daemons use the same ports.
  int Network = 1;
  /// The executable of the daemon's old build; empty if there is only one.
  std::string OldDaemon;
};

class SoakRun {
public:
  explicit SoakRun(SoakSettings Settings);
  ~SoakRun();
  SoakRun(const SoakRun &) = delete;
  SoakRun &operator=(const SoakRun &) = delete;

  void play();
  const SoakHistory &history() const { return this->History; }
  /// Returns how many weight versions were named during the faults.
  std::size_t namedWeights() const { return this->Weights.named(); }
  const SoakConfigs &configs() const { return this->Configs; }
  const SoakSilences &silences() const { return this->Silences; }
  const SoakForeignEntries &foreign() const { return this->Foreign; }
  /// Lines on what was done, with seconds from the start of the traffic.
  const std::vector<std::string> &timeline() const { return this->Timeline; }
  /// Lines of the daemons' logs that name \p Text.
  std::vector<std::string> linesWith(const std::string &Text) const;
  const std::string &folder() const { return this->Harness.folder(); }

private:
  struct DaemonPart {
    testing_support::Program *Process = nullptr;
    std::unique_ptr<FaultyLink> ToStore;
    std::string SettingsPath;
    TimePoint FrozenUntil;
    TimePoint StoreAwayUntil;
    std::optional<std::size_t> Stop; ///< The planned stop under way.
    int Starts = 0;
    bool IsOld = false; ///< Processes that start are of the old build.
  };
  struct UpstreamPart {
    std::shared_ptr<CallListener> Listener;
    std::unique_ptr<FaultyLink> Link;
    std::string Id;
    bool IsUp = false;
    bool FailsAll = false; ///< Answers 500 to each call.
    TimePoint HarmedUntil;
  };
  struct OpenCall {
    std::string Id;
    std::unique_ptr<RawSocket> Socket;
  };

  void startDaemon(std::size_t Daemon);
  void replaceBuild(const BuildReplacement &Next);
  void startUpstream(std::size_t Index);
  void endUpstream(std::size_t Index, bool Resets);
  void changeRateLimit(std::size_t Index, const std::string &Id);
  void registerUpstream(const UpstreamPart &Part, std::string_view State);
  void onCall(const std::string &Upstream, std::size_t Index,
              const std::shared_ptr<IncomingCall> &Call);
  void strike(const Fault &Next);
  void strikeDaemon(const Fault &Next);
  void strikeUpstream(const Fault &Next);
  void strikeStore(const Fault &Next);
  void kill(std::size_t Daemon, Duration For);
  void noteDisturbed(std::size_t Daemon, Duration For, bool IsStoreOnly = false,
                     DisturbanceKind Kind = DisturbanceKind::Other);
  void noteOrder(const std::string &Engine, const std::string &Holder,
                 std::uint64_t Fence);
  void pauseLater(TimePoint End);
  void step();
  void sendCall();
  void sendEngineCall();
  void send(const std::string &Id, CallerView Call);
  void readAnswers();
  void watchStops();
  void noteHelpers();
  void note(const std::string &Line);
  void after(Duration Delay, const std::function<void()> &Action);
  std::uint64_t below(std::uint64_t Bound) { return this->Random() % Bound; }

  SoakSettings Settings;
  testing_support::PlatformDaemons Places;
  std::mt19937_64 Random;
  testing_support::ProcessHarness Harness;
  EventLoop &Loop;
  testing_support::FakePlatformServer Store;
  SoakPrompts Prompts;
  std::vector<DaemonPart> Daemons;
  std::vector<UpstreamPart> Upstreams;
  std::vector<std::shared_ptr<CallListener>> Ended;
  std::vector<std::shared_ptr<IncomingCall>> Unanswered;
  std::vector<OpenCall> Open;
  SoakHistory History;
  SoakWeights Weights;
  SoakConnections Kept;
  SoakSilences Silences;
  SoakConfigs Configs;
  SoakForeignEntries Foreign;
  std::mt19937_64 FailRandom;
  std::mt19937_64 PauseRandom;
  std::vector<std::string> Timeline;
  TimePoint Begun;
  TimePoint NextCallAt;
  bool IsSending = false;
  int Sent = 0;
  int Starts = 0;
  std::vector<sigc::connection> Timers;
};

} // namespace galenaroute::soak

#endif // GALENAROUTE_SOAK_SOAKRUN_H
