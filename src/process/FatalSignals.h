// Reports a fault that ends the process.
//
//   int main() {
//     reportFatalSignals("galenarouted");
//
//   void Run::onEvent() {
//     const RunningCall Scope(this->Call.Id);
//
// Guarantees: a fatal signal, also that of an uncaught exception, leaves one
// line on standard output, where the log is, and the same line and a raw
// backtrace on standard error, and then ends the process as it would have
// without a handler. The offsets of the frames in the line can be resolved with
// addr2line and the binary or library that holds the daemon.

#ifndef GALENAROUTE_PROCESS_FATALSIGNALS_H
#define GALENAROUTE_PROCESS_FATALSIGNALS_H

#include <string_view>

namespace galenaroute {

/// Installs handlers for the signals that a fault of the program raises. \p
/// Program must be a string literal; it names the process in the line. To be
/// called near the start of the main thread's stack.
void reportFatalSignals(const char *Program);

/// Names the call that the process works on while it exists, for the line.
/// Scopes may nest. Ids are truncated to MaxIdBytes.
class RunningCall {
public:
  static constexpr std::size_t MaxIdBytes = 64;

  explicit RunningCall(std::string_view Id);
  ~RunningCall();
  RunningCall(const RunningCall &) = delete;
  RunningCall &operator=(const RunningCall &) = delete;

private:
  const RunningCall *Outer;
  /// A copy, since the call may be freed by the fault that is reported.
  char Text[MaxIdBytes];
  std::size_t Length;

  friend std::string_view runningCallId();
};

/// Returns the id of the call in the innermost scope, or "-".
std::string_view runningCallId();

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_FATALSIGNALS_H
