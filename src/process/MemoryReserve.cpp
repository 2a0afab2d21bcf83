#include "process/MemoryReserve.h"

#include "process/Log.h"

#include <algorithm>
#include <cstdlib>
#include <event2/event.h>
#include <fstream>
#include <malloc.h>
#include <new>
#include <sys/mman.h>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace galenaroute {

/// How often it is checked whether the reserve was given up. What is left then
/// has to last for this long.
static constexpr auto CheckPeriod = std::chrono::milliseconds(20);
/// Connections closed in one check, so that the loop also reads what arrives.
static constexpr int MaxFreedPerCheck = 16;
/// A smaller block would not serve the allocations that malloc() maps.
static constexpr std::size_t MinBlockBytes = 256 << 10;
static MemoryReserve *Active = nullptr;

/// Called by operator new, which tries again when this returns.
static void onNewFailed() {
  if (Active == nullptr || !Active->release())
    throw std::bad_alloc();
}

static void *mallocWithReserve(std::size_t Bytes) {
  void *Result = std::malloc(Bytes);
  while (Result == nullptr && Active != nullptr && Active->release())
    Result = std::malloc(Bytes);
  return Result;
}

static void *reallocWithReserve(void *Before, std::size_t Bytes) {
  void *Result = std::realloc(Before, Bytes);
  while (Result == nullptr && Bytes > 0 && Active != nullptr &&
         Active->release())
    Result = std::realloc(Before, Bytes);
  return Result;
}

MemoryReserve::MemoryReserve(EventLoop &Loop, MemoryReserveEvents Events,
                             std::size_t Bytes)
    : Events(std::move(Events)), Bytes(Bytes) {
  this->acquire();
  Active = this;
  std::set_new_handler(onNewFailed);
  // These allocate like the default ones, so that it does not matter what was
  // allocated before.
  event_set_mem_functions(mallocWithReserve, reallocWithReserve, std::free);
  this->Timer = Loop.timers().every(CheckPeriod, [this] { this->check(); });
}

MemoryReserve::~MemoryReserve() {
  this->Timer.disconnect();
  event_set_mem_functions(nullptr, nullptr, nullptr);
  std::set_new_handler(nullptr);
  Active = nullptr;
  this->release();
}

/// Returns the bytes that malloc() holds free for further allocations.
static std::size_t freeHeapBytes() { return mallinfo2().fordblks; }

/// Maps as much of the reserve as there is address space for.
void MemoryReserve::acquire() {
  for (std::size_t Next = this->Bytes;
       this->Block == nullptr && Next >= MinBlockBytes; Next /= 2) {
    void *const Mapped =
        mmap(nullptr, Next, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (Mapped == MAP_FAILED)
      continue;
    this->BlockBytes = Next;
    this->Block = Mapped;
  }
  this->IsWhole =
      (this->Block == nullptr ? 0 : this->BlockBytes) + freeHeapBytes() >=
      this->Bytes;
}

bool MemoryReserve::release() {
  this->IsWhole = false;
  void *const Mapped = this->Block.exchange(nullptr);
  if (Mapped == nullptr)
    return false;
  munmap(Mapped, this->BlockBytes);
  this->Events.OnReleased();
  return true;
}

void MemoryReserve::check() {
  if (this->isWhole())
    return;
  if (!std::exchange(this->IsShort, true)) {
    log(LogLevel::Error, "memory.short",
        {{"free_bytes",
          std::to_string(freeAddressSpace().value_or(std::size_t{0}))},
         {"free_heap_bytes", std::to_string(freeHeapBytes())}});
    this->Events.OnShort();
  }
  int Freed = 0;
  while (Freed < MaxFreedPerCheck && this->Events.Free())
    ++Freed;
  // What was freed goes back to the system, from which the reserve is taken.
  malloc_trim(0);
  // A part of the reserve may be mapped already.
  this->release();
  this->acquire();
  if (!this->isWhole())
    return;
  this->IsShort = false;
  log(LogLevel::Info, "memory.restored",
      {{"freed", std::to_string(Freed)},
       {"mapped_bytes", std::to_string(this->BlockBytes)},
       {"free_heap_bytes", std::to_string(freeHeapBytes())}});
  this->Events.OnRestored();
}

std::optional<std::size_t> freeAddressSpace() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_AS, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return std::nullopt;
  std::ifstream Sizes("/proc/self/statm");
  std::size_t Pages = 0;
  if (!(Sizes >> Pages)) {
    log(LogLevel::Warn, "memory.size_unknown",
        {{"limit", std::to_string(Limit.rlim_cur)}});
    return std::nullopt;
  }
  const std::size_t Used =
      Pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return Limit.rlim_cur - std::min<std::size_t>(Limit.rlim_cur, Used);
}

} // namespace galenaroute
