// Connections to upstreams for forwarded calls, one call at a time on each.
//
//   UpstreamPool Pool(Loop);
//   auto Exchange = Pool.start(Address, std::move(Request), Settings, Events);
//
// Destroying the exchange cancels it and closes its connection.
//
// Guarantees: bytes behind a complete answer, or that come on an idle
// connection, end the connection and are handed to nobody; an answer that the
// caller of start() does not accept in OnHead is read and dropped, and the
// next one is awaited; a connection is used again only when its last request
// was written whole, its last answer was complete and its peer has acknowledged
// the keep-alive probes since; a connection that has carried a refusal of a
// call never carries that call again, since a copy of the refusal would count
// as its answer. Nothing is called inside start(). OnEnd is
// called exactly once unless the exchange is destroyed.

#ifndef GALENAROUTE_CONNECTION_UPSTREAMPOOL_H
#define GALENAROUTE_CONNECTION_UPSTREAMPOOL_H

#include "connection/HttpParser.h"
#include "connection/RelayProtocol.h"
#include "connection/ResponseBudget.h"
#include "process/EventLoop.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace galenaroute {

/// How an exchange ended.
enum class UpstreamEnd {
  Complete,      ///< The whole answer was received.
  ConnectFailed, ///< No connection; nothing was sent.
  Cut,           ///< The connection broke before the answer was complete.
  Malformed,     ///< What was received is not an answer.
};

/// What ended a connection, where the exchange did not complete on it.
enum class UpstreamCause {
  None,             ///< Known from UpstreamEnd alone.
  Closed,           ///< The upstream closed it.
  Reset,            ///< The upstream or its machine reset it.
  NoAcknowledgment, ///< The kernel gave up a link that acknowledged nothing.
  Refused,          ///< Nothing listens at the address.
  ConnectTimeout,   ///< No connection within the connect timeout.
  HeadTooLarge,     ///< The head of the answer exceeded its limit.
  BodyTooLarge,     ///< The body of the answer exceeded its limit.
  MemoryShort,      ///< The answers in flight exceeded their common limit.
  RelayFailed,      ///< The helper could not connect to the upstream.
  HelperFailed,     ///< The helper refused, was not reached or has ended.
  Other,            ///< Another error of the socket; it is logged.
};

/// Returns the name of \p Cause in log lines; "-" for None.
std::string_view toString(UpstreamCause Cause);

/// Returns whether the answer was dropped because of its size.
bool isTooLarge(UpstreamCause Cause);

/// A gateway that opens connections to upstreams on behalf of this one, see
/// RelayListener.
struct RelayHelper {
  SocketAddress Address;
  /// The own IP address, by which the helper knows this gateway.
  std::string SourceHost;
  std::string Upstream;          ///< Id of the upstream.
  std::uint64_t Incarnation = 0; ///< Of the upstream, see incarnationKey().
};

/// How a send reaches its upstream.
struct UpstreamPath {
  std::optional<RelayHelper> Helper; ///< Nothing for a direct connection.
  bool IsTrial = false; ///< On a new connection, to find out if the path works.
};

struct UpstreamExchangeSettings {
  Duration ConnectTimeout = std::chrono::milliseconds(400);
  /// How long data to the upstream may stay unacknowledged. Probes are due each
  /// second without traffic, so a link that is silent for two seconds loses two
  /// of them and must answer the third.
  Duration UserTimeout = std::chrono::milliseconds(3500);
  /// The same for a request so long that it can fill the window of an upstream
  /// that pauses, which the kernel treats like a silent link.
  Duration LongRequestTimeout = std::chrono::seconds(15);
  /// An idle connection older than this is not used.
  Duration MaxIdle = std::chrono::seconds(60);
  bool IsHead = false; ///< The answer to HEAD has no body.
  std::string CallId;  ///< Names the call, also when it is sent again.
  /// Nothing for a direct connection.
  std::optional<RelayHelper> Helper;
};

struct UpstreamExchangeEvents {
  /// Called when a new connection to the upstream is established. Must not end
  /// the exchange.
  std::function<void()> OnConnected = [] {};
  /// Returns whether this is the answer to the request.
  std::function<bool(const HttpHead &Head)> OnHead;
  std::function<void(std::string_view Bytes)> OnBody;
  std::function<void(UpstreamEnd End)> OnEnd;
};

