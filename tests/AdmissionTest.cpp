// Tests of admission control: queues, fair shares, limits and refusals.

#include "request/Admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1000s};
constexpr FreeClassSlots OneFreeSlotEach{1, 1, 1};

AdmissionRequest requestOf(std::uint64_t Id, std::string Customer,
                           PromptClass Class = PromptClass::Normal,
                           double Cost = 1) {
  return {.Id = Id,
          .Customer = std::move(Customer),
          .MaxInFlight = 1000000,
          .Class = Class,
          .Cost = Cost,
          .Deadline = Start + 10h};
}

std::size_t queuedInSets(const AdmissionState &State) {
  std::size_t Count = 0;
  for (const auto &[Name, Customer] : State.Customers)
    Count += static_cast<std::size_t>(Customer.queued());
  return Count;
}

// Guards against a customer with many or long requests taking another's share:
// while both have queued requests, cost/weight differs by at most one request
// of each.
RC_GTEST_PROP(AdmissionProperty, SharesAreFairWithinOneRequestEach, ()) {
  AdmissionState State;
  RandomGenerator Generator(1);
  const int Customers = *rc::gen::inRange(2, 5);
  std::vector<double> Weights, Served(Customers, 0), Largest(Customers, 0);
  std::map<std::uint64_t, std::pair<int, double>> Costs;
  std::uint64_t Id = 0;
  for (int C = 0; C < Customers; ++C) {
    Weights.push_back(*rc::gen::inRange(1, 6));
    for (int I = 0; I < 30; ++I) {
      AdmissionRequest Request =
          requestOf(++Id, std::string(1, static_cast<char>('a' + C)));
      Request.Weight = Weights[C];
      Request.Cost = *rc::gen::inRange(1, 100) / 10.0;
      Largest[C] = std::max(Largest[C], Request.Cost);
      Costs[Id] = {C, Request.Cost};
      RC_ASSERT(!offer(State, Request, 1e9, Start, Generator).Refusal);
    }
  }
  std::vector<int> Left(Customers, 30);
  while (*std::min_element(Left.begin(), Left.end()) > 0) {
    const auto Next = takeNext(State, OneFreeSlotEach, Start);
    RC_ASSERT(Next.has_value());
    const auto [C, Cost] = Costs[Next->Id];
    Served[C] += Cost;
    --Left[C];
    if (*rc::gen::arbitrary<bool>())
      finish(State, Next->Id, {});
    for (int A = 0; A < Customers; ++A)
      for (int B = 0; B < Customers; ++B)
        RC_ASSERT(Served[A] / Weights[A] - Served[B] / Weights[B] <=
                  Largest[A] / Weights[A] + Largest[B] / Weights[B] + 1e-9);
  }
}

// Guards against a request being lost, started twice, started after it was
// refused or cancelled, or queued for more than half of its time; and against
// queues and bookkeeping that exceed their bounds.
RC_GTEST_PROP(AdmissionProperty, EveryRequestHasOneOutcomeInTime, ()) {
  AdmissionState State;
  State.Options.MaxQueuedPerClass = 8;
  RandomGenerator Generator(7);
  std::map<std::uint64_t, std::pair<int, TimePoint>> Outcomes;
  std::vector<std::uint64_t> Running;
  TimePoint Now = Start;
  const int Steps = *rc::gen::inRange(1, 120);
  for (int Step = 0; Step < Steps; ++Step) {
    Now += Milliseconds(*rc::gen::inRange(0, 40));
    for (const AdmissionRefusal &Refusal : expire(State, 4, Now, Generator)) {
      RC_ASSERT(Outcomes[Refusal.Id].first++ == 0);
      RC_ASSERT(describeError(Refusal.Kind).Run == RunState::NotRun);
      RC_ASSERT(Refusal.RetryAfter > 0ms);
    }
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
    case 1: {
      const auto Id = static_cast<std::uint64_t>(Step);
      AdmissionRequest Request =
          requestOf(Id, std::string(1, *rc::gen::element('a', 'b', 'c')),
                    static_cast<PromptClass>(*rc::gen::inRange(0, 3)));
      Request.MaxInFlight = 3;
      Request.ExpectedRun = 100ms;
      Request.Deadline = Now + Milliseconds(*rc::gen::inRange(50, 4000));
      const auto Decision = offer(State, Request, 4, Now, Generator);
      Outcomes[Id] = {Decision.Refusal ? 1 : 0,
                      Now + (Request.Deadline - 100ms - Now) / 2};
      if (Decision.Refusal)
        RC_ASSERT(describeError(Decision.Refusal->Kind).Run ==
                  RunState::NotRun);
      break;
    }
    case 2:
      if (const auto Next = takeNext(State, OneFreeSlotEach, Now)) {
        RC_ASSERT(Outcomes[Next->Id].first++ == 0);
        RC_ASSERT(Now <= Outcomes[Next->Id].second + 1us);
        Running.push_back(Next->Id);
        RC_ASSERT(!cancel(State, Next->Id));
      }
      break;
    default:
      if (!Running.empty()) {
        finish(State, Running.back(), 0.5);
        Running.pop_back();
      } else if (!State.Queued.empty()) {
        const std::uint64_t Id = State.Queued.begin()->first;
        RC_ASSERT(cancel(State, Id));
        RC_ASSERT(Outcomes[Id].first++ == 0);
      }
    }
    for (std::size_t I = 0; I < PromptClassCount; ++I)
      RC_ASSERT(State.QueuedCount[I] <= State.Options.MaxQueuedPerClass);
    RC_ASSERT(queuedInSets(State) == State.Queued.size());
    RC_ASSERT(State.ByQueueDeadline.size() == State.Queued.size());
    for (const auto &[Name, Customer] : State.Customers)
      RC_ASSERT(Customer.InFlight <= 3);
  }
  for (const AdmissionRefusal &Refusal : expire(State, 4, Now + 10h, Generator))
    RC_ASSERT(Outcomes[Refusal.Id].first++ == 0);
  for (const auto &[Id, Outcome] : Outcomes)
    RC_ASSERT(Outcome.first == 1);
}

