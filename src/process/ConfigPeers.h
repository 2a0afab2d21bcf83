// Exchanges configurations with peer daemons over the peer network.
//
//   ConfigPeers Configs(Loop, Network, Watcher);
//   Network.start();
//   Configs.start();  // also starts to watch the platform

#ifndef GALENAROUTE_PROCESS_CONFIGPEERS_H
#define GALENAROUTE_PROCESS_CONFIGPEERS_H

#include "process/PeerNetwork.h"
#include "version/ConfigExchange.h"

namespace galenaroute {

class ConfigPeers {
public:
  /// \p Network and \p Watcher must outlive this object, and the loop must not
  /// deliver messages of \p Network after it is destroyed.
  ConfigPeers(EventLoop &Loop, PeerNetwork &Network, ConfigWatcher &Watcher);
  ~ConfigPeers();
  ConfigPeers(const ConfigPeers &) = delete;
  ConfigPeers &operator=(const ConfigPeers &) = delete;

  /// Must be called after the network has started, because the id of this
  /// daemon may depend on the bound port.
  void start();

private:
  void updateMembers();

  EventLoop &Loop;
  PeerNetwork &Network;
  ConfigWatcher &Watcher;
  std::unique_ptr<ConfigExchange> Exchange;
  sigc::connection LinkUp;
  sigc::connection MembersChanged;
  sigc::connection TickTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CONFIGPEERS_H
