// Daemon settings, read from flags and GALENAROUTE_* environment variables.
//
//   SettingsResult Read = readSettings(Arguments);
//   if (!Read.Settings)
//     print Read.Text and exit with Read.ExitCode;
//
// Every value is validated before anything starts; an error message names the
// flag, the value and the allowed values. A flag overrides its environment
// variable.

#ifndef GALENAROUTE_PROCESS_DAEMONSETTINGS_H
#define GALENAROUTE_PROCESS_DAEMONSETTINGS_H

#include "connection/HttpTypes.h"
#include "process/Clock.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace galenaroute {

struct DaemonSettings {
  SocketAddress Listen{"127.0.0.1", 8080}; ///< Listening address for callers.
  SocketAddress Advertise;                 ///< Default: Listen.
  SocketAddress PeerListen{"127.0.0.1", 8081};
  SocketAddress PeerAdvertise;      ///< Default: PeerListen.
  std::vector<SocketAddress> Seeds; ///< Peers to contact first.
  SocketAddress Platform;
  std::string Zone;
  std::string NodeId; ///< Default: the text of Advertise.
  std::string RoutingPolicy = "expected-time";
  std::string LogLevel = "info";
  std::string OperatorKeySha256; ///< Empty: operator calls need no key.

  std::size_t MaxBodyBytes = 8 << 20;
  std::size_t MaxHeaderBytes = 32 << 10;
  std::size_t MaxAnswerBytes = 8 << 20;
  std::size_t MaxCallerBufferBytes = 256 << 10;
  std::size_t MaxOpenRequests = 4096;
  std::size_t TimelineEvents = 16384;

  Milliseconds ConnectTimeout{500};
  Milliseconds StallTimeout{2000};
  Milliseconds MaxStream{600000};
  Milliseconds MaxCallerPause{30000};
  Milliseconds Linger{2000};
  Milliseconds EntriesTtl{5000};
  int MaxSends = 3;
  double RetryShare = 0.1; ///< Retries per call.
};

struct SettingsResult {
  std::optional<DaemonSettings> Settings;
  int ExitCode = 0; ///< Zero for --help.
  std::string Text; ///< The help text or the error.
};

/// Reads \p Arguments (without the program name) and the environment.
SettingsResult readSettings(std::span<const std::string> Arguments);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_DAEMONSETTINGS_H
