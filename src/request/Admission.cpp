#include "request/Admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace galenaroute {

static std::size_t indexOf(PromptClass Class) {
  return static_cast<std::size_t>(Class);
}

int CustomerState::queued() const {
  std::size_t Count = 0;
  for (const auto &Queue : this->Queues)
    Count += Queue.size();
  return static_cast<int>(Count);
}

/// Removes a customer from the ready sets. Must precede any change of its tag,
/// queues or limit.
static void removeReady(AdmissionState &State, const std::string &Name,
                        const CustomerState &Customer) {
  for (auto &Ready : State.Ready)
    Ready.erase({Customer.Tag, Name});
}

static void insertReady(AdmissionState &State, const std::string &Name,
                        const CustomerState &Customer) {
  if (Customer.InFlight >= Customer.Grant)
    return;
  for (std::size_t I = 0; I < PromptClassCount; ++I)
    if (!Customer.Queues[I].empty())
      State.Ready[I].emplace(Customer.Tag, Name);
}

/// Returns the virtual time of the customers of class \p I: the tag of the one
/// served next.
static double customerTime(const AdmissionState &State, std::size_t I) {
  return State.Ready[I].empty()
             ? State.CustomerTime[I]
             : std::max(State.CustomerTime[I], State.Ready[I].begin()->first);
}

/// Enqueues \p Queued. The customer must not be in the ready sets.
static void addToQueue(AdmissionState &State, CustomerState &Customer,
                       const QueuedRequest &Queued) {
  const std::size_t I = indexOf(Queued.Request.Class);
  const double Time = customerTime(State, I);
  Customer.Tag =
      std::max(Customer.Tag,
               Customer.queued() == 0 ? Time : Time - State.Options.MaxCredit);
  if (Customer.Queues[I].empty())
    State.WaitingWeight[I] += Customer.Weight;
  if (State.QueuedCount[I] == 0)
    State.ClassTags[I] = std::max(State.ClassTags[I], State.ClassTime);
  Customer.Queues[I].emplace(Queued.Serial, Queued.Request.Id);
  Customer.QueuedCost[I] += Queued.Request.Cost;
  State.QueuedCost[I] += Queued.Request.Cost;
  ++State.QueuedCount[I];
  State.ByQueueDeadline.emplace(Queued.QueueDeadline, Queued.Request.Id);
  State.Queued.emplace(Queued.Request.Id, Queued);
}

/// Dequeues a request. The customer must not be in the ready sets.
static QueuedRequest removeFromQueue(AdmissionState &State,
                                     CustomerState &Customer,
                                     std::uint64_t Id) {
  const auto It = State.Queued.find(Id);
  QueuedRequest Queued = std::move(It->second);
  State.Queued.erase(It);
  const std::size_t I = indexOf(Queued.Request.Class);
  State.ByQueueDeadline.erase({Queued.QueueDeadline, Id});
  Customer.Queues[I].erase(Queued.Serial);
  --State.QueuedCount[I];
  Customer.QueuedCost[I] -= Queued.Request.Cost;
  State.QueuedCost[I] -= Queued.Request.Cost;
  // Floating-point sums drift, so the cost of an empty queue is reset.
  if (Customer.Queues[I].empty()) {
    Customer.QueuedCost[I] = 0;
    State.WaitingWeight[I] -= Customer.Weight;
  }
  if (State.QueuedCount[I] == 0) {
    State.QueuedCost[I] = 0;
    State.WaitingWeight[I] = 0;
  }
  return Queued;
}

static TimePoint queueDeadline(const AdmissionOptions &Options,
                               const AdmissionRequest &Request, TimePoint Now) {
  const Duration Slack =
      std::max<Duration>(Request.Deadline - Request.ExpectedRun - Now, {});
  return Now + fromSeconds(toSeconds(Slack) * Options.MaxQueueTimeShare);
}

/// Returns the delay after which to retry, where the wait is too long by
/// \p Excess.
static Milliseconds retryAfter(const AdmissionOptions &Options, Duration Excess,
                               RandomGenerator &Generator) {
  const Duration Base =
      std::clamp(Excess, Options.MinRetryAfter, Options.MaxRetryAfter);
  // Jitter, so that callers refused together don't retry together.
  const double Spread = std::uniform_real_distribution<double>(1, 2)(Generator);
  return Milliseconds(toMilliseconds(fromSeconds(toSeconds(Base) * Spread)));
}

