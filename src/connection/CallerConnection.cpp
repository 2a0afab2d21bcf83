#include "connection/CallerConnection.h"

#include "process/CallbackGuard.h"
#include "process/Log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <poll.h>
#include <sys/socket.h>

namespace galenaroute {

/// Bytes that may wait behind the request being answered.
static constexpr std::size_t MaxWaitingBytes = 64 << 10;
/// The same for connections with a memory budget.
static constexpr std::size_t MaxChargedWaitingBytes = 16 << 10;
/// The next request of a connection is read only while at most so much of the
/// answers before is unsent.
static constexpr std::size_t MaxPipelinedUnsent = 16 << 10;
/// A shorter answer is sent also where there is no room, so that refusals reach
/// their callers.
static constexpr std::size_t MaxUncheckedAnswer = 4 << 10;
/// A body of a call is held up to three times while it is sent on: as received,
/// as part of the request to the upstream, and in the buffer of its connection.
static constexpr std::size_t CopiesToSend = 2;
/// A longer body begins in a mapping of its own, of whose pages only those with
/// bytes take memory.
static constexpr std::size_t MaxHeapBody = 8 << 10;
static constexpr std::size_t FirstMapping = 128 << 10;
/// Retry-After, in seconds, of a request for which there is no room.
static constexpr std::string_view NoRoomRetryAfter = "0.5";
/// How long data to a caller may stay unacknowledged. The kernel counts the
/// pauses of a reader that has let its window fill up, too, so while an answer
/// waits to be sent, the idle timeout takes its place.
static constexpr auto CallerUserTimeout = std::chrono::seconds(4);
/// How long after its last bytes a refused connection is read on, so that
/// closing it with unread bytes does not reset it before the caller has read
/// the answer.
static constexpr auto LingerTime = std::chrono::seconds(1);
/// The longest time for which the rest of a refused request is read.
static constexpr auto MaxLingerTime = std::chrono::seconds(10);
/// Idle timeout of connections beyond the limit. A caller connects to send a
/// request.
static constexpr auto BeyondLimitIdle = std::chrono::seconds(1);

static std::string_view reasonOf(int Status) {
  switch (Status) {
#define GALENAROUTE_REASON(Number, Name, Text)                                 \
  case Number:                                                                 \
    return #Text;
    HTTP_STATUS_MAP(GALENAROUTE_REASON)
#undef GALENAROUTE_REASON
  }
  return "Unknown";
}

CallerConnection::CallerConnection(CallListener &Owner, int Socket,
                                   bool IsBeyondLimit)
    : Owner(Owner), Event(newBufferEvent(Owner.Loop.base(), Socket)),
      Parser(
          HttpParser::Side::Request, Owner.Limits.Message,
          {.OnHead =
               [this](HttpHead &Read) {
                 this->onHead(Read);
                 return true;
               },
           .OnBody = [this](std::string_view Bytes) { this->keepBody(Bytes); },
           .OnComplete = [this] { this->onRequest(); }}),
      Since(EventLoop::now()), IdleLimit(Owner.Limits.IdleTimeout),
      IsBeyondLimit(IsBeyondLimit) {
  setSocketLimits(Socket, CallerUserTimeout);
  bufferevent_setcb(
      this->Event.get(),
      [](bufferevent *, void *Self) {
        guard(Self, "caller.read",
              [](CallerConnection &Of) { Of.onReadable(); });
      },
      [](bufferevent *, void *Self) {
        guard(Self, "caller.write",
              [](CallerConnection &Of) { Of.onDrained(); });
      },
      [](bufferevent *, short What, void *Self) {
        guard(Self, "caller.event",
              [What](CallerConnection &Of) { Of.onEvent(What); });
      },
      this);
  evbuffer_add_cb(
      bufferevent_get_output(this->Event.get()),
      [](evbuffer *, const evbuffer_cb_info *Change, void *Self) {
        if (Change->n_deleted > 0)
          static_cast<CallerConnection *>(Self)->onSent();
      },
      this);
  if (Owner.Limits.Memory)
    this->Charge.emplace(*Owner.Limits.Memory, Owner.Limits.Part);
  this->recharge();
  bufferevent_setwatermark(this->Event.get(), EV_READ, 0,
                           this->Charge ? MaxChargedWaitingBytes
                                        : MaxWaitingBytes);
  bufferevent_setwatermark(this->Event.get(), EV_WRITE,
                           IncomingCall::LowBacklog, 0);
  bufferevent_enable(this->Event.get(), EV_READ | EV_WRITE);
}

/// Runs a callback of the connection, which is closed if the callback throws:
/// its caller learns at once that there will be no answer.
template <typename Function>
void CallerConnection::guard(void *Self, std::string_view Where,
                             Function Action) {
  const auto Kept = static_cast<CallerConnection *>(Self)->shared_from_this();
  if (!runGuarded(Where, [&] { Action(*Kept); }))
    runGuarded("caller.close", [&] { Kept->close(); });
}

void CallerConnection::setState(State Next) {
  this->Current = Next;
  this->Since = EventLoop::now();
  this->IdleLimit = this->Owner.Limits.IdleTimeout;
}

void CallerConnection::onReadable() {
  evbuffer *Input = bufferevent_get_input(this->Event.get());
  if (this->Current == State::Lingering) {
    this->IsSending = true;
    evbuffer_drain(Input, evbuffer_get_length(Input));
    this->LingerUntil =
        std::min(EventLoop::now() + LingerTime, this->Since + MaxLingerTime);
    return;
  }
  while (this->Current == State::Reading) {
    const std::string_view Bytes = firstBytes(Input);
    if (Bytes.empty())
      return;
    if (!this->Parser.isInMessage()) {
      this->FirstByte = EventLoop::now();
      this->Since = this->FirstByte;
      this->HeadLimit = this->Owner.Limits.HeadTimeout;
      this->Parser.setLimits(this->Owner.Limits.Message);
    } else if (this->Parser.hasHead()) {
      this->Since = EventLoop::now();
    }
    // The bytes stay in place while the parser reports from them.
    const std::size_t Used = this->Parser.feed(Bytes);
    evbuffer_drain(Input, Used);
    this->recharge();
    if (this->Parser.fault() != HttpFault::None) {
      this->reject(this->Parser.fault());
      return;
    }
    if (this->HasNoRoom && this->Current == State::Reading) {
      this->refuseForMemory("no room for the body");
      return;
    }
  }
}

void CallerConnection::onHead(HttpHead &Read) {
  this->Head = std::move(Read);
  this->HasNoRoom = false;
  this->KeepsBody = this->Owner.KeepsBody(this->Head);
  this->HeadCost = 0;
  for (const auto &Each : this->Head.Headers)
    this->HeadCost += sizeof Each + Each.Name.size() + Each.Value.size();
  if (!this->grow(this->HeadCost))
    this->HasNoRoom = true;
  else
    this->answerExpectation();
}

/// Keeps a piece of the body unless it is not wanted or there is no room.
void CallerConnection::keepBody(std::string_view Bytes) {
  if (!this->KeepsBody || this->HasNoRoom)
    return;
  if (!this->grow(Bytes.size())) {
    this->HasNoRoom = true;
    dropText(this->Body);
    return;
  }
  const std::size_t Wanted = this->Body.size() + Bytes.size();
  if (Wanted > this->Body.capacity() && Wanted > MaxHeapBody)
    this->Body.reserve(std::max(FirstMapping, 2 * Wanted));
  this->Body += Bytes;
}

/// Charges \p Bytes, for which other connections may have to give way. Returns
/// false if there is no room.
bool CallerConnection::grow(std::size_t Bytes) {
  if (!this->Charge || this->Charge->tryGrow(Bytes))
    return true;
  while (this->Owner.shedOne(this))
    if (this->Charge->tryGrow(Bytes))
      return true;
  return false;
}

std::size_t CallerConnection::heldBytes() const {
  return ConnectionBytes + this->Parser.heldBytes() + this->HeadCost +
         this->Body.size() + this->CallCost + this->unsentBytes() +
         evbuffer_get_length(bufferevent_get_input(this->Event.get()));
}

void CallerConnection::recharge() {
  if (this->Charge)
    this->Charge->set(this->heldBytes());
}

/// Refuses the request that is being read, which has not run.
void CallerConnection::refuseForMemory(std::string_view Reason) {
  if (this->Charge)
    this->Owner.Limits.Memory->OnRefusal("no_room");
  this->rejectWith(503, Reason);
}

/// Returns whether an answer of \p Bytes may be kept until it is read. What is
/// charged for the call in progress ends with it.
bool CallerConnection::hasRoomToSend(std::size_t Bytes) {
  return Bytes <= MaxUncheckedAnswer || Bytes <= this->CallCost ||
         this->grow(Bytes - this->CallCost);
}

/// Returns whether more of the answer may be written before some is read.
bool CallerConnection::mayGrow() const {
  return !this->Charge || this->unsentBytes() == 0 ||
         this->Owner.Limits.Memory->mayGrow(this->Owner.Limits.Part,
                                            this->Charge->bytes(), 0);
}

MemoryHolder CallerConnection::holder(TimePoint Now) const {
  const bool IsReading =
      this->Current == State::Reading && this->Parser.isInMessage();
  return {.Bytes = this->Charge ? this->Charge->bytes() : 0,
          .Silence = Now - std::max(this->Since, this->SentAt),
          .MayEnd = IsReading || (this->Current != State::Lingering &&
                                  this->unsentBytes() > 0)};
}

/// Closes the connection, since there is no room for an answer of \p Bytes. The
/// call may have run, so its caller must not be told otherwise.
void CallerConnection::dropAnswer(std::size_t Bytes) {
  this->Owner.Limits.Memory->OnRefusal("answer_dropped");
  log(LogLevel::Warn, "answer.dropped",
      {{"bytes", std::to_string(Bytes)},
       {"held_bytes", std::to_string(this->heldBytes())},
       {"used_bytes", std::to_string(this->Owner.Limits.Memory->used(
                          this->Owner.Limits.Part))},
       {"connections", std::to_string(this->Owner.Connections.size())}});
  this->close();
}

/// Ends what the connection holds, since others need the memory.
void CallerConnection::giveWay(TimePoint Now) {
  if (this->unsentBytes() > 0) {
    this->Owner.Limits.Memory->OnRefusal("unread_answer");
    this->closeFor("memory is short and the answer is not read",
                   Now - std::max(this->Since, this->SentAt));
    return;
  }
  this->refuseForMemory("memory is short and the request makes no progress");
}

/// Tells a caller that waits for it to send the body.
void CallerConnection::answerExpectation() {
  static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  const auto Expected = this->Head.Headers.find("Expect");
  if (Expected && equalsIgnoringCase(*Expected, "100-continue"))
    this->add(Continue);
}

void CallerConnection::onRequest() {
  this->CallCost = CopiesToSend * this->Body.size() + this->HeadCost;
  if (this->HasNoRoom || !this->grow(this->CallCost)) {
    this->refuseForMemory("no room for the call");
    return;
  }
  this->setState(State::Answering);
  this->KeepAlive = this->Head.KeepAlive && !this->IsBeyondLimit;
  this->IsHeadRequest = this->Head.Method == "HEAD";
  this->Call = std::make_shared<IncomingCall>();
  this->Call->Head = std::move(this->Head);
  this->CallCost += this->Body.size();
  this->Call->Body = std::move(this->Body);
  this->Call->IsBodyDropped = !this->KeepsBody;
  this->Call->Arrived = this->FirstByte;
  this->Call->IsBeyondLimit = this->IsBeyondLimit;
  this->Call->Connection = this->weak_from_this();
  this->Head = {};
  this->Body.clear();
  this->Owner.OnCall(this->Call);
}

void CallerConnection::reject(HttpFault Fault) {
  switch (Fault) {
  case HttpFault::HeadTooLarge:
    return this->rejectWith(431);
  case HttpFault::BodyTooLarge:
    return this->rejectWith(413);
  default:
    return this->rejectWith(400);
  }
}

void CallerConnection::rejectWith(int Status, std::string_view Reason) {
  log(LogLevel::Info, "request.rejected",
      {{"status", std::to_string(Status)},
       {"reason", std::string(Reason)},
       {"held_bytes", std::to_string(this->heldBytes())},
       {"used_bytes", this->Charge
                          ? std::to_string(this->Owner.Limits.Memory->used(
                                this->Owner.Limits.Part))
                          : "-"},
       {"connections", std::to_string(this->Owner.Connections.size())}});
  this->KeepAlive = false;
  this->IsSending = true;
  this->setState(State::Answering);
  dropText(this->Body);
  this->Head = {};
  if (Status == 503)
    this->sendWhole(Status, {{"Retry-After", std::string(NoRoomRetryAfter)}},
                    {});
  else
    this->sendWhole(Status, {}, {});
}

/// Adds to what is sent. Where memory is missing, the connection is reset from
/// the loop: what follows must not reach the caller behind a gap.
void CallerConnection::add(std::string_view Bytes) {
  if (this->HasLostBytes || Bytes.empty() ||
      evbuffer_add(bufferevent_get_output(this->Event.get()), Bytes.data(),
                   Bytes.size()) == 0)
    return;
  this->HasLostBytes = true;
  this->EndsWithClose = true;
  log(LogLevel::Error, "answer.lost_bytes",
      {{"bytes", std::to_string(Bytes.size())},
       {"held_bytes", std::to_string(this->heldBytes())}});
  bufferevent_trigger_event(this->Event.get(), BEV_EVENT_ERROR,
                            BEV_TRIG_DEFER_CALLBACKS);
}

void CallerConnection::writeHead(int Status, const HttpHeaders &Headers,
                                 std::string_view Framing) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text += reasonOf(Status);
  Text += "\r\n";
  for (const auto &Each : Headers)
    appendField(Text, Each.Name, Each.Value);
  Text += Framing;
  if (this->Owner.Closing)
    this->KeepAlive = false;
  if (!this->KeepAlive)
    appendField(Text, "Connection", "close");
  Text += "\r\n";
  this->add(Text);
}

