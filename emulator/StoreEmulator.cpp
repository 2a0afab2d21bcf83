#include "StoreEmulator.h"

#include "process/ErrorKind.h"

#include <algorithm>
#include <charconv>

namespace galenaroute::emulator {

using nlohmann::json;

namespace {

constexpr std::uint64_t MaxListLimit = 1000;

std::uint64_t headerNumber(const HttpRequest &Request, std::string_view Name) {
  const auto Text = Request.Headers.find(Name);
  std::uint64_t Result = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Result).ptr !=
          Text->data() + Text->size())
    throw Error(ErrorKind::BadRequest,
                std::string(Name) + " is missing or not a number");
  return Result;
}

} // namespace

StoreEmulator::StoreEmulator(EventLoop &Loop, const StoreSettings &Settings)
    : Loop(Loop), Settings(Settings), Link(Settings.LinkMbps),
      DiskLink(Settings.DiskMbps), Started(EventLoop::now()) {}

StoreEmulator::~StoreEmulator() { *this->Alive = false; }

void StoreEmulator::answer(const HttpRequest &Request, const ReplyPtr &Reply) {
  const std::vector<std::string> Path = splitPath(Request.Path);
  const std::string Route = Request.Method + " " + Request.Path;
  if (Route == "GET /v1/usage") {
    this->answerUsage(*Reply);
  } else if (Route == "GET /v1/blocks") {
    this->list(Request, *Reply);
  } else if (Route == "POST /admin/fault") {
    this->setFault(parseObject(Request.Body));
    sendJson(*Reply, 200, json::object());
  } else if (Path.size() == 3 && Path[0] == "v1" && Path[1] == "blocks") {
    this->answerBlock(Request, Reply, Path[2]);
  } else {
    throw Error(ErrorKind::NotFound, "no such path");
  }
}

void StoreEmulator::answerLater(Duration Delay, std::function<void()> Action) {
  this->Loop.timers().after(Delay,
                            [Alive = this->Alive, Action = std::move(Action)] {
                              if (*Alive)
                                Action();
                            });
}

void StoreEmulator::answerBlock(const HttpRequest &Request,
                                const ReplyPtr &Reply, const std::string &Key) {
  if (Request.Method == "PUT") {
    this->put(Request, Reply, Key);
  } else if (Request.Method == "DELETE") {
    const bool IsThere = this->Blocks.contains(Key);
    this->erase(Key);
    sendJson(*Reply, IsThere ? 200 : 404, json::object());
  } else {
    this->get(Reply, Key);
  }
}

void StoreEmulator::put(const HttpRequest &Request, const ReplyPtr &Reply,
                        const std::string &Key) {
  Block Added;
  Added.Length = headerNumber(Request, "X-Length");
  Added.Generation = headerNumber(Request, "X-Generation");
  Added.Digest = Request.Headers.find("X-Digest").value_or("");
  if (Added.Length != Request.Body.size() ||
      Added.Digest != sha256Hex(Request.Body)) {
    ++this->Counts["refused_digest"];
    throw Error(ErrorKind::BadRequest, "length or digest does not match");
  }
  if (this->IsFull || Added.Length > this->Settings.MemoryBytes) {
    ++this->Counts["refused_full"];
    sendJson(*Reply, 507, {{"error", "full"}});
    return;
  }
  if (const auto Old = this->Blocks.find(Key);
      Old != this->Blocks.end() && Old->second.Generation > Added.Generation) {
    sendJson(*Reply, 409, {{"generation", Old->second.Generation}});
    return;
  }
  const Duration Delay =
      this->Link.transfer(Request.Body.size(), EventLoop::now());
  // Until the bytes have passed the link, the block cannot be read.
  this->erase(Key);
  Added.Content = Request.Body;
  const bool IsInterrupted = this->InterruptedWrites > 0;
  if (IsInterrupted)
    --this->InterruptedWrites;
  const bool IsTorn = !IsInterrupted && this->PartialWrites > 0;
  if (IsTorn) {
    --this->PartialWrites;
    Added.Content.resize(Added.Content.size() / 2);
  }
  this->answerLater(Delay, [this, Key, Reply, IsInterrupted,
                            Added = std::move(Added)]() mutable {
    if (IsInterrupted) {
      Reply->abort();
      return;
    }
    this->erase(Key);
    ++this->Counts["writes"];
    Added.Position = this->Memory.insert(this->Memory.end(), Key);
    this->MemoryUsed += Added.Length;
    this->Blocks[Key] = std::move(Added);
    this->makeRoom();
    sendJson(*Reply, 200, json::object());
  });
}