Duration expectedWait(const AdmissionState &State, std::string_view Customer,
                      double Weight, PromptClass Class, double Slots) {
  const std::size_t I = indexOf(Class);
  if (State.QueuedCount[I] == 0)
    return {};
  double Waiting = 0;
  for (std::size_t J = 0; J < PromptClassCount; ++J)
    if (State.QueuedCount[J] > 0)
      Waiting += State.Options.ClassWeights[J];
  const double Rate =
      std::max(Slots, 0.1) * std::min(State.Options.ClassWeights[I] / Waiting,
                                      State.Options.ClassSlots[I]);
  double Own = 0, Weights = State.WaitingWeight[I];
  if (const auto It = State.Customers.find(Customer);
      It != State.Customers.end())
    Own = It->second.QueuedCost[I];
  if (Own == 0)
    Weights += Weight;
  // Fair queueing serves other customers' requests first only in proportion to
  // their weights, and only while their queues are not empty.
  const double Ahead =
      std::min(State.QueuedCost[I], Own * std::max(Weights / Weight, 1.0));
  return fromSeconds(Ahead / Rate);
}

static CustomerState &customerOf(AdmissionState &State,
                                 const AdmissionRequest &Request,
                                 TimePoint Now) {
  const auto [It, IsNew] = State.Customers.try_emplace(Request.Customer);
  CustomerState &Customer = It->second;
  if (!IsNew && Customer.Weight == Request.Weight &&
      Customer.MaxInFlight == Request.MaxInFlight)
    return Customer;
  removeReady(State, It->first, Customer);
  for (std::size_t I = 0; I < PromptClassCount; ++I)
    if (!Customer.Queues[I].empty())
      State.WaitingWeight[I] += Request.Weight - Customer.Weight;
  Customer.Weight = std::max(Request.Weight, 1e-3);
  Customer.MaxInFlight = std::max(Request.MaxInFlight, 1);
  insertReady(State, It->first, Customer);
  refreshGrants(State, Now);
  return Customer;
}

AdmissionDecision offer(AdmissionState &State, const AdmissionRequest &Request,
                        double Slots, TimePoint Now,
                        RandomGenerator &Generator) {
  const AdmissionOptions &Options = State.Options;
  const std::size_t I = indexOf(Request.Class);
  CustomerState &Customer = customerOf(State, Request, Now);
  const Duration Slack = Request.Deadline - Request.ExpectedRun - Now;
  const Duration MaxWait = queueDeadline(Options, Request, Now) - Now;
  const Duration Wait = expectedWait(State, Request.Customer, Customer.Weight,
                                     Request.Class, Slots);
  const bool AtLimit = Customer.InFlight >= Customer.Grant;
  const auto Refuse = [&](ErrorKind Kind, Duration Excess,
                          std::string Message) {
    return AdmissionDecision{
        AdmissionRefusal{Request.Id, Kind,
                         retryAfter(Options, Excess, Generator),
                         std::move(Message)},
        Wait};
  };

  // A customer may occupy at most as much of a queue as remains free, so that a
  // single customer can't fill it and lock out the others.
  const std::size_t Free =
      Options.MaxQueuedPerClass -
      std::min(State.QueuedCount[I], Options.MaxQueuedPerClass);
  if (Free == 0 || Customer.Queues[I].size() >= Free)
    return Refuse(AtLimit ? ErrorKind::CustomerLimit : ErrorKind::Overloaded,
                  Wait,
                  "the queue for " + std::string(toString(Request.Class)) +
                      " requests is full");
  if (Slack < Duration::zero())
    return Refuse(ErrorKind::Overloaded, -Slack,
                  "the time to the deadline is " +
                      std::to_string(toMilliseconds(-Slack)) +
                      " ms shorter than the expected run time");
  if (Wait > MaxWait)
    return Refuse(ErrorKind::Overloaded, Wait - MaxWait,
                  "the expected queueing time of " +
                      std::to_string(toMilliseconds(Wait)) +
                      " ms is too long for the deadline");
  if (AtLimit) {
    const Duration LimitWait = Request.ExpectedRun * (Customer.queued() + 1) /
                               std::max(Customer.Grant, 1);
    if (LimitWait > MaxWait)
      return Refuse(ErrorKind::CustomerLimit, LimitWait - MaxWait,
                    "the customer has reached its limit of " +
                        std::to_string(Customer.MaxInFlight) +
                        " requests in flight");
  }

  QueuedRequest Queued{Request, State.NextSerial++, Now, Now + MaxWait};
  Queued.Request.Cost = std::max(Request.Cost, 1e-4);
  removeReady(State, Request.Customer, Customer);
  addToQueue(State, Customer, Queued);
  insertReady(State, Request.Customer, Customer);
  return {std::nullopt, Wait};
}

FreeClassSlots freeClassSlots(std::span<const UpstreamView> Views,
                              const SlotLimits &Limits) {
  FreeClassSlots FreeSlots{};
  for (const UpstreamView &View : Views)
    if (View.TakesNewWork)
      for (std::size_t I = 0; I < PromptClassCount; ++I)
        FreeSlots[I] += freeSlotsFor(View, static_cast<PromptClass>(I), Limits);
  return FreeSlots;
}

