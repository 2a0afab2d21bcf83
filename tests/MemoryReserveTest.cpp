// Tests of the memory that is kept back for when an allocation fails.

#include "process/MemoryReserve.h"

#include <gtest/gtest.h>
#include <memory>
#include <sys/resource.h>
#include <vector>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Megabyte = 1 << 20;

/// Leaves the process \p Bytes of address space while it lives.
class LittleAddressSpace {
public:
  explicit LittleAddressSpace(std::size_t Bytes) {
    getrlimit(RLIMIT_AS, &this->Before);
    rlimit Some = this->Before;
    Some.rlim_cur = std::size_t{1} << 40;
    setrlimit(RLIMIT_AS, &Some);
    Some.rlim_cur -= *freeAddressSpace() - Bytes;
    setrlimit(RLIMIT_AS, &Some);
  }
  ~LittleAddressSpace() { setrlimit(RLIMIT_AS, &this->Before); }
  LittleAddressSpace(const LittleAddressSpace &) = delete;
  LittleAddressSpace &operator=(const LittleAddressSpace &) = delete;

private:
  rlimit Before{};
};

// Guards against an allocation that fails while memory is kept back, and
// against a reserve that is not taken again.
TEST(MemoryReserveTest, AnAllocationThatFailsTakesTheReserve) {
  EventLoop Loop;
  std::vector<std::unique_ptr<char[]>> Blocks;
  int Shorts = 0;
  int Restorations = 0;
  const LittleAddressSpace Limit(20 * Megabyte);
  MemoryReserve Reserve(Loop, {.OnShort = [&] { ++Shorts; },
                               .Free =
                                   [&] {
                                     if (Blocks.empty())
                                       return false;
                                     Blocks.pop_back();
                                     return true;
                                   },
                               .OnRestored = [&] { ++Restorations; }});
  ASSERT_TRUE(Reserve.isWhole());
  while (Reserve.isWhole())
    Blocks.push_back(std::make_unique<char[]>(Megabyte));
  EXPECT_GT(Blocks.size(), 4U);
  EXPECT_EQ(Shorts, 0);
  EXPECT_TRUE(Loop.runUntil([&] { return Restorations > 0; }, 2s));
  EXPECT_TRUE(Reserve.isWhole());
  EXPECT_EQ(Shorts, 1);
  EXPECT_EQ(Restorations, 1);
}

// Guards against a process that stays short for good because what it has freed
// lies between blocks in use and cannot be returned to the system.
TEST(MemoryReserveTest, AFragmentedHeapRestoresTheReserve) {
  static constexpr std::size_t BlockBytes = 1024;
  static constexpr std::size_t KeptEvery = 64;
  EventLoop Loop;
  std::vector<std::unique_ptr<char[]>> Blocks;
  Blocks.reserve(64 * Megabyte / BlockBytes);
  int Restorations = 0;
  const LittleAddressSpace Limit(20 * Megabyte);
  MemoryReserve Reserve(Loop, {.OnRestored = [&] { ++Restorations; }});
  ASSERT_TRUE(Reserve.isWhole());
  while (Reserve.isWhole() || *freeAddressSpace() > Megabyte)
    Blocks.push_back(std::make_unique<char[]>(BlockBytes));
  for (std::size_t I = 0; I + 1 < Blocks.size(); ++I)
    if (I % KeptEvery != 0)
      Blocks[I].reset();
  EXPECT_TRUE(Loop.runUntil([&] { return Restorations > 0; }, 2s));
  EXPECT_TRUE(Reserve.isWhole());
}

// Guards against connections that go on to grow until the loop runs, and so use
// up what the reserve has left.
TEST(MemoryReserveTest, TheReleaseIsToldInsideOfTheAllocation) {
  EventLoop Loop;
  int Releases = 0;
  const LittleAddressSpace Limit(20 * Megabyte);
  const MemoryReserve Reserve(Loop, {.OnReleased = [&] { ++Releases; }});
  std::vector<std::unique_ptr<char[]>> Blocks;
  while (Reserve.isWhole())
    Blocks.push_back(std::make_unique<char[]>(Megabyte));
  EXPECT_EQ(Releases, 1);
}

// Guards against an allocation that is tried without end.
TEST(MemoryReserveTest, AnAllocationBeyondTheReserveFails) {
  EventLoop Loop;
  const LittleAddressSpace Limit(20 * Megabyte);
  const MemoryReserve Reserve(Loop, {});
  EXPECT_THROW(std::make_unique<char[]>(64 * Megabyte), std::bad_alloc);
  EXPECT_FALSE(Reserve.isWhole());
}

} // namespace
} // namespace galenaroute