void StoreEmulator::get(const ReplyPtr &Reply, const std::string &Key) {
  const auto It = this->Blocks.find(Key);
  if (It == this->Blocks.end()) {
    ++this->Counts["misses"];
    sendJson(*Reply, 404, {{"error", "no such block"}});
    return;
  }
  Block &Found = It->second;
  const TimePoint Now = EventLoop::now();
  Duration Delay = this->Link.transfer(Found.Content.size(), Now);
  if (Found.IsOnDisk)
    Delay = std::max(Delay, this->DiskLink.transfer(Found.Content.size(), Now));
  else
    this->Memory.splice(this->Memory.end(), this->Memory, Found.Position);
  ++this->Counts[Found.IsOnDisk ? "disk_reads" : "memory_reads"];
  const HttpHeaders Headers = {
      {"Content-Type", "application/octet-stream"},
      {"X-Length", std::to_string(Found.Length)},
      {"X-Digest", Found.Digest},
      {"X-Generation", std::to_string(Found.Generation)}};
  this->answerLater(Delay, [Reply, Headers, Content = Found.Content] {
    Reply->send(200, Headers, Content);
  });
}

void StoreEmulator::list(const HttpRequest &Request, HttpReply &Reply) const {
  const std::string After = queryValue(Request.Query, "after").value_or("");
  const std::uint64_t Limit = std::clamp<std::uint64_t>(
      queryNumber(Request.Query, "limit", 500), 1, MaxListLimit);
  json List = json::array();
  auto It =
      After.empty() ? this->Blocks.begin() : this->Blocks.upper_bound(After);
  for (; It != this->Blocks.end() && List.size() < Limit; ++It)
    List.push_back({{"key", It->first},
                    {"length", It->second.Length},
                    {"digest", It->second.Digest},
                    {"generation", It->second.Generation},
                    {"tier", It->second.IsOnDisk ? "disk" : "memory"}});
  sendJson(Reply, 200, {{"blocks", List}, {"more", It != this->Blocks.end()}});
}

void StoreEmulator::answerUsage(HttpReply &Reply) const {
  const double Age =
      std::max(0.001, toSeconds(EventLoop::now() - this->Started));
  json Body = this->Counts;
  Body["memory_bytes"] = this->MemoryUsed;
  Body["memory_capacity"] = this->Settings.MemoryBytes;
  Body["disk_bytes"] = this->DiskUsed;
  Body["disk_capacity"] = this->Settings.DiskBytes;
  Body["link_mbps"] = this->Link.mbps();
  Body["link_bytes"] = this->Link.bytes();
  Body["link_busy_share"] = toSeconds(this->Link.busyTime()) / Age;
  Body["is_full"] = this->IsFull;
  sendJson(Reply, 200, Body);
}

void StoreEmulator::setFault(const json &Fault) {
  this->IsFull = Fault.value("fill", this->IsFull);
  if (Fault.contains("link_mbps"))
    this->Link.setMbps(Fault["link_mbps"]);
  if (Fault.contains("disk_mbps"))
    this->DiskLink.setMbps(Fault["disk_mbps"]);
  this->PartialWrites = Fault.value("partial_writes", this->PartialWrites);
  this->InterruptedWrites =
      Fault.value("interrupted_writes", this->InterruptedWrites);
  if (Fault.value("lose_all", false)) {
    this->Blocks.clear();
    this->Memory.clear();
    this->Disk.clear();
    this->MemoryUsed = this->DiskUsed = 0;
  }
}

void StoreEmulator::erase(const std::string &Key) {
  const auto It = this->Blocks.find(Key);
  if (It == this->Blocks.end())
    return;
  if (It->second.IsOnDisk) {
    this->Disk.erase(It->second.Position);
    this->DiskUsed -= It->second.Length;
  } else {
    this->Memory.erase(It->second.Position);
    this->MemoryUsed -= It->second.Length;
  }
  this->Blocks.erase(It);
}

void StoreEmulator::makeRoom() {
  while (this->MemoryUsed > this->Settings.MemoryBytes) {
    Block &Oldest = this->Blocks.at(this->Memory.front());
    this->Disk.splice(this->Disk.end(), this->Memory, this->Memory.begin());
    Oldest.IsOnDisk = true;
    this->MemoryUsed -= Oldest.Length;
    this->DiskUsed += Oldest.Length;
  }
  while (this->DiskUsed > this->Settings.DiskBytes) {
    const std::string Oldest = this->Disk.front();
    this->erase(Oldest);
  }
}

} // namespace galenaroute::emulator
