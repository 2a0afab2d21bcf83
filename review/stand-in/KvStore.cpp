#include "KvStore.h"

#include <algorithm>
#include <chrono>

namespace review {

std::size_t sendWithoutEnd(Connection &Open, int BytesPerMs,
                           const std::atomic<bool> &Stopping) {
  constexpr int PeriodMs = 5;
  const std::string Block(static_cast<std::size_t>(BytesPerMs) * PeriodMs, 'x');
  std::size_t Sent = 0;
  if (!Open.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
                  nowMs() + 1000))
    return Sent;
  for (std::int64_t Next = nowMs(); !Stopping; Next += PeriodMs) {
    if (!Open.write(Block, nowMs() + 5000))
      return Sent;
    Sent += Block.size();
    sleepUntilMs(Next + PeriodMs);
  }
  return Sent;
}

KvStore::KvStore(const std::string &Host, std::string Name, Record &Log)
    : Name(std::move(Name)), Log(Log),
      Listening(std::make_unique<Listener>(
          Host, 0, [this](Connection &Open) { this->serve(Open); })) {}

KvStore::~KvStore() {
  this->Stopping = true;
  this->Listening->stop();
}

std::string KvStore::answer(const Message &Request, Connection &Open) {
  const bool IsList = Request.target().rfind("/api/kv-list", 0) == 0;
  const std::int64_t Until =
      nowMs() + std::min(1000, std::atoi(Request.field("Wait-Ms").c_str()));
  while (!IsList && nowMs() < Until && !this->Stopping &&
         this->EndlessBytesPerMs == 0 && !Open.isClosedByPeer())
    sleepMs(10);
  const auto ClockMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  return formatResponse(
      200, {{"Content-Type", "application/json"}},
      std::string("{\"epoch\":77120,\"next\":1,") +
          (IsList ? "\"held\":[]" : "\"lost\":false,\"events\":[]") +
          ",\"clock_ms\":" + std::to_string(ClockMs) + "}");
}

void KvStore::serve(Connection &Open) {
  Message Request;
  while (!this->Stopping &&
         Open.readRequest(Request, nowMs() + 15000) == ReadEnd::Whole) {
    const std::string Text = this->answer(Request, Open);
    if (this->EndlessBytesPerMs > 0) {
      const std::size_t Sent =
          sendWithoutEnd(Open, this->EndlessBytesPerMs, this->Stopping);
      this->Log.line("store " + this->Name + ": " + Request.target() +
                     ", sent " + std::to_string(Sent >> 20) +
                     " MB before the caller closed");
      return;
    }
    if (!Open.write(Text, nowMs() + 2000))
      return;
  }
}

} // namespace review
