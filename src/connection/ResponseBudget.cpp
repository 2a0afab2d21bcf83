#include "connection/ResponseBudget.h"

#include <algorithm>

namespace galenaroute {

void ResponseBudget::Charge::release() {
  this->Budget->Held -= this->Bytes;
  this->Bytes = 0;
  this->Budget->Charges.erase(this);
}

/// Returns the charge with the most bytes. There must be one.
ResponseBudget::Charge *ResponseBudget::largest() const {
  return *std::max_element(
      this->Charges.begin(), this->Charges.end(),
      [](const Charge *A, const Charge *B) { return A->Bytes < B->Bytes; });
}

bool ResponseBudget::Charge::mayGoOn(std::size_t Length) const {
  return std::max(this->Bytes, Length) <= ShortBytes ||
         this->Budget->Held <= this->Budget->WaitBytes ||
         this->Budget->largest() == this;
}

bool ResponseBudget::Charge::set(std::size_t Next, std::size_t Length) {
  if (this->IsDropped)
    return false;
  ResponseBudget &Shared = *this->Budget;
  if (Shared.IsShort && Next > this->Bytes &&
      std::max(Next, Length) > ShortBytes) {
    this->IsDropped = true;
    this->release();
    return false;
  }
  Shared.Held += Next - this->Bytes;
  this->Bytes = Next;
  if (Next > 0)
    Shared.Charges.insert(this);
  else
    Shared.Charges.erase(this);
  while (Shared.Held > Shared.MaxBytes) {
    Charge *const Largest = Shared.largest();
    Largest->IsDropped = true;
    Largest->release();
    if (Largest == this)
      return false;
    Largest->OnDropped();
  }
  return true;
}

} // namespace galenaroute
