#include "Callers.h"

namespace review {

/// How long after its deadline a client closes the connection.
static constexpr std::int64_t PatienceMs = 500;

Callers::Callers(CallerSettings Given, Fleet &To, Record &Log)
    : Settings(std::move(Given)), To(To), Log(Log) {
  for (int Gateway = 0; Gateway < To.count(); ++Gateway)
    for (int Client = 0; Client < this->Settings.PerGateway; ++Client)
      this->Threads.emplace_back(
          [this, Gateway, Client] { this->run(Gateway, Client); });
}

Callers::~Callers() { this->stop(); }

void Callers::stop() {
  this->Stopping = true;
  for (std::thread &Each : this->Threads)
    if (Each.joinable())
      Each.join();
}

std::vector<Outcome> Callers::outcomes() {
  const std::lock_guard Guard(this->Lock);
  return this->Outcomes;
}

static std::string resultOf(const Outcome &Of) {
  switch (Of.End) {
  case ReadEnd::Whole:
    return std::to_string(Of.Status) + (Of.IsSigned ? " signed" : "");
  case ReadEnd::Closed:
    return "closed without an answer";
  case ReadEnd::Cut:
    return "cut";
  case ReadEnd::TimedOut:
    return "no answer in time";
  }
  return "";
}

void Callers::send(std::unique_ptr<Connection> &Open, bool &IsKept, int Gateway,
                   const std::string &Id, bool IsUnsafe) {
  if (Open && Open->isClosedByPeer())
    Open.reset();
  if (!Open) {
    IsKept = false;
    const int Socket = Connection::connectTo(this->To.callers(Gateway), 1000);
    if (Socket < 0)
      return;
    Open = std::make_unique<Connection>(Socket);
  }
  Outcome Result;
  Result.Id = Id;
  Result.Gateway = Gateway;
  Result.IsUnsafe = IsUnsafe;
  Result.IsKept = IsKept;
  const std::string Body = IsUnsafe ? "amount=1" : "";
  std::string Text = (IsUnsafe ? "POST " + this->Settings.UnsafePath
                               : "GET " + this->Settings.SafePath) +
                     Id + " HTTP/1.1\r\nHost: " + this->Settings.Host +
                     "\r\nRequest-Id: " + Id + "\r\nDeadline-Ms: " +
                     std::to_string(this->Settings.DeadlineMs) +
                     "\r\nAuthorization: Bearer " + this->Settings.Key + "\r\n";
  if (IsUnsafe)
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n" + Body;
  Result.SentAt = nowMs();
  const std::int64_t Until =
      Result.SentAt + this->Settings.DeadlineMs + PatienceMs;
  Message Answer;
  if (Open->write(Text, Until))
    Result.End = Open->readResponse(Answer, Until);
  Result.EndedAt = nowMs();
  Result.Status = Answer.status();
  Result.IsSigned = Answer.has("Server-Stamp");
  this->Log.line("client of gateway " + std::to_string(Gateway) + ": " + Id +
                 (IsUnsafe ? " unsafe" : " safe") + (IsKept ? " kept" : "") +
                 ", sent " + std::to_string(Result.EndedAt - Result.SentAt) +
                 " ms before, " + resultOf(Result));
  if (Result.End == ReadEnd::Whole && Answer.field("Connection") != "close")
    IsKept = true;
  else
    Open.reset();
  const std::lock_guard Guard(this->Lock);
  this->Outcomes.push_back(Result);
}

void Callers::run(int Gateway, int Client) {
  std::mt19937 Random(static_cast<unsigned>(Gateway * 1000 + Client + 1));
  std::exponential_distribution<double> Pause(this->Settings.PerSecond);
  std::bernoulli_distribution IsUnsafe(this->Settings.UnsafeShare);
  std::unique_ptr<Connection> Open;
  bool IsKept = false;
  for (int Count = 0; !this->Stopping; ++Count) {
    const std::int64_t Next =
        nowMs() + static_cast<std::int64_t>(Pause(Random) * 1000);
    while (!this->Stopping && nowMs() < Next)
      sleepMs(std::min<std::int64_t>(20, Next - nowMs()));
    if (this->Stopping)
      return;
    char Id[24];
    std::snprintf(Id, sizeof Id, "%04x%04x%08x", Gateway, Client, Count);
    this->send(Open, IsKept, Gateway, Id, IsUnsafe(Random));
  }
}

} // namespace review
