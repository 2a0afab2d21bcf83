// One connection of an UpstreamPool, direct or relayed, and the exchange on it.

#ifndef GALENAROUTE_CONNECTION_UPSTREAMCONNECTION_H
#define GALENAROUTE_CONNECTION_UPSTREAMCONNECTION_H

#include "connection/BufferedSocket.h"
#include "connection/RequestRest.h"
#include "connection/UpstreamPool.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace galenaroute {

class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
public:
  UpstreamConnection(UpstreamPool &Pool, SocketAddress To,
                     std::optional<RelayHelper> Helper);

  bool connect();
  void begin(UpstreamExchange &For, std::string Request,
             const UpstreamExchangeSettings &Settings,
             UpstreamExchangeEvents Events);
  void cancel();
  void pauseReading();
  void resumeReading();
  bool hasUnreadInput() const;
  bool isSilent() const {
    return this->Connected &&
           isLinkSilent(bufferevent_getfd(this->Event.get()));
  }
  bool isUsable(TimePoint Now, Duration MaxIdle) const {
    return Now < this->KeepUntil && Now - this->IdleSince < MaxIdle;
  }
  /// Returns whether the connection may carry the call \p Id, which it has not
  /// refused. Distinct calls may count as one, which costs a new connection.
  bool mayCarry(const std::string &Id) const {
    return std::find(this->RefusedCalls.begin(), this->RefusedCalls.end(),
                     std::hash<std::string>()(Id)) == this->RefusedCalls.end();
  }
  void noteRefusal();
  /// See UpstreamPool::Path.
  std::pair<SocketAddress, SocketAddress> path() const {
    return {this->To, this->Helper ? this->Helper->Address : SocketAddress()};
  }

private:
  friend class UpstreamPool;

  template <typename Function>
  static void guard(void *Self, std::string_view Where, Function Action);
  enum class ConnectCheck { First, Repeated };
  void onConnectTimeout(ConnectCheck Check);
  void onLinkConnected();
  void onConnected();
  void onReadable();
  std::size_t feed(std::string_view Bytes);
  std::size_t parse(std::string_view Bytes);
  void onFrame(RelayFrame Frame, std::string_view Bytes);
  bool isBadAnswer() const;
  void onEndOfUpstream(UpstreamCause Cause, bool IsOrderly);
  void onEvent(short What);
  void onRestCheck();
  void armRestCheck();
  void finishAnswer();
  void finishExchange();
  bool onHead(HttpHead &Head);
  void onComplete();
  void endComplete();
  void end(UpstreamEnd How, bool Reuse);
  void noteKeepTime(const HttpHead &Head);

  UpstreamPool &Pool;
  SocketAddress To;
  std::optional<RelayHelper> Helper;
  RelayReader Frames; ///< Of a relayed connection.
  BufferEventPtr Event;
  HttpParser Parser;
  UpstreamExchange *Current = nullptr;
  UpstreamExchangeSettings Settings;
  UpstreamExchangeEvents Events;
  std::string Request;
  TimePoint IdleSince;
  TimePoint KeepUntil;
  Duration UserTimeout{}; ///< Of the socket.
  bool Connected = false;
  bool ServedBefore = false;
  bool KeepAlive = true;
  bool HasFraming = true;
  bool IsForeign = false; ///< The answer being read is dropped.
  bool AnswerDone = false;
  bool IsPaused = false; ///< The answer is not read on.
  bool IsForgotten = false;
  /// Bytes followed a complete answer in the same frame.
  bool HasSurplus = false;
  int SkippedAnswers = 0;
  std::vector<std::size_t> RefusedCalls; ///< Hashes of their ids.
  RequestRest Rest; ///< After the upstream has ended its answer.
  sigc::connection ConnectTimer;
  sigc::connection RestTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_UPSTREAMCONNECTION_H
