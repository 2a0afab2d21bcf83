// What happened in a process soak: what callers sent and got, what upstreams
// did for each request, how daemons lived and which signals they got.
//
//   ProcessHistory History;
//   readCallers(readJournal(Path), History);
//   for (const BrokenPromise &Each : checkProcesses(History, Bounds)) ...
//
// All times are of CLOCK_MONOTONIC, which the processes share.

#ifndef GALENAROUTE_SOAK_PROCESS_PROCESSHISTORY_H
#define GALENAROUTE_SOAK_PROCESS_PROCESSHISTORY_H

#include "Journal.h"

#include <istream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenaroute::process_soak {

enum class RequestEnd {
  Open,      ///< The run ended first.
  Whole,     ///< A whole answer.
  Cut,       ///< The connection ended inside an answer.
  None,      ///< The connection ended before any answer.
  Unsent,    ///< The connection ended before the request was sent.
  Left,      ///< The caller left in a gap of a stream, or at any time.
  Expired,   ///< The caller left after the deadline.
  Malformed, ///< No HTTP.
};

/// A request as its caller saw it.
struct RequestView {
  std::string Route;
  std::size_t Daemon = 0;
  TimePoint SentAt; ///< When its last byte was given to the kernel.
  TimePoint EndedAt;
  RequestEnd End = RequestEnd::Open;
  int Status = 0; ///< 0: no head of an answer was read.
  bool IsStamped = false;
  std::vector<int> Events;
  std::vector<std::string> Versions; ///< Of what wrote each event.
  std::optional<TimePoint> FirstEventAt;
  // Of one that takes up a stream.
  std::string First; ///< The request that brought its first event, or empty.
  int After = 0;     ///< Last-Event-Id.
  /// Deadline-Ms.
  Duration Limit = std::chrono::hours(1);
  std::string Foreign;           ///< What of the answer was not its own.
  std::set<std::size_t> Helpers; ///< Daemons that relayed it to upstreams.
  bool isStream() const { return this->Route.ends_with("stream"); }
  bool mayRepeat() const { return !this->Route.starts_with("once"); }
};

/// What one upstream did for one request.
struct WorkView {
  std::string Upstream;
  TimePoint AcceptedAt;
  int After = 0; ///< Last-Event-Id.
  std::optional<TimePoint> BegunAt;
  TimePoint LastAt; ///< Of all that it did for the request.
  std::optional<TimePoint> OverAt;
  bool HasEnded = false; ///< It wrote its whole answer.
  bool HasBroken = false;
  bool HasFailed = false; ///< It answered 500.
};

/// The life of one incarnation of an upstream.
struct UpstreamView {
  std::string Version; ///< As in its events.
  TimePoint StartedAt;
  std::optional<TimePoint> EndsAt; ///< When it was killed or began to leave.
};

struct SignalView {
  TimePoint At;
  int Number = 0;
};

/// The life of one process of a daemon.
struct LifeView {
  std::size_t Daemon = 0;
  int Process = 0;
  TimePoint StartedAt;
  std::optional<TimePoint> EndedAt;
  int ExitCode = 0; ///< Minus the signal that ended it.
  std::optional<TimePoint> ReadyAt;
  /// When all earlier processes of the daemon had ended.
  std::optional<TimePoint> AloneAt;
  std::vector<SignalView> Signals;
  std::size_t MostMemory = 0;      ///< Bytes resident.
  std::size_t MostDescriptors = 0; ///< Open at a time.
  /// Whether it served an ordinary request once all clients had gone; nothing
  /// if it was not asked.
  std::optional<bool> HasServedLast;
};

struct Span {
  TimePoint From;
  TimePoint Until;
};

struct ProcessHistory {
  std::map<std::string, RequestView> Requests;
  std::map<std::string, std::vector<WorkView>> Works; ///< In order of time.
  std::vector<std::string> Foreign;                   ///< Bytes of no request.
  std::vector<LifeView> Lives;
  std::map<std::size_t, std::vector<Span>> Freezes; ///< Of daemons.
  std::vector<Span> StoreFreezes;
  /// When the store did not serve a daemon.
  std::map<std::size_t, std::vector<Span>> TurnedAway;
  std::size_t Copies = 0; ///< Of refusals, that upstreams wrote.
  std::map<std::string, std::vector<Span>> Silences; ///< By upstream.
  std::map<std::string, UpstreamView> Upstreams;
  /// When upstreams were killed or had left.
  std::map<std::string, TimePoint> UpstreamEnds;
  std::vector<std::string> SanitizerReports; ///< First lines.
  TimePoint LastFaultAt;
  TimePoint EndedAt; ///< When callers sent no more.
};

void readCallers(const std::vector<JournalLine> &Lines,
                 ProcessHistory &History);
void readUpstream(const std::string &Upstream,
                  const std::vector<JournalLine> &Lines,
                  ProcessHistory &History);
/// Notes when the store turned daemons away.
void readStore(const std::vector<JournalLine> &Lines, ProcessHistory &History);
/// Notes what sanitizers have written to a daemon's log.
void readSanitizerReports(std::size_t Daemon, std::istream &Log,
                          ProcessHistory &History);
/// Notes which daemons relayed requests for the daemon that wrote \p Log.
void readHelpers(std::istream &Log,
                 const std::map<std::string, std::size_t> &DaemonsByHost,
                 ProcessHistory &History);

} // namespace galenaroute::process_soak

#endif // GALENAROUTE_SOAK_PROCESS_PROCESSHISTORY_H
