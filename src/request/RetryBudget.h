// Decision: how many retries the calls of a process may cause.
//
// Each call adds a share of a retry, each retry takes one. When upstreams fail
// in numbers, retries therefore add at most that share to the load, instead of
// multiplying it.

#ifndef GALENAROUTE_REQUEST_RETRYBUDGET_H
#define GALENAROUTE_REQUEST_RETRYBUDGET_H

#include <algorithm>

namespace galenaroute {

struct RetryBudget {
  double Share = 0.1; ///< Of a retry, added by each call.
  /// Lets a quiet process retry its few calls.
  double Most = 20;
  double Left = 20;
};

inline void noteCall(RetryBudget &Budget) {
  Budget.Left = std::min(Budget.Most, Budget.Left + Budget.Share);
}

inline bool hasRetry(const RetryBudget &Budget) { return Budget.Left >= 1; }

inline void spendRetry(RetryBudget &Budget) {
  Budget.Left = std::max(0.0, Budget.Left - 1);
}

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_RETRYBUDGET_H
