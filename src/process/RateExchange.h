// Connects RateShares to the event loop and to the other entries.
//
//   RateExchange Rates(Entries, {.Loop = Loop, .Send = ..., ...});
//   Rates.updateMembers();                    // several times a second
//   Rates.onGossipRound(Targets);
//   Rates.noteAnswer(Upstream, PerSecond);    // and so on, see RateShares
//
// Guarantee: no messages are sent while no upstream states a limit.

#ifndef GALENAROUTE_PROCESS_RATEEXCHANGE_H
#define GALENAROUTE_PROCESS_RATEEXCHANGE_H

#include "process/EntryGossip.h"
#include "process/EventLoop.h"
#include "process/RateShares.h"

#include <unordered_set>

namespace galenaroute {

struct RateExchangeParts {
  EventLoop &Loop;
  std::function<void(const SocketAddress &To, const std::string &Bytes)> Send;
  /// Queued calls may be sent.
  std::function<void()> OnPermits;
  /// Returns the id of a registered incarnation, or nothing.
  std::function<std::optional<std::string>(std::uint64_t Upstream)> IdOf;
};

class RateExchange {
public:
  RateExchange(EntryGossip &Entries, RateExchangeParts Parts);
  ~RateExchange();
  RateExchange(const RateExchange &) = delete;
  RateExchange &operator=(const RateExchange &) = delete;

  /// Takes over the live entries, and detects a suspension of the VM. \p Known
  /// counts all entries, see RateShares::setMembers().
  void updateMembers(std::size_t Known);
  /// To be called in each gossip round with the addresses that it is sent to
  /// and the incarnations that are registered.
  void onGossipRound(std::span<const SocketAddress> Targets,
                     const std::unordered_set<std::uint64_t> &Registered,
                     std::mt19937_64 &Random);
  void leave() { this->Shares.leave(); }
  void receive(const RateMessage &Message);

  void noteAnswer(std::uint64_t Upstream, std::optional<double> PerSecond);
  void limitCold(std::uint64_t Upstream, double PerSecond, TimePoint Until);
  std::optional<double> limitOf(std::uint64_t Upstream) const {
    return this->Shares.limitOf(Upstream);
  }
  bool hasLimits() const { return this->Shares.hasLimits(); }
  bool mayCall(std::uint64_t Upstream) const {
    return this->Shares.mayCall(Upstream, EventLoop::now());
  }
  std::optional<TimePoint> expectedAt(std::uint64_t Upstream) const {
    return this->Shares.expectedAt(Upstream, EventLoop::now());
  }
  void take(std::uint64_t Upstream);
  void request(std::uint64_t Upstream, std::uint32_t Count);

private:
  RateSharesEvents events();
  void send(const std::string &Gateway, const RateMessage &Message);
  void logLimit(std::uint64_t Upstream, std::optional<double> PerSecond,
                std::string_view Source) const;
  void announceSelf();
  void schedule();

  EntryGossip &Entries;
  RateExchangeParts Parts;
  RateShares Shares;
  SuspensionDetector Suspension;
  std::optional<TimePoint> TickAt;
  sigc::connection TickTimer;
};

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_RATEEXCHANGE_H
