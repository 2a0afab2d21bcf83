// A caller's connection of a CallListener: reads its requests one after the
// other and sends their answers.
//
//   auto Accepted =
//       std::make_shared<CallerConnection>(Listener, Socket, IsBeyondLimit);
//
// The listener owns the connection, which removes itself from it in close().
// IncomingCall refers to the connection that it came on and sends through it.
//
// Guarantees: see CallListener.h. What the connection holds is charged to the
// memory budget of the listener, if there is one, whenever it changes.

#ifndef GALENAROUTE_CONNECTION_CALLERCONNECTION_H
#define GALENAROUTE_CONNECTION_CALLERCONNECTION_H

#include "connection/BufferedSocket.h"
#include "connection/CallListener.h"

namespace galenaroute {

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  /// What a connection holds without a request.
  static constexpr std::size_t ConnectionBytes = 4 << 10;

  CallerConnection(CallListener &Owner, int Socket, bool IsBeyondLimit);

  bool hasRoomToSend(std::size_t Bytes);
  void sendWhole(int Status, const HttpHeaders &Headers, std::string_view Body);
  void begin(int Status, const HttpHeaders &Headers);
  void write(std::string_view Bytes);
  void finish();
  void close();
  void closeFor(std::string_view Reason, Duration Age);
  void sweep(TimePoint Now);
  bool isQuiet() const;
  bool hasReceivedRefusal() const;
  std::size_t unsentBytes() const {
    return evbuffer_get_length(bufferevent_get_output(this->Event.get()));
  }
  bool mayGrow() const;
  MemoryHolder holder(TimePoint Now) const;
  bool hasUnread() const { return hasUnreadInput(this->Event.get()); }
  void giveWay(TimePoint Now);
  void dropAnswer(std::size_t Bytes);

private:
  enum class State { Reading, Answering, Flushing, Lingering };

  template <typename Function>
  static void guard(void *Self, std::string_view Where, Function Action);
  void onReadable();
  void onDrained();
  void onEvent(short What);
  void answerExpectation();
  void onRequest();
  void reject(HttpFault Fault);
  void rejectWith(int Status,
                  std::string_view Reason = "malformed or too large");
  void refuseForMemory(std::string_view Reason);
  void onHead(HttpHead &Read);
  void keepBody(std::string_view Bytes);
  bool grow(std::size_t Bytes);
  void recharge();
  std::size_t heldBytes() const;
  void add(std::string_view Bytes);
  void writeHead(int Status, const HttpHeaders &Headers,
                 std::string_view Framing);
  void endAnswer();
  void setState(State Next);
  void takeNext();
  bool canSend() const;
  void onSent();
  void extendUserTimeout();

  CallListener &Owner;
  std::optional<MemoryCharge> Charge;
  BufferEventPtr Event;
  HttpParser Parser;
  std::shared_ptr<IncomingCall> Call;
  HttpHead Head;
  std::string Body;
  std::size_t HeadCost = 0; ///< Bytes held for the parsed head.
  std::size_t CallCost = 0; ///< Bytes held for the call in progress.
  State Current = State::Reading;
  TimePoint Since;
  TimePoint SentAt; ///< When the caller's side last took bytes of an answer.
  TimePoint FirstByte;
  TimePoint LingerUntil;
  Duration HeadLimit{}; ///< In force when the request began.
  /// The longest idle timeout in force since the connection became idle. A
  /// caller may rely on any of them.
  Duration IdleLimit{};
  bool Chunked = false;
  /// The answer under way has no framing, so that an orderly close would tell
  /// the caller that it is complete.
  bool EndsWithClose = false;
  bool KeepAlive = true;
  bool IsHeadRequest = false;
  bool HasExtendedTimeout = false;
  /// Bytes were sent since the kernel was last seen to hold none.
  bool AwaitsAcknowledgement = false;
  bool IsBeyondLimit;
  bool IsSending = false; ///< May send the rest of a refused request.
  bool KeepsBody = true;
  bool HasNoRoom = false;    ///< For the request that is being read.
  bool HasLostBytes = false; ///< See add().
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_CALLERCONNECTION_H
