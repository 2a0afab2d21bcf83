#include "process/RateExchange.h"

#include "process/GossipMessages.h"
#include "process/Log.h"

namespace galenaroute {

/// Statements in one gossip message, about 25 bytes each.
static constexpr std::size_t MaxGossipedStatements = 128;

RateExchange::RateExchange(EntryGossip &Entries, RateExchangeParts Parts)
    : Entries(Entries), Parts(std::move(Parts)),
      Shares(Entries.self().Id, this->events(), EventLoop::now()) {}

RateExchange::~RateExchange() { this->TickTimer.disconnect(); }

RateSharesEvents RateExchange::events() {
  return {.Send =
              [this](const std::string &Gateway, const RateMessage &Message) {
                this->send(Gateway, Message);
              },
          .OnPermits = [this] { this->Parts.OnPermits(); },
          .OnLimit =
              [this](std::uint64_t Upstream, std::optional<double> PerSecond,
                     std::string_view Source) {
                this->logLimit(Upstream, PerSecond, Source);
              },
          .OnIssuingChanged = [this] { this->announceSelf(); }};
}

void RateExchange::send(const std::string &Gateway,
                        const RateMessage &Message) {
  // An entry that was forgotten meanwhile gets nothing; requests are repeated.
  if (const EntryRecord *To = this->Entries.find(Gateway))
    this->Parts.Send(To->Gossip, encodeGossip({.Rates = Message}));
}

void RateExchange::logLimit(std::uint64_t Upstream,
                            std::optional<double> PerSecond,
                            std::string_view Source) const {
  log(LogLevel::Info, "upstream.rate_limit",
      {{"upstream", this->Parts.IdOf(Upstream).value_or("-")},
       {"per_second", PerSecond ? std::to_string(*PerSecond) : "-"},
       {"source", std::string(Source)}});
}

/// Sends the record of this entry to all others. An entry that they believe to
/// issue permits, but that does not, delays calls; two that do issue too many.
void RateExchange::announceSelf() {
  EntryRecord &Self = this->Entries.self();
  Self.IssuesPermits = this->Shares.issuesPermits();
  ++Self.Heartbeat;
  log(LogLevel::Info, "rates.issuing",
      {{"issues", Self.IssuesPermits ? "yes" : "no"}});
  const std::string Bytes = encodeGossip({.Records = {Self}});
  this->Entries.forEachAlive(EventLoop::now(), [&](const EntryRecord &Each) {
    this->Parts.Send(Each.Gossip, Bytes);
  });
}

void RateExchange::updateMembers(std::size_t Known) {
  const TimePoint Now = EventLoop::now();
  if (this->Suspension.wasSuspended())
    this->Shares.resettle(Now);
  std::vector<RateMember> Live;
  this->Entries.forEachAlive(Now, [&](const EntryRecord &Each) {
    Live.push_back({Each.Id, Each.IssuesPermits});
  });
  this->Shares.setMembers(Live, Known, Now);
  this->schedule();
}

void RateExchange::onGossipRound(
    std::span<const SocketAddress> Targets,
    const std::unordered_set<std::uint64_t> &Registered,
    std::mt19937_64 &Random) {
  const TimePoint Now = EventLoop::now();
  this->Shares.retain(
      [&](std::uint64_t Upstream) { return Registered.contains(Upstream); },
      Now);
  RateMessage Message{.From = this->Entries.self().Id,
                      .Statements = this->Shares.statements(
                          MaxGossipedStatements, Now, Random)};
  if (Message.Statements.empty())
    return;
  const std::string Bytes = encodeGossip({.Rates = std::move(Message)});
  for (const SocketAddress &To : Targets)
    this->Parts.Send(To, Bytes);
}

void RateExchange::receive(const RateMessage &Message) {
  this->Shares.receive(Message, EventLoop::now());
  this->schedule();
}

void RateExchange::noteAnswer(std::uint64_t Upstream,
                              std::optional<double> PerSecond) {
  this->Shares.noteAnswer(Upstream, PerSecond, EventLoop::now());
  this->schedule();
}

void RateExchange::limitCold(std::uint64_t Upstream, double PerSecond,
                             TimePoint Until) {
  this->Shares.limitCold(Upstream, PerSecond, Until, EventLoop::now());
  this->schedule();
}

void RateExchange::take(std::uint64_t Upstream) {
  this->Shares.take(Upstream, EventLoop::now());
}

void RateExchange::request(std::uint64_t Upstream, std::uint32_t Count) {
  this->Shares.request(Upstream, Count, EventLoop::now());
  this->schedule();
}

/// Sets the timer for the next tick.
void RateExchange::schedule() {
  const auto Next = this->Shares.nextTickAt();
  if (Next == this->TickAt)
    return;
  this->TickTimer.disconnect();
  this->TickAt = Next;
  if (!Next)
    return;
  this->TickTimer = this->Parts.Loop.timers().after(
      std::max(Duration::zero(), *Next - EventLoop::now()), [this] {
        this->TickAt.reset();
        this->Shares.tick(EventLoop::now());
        this->schedule();
      });
}

} // namespace galenaroute
