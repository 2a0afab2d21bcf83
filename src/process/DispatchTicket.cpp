#include "process/Dispatcher.h"

namespace galenaroute {

DispatchTicket::DispatchTicket(Dispatcher &Of, DispatchRequest Request)
    : Of(Of), Request(std::move(Request)), Id(Of.newId()) {
  ++Of.OpenTickets;
  Of.LastRequestAt = EventLoop::now();
  Of.Poller.setActive(true);
}

DispatchTicket::~DispatchTicket() {
  --this->Of.OpenTickets;
  this->failed(AttemptFailure::Cancelled);
  Dispatcher::Service &Service = this->Of.serviceOf(this->Request.Service);
  if (!this->Admitted) {
    cancel(Service.Admission, this->Id);
    Service.Queue.erase(this->Id);
    return;
  }
  std::optional<double> Cost;
  if (this->FirstSentAt != TimePoint{})
    Cost = toSeconds(EventLoop::now() - this->FirstSentAt);
  finish(Service.Admission, this->Id, Cost);
  this->Of.schedulePump();
}

void DispatchTicket::choose(std::span<const std::string> Avoid,
                            const Dispatcher::OnChosen &Done) {
  this->failed(AttemptFailure::Cancelled);
  if (this->Request.PromptTokens > 0 &&
      isRefused(this->Of.Guard, this->Request.Content, EventLoop::now()))
    return Done({.Refusal = AdmissionRefusal{
                     this->Id,
                     ErrorKind::CrashesUpstreams,
                     {},
                     "upstreams have crashed while running this request"}});
  Dispatcher::Waiting Entry{.Request = this->Request,
                            .Class = this->Class,
                            .Avoid = {Avoid.begin(), Avoid.end()},
                            .Done = [this,
                                     Guard = std::weak_ptr<bool>(this->Alive),
                                     Done](const DispatchAnswer &Answer) {
                              if (Guard.expired())
                                return;
                              this->chosen(Answer);
                              Done(Answer);
                            }};
  if (!this->Admitted)
    return this->Of.enqueue(this->Id, std::move(Entry));
  this->Of.route(this->Of.serviceOf(this->Request.Service), Entry, false);
}

void DispatchTicket::chosen(const DispatchAnswer &Answer) {
  const auto &Running =
      this->Of.serviceOf(this->Request.Service).Admission.Running;
  if (const auto It = Running.find(this->Id); It != Running.end()) {
    this->Admitted = true;
    this->Class = It->second.Class;
  }
  if (Answer.Refusal)
    return;
  this->Attempt = Answer.Attempt;
  this->HasBroken = false;
  this->Upstream = Answer.Upstream;
  this->WeightVersion = Answer.WeightVersion;
  if (this->FirstSentAt == TimePoint{})
    this->FirstSentAt = EventLoop::now();
}

const std::vector<BlockKey> &DispatchTicket::keys() const {
  const ServiceConfig *Declared =
      this->Request.Config->findService(this->Request.Service);
  if (!this->Request.OtherKeys ||
      this->WeightVersion == Declared->WeightVersion)
    return this->Request.Keys;
  return this->Request.OtherKeys->of(this->WeightVersion);
}

void DispatchTicket::firstToken(std::optional<double> UncachedTokens) {
  // Text after a break shows that the attempt was resumed.
  this->HasBroken = false;
  if (!this->Attempt.empty())
    noteFirstToken(this->Of.serviceOf(this->Request.Service).Tracker,
                   this->Attempt, UncachedTokens, EventLoop::now());
}

void DispatchTicket::finished(double Tokens) {
  // The run of another attempt, resumed by its id, clears the content as well.
  const TimePoint Now = EventLoop::now();
  if (this->Request.PromptTokens > 0)
    noteContentFinished(this->Of.Guard, this->Request.Content, Now);
  if (this->Attempt.empty())
    return;
  Dispatcher::Service &Service = this->Of.serviceOf(this->Request.Service);
  noteFinished(Service.Tracker, this->Attempt, Tokens, Now);
  noteEnded(this->Of.Guard, this->Attempt, Now);
  if (Tokens > 0)
    Service.MeanTokens +=
        (Service.MeanTokens > 0 ? 0.1 : 1) * (Tokens - Service.MeanTokens);
  const ServiceConfig *Declared =
      this->Request.Config->findService(this->Request.Service);
  if (this->Request.Keys.size() >= Service.Prefetch.Options.MinBlocks &&
      this->WeightVersion == Declared->WeightVersion)
    this->Of.exportBlocks(Service, this->Request, this->Upstream);
  this->Attempt.clear();
  this->Of.schedulePump();
}

void DispatchTicket::failed(AttemptFailure Failure) {
  if (this->Attempt.empty())
    return;
  if (this->HasBroken && Failure == AttemptFailure::Cancelled)
    Failure = AttemptFailure::Broken;
  noteFailed(this->Of.serviceOf(this->Request.Service).Tracker, this->Attempt,
             Failure, EventLoop::now());
  // What broke stays with the guard until the crash is judged.
  if (Failure != AttemptFailure::Broken)
    noteCancelled(this->Of.Guard, this->Attempt);
  this->Attempt.clear();
  this->Of.schedulePump();
}

void DispatchTicket::versionMismatch() {
  noteVersionMismatch(this->Of.serviceOf(this->Request.Service).Tracker,
                      this->Upstream);
  this->failed(AttemptFailure::Cancelled);
}

void DispatchTicket::broke() {
  if (this->Attempt.empty())
    return;
  this->HasBroken = true;
  noteBroken(this->Of.Guard, this->Attempt, EventLoop::now());
  this->Of.checkCrashes();
}

} // namespace galenaroute
