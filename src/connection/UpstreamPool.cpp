#include "connection/UpstreamPool.h"

#include "connection/UpstreamConnection.h"
#include "process/Log.h"

#include <algorithm>
#include <utility>

namespace galenaroute {

static constexpr auto SweepPeriod = std::chrono::milliseconds(500);

std::string_view toString(UpstreamCause Cause) {
  switch (Cause) {
  case UpstreamCause::None:
    return "-";
  case UpstreamCause::Closed:
    return "closed";
  case UpstreamCause::Reset:
    return "reset";
  case UpstreamCause::NoAcknowledgment:
    return "no_acknowledgment";
  case UpstreamCause::Refused:
    return "refused";
  case UpstreamCause::ConnectTimeout:
    return "connect_timeout";
  case UpstreamCause::HeadTooLarge:
    return "head_too_large";
  case UpstreamCause::BodyTooLarge:
    return "body_too_large";
  case UpstreamCause::MemoryShort:
    return "memory_short";
  case UpstreamCause::RelayFailed:
    return "relay_failed";
  case UpstreamCause::HelperFailed:
    return "helper_failed";
  case UpstreamCause::Other:
    return "other";
  }
  return "unknown";
}

bool isTooLarge(UpstreamCause Cause) {
  return Cause == UpstreamCause::HeadTooLarge ||
         Cause == UpstreamCause::BodyTooLarge ||
         Cause == UpstreamCause::MemoryShort;
}

bool UpstreamExchange::hasUnreadInput() const {
  const auto Open = this->Connection.lock();
  return Open && Open->hasUnreadInput();
}

bool UpstreamExchange::isLinkSilent() const {
  const auto Open = this->Connection.lock();
  return Open && Open->isSilent();
}

void UpstreamExchange::noteRefusal() {
  if (const auto Open = this->Connection.lock())
    Open->noteRefusal();
}

void UpstreamExchange::pauseReading() {
  if (const auto Open = this->Connection.lock())
    Open->pauseReading();
}

void UpstreamExchange::resumeReading() {
  if (const auto Open = this->Connection.lock())
    Open->resumeReading();
}

UpstreamExchange::~UpstreamExchange() {
  if (const auto Open = this->Connection.lock())
    Open->cancel();
}

UpstreamPool::UpstreamPool(EventLoop &Loop,
                           std::shared_ptr<ResponseBudget> Budget)
    : Loop(Loop), Budget(std::move(Budget)) {
  this->SweepTimer =
      Loop.timers().every(SweepPeriod, [this] { this->sweep(); });
}

UpstreamPool::~UpstreamPool() { this->SweepTimer.disconnect(); }

/// Returns an idle connection by \p By that may be used for the call \p Id, or
/// null. Closes those that have ended or whose link is silent.
std::shared_ptr<UpstreamConnection>
UpstreamPool::takeIdle(const Path &By, Duration MaxIdle,
                       const std::string &Id) {
  const TimePoint Now = EventLoop::now();
  while (true) {
    const auto It = this->Targets.find(By);
    if (It == this->Targets.end())
      return nullptr;
    auto &Idle = It->second.Idle;
    // The connection used last is the least likely to be closing.
    const auto Found =
        std::find_if(Idle.rbegin(), Idle.rend(),
                     [&Id](const auto &Each) { return Each->mayCarry(Id); });
    if (Found == Idle.rend())
      return nullptr;
    std::shared_ptr<UpstreamConnection> Last = *Found;
    if (!Last->isUsable(Now, MaxIdle))
      return nullptr;
    // Its end, or bytes that nothing asked for, may wait for the loop.
    const bool HasUnread = Last->hasUnreadInput();
    if (!HasUnread && !Last->isSilent()) {
      std::erase(Idle, Last);
      return Last;
    }
    log(LogLevel::Info,
        HasUnread ? "upstream.idle_ended" : "upstream.idle_silent",
        {{"upstream", By.first.toString()},
         {"idle_ms", std::to_string(toMilliseconds(Now - Last->IdleSince))}});
    this->forget(Last);
  }
}

std::unique_ptr<UpstreamExchange>
UpstreamPool::start(const SocketAddress &To, std::string Request,
                    const UpstreamExchangeSettings &Settings,
                    UpstreamExchangeEvents Events) {
  const Path By{To,
                Settings.Helper ? Settings.Helper->Address : SocketAddress()};
  std::shared_ptr<UpstreamConnection> Connection =
      this->takeIdle(By, Settings.MaxIdle, Settings.CallId);
  const bool IsNew = !Connection;
  if (IsNew) {
    Connection =
        std::make_shared<UpstreamConnection>(*this, To, Settings.Helper);
    ++this->Targets[By].Total;
    ++this->Opened;
  }
  this->Busy[Connection.get()] = Connection;
  auto Result = std::make_unique<UpstreamExchange>(Connection);
  Connection->begin(*Result, std::move(Request), Settings, std::move(Events));
  if (IsNew && !Connection->connect()) {
    // Reported by the connect timer, since nothing is called inside start().
    log(LogLevel::Warn, "upstream.connect_failed",
        {{"upstream", To.toString()}});
  }
  return Result;
}

void UpstreamPool::release(
    const std::shared_ptr<UpstreamConnection> &Connection) {
  this->Busy.erase(Connection.get());
  // Shows bytes that nothing asked for, and the end of the connection.
  bufferevent_enable(Connection->Event.get(), EV_READ);
  Connection->IdleSince = EventLoop::now();
  Connection->ServedBefore = true;
  // The limit of a long request would also decide when unanswered keep-alive
  // probes end the idle connection.
  if (const Duration Idle = Connection->Settings.UserTimeout;
      std::exchange(Connection->UserTimeout, Idle) != Idle)
    setUserTimeout(bufferevent_getfd(Connection->Event.get()), Idle);
  this->Targets[Connection->path()].Idle.push_back(Connection);
}

void UpstreamPool::forget(std::shared_ptr<UpstreamConnection> Connection) {
  // A callback that has thrown may have cancelled the exchange before.
  if (std::exchange(Connection->IsForgotten, true))
    return;
  // Destruction may come later, from inside a callback of this connection.
  bufferevent_disable(Connection->Event.get(), EV_READ | EV_WRITE);
  bufferevent_setcb(Connection->Event.get(), nullptr, nullptr, nullptr,
                    nullptr);
  this->Busy.erase(Connection.get());
  const auto It = this->Targets.find(Connection->path());
  if (It == this->Targets.end())
    return;
  Target &At = It->second;
  std::erase(At.Idle, Connection);
  if (At.Total > 0)
    --At.Total;
  if (At.Total == 0)
    this->Targets.erase(It);
  Connection.reset();
}

std::size_t UpstreamPool::connections(const SocketAddress &To) const {
  std::size_t Result = 0;
  for (auto It = this->Targets.lower_bound({To, {}});
       It != this->Targets.end() && It->first.first == To; ++It)
    Result += It->second.Total;
  return Result;
}

bool UpstreamPool::hasIdle(const SocketAddress &To, Duration MaxIdle,
                           const SocketAddress *Helper) const {
  const auto It = this->Targets.find({To, Helper ? *Helper : SocketAddress()});
  return It != this->Targets.end() && !It->second.Idle.empty() &&
         It->second.Idle.back()->isUsable(EventLoop::now(), MaxIdle);
}

bool UpstreamPool::hasAnyIdle(const SocketAddress &To, Duration MaxIdle) const {
  const TimePoint Now = EventLoop::now();
  for (auto It = this->Targets.lower_bound({To, {}});
       It != this->Targets.end() && It->first.first == To; ++It)
    if (!It->second.Idle.empty() &&
        It->second.Idle.back()->isUsable(Now, MaxIdle))
      return true;
  return false;
}

void UpstreamPool::closeIdle(const SocketAddress &To) {
  std::vector<std::shared_ptr<UpstreamConnection>> Idle;
  for (auto It = this->Targets.lower_bound({To, {}});
       It != this->Targets.end() && It->first.first == To; ++It)
    Idle.insert(Idle.end(), It->second.Idle.begin(), It->second.Idle.end());
  for (const auto &Each : Idle)
    this->forget(Each);
}

void UpstreamPool::closeIdleRelayed(
    const std::function<bool(const SocketAddress &Helper)> &Keeps) {
  std::vector<std::shared_ptr<UpstreamConnection>> Idle;
  for (const auto &[By, At] : this->Targets)
    if (By.second != SocketAddress() && !Keeps(By.second))
      Idle.insert(Idle.end(), At.Idle.begin(), At.Idle.end());
  for (const auto &Each : Idle)
    this->forget(Each);
}

void UpstreamPool::sweep() {
  const TimePoint Now = EventLoop::now();
  std::vector<std::shared_ptr<UpstreamConnection>> Old;
  for (const auto &[To, At] : this->Targets)
    for (const auto &Each : At.Idle)
      if (Now >= Each->KeepUntil)
        Old.push_back(Each);
  for (const auto &Each : Old)
    this->forget(Each);
}

} // namespace galenaroute