// Guards against head-of-line blocking of short requests: whatever is queued,
// at most one long request and a bounded cost of normal ones start first.
RC_GTEST_PROP(AdmissionProperty, ShortRequestsAreNotBlockedByLongOnes, ()) {
  AdmissionState State;
  RandomGenerator Generator(1);
  std::uint64_t Id = 0;
  const int Before = *rc::gen::inRange(0, 40);
  for (int I = 0; I < 60; ++I) {
    const auto Class = I % 2 ? PromptClass::Long : PromptClass::Normal;
    offer(State, requestOf(++Id, "heavy", Class, I % 2 ? 20 : 2), 1e9, Start,
          Generator);
  }
  for (int I = 0; I < Before; ++I)
    takeNext(State, OneFreeSlotEach, Start);
  std::set<std::uint64_t> Short;
  const int Count = *rc::gen::inRange(1, 20);
  for (int I = 0; I < Count; ++I) {
    offer(State, requestOf(++Id, "quick", PromptClass::Short, 0.2), 1e9, Start,
          Generator);
    Short.insert(Id);
  }
  double OtherCost = 0;
  int Long = 0;
  while (!Short.empty()) {
    const auto Next = takeNext(State, OneFreeSlotEach, Start);
    RC_ASSERT(Next.has_value());
    if (Short.erase(Next->Id) == 0) {
      OtherCost += Next->Class == PromptClass::Long ? 0 : 2;
      Long += Next->Class == PromptClass::Long ? 1 : 0;
    }
  }
  RC_ASSERT(Long <= 1);
  // By weight, normal requests may get 4/16 of the cost of the short ones, plus
  // their credit and one request.
  RC_ASSERT(OtherCost <=
            Count * 0.2 * 4 / 16 + 4 * State.Options.MaxCredit + 2 * 2);
}

// Guards against starvation of long requests by a constant stream of short
// ones.
TEST(AdmissionTest, LongRequestsAreNotStarvedByShortOnes) {
  AdmissionState State;
  RandomGenerator Generator(1);
  std::uint64_t Id = 1;
  offer(State, requestOf(0, "a", PromptClass::Long, 10), 1e9, Start, Generator);
  offer(State, requestOf(1, "a", PromptClass::Long, 10), 1e9, Start, Generator);
  int LongStarted = 0;
  for (int I = 0; I < 3000 && LongStarted < 2; ++I) {
    offer(State, requestOf(++Id, "b", PromptClass::Short, 0.1), 1e9, Start,
          Generator);
    LongStarted +=
        takeNext(State, OneFreeSlotEach, Start)->Class == PromptClass::Long ? 1
                                                                            : 0;
  }
  EXPECT_EQ(LongStarted, 2);
}

// Guards against one customer filling a queue and locking out the others.
TEST(AdmissionTest, OneCustomerCannotFillTheQueue) {
  AdmissionState State;
  RandomGenerator Generator(1);
  std::uint64_t Id = 0;
  while (
      !offer(State, requestOf(++Id, "greedy"), 1e9, Start, Generator).Refusal) {
  }
  EXPECT_EQ(State.QueuedCount[1], State.Options.MaxQueuedPerClass / 2);
  EXPECT_FALSE(
      offer(State, requestOf(++Id, "other"), 1e9, Start, Generator).Refusal);
}

