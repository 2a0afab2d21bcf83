// Decision: how many retries the calls of a process may cause.
//
// Each call adds a share of a retry, each retry takes one. When upstreams fail
// in numbers, retries therefore add at most that share to the load, instead of
// multiplying it. The allowance is the fleet's: each process has its share of
// it, and what was not used is lost with the process.

#ifndef GALENAROUTE_REQUEST_RETRYBUDGET_H
#define GALENAROUTE_REQUEST_RETRYBUDGET_H

#include <algorithm>
#include <cstddef>

namespace galenaroute {

struct RetryBudget {
  double Share = 0.1; ///< Of a retry, added by each call.
  /// Lets a quiet process retry its few calls.
  double Most = 20;
  double Left = 20;
};

/// Part of the allowance that all processes together use, since they do not
/// know of each other's retries, and windows of their time overlap.
inline constexpr double BudgetMargin = 0.7;
/// A process saves up for this many retries at least, so that a large fleet
/// can use its allowance at all.
inline constexpr double LeastSaved = 2;

/// Returns the budget with which one of \p Entries processes starts, that
/// together may retry \p Share of the calls, and \p Slack times on top.
inline RetryBudget shareOfBudget(double Share, double Slack,
                                 std::size_t Entries) {
  return {.Share = Share * BudgetMargin,
          .Most = std::max(LeastSaved,
                           Slack * BudgetMargin / static_cast<double>(Entries)),
          .Left = 0};
}

inline void noteCall(RetryBudget &Budget) {
  Budget.Left = std::min(Budget.Most, Budget.Left + Budget.Share);
}

inline bool hasRetry(const RetryBudget &Budget) { return Budget.Left >= 1; }

inline void spendRetry(RetryBudget &Budget) {
  Budget.Left = std::max(0.0, Budget.Left - 1);
}

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_RETRYBUDGET_H