void CallerConnection::sendWhole(int Status, const HttpHeaders &Headers,
                                 std::string_view Body) {
  const bool HasBody = Status != 204 && Status != 304;
  this->writeHead(Status, Headers,
                  HasBody ? "Content-Length: " + std::to_string(Body.size()) +
                                "\r\n"
                          : std::string());
  if (HasBody && !this->IsHeadRequest)
    this->add(Body);
  this->endAnswer();
}

void CallerConnection::begin(int Status, const HttpHeaders &Headers) {
  this->Chunked = this->Call->Head.IsHttp11;
  this->EndsWithClose = !this->Chunked;
  if (!this->Chunked)
    this->KeepAlive = false;
  this->writeHead(Status, Headers,
                  this->Chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void CallerConnection::write(std::string_view Bytes) {
  if (Bytes.empty())
    return;
  if (this->Chunked) {
    std::array<char, 24> Size{};
    const int Length =
        std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
    this->add({Size.data(), static_cast<std::size_t>(Length)});
  }
  this->add(Bytes);
  if (this->Chunked)
    this->add("\r\n");
  this->recharge();
}

void CallerConnection::finish() {
  if (this->Chunked)
    this->add("0\r\n\r\n");
  this->endAnswer();
}

void CallerConnection::endAnswer() {
  if (this->Call)
    this->Call->Connection.reset();
  this->Call.reset();
  this->CallCost = 0;
  this->HeadCost = 0;
  this->Chunked = false;
  this->setState(State::Flushing);
  this->recharge();
  if (this->HasLostBytes)
    return;
  if (this->unsentBytes() == 0)
    this->onDrained();
  else if (this->KeepAlive && this->unsentBytes() <= MaxPipelinedUnsent)
    this->takeNext();
}

/// Goes on with the next request, outside the current call.
void CallerConnection::takeNext() {
  this->setState(State::Reading);
  if (evbuffer_get_length(bufferevent_get_input(this->Event.get())) > 0)
    bufferevent_trigger(this->Event.get(), EV_READ,
                        BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
}

void CallerConnection::onDrained() {
  if (this->HasLostBytes)
    return;
  if (const auto Answered = this->Call;
      Answered && this->Current == State::Answering &&
      this->unsentBytes() <= IncomingCall::LowBacklog) {
    Answered->BacklogSent.emit();
    return;
  }
  // A deferred callback may come from before the answer was written.
  if (this->Current != State::Flushing || this->unsentBytes() > 0)
    return;
  if (this->KeepAlive) {
    this->takeNext();
    return;
  }
  this->setState(State::Lingering);
  this->LingerUntil = this->Since + LingerTime;
  this->EndsWithClose = false;
  ::shutdown(bufferevent_getfd(this->Event.get()), SHUT_WR);
  evbuffer *Input = bufferevent_get_input(this->Event.get());
  evbuffer_drain(Input, evbuffer_get_length(Input));
}

void CallerConnection::onEvent(short What) {
  if (!(What & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)))
    return;
  // What is still to be written may be wanted by a caller that has only ended
  // its own side. After a reset, writing may report the error and reading the
  // end.
  if ((What & BEV_EVENT_EOF) && !(What & BEV_EVENT_ERROR) &&
      this->unsentBytes() > 0 &&
      (this->Current == State::Flushing || this->Current == State::Reading)) {
    this->KeepAlive = false;
    this->setState(State::Flushing);
    return;
  }
  this->close();
}

void CallerConnection::close() {
  const auto Kept = this->shared_from_this();
  const auto Ended = std::move(this->Call);
  this->Owner.erase(Kept);
  if (this->EndsWithClose) {
    // A reset is the only sign of an incomplete answer.
    const linger Reset{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(bufferevent_getfd(this->Event.get()), SOL_SOCKET, SO_LINGER,
                 &Reset, sizeof Reset);
  }
  bufferevent_disable(this->Event.get(), EV_READ | EV_WRITE);
  bufferevent_setcb(this->Event.get(), nullptr, nullptr, nullptr, nullptr);
  if (Ended) {
    Ended->Connection.reset();
    Ended->CallerLeft.emit();
  }
}

/// Returns whether the caller's side takes more bytes of the answer.
bool CallerConnection::canSend() const {
  return this->unsentBytes() > 0 && isPending(this->Event.get(), POLLOUT);
}

bool CallerConnection::isQuiet() const {
  switch (this->Current) {
  case State::Reading:
    return !this->Parser.isInMessage() && this->unsentBytes() == 0 &&
           !hasUnreadInput(this->Event.get());
  case State::Answering:
  case State::Flushing:
    return false;
  case State::Lingering:
    // Bytes that arrive after the close would reset the connection before the
    // caller has read its answer.
    return !this->IsSending && !isPending(this->Event.get(), POLLIN);
  }
  return true;
}

/// Returns whether the answer of a refused connection is in the caller's
/// kernel, and nothing has arrived that would make closing a reset.
bool CallerConnection::hasReceivedRefusal() const {
  return this->Current == State::Lingering && !this->IsSending &&
         unacknowledgedBytes(bufferevent_getfd(this->Event.get())) == 0U &&
         !hasUnreadInput(this->Event.get());
}

/// Closes the connection for exceeding a time limit.
void CallerConnection::closeFor(std::string_view Reason, Duration Age) {
  log(LogLevel::Info, "connection.closed",
      {{"reason", std::string(Reason)},
       {"age_ms", std::to_string(toMilliseconds(Age))},
       {"unsent_bytes", std::to_string(this->unsentBytes())}});
  this->close();
}

void CallerConnection::onSent() {
  this->SentAt = EventLoop::now();
  this->AwaitsAcknowledgement = true;
  this->recharge();
}

/// Leaves it to the idle timeout to end a connection whose answer is not read,
/// also while all of the answer waits in the kernel.
void CallerConnection::extendUserTimeout() {
  if (this->HasExtendedTimeout || !this->AwaitsAcknowledgement)
    return;
  this->AwaitsAcknowledgement =
      this->unsentBytes() > 0 ||
      unacknowledgedBytes(bufferevent_getfd(this->Event.get())).value_or(0) > 0;
  if (!this->AwaitsAcknowledgement)
    return;
  this->HasExtendedTimeout = true;
  setUserTimeout(bufferevent_getfd(this->Event.get()),
                 this->IdleLimit + CallerUserTimeout);
}

void CallerConnection::sweep(TimePoint Now) {
  this->extendUserTimeout();
  this->IdleLimit =
      this->IsBeyondLimit
          ? Duration(BeyondLimitIdle)
          : std::max(this->IdleLimit, this->Owner.Limits.IdleTimeout);
  const Duration Age = Now - std::max(this->Since, this->SentAt);
  switch (this->Current) {
  case State::Reading:
    if (this->Parser.isInMessage()) {
      // A body has no time limit as long as it makes progress.
      if (Age > this->HeadLimit * (this->Parser.hasHead() ? 2 : 1) &&
          !hasUnreadInput(this->Event.get()))
        this->rejectWith(408);
    } else if (Age > this->IdleLimit && !hasUnreadInput(this->Event.get()) &&
               !this->canSend()) {
      this->closeFor("idle", Age);
    }
    return;
  case State::Lingering:
    if (Now > this->LingerUntil && (!hasUnreadInput(this->Event.get()) ||
                                    Now > this->Since + MaxLingerTime))
      this->close();
    return;
  case State::Flushing:
    if (Age > this->IdleLimit && !this->canSend())
      this->closeFor("answer not read", Age);
    return;
  case State::Answering:
    return;
  }
}

} // namespace galenaroute
