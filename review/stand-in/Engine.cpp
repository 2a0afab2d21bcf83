#include "Engine.h"

#include <chrono>

namespace review {

Engine::Engine(const std::string &Host, std::string Id, std::string Service,
               std::string Model, Store &Entries, Record &Log)
    : Id(std::move(Id)), Service(std::move(Service)), Model(std::move(Model)),
      Entries(Entries), Log(Log),
      BornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {
  this->Listening = std::make_unique<Listener>(
      Host, 0, [this](Connection &Open) { this->serve(Open); });
  this->Beating = std::thread([this] { this->beat(); });
}

Engine::~Engine() {
  this->Stopping = true;
  this->Beating.join();
  this->Listening->stop();
}

void Engine::beat() {
  for (std::int64_t Next = nowMs(); !this->Stopping; sleepMs(20)) {
    json Spec;
    {
      const std::lock_guard Guard(this->Lock);
      if (this->NextVersion != 0 && nowMs() >= this->LoadedAt) {
        this->Version = this->NextVersion;
        this->NextVersion = 0;
        this->Log.line("engine " + this->Id + ": has version " +
                       std::to_string(this->Version));
      }
      Spec = {{"service", this->Service},
              {"address", this->Listening->address().text()},
              {"zone", "pnw-a"},
              {"version", "v1"},
              {"slots", 32},
              {"state", "ready"},
              {"coldLeftMs", 0},
              {"stage", "both"},
              {"born", this->BornMs},
              {"models", json::array({{{"name", this->Model},
                                       {"version", this->Version},
                                       {"adapters", json::array()}}})},
              {"sequence", this->Sequence}};
    }
    if (nowMs() < Next)
      continue;
    Next += Store::HeartbeatMs;
    this->Entries.beat(this->Id, Spec);
  }
}

std::vector<Engine::Order> Engine::orders() {
  const std::lock_guard Guard(this->Lock);
  return this->Orders;
}

std::string Engine::report() {
  const std::lock_guard Guard(this->Lock);
  const json Body = {{"stage", "both"},
                     {"models", json::array({{{"name", this->Model},
                                              {"version", this->Version},
                                              {"adapters", json::array()}}})},
                     {"busy", this->NextVersion != 0},
                     {"sequence", this->Sequence},
                     {"queued", 0},
                     {"active", 0},
                     {"kvUsed", 0},
                     {"kvTotal", 190833},
                     {"handles", 0}};
  return formatResponse(200, {{"Content-Type", "application/json"}},
                        Body.dump());
}

std::string Engine::order(const Message &Request) {
  const json Body = json::parse(Request.Body, nullptr, false);
  const std::lock_guard Guard(this->Lock);
  Order Seen;
  Seen.At = nowMs();
  if (Request.has("Expect-Instance") &&
      Request.field("Expect-Instance") != this->Id) {
    Seen.Status = 421;
  } else if (!Body.is_object() || !Body.contains("holder") ||
             !Body.contains("fence")) {
    Seen.Status = 400;
  } else {
    Seen.Holder = Body.at("holder");
    Seen.Fence = Body.at("fence");
    Seen.Version = Body.value("version", std::uint64_t{0});
    if (this->NextVersion != 0 ||
        Body.value("expected", this->Sequence) != this->Sequence)
      Seen.Status = 409;
    else if (Seen.Version == this->Version)
      Seen.Status = 200;
    else
      Seen.Status = 202;
  }
  if (Seen.Status == 202) {
    ++this->Sequence;
    this->NextVersion = Seen.Version;
    this->LoadedAt = Seen.At + LoadMs;
  }
  this->Orders.push_back(Seen);
  this->Log.note("engine " + this->Id + ": order of " + Seen.Holder +
                 " with fence " + std::to_string(Seen.Fence) + " for version " +
                 std::to_string(Seen.Version) + ", answered " +
                 std::to_string(Seen.Status));
  return formatResponse(Seen.Status, {}, "");
}

void Engine::serve(Connection &Open) {
  Message Request;
  while (!this->Stopping &&
         Open.readRequest(Request, nowMs() + 15000) == ReadEnd::Whole) {
    const bool IsReport = Request.target() == "/api/report";
    if (const std::int64_t For = IsReport ? this->SilenceMs.exchange(0) : 0;
        For > 0) {
      this->SilentUntil = nowMs() + For;
      this->Log.note("engine " + this->Id + ": falls silent for " +
                     std::to_string(For) + " ms");
    }
    while (!this->Stopping && this->isSilent())
      sleepMs(1);
    const std::string Text = IsReport ? this->report()
                             : Request.target() == "/api/order"
                                 ? this->order(Request)
                                 : formatResponse(404, {}, "");
    if (!Open.write(Text, nowMs() + 2000))
      return;
  }
}

} // namespace review
