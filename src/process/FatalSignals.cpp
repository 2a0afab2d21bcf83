#include "process/FatalSignals.h"

#include <array>
#include <csignal>
#include <cstddef>
#include <execinfo.h>
#include <string_view>
#include <unistd.h>

namespace galenaroute {

static constexpr std::array FatalSignals = {SIGSEGV, SIGBUS, SIGFPE, SIGILL,
                                            SIGABRT};
static constexpr int MaxFrames = 48;
static constexpr std::size_t HandlerStackBytes = 64 << 10;

static const char *ProgramName = "";

/// Only functions that are safe in a signal handler may be called from here on.
static void writeText(std::string_view Text) {
  // Nothing can be done about a failed write.
  [[maybe_unused]] const ssize_t Written =
      ::write(STDERR_FILENO, Text.data(), Text.size());
}

static std::string_view nameOf(int Signal) {
  switch (Signal) {
  case SIGSEGV:
    return "SIGSEGV";
  case SIGBUS:
    return "SIGBUS";
  case SIGFPE:
    return "SIGFPE";
  case SIGILL:
    return "SIGILL";
  case SIGABRT:
    return "SIGABRT";
  default:
    return "unknown";
  }
}

static void onFatalSignal(int Signal) {
  writeText("level=ERROR event=process.fatal program=");
  writeText(ProgramName);
  writeText(" signal=");
  writeText(nameOf(Signal));
  writeText("\n");
  std::array<void *, MaxFrames> Frames{};
  const int Count = backtrace(Frames.data(), MaxFrames);
  backtrace_symbols_fd(Frames.data(), Count, STDERR_FILENO);
  // The default action was restored when this handler was entered.
  raise(Signal);
}

void reportFatalSignals(const char *Program) {
  ProgramName = Program;
  // The first call loads a library, which a handler must not do.
  std::array<void *, 1> Frame{};
  backtrace(Frame.data(), 1);
  // The stack of the fault may be used up.
  static std::array<char, HandlerStackBytes> Stack;
  stack_t Alternate{};
  Alternate.ss_sp = Stack.data();
  Alternate.ss_size = Stack.size();
  sigaltstack(&Alternate, nullptr);
  struct sigaction Action {};
  Action.sa_handler = onFatalSignal;
  Action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK | SA_NODEFER);
  sigemptyset(&Action.sa_mask);
  for (const int Each : FatalSignals)
    sigaction(Each, &Action, nullptr);
}

} // namespace galenaroute
