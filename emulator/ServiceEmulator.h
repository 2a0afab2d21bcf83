// Emulates a plain service. Any method and path is taken; a run takes a fixed
// time in one of a number of slots, and runs are counted by Idempotency-Key or
// X-Request-Id.
//
// The answer is JSON: `{"service","method","path","key","run"}`, where `run`
// is the number of the run for this key. `GET /v1/load` and `/admin/...`
// belong to the emulator itself.
//
// Faults are set by POST /admin/fault, each field optional:
//   slow_factor, slow_ms  run slower by a factor for this long
//   silent                this many requests run and are never answered
//   drop                  this many requests are cut before they run
//   lose_replies          this many requests run and are then cut
//   refuse                this many requests are answered 503 and do not run
//   crash, crash_marker, crash_restart_ms  crash now, or on a request whose
//                         body has the marker; back after this long

#ifndef GALENAROUTE_EMULATOR_SERVICEEMULATOR_H
#define GALENAROUTE_EMULATOR_SERVICEEMULATOR_H

#include "Emulator.h"

#include <deque>
#include <map>

namespace galenaroute::emulator {

struct ServiceSettings {
  std::string Name = "service";
  Duration RunTime = std::chrono::milliseconds(5);
  std::size_t Slots = 8;
  std::size_t MaxQueued = 256;
  std::size_t MaxKeys = 1000000; ///< Bounds the run counts.
};

class ServiceEmulator : public Emulator {
public:
  ServiceEmulator(EventLoop &Loop, const ServiceSettings &Settings);
  ~ServiceEmulator() override;

  void answer(const HttpRequest &Request, const ReplyPtr &Reply) override;

private:
  struct Call {
    HttpRequest Request;
    ReplyPtr Reply;
    std::string Key;
  };

  void startCalls();
  void finish(const Call &Done);
  void answerRuns(const HttpRequest &Request, HttpReply &Reply) const;
  void setFault(const nlohmann::json &Fault);
  void crash();
  static bool takeFault(int &Count);

  EventLoop &Loop;
  ServiceSettings Settings;
  std::deque<Call> Queued;
  std::map<std::uint64_t, Call> Running;
  std::uint64_t NextCall = 0;
  std::map<std::string, std::uint64_t> Runs;
  std::uint64_t Total = 0;
  double SlowFactor = 1;
  TimePoint SlowUntil{};
  int SilentCalls = 0;
  int DropCalls = 0;
  int LostReplies = 0;
  int RefuseCalls = 0;
  std::string CrashMarker;
  Duration CrashRestart = std::chrono::seconds(1);
  std::vector<ReplyPtr> Silent; ///< Held open and never answered.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaroute::emulator

#endif // GALENAROUTE_EMULATOR_SERVICEEMULATOR_H
