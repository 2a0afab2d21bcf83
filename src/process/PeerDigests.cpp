#include "process/PeerDigests.h"

#include <nlohmann/json.hpp>

namespace galenaroute {

void connectDigests(Dispatcher &Dispatch, PeerNetwork &Peers) {
  Dispatch.LoadDigest.connect([&Dispatch, &Peers](const nlohmann::json &Body) {
    // The id may depend on the port, which is bound when the network starts.
    Dispatch.setSelf(Peers.self().Id);
    Peers.sendToNeighbours({"load", Body});
  });
  Dispatch.CrashDigest.connect([&Peers](const nlohmann::json &Body) {
    Peers.sendToNeighbours({"crash", Body});
  });
  // A restarted daemon knows no signatures, and they are otherwise sent only
  // when they change.
  Peers.LinkUp.connect([&Dispatch, &Peers](const std::string &Id) {
    const nlohmann::json Body = Dispatch.crashDigest();
    if (!Body.at("signatures").empty())
      Peers.send(Id, {"crash", Body});
  });
  Peers.handle(
      "load", [&Dispatch](const std::string &From, const nlohmann::json &Body) {
        Dispatch.onLoadDigest(From, Body);
      });
  Peers.handle("crash",
               [&Dispatch](const std::string &, const nlohmann::json &Body) {
                 Dispatch.onCrashDigest(Body);
               });
}

} // namespace galenaroute
