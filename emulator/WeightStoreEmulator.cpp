#include "WeightStoreEmulator.h"

#include "process/ErrorKind.h"

#include <algorithm>

namespace galenaroute::emulator {

using nlohmann::json;

WeightStoreEmulator::WeightStoreEmulator(EventLoop &Loop,
                                         const WeightStoreSettings &Settings)
    : Loop(Loop), Settings(Settings), Rate(Settings.LoadsPerSecond),
      LastAdvance(EventLoop::now()) {
  this->Timer = Loop.timers().every(std::chrono::milliseconds(20),
                                    [this] { this->advance(); });
}

WeightStoreEmulator::~WeightStoreEmulator() { this->Timer.disconnect(); }

void WeightStoreEmulator::answer(const HttpRequest &Request,
                                 const ReplyPtr &Reply) {
  const std::vector<std::string> Path = splitPath(Request.Path);
  const TimePoint Now = EventLoop::now();
  if (Path.size() == 3 && Path[0] == "v1" && Path[1] == "weights") {
    if (Now < this->OutageUntil) {
      sendJson(*Reply, 503, {{"error", "outage"}});
    } else if (!this->Rate.take(Now)) {
      ++this->Counts["refused"];
      sendJson(*Reply, 429, {{"error", "rate limit"}});
    } else {
      this->advance();
      this->Loads.push_back({Path[2], this->Settings.LoadTime, Reply});
      ++this->Counts["loads"];
      std::uint64_t &Most = this->Counts["most_at_once"];
      Most = std::max<std::uint64_t>(Most, this->Loads.size());
    }
  } else if (Request.Path == "/admin/stats") {
    json Body = this->Counts;
    Body["at_once"] = this->Loads.size();
    sendJson(*Reply, 200, Body);
  } else if (Request.Path == "/admin/fault" && Request.Method == "POST") {
    const json Fault = parseObject(Request.Body);
    if (Fault.contains("outage_ms"))
      this->OutageUntil =
          Now + Milliseconds(Fault["outage_ms"].get<std::int64_t>());
    if (Fault.contains("load_ms"))
      this->Settings.LoadTime =
          Milliseconds(Fault["load_ms"].get<std::int64_t>());
    this->Settings.FreeLoads =
        Fault.value("free_loads", this->Settings.FreeLoads);
    sendJson(*Reply, 200, json::object());
  } else {
    throw Error(ErrorKind::NotFound, "no such path");
  }
}

void WeightStoreEmulator::advance() {
  const TimePoint Now = EventLoop::now();
  std::erase_if(this->Loads,
                [](const Load &Each) { return Each.Reply->isClosed(); });
  const double Speed = std::min(
      1.0,
      static_cast<double>(this->Settings.FreeLoads) /
          static_cast<double>(std::max<std::size_t>(1, this->Loads.size())));
  const Duration Progress =
      fromSeconds(toSeconds(Now - this->LastAdvance) * Speed);
  this->LastAdvance = Now;
  std::erase_if(this->Loads, [&](Load &Each) {
    Each.Left -= Progress;
    if (Each.Left > Duration::zero())
      return false;
    sendJson(*Each.Reply, 200, {{"weight_version", Each.Version}});
    return true;
  });
}

} // namespace galenaroute::emulator
