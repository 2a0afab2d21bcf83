#include "connection/CallListener.h"

#include "connection/BufferedSocket.h"
#include "connection/CallerConnection.h"
#include "process/CallbackGuard.h"
#include "process/Log.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace galenaroute {

/// How long after a search that found no connection to give way the next one
/// is made.
static constexpr auto ShedPause = std::chrono::milliseconds(50);
/// How often connections are checked for their time limits.
static constexpr auto SweepPeriod = std::chrono::milliseconds(250);
/// How often, while no further connection can be refused, refused ones are
/// checked for whether their callers have received the answer.
static constexpr auto ReclaimPeriod = std::chrono::milliseconds(10);
/// A time at the limit of connections ends when none was beyond it for so long.
static constexpr auto LimitEndTime = std::chrono::seconds(1);
static constexpr int ListenBacklog = 1024;
/// How long nothing is accepted after the process or the system ran out of
/// descriptors or memory, unless a connection closes. The listener stays
/// readable meanwhile, so that accepting on would take all processor time.
static constexpr auto AcceptPause = std::chrono::milliseconds(100);

bool IncomingCall::send(int Status, const HttpHeaders &Headers,
                        std::string_view Body) {
  const auto To = this->Connection.lock();
  if (!To)
    return true;
  if (To->hasRoomToSend(Body.size())) {
    To->sendWhole(Status, Headers, Body);
    return true;
  }
  this->CallerLeft.clear();
  To->dropAnswer(Body.size());
  return false;
}

void IncomingCall::begin(int Status, const HttpHeaders &Headers) {
  if (const auto To = this->Connection.lock())
    To->begin(Status, Headers);
}

void IncomingCall::write(std::string_view Bytes) {
  if (const auto To = this->Connection.lock())
    To->write(Bytes);
}

void IncomingCall::finish() {
  if (const auto To = this->Connection.lock())
    To->finish();
}

void IncomingCall::abort() {
  if (const auto To = this->Connection.lock()) {
    this->CallerLeft.clear();
    To->close();
  }
}

bool IncomingCall::mayGrow() const {
  const auto To = this->Connection.lock();
  return !To || To->mayGrow();
}

std::size_t IncomingCall::unsentBytes() const {
  const auto To = this->Connection.lock();
  return To ? To->unsentBytes() : 0;
}

CallListener::CallListener(EventLoop &Loop, const SocketAddress &Address,
                           CallerLimits Limits, Handler OnCall)
    : Loop(Loop), Limits(Limits), OnCall(std::move(OnCall)),
      Binding(Loop, Address,
              [this, Address] { return this->tryListen(Address); }) {
  this->SweepTimer =
      Loop.timers().every(SweepPeriod, [this] { this->sweep(); });
}

void CallListener::sweep() {
  const TimePoint Now = EventLoop::now();
  const auto All = this->Connections;
  for (const auto &Each : All)
    Each->sweep(Now);
  this->checkLimitEnd(Now);
  this->shedExcess();
}

/// Lets the largest connection without progress give way to \p For, or to all
/// others if it is null. Returns whether there was one.
bool CallListener::shedOne(const CallerConnection *For) {
  const TimePoint Now = EventLoop::now();
  if (Now < this->NextShedAt)
    return false;
  if (this->shed(For, this->Limits.GiveWayAfter))
    return true;
  this->NextShedAt = Now + ShedPause;
  return false;
}

bool CallListener::shedLargest() {
  return this->shed(nullptr, Duration::zero());
}

/// Ends the largest connection other than \p For that made no progress for
/// \p MinSilence. Returns whether there was one.
bool CallListener::shed(const CallerConnection *For, Duration MinSilence) {
  const TimePoint Now = EventLoop::now();
  std::vector<std::shared_ptr<CallerConnection>> Each(this->Connections.begin(),
                                                      this->Connections.end());
  std::vector<MemoryHolder> Holders;
  for (const auto &Next : Each) {
    Holders.push_back(Next->holder(Now));
    // Its request is being read and must not be refused in between.
    if (Next.get() == For)
      Holders.back().MayEnd = false;
  }
  while (const auto Chosen = chooseToShed(
             Holders, MinSilence, 2 * CallerConnection::ConnectionBytes)) {
    // After the process stood still, what arrived meanwhile is progress.
    if (MinSilence == Duration::zero() || !Each[*Chosen]->hasUnread()) {
      Each[*Chosen]->giveWay(Now);
      return true;
    }
    Holders[*Chosen].MayEnd = false;
  }
  return false;
}

/// Answers are charged as they come, also beyond the limit.
void CallListener::shedExcess() {
  const MemoryBudget *Memory = this->Limits.Memory;
  while (Memory &&
         Memory->used(this->Limits.Part) > Memory->limit(this->Limits.Part) &&
         this->shedOne(nullptr)) {
  }
}

/// Closes refused connections whose callers have received the answer, since
/// others wait for theirs.
void CallListener::reclaimRefused() {
  const auto All = this->BeyondLimit;
  for (const auto &Each : All)
    if (Each->hasReceivedRefusal())
      Each->close();
}

/// Returns the number of connections that wait to be accepted, or no value if
/// it is not known.
std::optional<std::size_t> CallListener::waiting() const {
  if (!this->Listener)
    return std::nullopt;
  return waitingConnections(evconnlistener_get_fd(this->Listener));
}

static std::string countText(std::optional<std::size_t> Count) {
  return Count ? std::to_string(*Count) : "-";
}

/// Counts a connection beyond the limit.
void CallListener::noteLimit() {
  if (!this->AtLimit) {
    this->AtLimit.emplace(LimitPeriod{.Since = EventLoop::now()});
    log(LogLevel::Warn, "connection.limit",
        {{"connections", std::to_string(this->Connections.size())},
         {"waiting", countText(this->waiting())}});
  }
  this->AtLimit->LastAt = EventLoop::now();
  ++this->AtLimit->Refused;
}

