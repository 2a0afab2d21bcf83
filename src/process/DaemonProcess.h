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

#include "connection/BindRetry.h"
#include "process/ConfigPeers.h"
#include "process/Daemon.h"
#include "process/PeerServices.h"
#include "version/OrderController.h"

#include <optional>

namespace galenaroute {

class DaemonProcess {
public:
  DaemonProcess(EventLoop &Loop, const DaemonSettings &Settings);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess &) = delete;
  DaemonProcess &operator=(const DaemonProcess &) = delete;

  /// Starts listening for callers and peers and watching the platform, as soon
  /// as both addresses are available; see BindRetry. Throws Error if one of
  /// them is none on which this process may listen.
  void start();

  /// Begins a graceful stop.
  void drain();

  /// Emitted when a graceful stop is complete.
  sigc::signal<void()> Stopped;

private:
  int listenForPeers();
  int listenForCallers();
  bool isPreferredFor(std::string_view Service) const;
  void onVms(const std::vector<VmRecord> &Vms);

  EventLoop &Loop;
  SocketAddress Callers;
  SocketAddress PeerAddress;
  HttpClient PlatformHttp;
  HttpPlatform Api;
  std::shared_ptr<Timeline> Events;
  std::shared_ptr<ConfigWatcher> Config;
  PeerServices Peers;
  ConfigPeers ConfigsOfPeers;
  std::unique_ptr<Daemon> Node;
  HttpUpstreamOrders UpstreamCalls;
  std::unique_ptr<OrderController> Orders;
  std::optional<BindRetry> CallerBinding;
  std::optional<BindRetry> PeerBinding;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DAEMONPROCESS_H
