#include "Server.h"

#include <chrono>

namespace review {

Server::Server(const std::string &Host, ServerSettings Given, Store &Entries,
               Record &Log)
    : Settings(std::move(Given)), Entries(Entries), Log(Log),
      BornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {
  this->Listening = std::make_unique<Listener>(
      Host, 0, [this](Connection &Open) { this->serve(Open); });
  this->Beating = std::thread([this] { this->beat(); });
}

Server::~Server() {
  this->Stopping = true;
  this->Beating.join();
  this->Listening->stop();
}

void Server::beat() {
  while (!this->Stopping) {
    this->Entries.beat(this->Settings.Id, {{"service", this->Settings.Service},
                                           {"address", this->address().text()},
                                           {"zone", this->Settings.Zone},
                                           {"version", "v1"},
                                           {"slots", this->Settings.Slots},
                                           {"state", "ready"},
                                           {"coldLeftMs", 0},
                                           {"born", this->BornMs},
                                           {"sequence", 1}});
    const std::int64_t Next = nowMs() + Store::HeartbeatMs;
    while (!this->Stopping && nowMs() < Next)
      sleepMs(20);
  }
}

std::vector<Server::Arrival> Server::arrivals() {
  const std::lock_guard Guard(this->Lock);
  return this->Arrivals;
}

std::string
Server::response(int Status, const Message &Request,
                 std::vector<std::pair<std::string, std::string>> Fields,
                 std::string_view Body) {
  Fields.insert(Fields.begin(), {"Request-Id", Request.field("Request-Id")});
  Fields.emplace_back("Instance-Id", this->Settings.Id);
  Fields.emplace_back("Server-Load", std::to_string(this->Running) + "," +
                                         std::to_string(this->Waiting) + "," +
                                         std::to_string(this->Settings.Slots) +
                                         ",100");
  Fields.emplace_back("Keep-Alive", "timeout=15");
  return formatResponse(Status, Fields, Body);
}

/// Waits for a slot; returns false if the queue is full or the caller is gone.
bool Server::takeSlot(Connection &Open) {
  if (this->Waiting >= this->Settings.Queue)
    return false;
  ++this->Waiting;
  bool HasSlot = false;
  while (!this->Stopping && !Open.isClosedByPeer()) {
    int Now = this->Running;
    if (Now < this->Settings.Slots &&
        this->Running.compare_exchange_strong(Now, Now + 1)) {
      HasSlot = true;
      break;
    }
    sleepMs(1);
  }
  --this->Waiting;
  return HasSlot;
}

void Server::answer(Connection &Open, const Message &Request) {
  const std::string Id = Request.field("Request-Id");
  const std::int64_t At = nowMs();
  bool HasRun = false;
  std::string Text;
  if (Request.field("Expect-Instance") != this->Settings.Id) {
    Text = this->response(421, Request, {}, "");
  } else if (!this->takeSlot(Open)) {
    Text = this->response(503, Request, {{"Not-Executed", "1"}}, "");
  } else {
    HasRun = true;
  }
  {
    const std::lock_guard Guard(this->Lock);
    this->Arrivals.push_back({Id, At, HasRun});
  }
  this->Log.line("server " + this->Settings.Id + ": " + Id + " arrives, " +
                 (HasRun ? "runs" : "is not run"));
  if (HasRun) {
    sleepMs(this->Settings.WorkMs / 2 +
            static_cast<std::int64_t>(
                std::hash<std::string>()(Id) %
                static_cast<std::size_t>(this->Settings.WorkMs + 1)));
    Text = this->response(
        200, Request, {{"Server-Stamp", this->Settings.Id + "." + Id}},
        std::string(static_cast<std::size_t>(this->Settings.AnswerBytes), 'a'));
    --this->Running;
  }
  if (!Open.write(Text, nowMs() + 5000))
    Open.close();
}

void Server::serve(Connection &Open) {
  Message Request;
  while (!this->Stopping && Open.socket() >= 0 &&
         Open.readRequest(Request, nowMs() + 15000) == ReadEnd::Whole)
    this->answer(Open, Request);
}

} // namespace review
