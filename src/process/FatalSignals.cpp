#include "process/FatalSignals.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <execinfo.h>
#include <link.h>
#include <unistd.h>

namespace galenaroute {

static constexpr std::array FatalSignals = {SIGSEGV, SIGBUS, SIGFPE, SIGILL,
                                            SIGABRT};
static constexpr int MaxFrames = 48;
static constexpr std::size_t HandlerStackBytes = 64 << 10;
static constexpr std::size_t MaxLineBytes = 2048;
/// A fault further below the main function than this is not in its stack.
static constexpr std::uintptr_t MaxStackBytes = std::uintptr_t{1} << 30;

static const char *ProgramName = "";
/// The address range of the binary or library that holds this code.
static std::uintptr_t CodeBegin = 0;
static std::uintptr_t CodeEnd = 0;
static std::uintptr_t StackBegin = 0;
static const RunningCall *volatile InnermostCall = nullptr;

RunningCall::RunningCall(std::string_view Id)
    : Outer(InnermostCall), Length(std::min(Id.size(), MaxIdBytes)) {
  std::copy_n(Id.begin(), this->Length, this->Text);
  InnermostCall = this;
}

RunningCall::~RunningCall() { InnermostCall = this->Outer; }

std::string_view runningCallId() {
  const RunningCall *const Innermost = InnermostCall;
  if (Innermost == nullptr || Innermost->Length == 0)
    return "-";
  return {Innermost->Text, Innermost->Length};
}

namespace {

/// A line of text in fixed memory. What does not fit is dropped.
class FixedLine {
public:
  void add(std::string_view Text) {
    const std::size_t Count =
        std::min(Text.size(), this->Bytes.size() - this->Used);
    std::copy_n(Text.begin(), Count, this->Bytes.begin() + this->Used);
    this->Used += Count;
  }
  /// Adds \p Text with `?` for what would end the field.
  void addValue(std::string_view Text) {
    for (const char C : Text)
      this->add(std::isgraph(static_cast<unsigned char>(C)) != 0 && C != '"'
                    ? std::string_view(&C, 1)
                    : "?");
  }
  void addNumber(std::uint64_t Value, int Base = 10, std::size_t Width = 1) {
    std::array<char, 24> Digits{};
    const auto End =
        std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value, Base)
            .ptr;
    const auto Count = static_cast<std::size_t>(End - Digits.data());
    for (std::size_t I = Count; I < Width; ++I)
      this->add("0");
    this->add({Digits.data(), Count});
  }
  void addAddress(std::uintptr_t Value) {
    this->add("0x");
    this->addNumber(Value, 16);
  }
  std::string_view text() const { return {this->Bytes.data(), this->Used}; }

private:
  std::array<char, MaxLineBytes> Bytes{};
  std::size_t Used = 0;
};

} // namespace

/// Only functions that are safe in a signal handler may be called from here on.
static void writeText(int Descriptor, std::string_view Text) {
  // Nothing can be done about a failed write.
  [[maybe_unused]] const ssize_t Written =
      ::write(Descriptor, Text.data(), Text.size());
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

/// Adds the time as other log lines have it.
static void addTime(FixedLine &Line) {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  const std::chrono::sys_seconds At{std::chrono::seconds(Now.tv_sec)};
  const auto Day = std::chrono::floor<std::chrono::days>(At);
  const std::chrono::year_month_day Date(Day);
  const std::chrono::hh_mm_ss Time(At - Day);
  Line.add("time=");
  Line.addNumber(static_cast<std::uint64_t>(static_cast<int>(Date.year())));
  Line.add("-");
  Line.addNumber(static_cast<unsigned>(Date.month()), 10, 2);
  Line.add("-");
  Line.addNumber(static_cast<unsigned>(Date.day()), 10, 2);
  Line.add("T");
  Line.addNumber(static_cast<std::uint64_t>(Time.hours().count()), 10, 2);
  Line.add(":");
  Line.addNumber(static_cast<std::uint64_t>(Time.minutes().count()), 10, 2);
  Line.add(":");
  Line.addNumber(static_cast<std::uint64_t>(Time.seconds().count()), 10, 2);
  Line.add(".");
  Line.addNumber(static_cast<std::uint64_t>(Now.tv_nsec / 1000000), 10, 3);
  Line.add("Z ");
}

/// Adds the addresses of the stack: as offsets into the code of the daemon
/// where they are in it.
static void addFrames(FixedLine &Line, void *const *Frames, int Count) {
  Line.add(" frames=");
  for (int I = 0; I < Count; ++I) {
    const auto Address = reinterpret_cast<std::uintptr_t>(Frames[I]);
    if (I > 0)
      Line.add(",");
    if (Address >= CodeBegin && Address < CodeEnd) {
      Line.add("+");
      Line.addAddress(Address - CodeBegin);
    } else {
      Line.addAddress(Address);
    }
  }
}

static void onFatalSignal(int Signal, siginfo_t *Info, void *) {
  FixedLine Line;
  addTime(Line);
  Line.add("level=ERROR event=process.fatal program=");
  Line.add(ProgramName);
  Line.add(" signal=");
  Line.add(nameOf(Signal));
  Line.add(" address=");
  const auto Address = reinterpret_cast<std::uintptr_t>(Info->si_addr);
  // A signal that a process has sent, as abort() does, has no address.
  const bool HasAddress = Info->si_code > 0;
  if (HasAddress)
    Line.addAddress(Address);
  else
    Line.add("-");
  // An overflow of the stack faults just below its limit.
  Line.add(" stack_bytes=");
  if (HasAddress && Address < StackBegin &&
      StackBegin - Address < MaxStackBytes)
    Line.addNumber(StackBegin - Address);
  else
    Line.add("-");
  Line.add(" call=");
  Line.addValue(runningCallId());
  std::array<void *, MaxFrames> Frames{};
  const int Count = backtrace(Frames.data(), MaxFrames);
  addFrames(Line, Frames.data(), Count);
  Line.add("\n");
  writeText(STDOUT_FILENO, Line.text());
  writeText(STDERR_FILENO, Line.text());
  backtrace_symbols_fd(Frames.data(), Count, STDERR_FILENO);
  // The default action was restored when this handler was entered.
  raise(Signal);
}

/// Notes the address range of the loaded object that holds this code.
static void findCode() {
  dl_iterate_phdr(
      [](dl_phdr_info *Object, std::size_t, void *) {
        std::uintptr_t End = Object->dlpi_addr;
        for (int I = 0; I < Object->dlpi_phnum; ++I)
          if (const auto &Segment = Object->dlpi_phdr[I];
              Segment.p_type == PT_LOAD)
            End = std::max<std::uintptr_t>(
                End, Object->dlpi_addr + Segment.p_vaddr + Segment.p_memsz);
        const auto Here = reinterpret_cast<std::uintptr_t>(&findCode);
        if (Here < Object->dlpi_addr || Here >= End)
          return 0;
        CodeBegin = Object->dlpi_addr;
        CodeEnd = End;
        return 1;
      },
      nullptr);
}

void reportFatalSignals(const char *Program) {
  ProgramName = Program;
  StackBegin = reinterpret_cast<std::uintptr_t>(__builtin_frame_address(0));
  findCode();
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
  Action.sa_sigaction = onFatalSignal;
  Action.sa_flags =
      static_cast<int>(SA_RESETHAND | SA_ONSTACK | SA_NODEFER | SA_SIGINFO);
  sigemptyset(&Action.sa_mask);
  for (const int Each : FatalSignals)
    sigaction(Each, &Action, nullptr);
}

} // namespace galenaroute