std::optional<AdmittedRequest> takeNext(AdmissionState &State,
                                        const FreeClassSlots &FreeSlots,
                                        TimePoint Now) {
  std::optional<std::size_t> Chosen;
  double ChosenTag = 0;
  for (std::size_t I = 0; I < PromptClassCount; ++I) {
    if (FreeSlots[I] <= 0 || State.Ready[I].empty())
      continue;
    State.ClassTags[I] =
        std::max(State.ClassTags[I], State.ClassTime - State.Options.MaxCredit);
    // Ties go to the class of shorter prompts.
    if (!Chosen || State.ClassTags[I] < ChosenTag) {
      Chosen = I;
      ChosenTag = State.ClassTags[I];
    }
  }
  if (!Chosen)
    return std::nullopt;
  const std::size_t I = *Chosen;
  const auto [Tag, Name] = *State.Ready[I].begin();
  CustomerState &Customer = State.Customers.find(Name)->second;
  State.CustomerTime[I] = std::max(State.CustomerTime[I], Tag);
  State.ClassTime = std::max(State.ClassTime, ChosenTag);

  removeReady(State, Name, Customer);
  const QueuedRequest Queued =
      removeFromQueue(State, Customer, Customer.Queues[I].begin()->second);
  const double Cost = Queued.Request.Cost;
  State.ClassTags[I] += Cost / State.Options.ClassWeights[I];
  Customer.Tag += Cost / Customer.Weight;
  ++Customer.InFlight;
  State.Running.emplace(Queued.Request.Id,
                        RunningRequest{Name, Queued.Request.Class, Cost});
  insertReady(State, Name, Customer);
  return AdmittedRequest{Queued.Request.Id, Queued.Request.Class,
                         Now - Queued.QueuedAt};
}

void finish(AdmissionState &State, std::uint64_t Id,
            std::optional<double> ActualCost) {
  const auto It = State.Running.find(Id);
  if (It == State.Running.end())
    return;
  const RunningRequest Running = std::move(It->second);
  State.Running.erase(It);
  CustomerState &Customer = State.Customers.find(Running.Customer)->second;
  removeReady(State, Running.Customer, Customer);
  --Customer.InFlight;
  if (ActualCost)
    Customer.Tag = std::max(
        Customer.Tag + (*ActualCost - Running.Cost) / Customer.Weight, 0.0);
  insertReady(State, Running.Customer, Customer);
}

void requeue(AdmissionState &State, const AdmissionRequest &Request,
             TimePoint Now) {
  finish(State, Request.Id, 0);
  CustomerState &Customer = customerOf(State, Request, Now);
  QueuedRequest Queued{Request, State.FrontSerial--, Now,
                       queueDeadline(State.Options, Request, Now)};
  Queued.Request.Cost = std::max(Request.Cost, 1e-4);
  removeReady(State, Request.Customer, Customer);
  addToQueue(State, Customer, Queued);
  insertReady(State, Request.Customer, Customer);
}

bool cancel(AdmissionState &State, std::uint64_t Id) {
  const auto It = State.Queued.find(Id);
  if (It == State.Queued.end())
    return false;
  const std::string Name = It->second.Request.Customer;
  CustomerState &Customer = State.Customers.find(Name)->second;
  removeReady(State, Name, Customer);
  removeFromQueue(State, Customer, Id);
  insertReady(State, Name, Customer);
  return true;
}

std::vector<AdmissionRefusal> expire(AdmissionState &State, double Slots,
                                     TimePoint Now,
                                     RandomGenerator &Generator) {
  std::vector<AdmissionRefusal> Refusals;
  while (!State.ByQueueDeadline.empty() &&
         State.ByQueueDeadline.begin()->first <= Now) {
    const std::uint64_t Id = State.ByQueueDeadline.begin()->second;
    const AdmissionRequest Request = State.Queued.at(Id).Request;
    const Duration Waited = Now - State.Queued.at(Id).QueuedAt;
    const CustomerState &Customer = State.Customers.at(Request.Customer);
    const bool AtLimit = Customer.InFlight >= Customer.Grant;
    cancel(State, Id);
    const Duration Wait = expectedWait(State, Request.Customer, Request.Weight,
                                       Request.Class, Slots);
    Refusals.push_back(
        {Id, AtLimit ? ErrorKind::CustomerLimit : ErrorKind::Overloaded,
         retryAfter(State.Options, Wait, Generator),
         "no upstream had a free slot for " +
             std::to_string(toMilliseconds(Waited)) + " ms"});
  }
  return Refusals;
}

} // namespace galenaroute
