// The account of the memory that connections hold in this process.
//
//   MemoryBudget Budget(memoryLimits(MemoryBytes));
//   MemoryCharge Charge(Budget, MemoryPart::Calls);
//   if (!Charge.tryGrow(Bytes.size()))
//     refuse();
//
// Each part, a listener or the answers of upstreams, has a limit of its own, so
// that a lack of memory in one leaves the others serving. A holder that keeps
// more than LargeHolding may use three quarters of its part; the rest is left
// to holders that keep little.
//
// Guarantees: the sum of the charges of a part that were granted by tryGrow()
// stays within its limit, except that a holder which nearly has the part to
// itself is granted up to MaxBytes, so that a single request inside the limits
// of the configuration is served. A charge ends with its owner.

#ifndef GALENAROUTE_PROCESS_MEMORYBUDGET_H
#define GALENAROUTE_PROCESS_MEMORYBUDGET_H

#include "process/Clock.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace galenaroute {

enum class MemoryPart { Calls, Ready, Directory, Metrics, Upstreams };
inline constexpr std::size_t MemoryPartCount = 5;

struct MemoryLimits {
  std::array<std::size_t, MemoryPartCount> Parts{}; ///< Bytes.
  /// What a holder may keep that has a part nearly to itself.
  std::size_t MaxBytes = 0;

  bool operator==(const MemoryLimits &) const = default;
};

/// Divides the memory of a machine, in bytes. What is left is for the program,
/// the queues of sockets and the allocator.
MemoryLimits memoryLimits(std::size_t MemoryBytes);

class MemoryBudget {
public:
  /// A holder that keeps more counts as large.
  static constexpr std::size_t LargeHolding = 64 << 10;

  explicit MemoryBudget(const MemoryLimits &Limits) : Limits(Limits) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  /// Charges that exceed a lowered limit stay; no further ones are granted.
  void setLimits(const MemoryLimits &Next) { this->Limits = Next; }
  /// While memory is short, nothing is granted. May be called on any thread.
  void setShort(bool Short) { this->IsShort = Short; }
  std::size_t limit(MemoryPart Part) const {
    return this->Limits.Parts.at(static_cast<std::size_t>(Part));
  }
  std::size_t used(MemoryPart Part) const {
    return this->Used.at(static_cast<std::size_t>(Part));
  }
  /// Returns whether a holder of \p Held bytes may keep \p More.
  bool mayGrow(MemoryPart Part, std::size_t Held, std::size_t More) const;

  /// Called for each refusal with its reason, one of a fixed set.
  std::function<void(std::string_view Reason)> OnRefusal =
      [](std::string_view) {};

private:
  friend class MemoryCharge;
  MemoryLimits Limits;
  std::atomic<bool> IsShort = false;
  std::array<std::size_t, MemoryPartCount> Used{};
};

/// What one holder keeps.
class MemoryCharge {
public:
  MemoryCharge(MemoryBudget &Budget, MemoryPart Part)
      : Budget(Budget), Part(Part) {}
  ~MemoryCharge() { this->set(0); }
  MemoryCharge(const MemoryCharge &) = delete;
  MemoryCharge &operator=(const MemoryCharge &) = delete;

  std::size_t bytes() const { return this->Held; }
  /// Charges \p More bytes if there is room. Returns whether there was.
  bool tryGrow(std::size_t More);
  /// Corrects the charge to what is kept, also beyond the limit.
  void set(std::size_t Bytes);

private:
  MemoryBudget &Budget;
  MemoryPart Part;
  std::size_t Held = 0;
};

/// A holder as seen by the choice of one that has to give way.
struct MemoryHolder {
  std::size_t Bytes = 0;
  Duration Silence{}; ///< Since it last sent or took bytes.
  bool MayEnd = true; ///< Nothing promises it an answer of a running call.
};

/// Returns the index of the holder that gives way when memory is short: the
/// largest of those that keep more than \p MinBytes and have been silent for
/// \p MinSilence. A holder that makes progress never does.
std::optional<std::size_t> chooseToShed(std::span<const MemoryHolder> Holders,
                                        Duration MinSilence,
                                        std::size_t MinBytes);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_MEMORYBUDGET_H
