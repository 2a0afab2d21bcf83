// Bounds the bytes of responses that a process holds in memory at a time.
//
//   auto Budget = std::make_shared<ResponseBudget>();
//   ResponseBudget::Charge Held(Budget, [&] { Body = {}; endLater(); });
//   if (!Held.set(Body.size() + Bytes.size()))
//     ...  // This response was dropped.
//
// The size limit of a single response does not bound many of them together.
// When the sum exceeds the limit, the response that holds the most is dropped,
// so that small ones are read beside one without end. A lower limit makes the
// reader of a long response wait, see Charge::mayGoOn(), so that responses are
// completed one after the other instead of being dropped.
//
// Guarantees: the sum of all charges never exceeds the limit; a charge is
// dropped at most once, and holds nothing afterwards; one of the charges that
// hold bytes may always go on.

#ifndef GALENAROUTE_CONNECTION_RESPONSEBUDGET_H
#define GALENAROUTE_CONNECTION_RESPONSEBUDGET_H

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <sigc++/sigc++.h>
#include <string_view>

namespace galenaroute {

class ResponseBudget {
public:
  /// Leaves room for a copy of the largest response on machines with 110 MB.
  static constexpr std::size_t DefaultBytes = 24 << 20;

  /// A response of at most so much never has to wait.
  static constexpr std::size_t ShortBytes = 64 << 10;

  explicit ResponseBudget(std::size_t MaxBytes = DefaultBytes)
      : MaxBytes(MaxBytes), WaitBytes(MaxBytes) {}
  ResponseBudget(const ResponseBudget &) = delete;
  ResponseBudget &operator=(const ResponseBudget &) = delete;

  /// The bytes that one response holds. Destruction gives them back.
  class Charge {
  public:
    /// \p OnDropped is called when another response needs the space. It must
    /// free what the charge stands for, and must not destroy any charge.
    Charge(std::shared_ptr<ResponseBudget> Budget,
           std::function<void()> OnDropped)
        : Budget(std::move(Budget)), OnDropped(std::move(OnDropped)) {}
    ~Charge() { this->release(); }
    Charge(const Charge &) = delete;
    Charge &operator=(const Charge &) = delete;

    /// Sets the bytes held. Returns false if this response is dropped, also at
    /// all later calls; OnDropped is not called for it.
    /// \p Length is that of the whole response as far as it is known.
    [[nodiscard]] bool set(std::size_t Next, std::size_t Length = 0);

    /// Returns whether more of this response should be read now: the sum of all
    /// is within the lower limit, or this one is short or the largest. \p
    /// Length is that of the whole response as far as it is known.
    bool mayGoOn(std::size_t Length) const;

  private:
    friend class ResponseBudget;
    void release();

    std::shared_ptr<ResponseBudget> Budget;
    std::function<void()> OnDropped;
    std::size_t Bytes = 0;
    bool IsDropped = false;
  };

  std::size_t held() const { return this->Held; }
  /// While memory is short, responses that are not short ones are dropped. May
  /// be called on any thread.
  void setShort(bool Short) { this->IsShort = Short; }
  /// Sets the sum above which long responses wait.
  void setWaitBytes(std::size_t Bytes) { this->WaitBytes = Bytes; }

  /// Emitted with the reason for each response that exceeded a limit, for
  /// metrics. Reasons are from a fixed set.
  sigc::signal<void(std::string_view Reason)> Exceeded;

private:
  Charge *largest() const;

  std::size_t MaxBytes;
  std::size_t WaitBytes;
  std::size_t Held = 0;
  std::atomic<bool> IsShort = false;
  std::set<Charge *> Charges; ///< Those that hold bytes.
};

} // namespace galenaroute

#endif // GALENAROUTE_CONNECTION_RESPONSEBUDGET_H
