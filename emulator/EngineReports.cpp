// The reports and faults of the engine emulator.

#include "EngineEmulator.h"

#include <algorithm>

namespace galenaroute::emulator {

using nlohmann::json;

namespace {
constexpr std::size_t MaxEventsPerAnswer = 1000;
/// Bounds the samples kept for the longest lag of load reports.
constexpr std::size_t MaxSamples = 1000;
} // namespace

json EngineEmulator::currentLoad() const {
  const bool IsSlow = EventLoop::now() < this->SlowUntil;
  return {
      {"running", this->Batch.Running.size()},
      {"queued", this->Batch.Queued.size()},
      {"queued_tokens", static_cast<std::uint64_t>(pendingTokens(this->Batch))},
      {"free_blocks", this->Cache.freeBlocks()},
      {"weight_version", this->Orders.weightVersion()},
      {"prefill_tokens_per_second",
       this->Settings.PrefillTokensPerSecond / (IsSlow ? this->SlowFactor : 1)},
      {"slots", this->Settings.Slots}};
}

void EngineEmulator::sampleLoad() {
  this->Samples.push_back({EventLoop::now(), this->currentLoad()});
  if (this->Samples.size() > MaxSamples)
    this->Samples.pop_front();
}

void EngineEmulator::answerLoad(HttpReply &Reply) const {
  const TimePoint Now = EventLoop::now();
  const LoadSample *Shown = &this->Samples.front();
  for (const LoadSample &Each : this->Samples) {
    if (Now - Each.Time < this->Settings.LoadLag)
      break;
    Shown = &Each;
  }
  json Body = Shown->Report;
  Body["age_ms"] = toMilliseconds(Now - Shown->Time);
  sendJson(Reply, 200, Body);
}

void EngineEmulator::answerEvents(const HttpRequest &Request,
                                  HttpReply &Reply) {
  const std::uint64_t After = queryNumber(Request.Query, "after", 0);
  const TimePoint Newest = EventLoop::now() - this->Settings.EventDelay;
  const auto &Events = this->Cache.events();
  json List = json::array();
  std::uint64_t Last =
      Events.empty() ? this->Cache.lastSequence() : Events.front().Sequence - 1;
  const std::uint64_t First = Last + 1;
  for (const CacheEvent &Each : Events) {
    if (Each.Time > Newest || List.size() == MaxEventsPerAnswer)
      break;
    Last = Each.Sequence;
    // Losses are drawn once per event, so that asking again does not bring a
    // lost event back.
    if (Each.Sequence > this->DrawnEvents) {
      this->DrawnEvents = Each.Sequence;
      if (happens(this->Generator, this->Settings.EventGapShare))
        this->LostEvents.insert(Each.Sequence);
    }
    if (Each.Sequence <= After || this->LostEvents.contains(Each.Sequence))
      continue;
    List.push_back({{"seq", Each.Sequence},
                    {"op", Each.IsAdd ? "add" : "drop"},
                    {"key", Each.Key}});
  }
  this->LostEvents.erase(this->LostEvents.begin(),
                         this->LostEvents.lower_bound(First));
  sendJson(Reply, 200, {{"seq", Last}, {"first", First}, {"events", List}});
}

void EngineEmulator::answerStats(HttpReply &Reply) {
  json Body = this->Counts;
  Body["cache_violations"] =
      this->Cache.violations() + this->Counts["earlier_violations"];
  Body["cache_blocks"] = this->Cache.size();
  Body["bad_blocks"] = this->Transfer.badBlocks();
  Body["kv_bytes"] = this->Transfer.link().bytes();
  Body["kv_busy_ms"] = toMilliseconds(this->Transfer.link().busyTime());
  Body["running"] = this->Batch.Running.size();
  Body["queued"] = this->Batch.Queued.size();
  sendJson(Reply, 200, Body);
}

void EngineEmulator::setFault(const json &Fault) {
  if (Fault.contains("slow_factor")) {
    this->SlowFactor = std::max(1.0, Fault["slow_factor"].get<double>());
    this->SlowUntil = EventLoop::now() +
                      Milliseconds(Fault.value("slow_ms", std::int64_t{5000}));
  }
  if (Fault.contains("report_lag_ms"))
    this->Settings.LoadLag =
        Milliseconds(Fault["report_lag_ms"].get<std::int64_t>());
  this->CrashMarker = Fault.value("crash_marker", this->CrashMarker);
  this->CrashDelay = Milliseconds(
      Fault.value("crash_delay_ms", toMilliseconds(this->CrashDelay)));
  this->CrashRestart = Milliseconds(
      Fault.value("crash_restart_ms", toMilliseconds(this->CrashRestart)));
  this->CrashesAtAnswer = Fault.value("crash_at_answer", this->CrashesAtAnswer);
  this->Settings.UnframedShare =
      Fault.value("unframed_share", this->Settings.UnframedShare);
  this->Settings.BrokenOffShare =
      Fault.value("broken_off_share", this->Settings.BrokenOffShare);
  this->Settings.EventGapShare =
      Fault.value("event_gap_share", this->Settings.EventGapShare);
  if (Fault.contains("kv_link_mbps"))
    this->Transfer.link().setMbps(Fault["kv_link_mbps"]);
  if (Fault.value("silent", false))
    for (auto &[Id, Run] : this->Attempts)
      if (Run.Reader)
        this->Silent.push_back(std::exchange(Run.Reader, nullptr));
  if (Fault.value("crash", false))
    this->crash(this->CrashRestart);
  if (Fault.value("stop", false))
    this->Loop.stop();
}

void EngineEmulator::dropState() {
  this->StepTimer.disconnect();
  this->CrashTimer.disconnect();
  this->IsStepArmed = false;
  this->Batch.Running.clear();
  this->Batch.Queued.clear();
  for (auto &[Id, Run] : this->Attempts)
    if (Run.Reader)
      Run.Reader->abort();
  this->Attempts.clear();
  for (const ReplyPtr &Each : this->Silent)
    Each->abort();
  this->Silent.clear();
  this->Counts["earlier_violations"] += this->Cache.violations();
  // A restarted engine begins a new sequence of events.
  this->Cache = PrefixCache(this->Settings.CacheBlocks, 10000);
  this->LostEvents.clear();
  this->DrawnEvents = 0;
  this->Samples.clear();
  this->Orders.restart();
  this->sampleLoad();
}

} // namespace galenaroute::emulator
