// The addresses at which daemons reach the store of a process soak, one for
// each, so that the store can turn single daemons away.
//
//   StoreDoors Doors(Loop, Server, Log, {.Count = 5, .Seed = 1});
//   PUT /doors/2 {"how": "silent", "forMs": 800} at Doors.controlAddress()

#ifndef GALENAROUTE_SOAK_PROCESS_STOREDOORS_H
#define GALENAROUTE_SOAK_PROCESS_STOREDOORS_H

#include "FaultyLink.h"
#include "Journal.h"
#include "ProcessPlan.h"
#include "process/FakePlatformServer.h"

#include <memory>

namespace galenaroute::process_soak {

struct StoreDoorsSettings {
  std::size_t Count = 0;
  std::uint64_t Seed = 0;
};

class StoreDoors {
public:
  StoreDoors(EventLoop &Loop, testing_support::FakePlatformServer &Store,
             const Journal &Log, const StoreDoorsSettings &Settings);

  const SocketAddress &address(std::size_t Index) const;
  /// Takes requests to turn a daemon away.
  const SocketAddress &controlAddress() const { return this->ControlAddress; }

private:
  struct Door {
    Door(EventLoop &Loop, testing_support::FakePlatformServer &Store,
         std::uint64_t Seed);

    HttpServer Server;
    std::unique_ptr<soak::FaultyLink> Link;
    int Status = 0;       ///< Of each answer; 0: that of the store.
    bool Resets = false;  ///< All connections.
    TimePoint ServesFrom; ///< When the last request to turn away ends.
  };

  void onControl(const HttpRequest &Request, HttpReply &Reply);
  void turnAway(std::size_t Index, TurnAwayWay Way, Duration For);
  void resetAgain(std::size_t Index);
  void serve(std::size_t Index);

  EventLoop &Loop;
  const Journal &Log;
  std::vector<std::unique_ptr<Door>> Doors;
  HttpServer Control;
  SocketAddress ControlAddress{"127.0.0.1", 0};
};

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_STOREDOORS_H
