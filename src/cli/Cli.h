// The command-line tool `galenaroute`, apart from its main function.
//
//   return runCli(Arguments, Loop, std::cout, std::cerr);
//
// Each command is one function from CliOptions to an exit code. A command
// prints its result to Out, as text or as one JSON value, and its errors to
// Err; both end with a line feed.

#ifndef GALENAROUTE_CLI_CLI_H
#define GALENAROUTE_CLI_CLI_H

#include "connection/PlatformClient.h"
#include "process/EventLoop.h"

#include <iosfwd>

namespace galenaroute {

/// Exit codes, as printed by `galenaroute --help`.
enum ExitCode {
  ExitOk = 0,
  ExitInternal = 1,
  ExitFindings = 1,    ///< `check` found valid entries without effect.
  ExitUsage = 2,       ///< Wrong flags, or an invalid listing.
  ExitConflict = 3,    ///< Another change was accepted first.
  ExitUnavailable = 4, ///< No answer from the platform or from any daemon.
  ExitUnknown = 5,     ///< The outcome of the change is not known.
  ExitPartial = 6,     ///< Some daemons did not answer or are behind.
  ExitDifferent = 7,   ///< `diff --exit-code` found differences.
};

/// The flags of all commands.
struct CliOptions {
  std::string File; ///< Listing; `-` is standard input.
  std::string Platform = "127.0.0.1:9000";
  bool HasPlatform = false;         ///< Given as a flag or by the environment.
  std::string Against;              ///< Listing that `check` compares with.
  std::vector<std::string> Entries; ///< Addresses of daemons.
  /// Replaces the ports in the VM list, which are those for daemons; 0: none.
  std::uint16_t CallerPort = 0;
  std::string OperatorKey;
  bool Json = false;
  Milliseconds Timeout{10000};
  std::optional<std::uint64_t> Epoch; ///< Condition of an apply.
  bool Wait = false;
  bool ExitCodeOfDiff = false;
  std::string Request; ///< Filter of the time line.
  std::int64_t SinceMicros = 0;
  std::int64_t UntilMicros = 0; ///< 0: no bound.
  std::string HtmlFile;
};

/// What a command runs with.
struct CliContext {
  EventLoop &Loop;
  HttpClient &Client;
  HttpPlatform &Api;
  std::ostream &Out;
  std::ostream &Err;
  CliOptions Options;
};

int runCheck(CliContext &Context);
int runApply(CliContext &Context);
int runDiff(CliContext &Context);
int runGet(CliContext &Context);
int runStatus(CliContext &Context);
int runDrain(CliContext &Context);
int runTimeline(CliContext &Context);

/// Waits until every live daemon reports \p Epoch or a higher one in force;
/// returns those that do not at the end of the timeout.
struct EpochWait {
  std::vector<std::string> InForce;
  std::vector<std::string> Behind; ///< `ADDRESS: why`.
};
EpochWait waitForEpoch(CliContext &Context, std::uint64_t Epoch);

/// Prints an error as text or JSON and returns \p Code.
int reportError(CliContext &Context, ExitCode Code, const std::string &Kind,
                const std::string &Message);

/// Runs the tool with \p Arguments (without the program name).
int runCli(std::vector<std::string> Arguments, EventLoop &Loop,
           std::ostream &Out, std::ostream &Err);

} // namespace galenaroute

#endif // GALENAROUTE_CLI_CLI_H