class UpstreamConnection;

class UpstreamExchange {
public:
  explicit UpstreamExchange(std::weak_ptr<UpstreamConnection> Connection)
      : Connection(std::move(Connection)) {}
  ~UpstreamExchange();
  UpstreamExchange(const UpstreamExchange &) = delete;
  UpstreamExchange &operator=(const UpstreamExchange &) = delete;

  /// Stops and continues reading the answer, so that a fast upstream waits for
  /// a slow reader. A few kilobytes that were read already may still follow a
  /// pause.
  void pauseReading();
  void resumeReading();

  /// Tells, before the exchange ends, that its answer states that the call has
  /// not run.
  void noteRefusal();

  /// Returns whether bytes of the answer wait to be handled. After a standstill
  /// of the process, timers may run before what arrived meanwhile is read.
  bool hasUnreadInput() const;

  /// Returns whether the link leaves a probe, or data that was sent again,
  /// unacknowledged. A probe that was just sent looks the same. False while the
  /// connection is not established.
  bool isLinkSilent() const;

  /// Whether any byte of the request was handed to the kernel.
  bool wasSent() const { return this->Sent; }
  /// Whether the connection had served a request before.
  bool usedKeptConnection() const { return this->Kept; }
  /// What ended the connection; set before OnEnd is called.
  UpstreamCause cause() const { return this->Cause; }

private:
  friend class UpstreamConnection;
  friend class UpstreamPool;
  std::weak_ptr<UpstreamConnection> Connection;
  bool Sent = false;
  bool Kept = false;
  UpstreamCause Cause = UpstreamCause::None;
};

class UpstreamPool {
public:
  /// \p Budget bounds the answers that callers of start() collect.
  explicit UpstreamPool(EventLoop &Loop,
                        std::shared_ptr<ResponseBudget> Budget =
                            std::make_shared<ResponseBudget>());
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool &) = delete;
  UpstreamPool &operator=(const UpstreamPool &) = delete;

  /// Sends \p Request, a complete message, to \p To.
  [[nodiscard]] std::unique_ptr<UpstreamExchange>
  start(const SocketAddress &To, std::string Request,
        const UpstreamExchangeSettings &Settings,
        UpstreamExchangeEvents Events);

  /// Connections to \p To, idle and relayed ones included.
  std::size_t connections(const SocketAddress &To) const;
  /// Returns whether a connection to \p To over the helper, or a direct one if
  /// that is null, is idle.
  bool hasIdle(const SocketAddress &To, Duration MaxIdle,
               const SocketAddress *Helper = nullptr) const;

  /// Returns whether any connection to \p To is idle, relayed or not.
  bool hasAnyIdle(const SocketAddress &To, Duration MaxIdle) const;

  /// Closes the idle connections to \p To, relayed ones included.
  void closeIdle(const SocketAddress &To);
  /// Closes the idle connections over helpers that \p Keeps does not accept.
  void closeIdleRelayed(
      const std::function<bool(const SocketAddress &Helper)> &Keeps);

  const std::shared_ptr<ResponseBudget> &budget() const { return this->Budget; }

  /// Counts connections opened.
  std::uint64_t opened() const { return this->Opened; }

private:
  friend class UpstreamConnection;
  friend class UpstreamExchange;
  /// The address of an upstream and that of the helper, which is empty for
  /// direct connections.
  using Path = std::pair<SocketAddress, SocketAddress>;
  struct Target {
    std::vector<std::shared_ptr<UpstreamConnection>> Idle;
    std::size_t Total = 0;
  };

  std::shared_ptr<UpstreamConnection> takeIdle(const Path &By, Duration MaxIdle,
                                               const std::string &Id);
  void release(const std::shared_ptr<UpstreamConnection> &Connection);
  void forget(std::shared_ptr<UpstreamConnection> Connection);
  void sweep();

  EventLoop &Loop;
  std::shared_ptr<ResponseBudget> Budget;
  std::map<Path, Target> Targets;
  // Owns busy connections; idle ones are owned by their target.
  std::map<UpstreamConnection *, std::shared_ptr<UpstreamConnection>> Busy;
  std::uint64_t Opened = 0;
  sigc::connection SweepTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_UPSTREAMPOOL_H
