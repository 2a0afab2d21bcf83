// The platform's store and the daemons of a small deployment on loopback.

#ifndef GALENAROUTE_REVIEW_FLEET_H
#define GALENAROUTE_REVIEW_FLEET_H

#include "Http.h"

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Writes lines with their time since the start to record.txt.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  void line(const std::string &Text);
  /// Milliseconds since the start.
  std::int64_t now() const;

private:
  std::FILE *File;
  Clock::time_point Start = Clock::now();
  std::mutex Mutex;
};

/// The store of objects, with revisions, conditional writes and watches. Each
/// daemon has an address of its own, so that the store can turn it away.
class Store {
public:
  explicit Store(Record &Log) : Log(Log) {}
  Address addDoor(const std::string &Host);
  /// While a door is silent, no call there is answered.
  void setSilent(std::size_t Door, bool Enabled);
  /// Writes an object as the operator or a server does; null removes it.
  void put(const std::string &Kind, const std::string &Name, const json &Spec);
  void stop();

private:
  struct Object {
    std::uint64_t Revision = 0;
    bool IsDeleted = false;
    json Spec;
  };
  struct Door {
    Server Listener;
    std::atomic<bool> IsSilent{false};
  };
  bool onCall(Door &At, const Message &Request, Stream &Peer);
  std::pair<int, json> carryOut(const Message &Request);
  std::pair<int, json> list(const std::string &Kind, const Message &Request);
  json objectOf(const std::string &Name, const Object &Of) const;
  void putLocked(const std::string &Kind, const std::string &Name,
                 const json &Spec);

  Record &Log;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::uint64_t Revision = 1;
  bool IsStopping = false;
  std::vector<std::unique_ptr<Door>> Doors;
};

/// Daemon processes, each on a loopback address of its own.
class Daemons {
public:
  /// \p Program is what the deploy file runs.
  Daemons(std::string Program, std::string Folder, std::size_t Count,
          Store &Platform, Record &Log);
  ~Daemons();
  void start(std::size_t Index);
  void signal(std::size_t Index, int Number);
  /// Waits for the process to end; kills it after \p LimitMs.
  void wait(std::size_t Index, int LimitMs);
  bool isRunning(std::size_t Index);
  /// Returns the most memory that the process has used.
  long peakKb(std::size_t Index) const;
  bool isReady(std::size_t Index) const;
  /// Waits until all are ready.
  bool waitReady(int LimitMs) const;
  std::size_t count() const { return Count; }
  std::string host(std::size_t Index) const;
  Address callers(std::size_t Index) const { return {host(Index), Ports[0]}; }
  /// Asks the directory of a daemon for addresses.
  std::vector<Address> resolve(std::size_t Index) const;

private:
  void choosePorts();

  std::string Program;
  std::string Folder;
  std::size_t Count;
  Record &Log;
  int Network;
  int Ports[6] = {};
  std::vector<std::string> Settings;
  std::vector<int> Pids;
};

/// Sleeps for \p Ms.
void pause(int Ms);

} // namespace review

#endif // GALENAROUTE_REVIEW_FLEET_H
