// Owns and connects all components of one daemon process.
//
//   EventLoop Loop;
//   DaemonProcess Process(Loop, Settings);
//   Process.Stopped.connect([&] { Loop.stop(); });
//   Process.start();
//   Loop.run();
//
// Daemon serves callers; PeerServices communicates with the other daemons;
// ConfigWatcher holds the configuration, read from the platform or received
// through ConfigPeers; OrderController sends orders to upstreams. This class
// passes events between them.

#ifndef GALENAROUTE_PROCESS_DAEMONPROCESS_H
#define GALENAROUTE_PROCESS_DAEMONPROCESS_H

#include "process/ConfigPeers.h"
#include "process/Daemon.h"
#include "process/PeerServices.h"
#include "version/OrderController.h"

namespace galenaroute {

class DaemonProcess {
public:
  DaemonProcess(EventLoop &Loop, const DaemonSettings &Settings);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess &) = delete;
  DaemonProcess &operator=(const DaemonProcess &) = delete;

  /// Starts listening for callers and peers and watching the platform.
  void start();

  /// Begins a graceful stop.
  void drain() { this->Node->drain(); }

  /// Emitted when a graceful stop is complete.
  sigc::signal<void()> Stopped;

private:
  bool isPreferredFor(std::string_view Service) const;
  void onVms(const std::vector<VmRecord> &Vms);

  HttpClient PlatformHttp;
  HttpPlatform Api;
  std::shared_ptr<Timeline> Events;
  std::shared_ptr<ConfigWatcher> Config;
  PeerServices Peers;
  ConfigPeers ConfigsOfPeers;
  std::unique_ptr<Daemon> Node;
  HttpUpstreamOrders UpstreamCalls;
  std::unique_ptr<OrderController> Orders;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DAEMONPROCESS_H
