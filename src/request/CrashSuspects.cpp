#include "request/CrashSuspects.h"

#include <algorithm>

namespace galenaroute {

std::vector<std::uint64_t> noteBrokenSend(CrashRecord &Record,
                                          const AnsweredKeys &Answered,
                                          const UnansweredSend &Send) {
  std::vector<std::uint64_t> Result;
  const TimePoint ClearedFrom =
      std::min(Send.SentAt, Send.EndedAt - MaxAgeOfClearingAnswer);
  for (std::size_t I = 0; I < Send.Keys.size(); ++I) {
    const std::uint64_t Key = Send.Keys[I];
    const auto At = I == 0 ? std::nullopt : lastAnswered(Answered, Key);
    if (At && *At >= ClearedFrom)
      continue;
    if (noteCrash(Record, Key, Send.Upstream, Send.EndedAt))
      Result.push_back(Key);
    if (At)
      noteSuccess(Record, Key, *At);
  }
  return Result;
}

std::vector<ClearedKey> noteAnsweredParts(CrashRecord &Record,
                                          AnsweredKeys &Answered,
                                          std::span<const std::uint64_t> Keys,
                                          TimePoint Now) {
  std::vector<ClearedKey> Result;
  for (std::size_t I = 1; I < Keys.size(); ++I) {
    noteAnswered(Answered, Keys[I], Now);
    if (const std::size_t Crashes = noteSuccess(Record, Keys[I], Now);
        Crashes > 0)
      Result.push_back({Keys[I], Crashes});
  }
  return Result;
}

} // namespace galenaroute