void CallListener::checkLimitEnd(TimePoint Now) {
  if (!this->AtLimit)
    return;
  this->AtLimit->MostWaiting =
      std::max(this->AtLimit->MostWaiting, this->waiting().value_or(0));
  if (!this->BeyondLimit.empty()) {
    this->AtLimit->LastAt = Now;
    return;
  }
  if (Now - this->AtLimit->LastAt < LimitEndTime)
    return;
  log(LogLevel::Info, "connection.limit_ended",
      {{"connections", std::to_string(this->Connections.size())},
       {"for_ms", std::to_string(toMilliseconds(this->AtLimit->LastAt -
                                                this->AtLimit->Since))},
       {"refused", std::to_string(this->AtLimit->Refused)},
       {"most_waiting", std::to_string(this->AtLimit->MostWaiting)}});
  this->AtLimit.reset();
}

/// Returns zero or an errno.
int CallListener::tryListen(const SocketAddress &Address) {
  const int Bound = listenAt(Address, ListenBacklog);
  if (Bound < 0)
    return errno;
  // Connections inherit this from the socket that listens for them.
  if (this->Limits.LimitsQueues)
    limitQueues(Bound);
  this->Listener = evconnlistener_new(
      this->Loop.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
         void *Self) {
        runGuarded("caller.accept",
                   [&] { static_cast<CallListener *>(Self)->accept(Socket); });
      },
      this, LEV_OPT_CLOSE_ON_FREE, /*backlog=*/0, Bound);
  if (!this->Listener) {
    evutil_closesocket(Bound);
    return ENOMEM;
  }
  evconnlistener_set_error_cb(this->Listener, [](evconnlistener *, void *Self) {
    const int Reason = errno;
    runGuarded("caller.accept_error", [&] {
      static_cast<CallListener *>(Self)->onAcceptError(Reason);
    });
  });
  return 0;
}

void CallListener::setLimits(const CallerLimits &Next) {
  this->Limits = Next;
  this->updateAccepting();
}

CallListener::~CallListener() {
  this->SweepTimer.disconnect();
  this->PauseTimer.disconnect();
  this->ReclaimTimer.disconnect();
  if (this->Listener)
    evconnlistener_free(this->Listener);
}

void CallListener::stopAccepting() {
  this->Binding.cancel();
  if (!this->Listener)
    return;
  // Closing the listener resets connections that wait to be accepted, whose
  // requests may have arrived.
  const int Socket = evconnlistener_get_fd(this->Listener);
  for (int Next = 0; Next >= 0;) {
    Next = ::accept4(Socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Next >= 0)
      this->accept(Next);
  }
  this->PauseTimer.disconnect();
  this->ReclaimTimer.disconnect();
  evconnlistener_free(this->Listener);
  this->Listener = nullptr;
}

bool CallListener::isQuiet() const {
  return std::all_of(this->Connections.begin(), this->Connections.end(),
                     [](const auto &Each) { return Each->isQuiet(); });
}

void CallListener::abortAll() {
  const auto All = this->Connections;
  for (const auto &Each : All)
    Each->close();
}

void CallListener::accept(int Socket) {
  const bool IsBeyondLimit =
      this->Connections.size() >= this->Limits.MaxConnections;
  const auto Accepted =
      std::make_shared<CallerConnection>(*this, Socket, IsBeyondLimit);
  this->Connections.insert(Accepted);
  if (IsBeyondLimit) {
    this->BeyondLimit.insert(Accepted);
    this->noteLimit();
  }
  this->updateAccepting();
}

void CallListener::erase(const std::shared_ptr<CallerConnection> &Closed) {
  if (this->Connections.erase(Closed) == 0)
    return;
  this->BeyondLimit.erase(Closed);
  this->IsPaused = false;
  this->updateAccepting();
}

void CallListener::onAcceptError(int Reason) {
  const bool IsExhausted = Reason == EMFILE || Reason == ENFILE ||
                           Reason == ENOBUFS || Reason == ENOMEM;
  // An accept that is tried again early, since a connection has closed, belongs
  // to the same pause.
  if (!IsExhausted || !this->PauseTimer.connected())
    log(LogLevel::Error, "accept.failed",
        {{"error", std::strerror(Reason)},
         {"connections", std::to_string(this->Connections.size())},
         {"waiting", countText(this->waiting())}});
  if (!IsExhausted)
    return;
  this->IsPaused = true;
  if (!this->PauseTimer.connected())
    this->PauseTimer = this->Loop.timers().after(AcceptPause, [this] {
      this->IsPaused = false;
      this->updateAccepting();
    });
  this->updateAccepting();
}

/// Lets connections wait in the queue of the socket while too many are to be
/// refused, or none can be accepted. Those that were open when the limit fell
/// do not count.
void CallListener::updateAccepting() {
  const bool HasRoom = this->Connections.size() < this->Limits.MaxConnections ||
                       this->BeyondLimit.size() < this->Limits.MaxRefused;
  const bool MayAccept = HasRoom && !this->IsPaused;
  if (!this->Listener || MayAccept == this->IsAccepting)
    return;
  this->IsAccepting = MayAccept;
  this->ReclaimTimer.disconnect();
  if (MayAccept) {
    evconnlistener_enable(this->Listener);
    return;
  }
  evconnlistener_disable(this->Listener);
  if (!HasRoom)
    this->ReclaimTimer = this->Loop.timers().every(
        ReclaimPeriod, [this] { this->reclaimRefused(); });
}

} // namespace galenaroute
