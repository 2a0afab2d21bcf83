#include "process/Dispatcher.h"

namespace galenaroute {

DispatchTicket::DispatchTicket(Dispatcher &Owner, DispatchRequest Request)
    : Owner(Owner), Request(std::move(Request)), Id(Owner.newId()) {
  ++Owner.OpenTickets;
  Owner.LastRequestAt = EventLoop::now();
  Owner.Poller.setActive(true);
}

DispatchTicket::~DispatchTicket() {
  --this->Owner.OpenTickets;
  this->failed(AttemptFailure::Cancelled);
  Dispatcher::Service &Service =
      this->Owner.serviceState(this->Request.Service);
  if (!this->Admitted) {
    cancel(Service.Admission, this->Id);
    Service.Queue.erase(this->Id);
    return;
  }
  std::optional<double> Cost;
  if (this->FirstSentAt != TimePoint{})
    Cost = toSeconds(EventLoop::now() - this->FirstSentAt);
  finish(Service.Admission, this->Id, Cost);
  this->Owner.schedulePump();
}

void DispatchTicket::choose(std::span<const std::string> Avoid,
                            const Dispatcher::OnChosen &Done) {
  this->failed(AttemptFailure::Cancelled);
  if (this->Request.PromptTokens > 0 &&
      isRefused(this->Owner.Guard, this->Request.Content, EventLoop::now()))
    return Done({.Refusal = AdmissionRefusal{
                     this->Id,
                     ErrorKind::CrashesUpstreams,
                     {},
                     "upstreams have crashed while running this request"}});
  Dispatcher::QueuedRequest Queued{
      .Request = this->Request,
      .Class = this->Class,
      .Avoid = {Avoid.begin(), Avoid.end()},
      .Done = [this, Guard = std::weak_ptr<bool>(this->Alive),
               Done](const DispatchDecision &Answer) {
        if (Guard.expired())
          return;
        this->chosen(Answer);
        Done(Answer);
      }};
  if (!this->Admitted)
    return this->Owner.enqueue(this->Id, std::move(Queued));
  this->Owner.route(this->Owner.serviceState(this->Request.Service), Queued,
                    false);
}

void DispatchTicket::chosen(const DispatchDecision &Answer) {
  const auto &Running =
      this->Owner.serviceState(this->Request.Service).Admission.Running;
  if (const auto It = Running.find(this->Id); It != Running.end()) {
    this->Admitted = true;
    this->Class = It->second.Class;
  }
  if (Answer.Refusal)
    return;
  this->Attempt = Answer.Attempt;
  this->ConnectionBroken = false;
  this->Upstream = Answer.Upstream;
  this->WeightVersion = Answer.WeightVersion;
  if (this->FirstSentAt == TimePoint{})
    this->FirstSentAt = EventLoop::now();
}

const std::vector<BlockKey> &DispatchTicket::keys() const {
  const ServiceConfig *Declared =
      this->Request.Config->findService(this->Request.Service);
  if (!this->Request.KeysByVersion ||
      this->WeightVersion == Declared->WeightVersion)
    return this->Request.Keys;
  return this->Request.KeysByVersion->forVersion(this->WeightVersion);
}

void DispatchTicket::firstToken(std::optional<double> UncachedTokens) {
  // Output after a lost connection means that the attempt was resumed.
  this->ConnectionBroken = false;
  if (!this->Attempt.empty())
    noteFirstToken(this->Owner.serviceState(this->Request.Service).Tracker,
                   this->Attempt, UncachedTokens, EventLoop::now());
}

void DispatchTicket::finished(double Tokens) {
  // Completing an attempt resumed by its id, which has no entry here, clears
  // the content as well.
  const TimePoint Now = EventLoop::now();
  if (this->Request.PromptTokens > 0)
    noteContentFinished(this->Owner.Guard, this->Request.Content, Now);
  if (this->Attempt.empty())
    return;
  Dispatcher::Service &Service =
      this->Owner.serviceState(this->Request.Service);
  noteFinished(Service.Tracker, this->Attempt, Tokens, Now);
  noteEnded(this->Owner.Guard, this->Attempt, Now);
  if (Tokens > 0)
    Service.MeanTokens +=
        (Service.MeanTokens > 0 ? 0.1 : 1) * (Tokens - Service.MeanTokens);
  const ServiceConfig *Declared =
      this->Request.Config->findService(this->Request.Service);
  if (this->Request.Keys.size() >= Service.Prefetch.Options.MinBlocks &&
      this->WeightVersion == Declared->WeightVersion)
    this->Owner.exportBlocks(Service, this->Request, this->Upstream);
  this->Attempt.clear();
  this->Owner.schedulePump();
}

void DispatchTicket::failed(AttemptFailure Failure) {
  if (this->Attempt.empty())
    return;
  if (this->ConnectionBroken && Failure == AttemptFailure::Cancelled)
    Failure = AttemptFailure::Broken;
  noteFailed(this->Owner.serviceState(this->Request.Service).Tracker,
             this->Attempt, Failure, EventLoop::now());
  // Broken attempts stay in the guard until it has decided whether the upstream
  // crashed.
  if (Failure != AttemptFailure::Broken)
    noteCancelled(this->Owner.Guard, this->Attempt);
  this->Attempt.clear();
  this->Owner.schedulePump();
}

void DispatchTicket::versionMismatch() {
  noteVersionMismatch(this->Owner.serviceState(this->Request.Service).Tracker,
                      this->Upstream);
  this->failed(AttemptFailure::Cancelled);
}

void DispatchTicket::connectionBroke() {
  if (this->Attempt.empty())
    return;
  this->ConnectionBroken = true;
  noteBroken(this->Owner.Guard, this->Attempt, EventLoop::now());
  this->Owner.checkCrashes();
}

} // namespace galenaroute
