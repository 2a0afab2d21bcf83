// The gateways of a case: real processes, started and kept running as the
// platform does.

#ifndef GALENAROUTE_REVIEW_FLEET_H
#define GALENAROUTE_REVIEW_FLEET_H

#include "Record.h"

#include <memory>
#include <sys/types.h>

namespace review {

struct FleetSettings {
  std::string Program; ///< As the deploy file names it.
  std::string Root;    ///< The folder in which it starts.
  std::string Folder;  ///< For settings files and logs.
  std::string Network; ///< First three bytes of the addresses.
  Address Store;
  int Count = 3;
  int MemoryMb = 110;
};

class Fleet {
public:
  Fleet(FleetSettings Settings, Record &Log);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  int count() const { return this->Settings.Count; }
  Address callers(int Index) const { return this->at(Index, this->Port); }
  bool isReady(int Index) const;
  /// Waits until all gateways say that they are ready.
  bool waitUntilReady(std::int64_t ForMs) const;
  /// Kills all gateways at once; they start again after \p DownMs.
  void killAll(std::int64_t DownMs);
  /// How often a gateway ended by itself or for its memory.
  int ends(int Index);
  int peakMb(int Index);

private:
  struct Gateway {
    pid_t Id = -1;
    std::int64_t RestartAt = 0;
    int Ends = 0;
    int PeakMb = 0;
    bool IsKilledForMemory = false;
    bool IsKilledByCase = false;
    std::int64_t DownMs = 0; ///< Of a kill by the case.
  };

  Address at(int Index, int Offset) const;
  void writeSettings(int Index) const;
  void start(int Index);
  void watch();

  FleetSettings Settings;
  Record &Log;
  int Port;
  std::mutex Lock;
  std::vector<Gateway> Gateways;
  std::atomic<bool> Stopping = false;
  std::thread Watching;
};

} // namespace review

#endif // GALENAROUTE_REVIEW_FLEET_H
