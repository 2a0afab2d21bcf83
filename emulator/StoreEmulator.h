// Emulates a store VM: KV cache blocks in memory and on disk, behind a limited
// link.
//
// A put is taken only when length and digest match the headers; a block
// replaces one of the same key when its generation is not lower. Blocks that
// memory has no room for move to disk, least recently used first, and the
// oldest on disk are dropped.
//
// Faults are set by POST /admin/fault, each field optional:
//   fill                 true: puts are answered 507 until false
//   link_mbps, disk_mbps new bandwidths
//   partial_writes       this many puts keep half of the block, answer 200,
//                        and show the half with the headers of the whole
//   interrupted_writes   this many puts break off: nothing can be read
//   lose_all             true: drop all blocks, as a replaced VM has none

#ifndef GALENAROUTE_EMULATOR_STOREEMULATOR_H
#define GALENAROUTE_EMULATOR_STOREEMULATOR_H

#include "Emulator.h"
#include "LimitedLink.h"

#include <list>
#include <map>

namespace galenaroute::emulator {

struct StoreSettings {
  std::uint64_t MemoryBytes = 64 << 20;
  std::uint64_t DiskBytes = 512 << 20;
  double LinkMbps = 800;
  double DiskMbps = 200;
};

class StoreEmulator : public Emulator {
public:
  StoreEmulator(EventLoop &Loop, const StoreSettings &Settings);
  ~StoreEmulator() override;

  void answer(const HttpRequest &Request, const ReplyPtr &Reply) override;

private:
  struct Block {
    std::string Content;
    std::string Digest;
    std::uint64_t Length = 0; ///< As declared; Content is shorter when torn.
    std::uint64_t Generation = 0;
    bool IsOnDisk = false;
    std::list<std::string>::iterator Position; ///< In Memory or Disk.
  };

  void answerBlock(const HttpRequest &Request, const ReplyPtr &Reply,
                   const std::string &Key);
  void put(const HttpRequest &Request, const ReplyPtr &Reply,
           const std::string &Key);
  void get(const ReplyPtr &Reply, const std::string &Key);
  void list(const HttpRequest &Request, HttpReply &Reply) const;
  void answerUsage(HttpReply &Reply) const;
  void setFault(const nlohmann::json &Fault);
  void erase(const std::string &Key);
  void makeRoom();
  void answerLater(Duration Delay, std::function<void()> Action);

  EventLoop &Loop;
  StoreSettings Settings;
  LimitedLink Link;
  LimitedLink DiskLink;
  std::map<std::string, Block> Blocks;
  std::list<std::string> Memory; ///< Least recently used first.
  std::list<std::string> Disk;   ///< Oldest first.
  std::uint64_t MemoryUsed = 0;
  std::uint64_t DiskUsed = 0;
  bool IsFull = false;
  int PartialWrites = 0;
  int InterruptedWrites = 0;
  TimePoint Started;
  std::map<std::string, std::uint64_t> Counts;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_STOREEMULATOR_H
