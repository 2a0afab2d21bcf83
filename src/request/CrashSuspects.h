// Decides which keys of a call are recorded when a send of it breaks, and which
// are cleared when it is answered.
//
//   for (std::uint64_t Key : noteBrokenSend(Record, Answered, Send))
//     publish(Key, 0);
//   for (const ClearedKey &Each : noteAnsweredParts(Record, Answered, Keys,
//   Now))
//     publish(Each.Key, Each.Crashes);
//
// A part of a prompt that was answered at an upstream while the send was under
// way, or shortly before, did not cause the crash. The content of the call is
// recorded all the same: only an answer to the whole call clears it.

#ifndef GALENAROUTE_REQUEST_CRASHSUSPECTS_H
#define GALENAROUTE_REQUEST_CRASHSUSPECTS_H

#include "request/AnsweredKeys.h"
#include "request/CrashRecord.h"
#include "request/UnansweredSends.h"

namespace galenaroute {

/// A part that was answered within this time before a crash did not cause it.
inline constexpr Duration MaxAgeOfClearingAnswer = std::chrono::seconds(2);

/// A key and the number of its crashes that an answer has cleared.
struct ClearedKey {
  std::uint64_t Key = 0;
  std::size_t Crashes = 0;
};

/// Records \p Send, which ended without an answer, as a crash of its upstream.
/// Its first key is the content. Returns the keys for which this is a new
/// crash.
std::vector<std::uint64_t> noteBrokenSend(CrashRecord &Record,
                                          const AnsweredKeys &Answered,
                                          const UnansweredSend &Send);

/// Records that the prompt parts of a call with \p Keys were answered. Returns
/// the keys of which this has cleared crashes.
std::vector<ClearedKey> noteAnsweredParts(CrashRecord &Record,
                                          AnsweredKeys &Answered,
                                          std::span<const std::uint64_t> Keys,
                                          TimePoint Now);

} // namespace galenaroute

#endif // GALENAROUTE_REQUEST_CRASHSUSPECTS_H
