// The boundary between the event loop and the code that it calls.
//
//   bool Ended = runGuarded("caller.read", [&] { Connection.onReadable(); });
//
// An exception that leaves a callback of libevent would end the process with
// all of its calls. Callbacks handle the errors that they expect; the guard
// bounds the harm of the others to the event at hand, which the caller of the
// guard then ends.
//
// Guarantees: no std::exception passes. Each one is logged as callback.failed.

#ifndef GALENAROUTE_PROCESS_CALLBACKGUARD_H
#define GALENAROUTE_PROCESS_CALLBACKGUARD_H

#include "process/Log.h"

#include <exception>
#include <string>
#include <string_view>

namespace galenaroute {

/// Runs \p Action. Returns false if it threw; \p Where names it in the log
/// line.
template <typename Function>
bool runGuarded(std::string_view Where, Function &&Action) {
  try {
    Action();
    return true;
  } catch (const std::exception &Failure) {
    log(LogLevel::Error, "callback.failed",
        {{"where", std::string(Where)}, {"message", Failure.what()}});
    return false;
  }
}

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_CALLBACKGUARD_H
