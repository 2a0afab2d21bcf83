// Plays one seed of a process soak: starts the store, upstreams, callers and
// daemons as processes, does to them what the plan says and collects what they
// saw.
//
//   ProcessRun Run(Settings);
//   Run.play();
//   checkProcesses(Run.history(), Run.bounds());
//
// All processes have ended when it goes out of scope.

#ifndef GALENAROUTE_SOAK_PROCESS_PROCESSRUN_H
#define GALENAROUTE_SOAK_PROCESS_PROCESSRUN_H

#include "ChildProcess.h"
#include "ProcessChecks.h"
#include "ProcessPlan.h"
#include "connection/HttpClient.h"
#include "process/PlatformDaemons.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace galenaroute::process_soak {

/// Time for daemons and upstreams to find one another.
constexpr Duration SettleTime = std::chrono::milliseconds(1500);
constexpr Duration StartLimit = std::chrono::seconds(10);
constexpr Duration CallLimit = std::chrono::seconds(1);
/// A process that ended by itself is started again after this time.
constexpr Duration RestartDelay = std::chrono::milliseconds(300);
/// After the start of the daemons.
constexpr Duration LatestRegistration = std::chrono::seconds(3);
constexpr std::size_t Services = 2;

struct RunSettings {
  std::string BuildDir;
  PlanSettings Plan;
  std::size_t Callers = 80;
  std::size_t Misbehaving = 48; ///< Clients, of one connection each.
  /// Of the software of upstreams, side by side.
  std::size_t Versions = 2;
  /// Daemons are built with sanitizers, which need more memory than the limits
  /// of a machine leave.
  bool HasSanitizers = false;
  /// The executable of the daemon's old build; empty if there is only one.
  std::string OldDaemon;
};

/// Thrown by ProcessRun::play() after SIGINT or SIGTERM.
struct Interrupted : std::runtime_error {
  Interrupted() : std::runtime_error("interrupted") {}
};

class ProcessRun {
public:
  explicit ProcessRun(RunSettings Settings);
  ~ProcessRun();
  ProcessRun(const ProcessRun &) = delete;
  ProcessRun &operator=(const ProcessRun &) = delete;

  void play();

  const ProcessHistory &history() const { return this->History; }
  ProcessBounds bounds() const;
  const std::vector<std::string> &timeline() const { return this->Timeline; }
  /// Returns the lines of all parts that name a request.
  std::vector<std::string> linesOf(const std::string &Request) const;
  /// Holds the files of all parts.
  const std::string &folder() const { return this->Folder; }
  TimePoint begun() const { return this->Begun; }

private:
  struct DaemonPart {
    std::string Settings; ///< Path.
    struct Process {
      std::unique_ptr<ChildProcess> Child;
      std::size_t Life = 0; ///< Index in the history.
    };
    std::vector<Process> Running; ///< The newest is last.
    TimePoint FrozenUntil;
    bool IsOld = false; ///< Processes that start are of the old build.
  };
  struct UpstreamPart {
    std::unique_ptr<ChildProcess> Child;
    std::string Id;      ///< Of the process.
    std::string EntryId; ///< Of its entry in the store.
    std::uint64_t Version = 1;
    std::optional<std::uint64_t> NextVersion; ///< When it comes back.
    bool Returns = false; ///< It comes back under its id, of its version.
    TimePoint SilentUntil;
    bool IsLeaving = false;
  };

  std::string pathOf(const std::string &Name) const {
    return this->Folder + "/" + Name;
  }
  std::string daemonLog(std::size_t Index) const {
    return this->pathOf("daemon" + std::to_string(Index) + ".log");
  }
  std::unique_ptr<ChildProcess> startPart(const std::string &Name,
                                          std::vector<std::string> Arguments);
  void startStore();
  std::string daemonAddresses() const;
  void startCallers();
  void startMisbehaving();
  void startDaemon(std::size_t Index);
  void startUpstream(std::size_t Index);
  void startUpstreams();
  std::uint64_t oldestVersion() const;
  std::uint64_t drawVersion() const;

  void act(const Deed &Next);
  void replaceDaemon(const Deed &Next);
  void replaceBuild(const Deed &Next);
  void killDaemons(Duration Away);
  void freezeDaemon(std::size_t Index, Duration For);
  void stopDaemon(std::size_t Index);
  void signalDaemon(std::size_t Index, int Number);
  void rewriteSettings(std::size_t Index, Duration Half,
                       const std::string &Meanwhile, bool HangsUp);
  std::string halfSettings(std::size_t Index) const;
  void occupyAddress(std::size_t Index, Duration For, TimePoint Until);
  void silenceUpstream(std::size_t Index, Duration For);
  void endUpstream(std::size_t Index, int Number, Duration Away);
  void returnUpstream(std::size_t Index, Duration Away);
  void rollOut(std::size_t Index, bool Kills, Duration Away);
  void freezeStore(Duration For);
  void turnAway(const Deed &Next);
  void configure();
  void dropRoutes(Duration For, bool WithService);
  void restoreRoutes();
  void putConfig();

  /// Notices processes that have ended.
  void reap();
  void reapUpstreams();
  void probe();
  /// Notes what daemons hold.
  void measure();
  void after(Duration Delay, const std::function<void()> &Do);
  void runFor(Duration Time);
  bool waitFor(const std::function<bool()> &Done, Duration Limit);
  void endCallers();
  void endMisbehaving();
  void askDaemons();
  void endDaemons();
  void readFiles();
  void note(const std::string &Line);

  RunSettings Settings;
  std::string Name; ///< Begins the ids of requests and upstreams.
  std::string Folder;
  int NetworkLock = -1;
  testing_support::PlatformDaemons Places;
  EventLoop Loop;
  HttpClient Client{Loop};
  std::vector<sigc::connection> Timers;
  TimePoint Begun = EventLoop::now();
  bool IsEnding = false;

  std::unique_ptr<ChildProcess> Store;
  SocketAddress StoreAddress; ///< For all but the daemons.
  SocketAddress StoreControl;
  std::vector<SocketAddress> StoreDoors; ///< For each daemon.
  TimePoint StoreFrozenUntil;
  std::vector<std::unique_ptr<ChildProcess>> Callers;
  std::unique_ptr<ChildProcess> Misbehaving;
  std::vector<int> Occupying; ///< Sockets.
  std::vector<DaemonPart> Daemons;
  std::vector<UpstreamPart> Upstreams;
  std::vector<std::string> UpstreamIds;
  /// With even seeds all begin with one version, as before a rollout.
  std::uint64_t NewestVersion =
      this->Settings.Plan.Seed % 2 == 0 ? 1 : this->Settings.Versions;
  int Rewrites = 0; ///< Of settings files.
  std::uint64_t ConfigVersion = 0;
  std::uint64_t ConfigRevision = 0;
  bool IsConfiguring = false;
  bool LacksStreams = false; ///< The configuration has no routes of streams.
  bool LacksService = false; ///< It has one service less.

  ProcessHistory History;
  std::vector<std::string> Timeline;
};

/// From now on SIGINT and SIGTERM end a run.
void catchInterrupts();

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_PROCESSRUN_H
