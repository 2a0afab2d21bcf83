#include "ServiceEmulator.h"

#include "process/ErrorKind.h"

namespace galenaroute::emulator {

using nlohmann::json;

ServiceEmulator::ServiceEmulator(EventLoop &Loop,
                                 const ServiceSettings &Settings)
    : Loop(Loop), Settings(Settings) {}

ServiceEmulator::~ServiceEmulator() { *this->Alive = false; }

bool ServiceEmulator::takeFault(int &Count) {
  if (Count <= 0)
    return false;
  --Count;
  return true;
}

void ServiceEmulator::answer(const HttpRequest &Request,
                             const ReplyPtr &Reply) {
  if (Request.Path == "/v1/load" && Request.Method == "GET") {
    sendJson(*Reply, 200,
             {{"age_ms", 0},
              {"running", this->Running.size()},
              {"queued", this->Queued.size()},
              {"slots", this->Settings.Slots}});
    return;
  }
  if (Request.Path == "/admin/runs") {
    this->answerRuns(Request, *Reply);
    return;
  }
  if (Request.Path == "/admin/fault" && Request.Method == "POST") {
    const json Fault = parseObject(Request.Body);
    sendJson(*Reply, 200, json::object());
    this->setFault(Fault);
    return;
  }
  if (takeFault(this->DropCalls)) {
    Reply->abort();
    return;
  }
  if (takeFault(this->RefuseCalls) ||
      this->Queued.size() >= this->Settings.MaxQueued) {
    sendJson(*Reply, 503, {{"error", "queue"}});
    return;
  }
  const auto Key = Request.Headers.find("Idempotency-Key");
  const auto Id = Request.Headers.find("X-Request-Id");
  this->Queued.push_back(
      {Request, Reply, std::string(Key ? *Key : Id.value_or(""))});
  this->startCalls();
}

void ServiceEmulator::startCalls() {
  while (this->Running.size() < this->Settings.Slots && !this->Queued.empty()) {
    const std::uint64_t Number = this->NextCall++;
    Call &Started = this->Running[Number] = std::move(this->Queued.front());
    this->Queued.pop_front();
    // The run counts from its start, because its effect may show from then on.
    ++this->Total;
    if (this->Runs.size() < this->Settings.MaxKeys)
      ++this->Runs[Started.Key];
    if (!this->CrashMarker.empty() &&
        Started.Request.Body.find(this->CrashMarker) != std::string::npos) {
      this->crash();
      return;
    }
    const double Factor =
        EventLoop::now() < this->SlowUntil ? this->SlowFactor : 1;
    this->Loop.timers().after(
        fromSeconds(toSeconds(this->Settings.RunTime) * Factor),
        [this, Alive = this->Alive, Number] {
          if (!*Alive)
            return;
          const auto Done = this->Running.extract(Number);
          if (!Done)
            return;
          this->finish(Done.mapped());
          this->startCalls();
        });
  }
}

void ServiceEmulator::finish(const Call &Done) {
  if (takeFault(this->SilentCalls)) {
    this->Silent.push_back(Done.Reply);
    return;
  }
  if (takeFault(this->LostReplies)) {
    Done.Reply->abort();
    return;
  }
  const auto Count = this->Runs.find(Done.Key);
  sendJson(*Done.Reply, 200,
           {{"service", this->Settings.Name},
            {"method", Done.Request.Method},
            {"path", Done.Request.Path},
            {"key", Done.Key},
            {"run", Count == this->Runs.end() ? 0 : Count->second}});
}

void ServiceEmulator::answerRuns(const HttpRequest &Request,
                                 HttpReply &Reply) const {
  json Body = {{"total", this->Total}};
  if (const auto Key = queryValue(Request.Query, "key")) {
    const auto It = this->Runs.find(*Key);
    Body["runs"] = {{*Key, It == this->Runs.end() ? 0 : It->second}};
  } else {
    Body["runs"] = this->Runs;
  }
  sendJson(Reply, 200, Body);
}

void ServiceEmulator::setFault(const json &Fault) {
  if (Fault.contains("slow_factor")) {
    this->SlowFactor = std::max(1.0, Fault["slow_factor"].get<double>());
    this->SlowUntil = EventLoop::now() +
                      Milliseconds(Fault.value("slow_ms", std::int64_t{5000}));
  }
  this->SilentCalls = Fault.value("silent", this->SilentCalls);
  this->DropCalls = Fault.value("drop", this->DropCalls);
  this->LostReplies = Fault.value("lose_replies", this->LostReplies);
  this->RefuseCalls = Fault.value("refuse", this->RefuseCalls);
  this->CrashMarker = Fault.value("crash_marker", this->CrashMarker);
  this->CrashRestart = Milliseconds(
      Fault.value("crash_restart_ms", toMilliseconds(this->CrashRestart)));
  if (Fault.value("crash", false))
    this->crash();
}

void ServiceEmulator::crash() {
  for (auto &[Number, Each] : this->Running)
    Each.Reply->abort();
  for (Call &Each : this->Queued)
    Each.Reply->abort();
  for (const ReplyPtr &Each : this->Silent)
    Each->abort();
  this->Running.clear();
  this->Queued.clear();
  this->Silent.clear();
  // Run counts survive: they stand for effects that a crash does not undo.
  this->Crashed.emit(this->CrashRestart);
}

} // namespace galenaroute::emulator