// Guards against queueing a request that can't be answered in time, and against
// refused callers retrying all at once.
TEST(AdmissionTest, RefusesAtOnceWithAJitteredRetryTime) {
  AdmissionState State;
  RandomGenerator Generator(1);
  for (std::uint64_t Id = 0; Id < 100; ++Id)
    offer(State, requestOf(Id, "a"), 1, Start, Generator);
  std::set<std::int64_t> Times;
  for (std::uint64_t Id = 200; Id < 220; ++Id) {
    AdmissionRequest Request = requestOf(Id, "a");
    Request.Deadline = Start + 60s;
    const auto Refusal = offer(State, Request, 1, Start, Generator).Refusal;
    ASSERT_TRUE(Refusal);
    EXPECT_EQ(Refusal->Kind, ErrorKind::Overloaded);
    // 100 s of work at 3/4 of a slot, less the 30 s that it may wait.
    EXPECT_GE(Refusal->RetryAfter, 30000ms);
    EXPECT_LE(Refusal->RetryAfter, 60000ms);
    Times.insert(Refusal->RetryAfter.count());
  }
  EXPECT_GT(Times.size(), 15U);
  // A customer with an empty queue gets its weighted share at once.
  AdmissionRequest Request = requestOf(300, "b");
  Request.Deadline = Start + 60s;
  EXPECT_FALSE(offer(State, Request, 1, Start, Generator).Refusal);
}

// Guards against shares that don't add up to the limit, so that gateways
// together exceed it, and against a gateway with demand getting no share.
RC_GTEST_PROP(AdmissionProperty, DividedLimitsAddUp, ()) {
  const auto Demand = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50)));
  const int Limit = *rc::gen::inRange(1, 100);
  const std::vector<int> Parts = divideLimit(Limit, Demand);
  RC_ASSERT(std::accumulate(Parts.begin(), Parts.end(), 0) == Limit);
  for (std::size_t A = 0; A < Parts.size(); ++A)
    for (std::size_t B = 0; B < Parts.size(); ++B)
      if (Parts[A] < Demand[A])
        RC_ASSERT(Parts[B] <= Parts[A] + 1);
}

// Guards against gateways with the same digests together exceeding a customer's
// limit, and against starvation of a gateway.
RC_GTEST_PROP(AdmissionProperty, GatewaysTogetherStayWithinTheLimit, ()) {
  const int Gateways = *rc::gen::inRange(2, 8);
  const int Limit = *rc::gen::inRange(1, 20);
  std::vector<AdmissionState> States(Gateways);
  std::vector<std::vector<std::uint64_t>> Running(Gateways);
  std::vector<int> Started(Gateways, 0);
  RandomGenerator Generator(3);
  TimePoint Now = Start;
  std::uint64_t Id = 0;
  const auto Exchange = [&] {
    for (int From = 0; From < Gateways; ++From) {
      const std::vector<CustomerUse> Use = ownUse(States[From], Now);
      for (int To = 0; To < Gateways; ++To)
        if (To != From)
          notePeerUse(States[To], States[From].Self, Use, Now);
    }
    for (AdmissionState &State : States)
      refreshGrants(State, Now);
  };
  for (int E = 0; E < Gateways; ++E)
    States[E].Self = "e" + std::to_string(E);
  Exchange();
  for (int Round = 0; Round < 60; ++Round) {
    Now += 100ms;
    int Total = 0;
    for (int E = 0; E < Gateways; ++E) {
      while (States[E].QueuedCount[1] < 3) {
        AdmissionRequest Request = requestOf(++Id, "c");
        Request.MaxInFlight = Limit;
        offer(States[E], Request, 1e9, Now, Generator);
      }
      while (const auto Next = takeNext(States[E], OneFreeSlotEach, Now)) {
        Running[E].push_back(Next->Id);
        ++Started[E];
        offer(
            States[E],
            [&] {
              AdmissionRequest Request = requestOf(++Id, "c");
              Request.MaxInFlight = Limit;
              return Request;
            }(),
            1e9, Now, Generator);
      }
      Total += States[E].Customers.at("c").InFlight;
    }
    RC_ASSERT(Total <= Limit);
    Exchange();
    for (int E = 0; E < Gateways; ++E)
      while (!Running[E].empty() && Generator() % 2 == 0) {
        finish(States[E], Running[E].back(), {});
        Running[E].pop_back();
      }
  }
  for (const int Count : Started)
    RC_ASSERT(Count > 0);
}

// Guards against a request that could not be sent losing its queue position or
// being charged twice.
TEST(AdmissionTest, RequeuedRequestGoesFirstAndIsChargedOnce) {
  AdmissionState State;
  RandomGenerator Generator(1);
  offer(State, requestOf(1, "a"), 1e9, Start, Generator);
  offer(State, requestOf(2, "a"), 1e9, Start, Generator);
  EXPECT_EQ(takeNext(State, OneFreeSlotEach, Start)->Id, 1U);
  requeue(State, requestOf(1, "a"), Start);
  EXPECT_EQ(State.Customers.at("a").InFlight, 0);
  EXPECT_EQ(takeNext(State, OneFreeSlotEach, Start)->Id, 1U);
  EXPECT_DOUBLE_EQ(State.Customers.at("a").Tag, 1);
}

} // namespace
} // namespace galenaroute
