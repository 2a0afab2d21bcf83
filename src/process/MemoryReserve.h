// Memory that is kept back for when an allocation fails.
//
//   MemoryReserve Reserve(Loop, {.OnShort = [&] { stopGranting(); },
//                                .Free = [&] { return closeOne(); },
//                                .OnRestored = [&] { grantAgain(); }});
//
// libsigc++ ends the process when an allocation fails inside of it, and
// libevent returns null from functions that are seldom checked. So the reserve
// is given up instead, the allocation is tried again, and memory is freed from
// the loop until the reserve is whole.
//
// Guarantees: OnShort, Free and OnRestored are called from the loop only, and
// OnShort and OnRestored in turn. OnReleased is called inside of the allocation
// that failed, on any thread. The reserve takes address space, no memory.
// What malloc() holds free counts towards it, so that a fragmented heap, which
// cannot be returned to the system, does not leave the process short for good.
// There is one for the process, and allocations fail as usual without it.

#ifndef GALENAROUTE_PROCESS_MEMORYRESERVE_H
#define GALENAROUTE_PROCESS_MEMORYRESERVE_H

#include "process/EventLoop.h"

#include <atomic>
#include <optional>

namespace galenaroute {

struct MemoryReserveEvents {
  /// The reserve has just been given up. Must not allocate. What grows beyond
  /// it before the loop goes on is lost.
  std::function<void()> OnReleased = [] {};
  /// The reserve was given up; called soon after OnReleased.
  std::function<void()> OnShort = [] {};
  /// Frees some memory. Returns false if there is nothing to free now.
  std::function<bool()> Free = [] { return false; };
  /// The reserve is whole again.
  std::function<void()> OnRestored = [] {};
};

class MemoryReserve {
public:
  static constexpr std::size_t DefaultBytes = 4 << 20;

  /// There must be no other one.
  MemoryReserve(EventLoop &Loop, MemoryReserveEvents Events,
                std::size_t Bytes = DefaultBytes);
  ~MemoryReserve();
  MemoryReserve(const MemoryReserve &) = delete;
  MemoryReserve &operator=(const MemoryReserve &) = delete;

  bool isWhole() const { return this->IsWhole.load(); }
  /// Gives up the reserve. Returns whether address space became free.
  bool release();

private:
  void acquire();
  void check();

  MemoryReserveEvents Events;
  std::size_t Bytes;
  // The thread that writes the log may also give up the reserve.
  std::atomic<void *> Block = nullptr;
  std::size_t BlockBytes = 0;
  std::atomic<bool> IsWhole = false;
  bool IsShort = false; ///< As told by OnShort and OnRestored.
  sigc::connection Timer;
};

/// Returns the bytes that this process may still map, or nothing if it has no
/// limit on its address space.
std::optional<std::size_t> freeAddressSpace();

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_MEMORYRESERVE_H
