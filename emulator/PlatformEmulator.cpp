#include "PlatformEmulator.h"

#include "process/ErrorKind.h"

#include <algorithm>

namespace galenaroute::emulator {

using nlohmann::json;

namespace {

constexpr std::uint64_t MaxListLimit = 1000;
constexpr std::uint64_t MaxWatchMs = 60000;
/// Bounds the connections held open by a silent outage.
constexpr std::size_t MaxUnanswered = 1000;

json describe(const std::string &Kind, const std::string &Name,
              std::uint64_t Version, const json &Value) {
  return {
      {"kind", Kind}, {"name", Name}, {"version", Version}, {"value", Value}};
}

} // namespace

bool RateLimit::take(TimePoint Now) {
  if (this->Last != TimePoint{})
    this->Tokens =
        std::min(std::max(1.0, this->PerSecond),
                 this->Tokens + toSeconds(Now - this->Last) * this->PerSecond);
  this->Last = Now;
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

void RateLimit::setRate(double NewPerSecond) {
  this->PerSecond = NewPerSecond;
  this->Tokens = std::min(this->Tokens, NewPerSecond);
}

PlatformEmulator::PlatformEmulator(EventLoop &Loop,
                                   const PlatformSettings &Settings)
    : Loop(Loop), Settings(Settings), Writes(Settings.WritesPerSecond),
      Reads(Settings.ReadsPerSecond) {
  this->Timers.push_back(Loop.timers().every(std::chrono::milliseconds(20),
                                             [this] { this->checkWatches(); }));
}

PlatformEmulator::~PlatformEmulator() {
  for (sigc::connection &Each : this->Timers)
    Each.disconnect();
}

void PlatformEmulator::send(HttpReply &Reply, int Status,
                            const json &Body) const {
  sendJson(Reply, Status, Body, {{"Platform-Era", std::to_string(this->Era)}});
}

void PlatformEmulator::fail(HttpReply &Reply, const Error &Failure) const {
  sendError(Reply, Failure, {{"Platform-Era", std::to_string(this->Era)}});
}

void PlatformEmulator::answer(const HttpRequest &Request,
                              const ReplyPtr &Reply) {
  try {
    this->answerCall(Request, Reply);
  } catch (const Error &Failure) {
    this->fail(*Reply, Failure);
  } catch (const json::exception &Failure) {
    this->fail(*Reply, Error(ErrorKind::BadRequest, Failure.what()));
  }
}

void PlatformEmulator::answerCall(const HttpRequest &Request,
                                  const ReplyPtr &Reply) {
  if (Request.Path.starts_with("/admin/")) {
    this->answerAdmin(Request, *Reply);
    return;
  }
  const TimePoint Now = EventLoop::now();
  const bool IsRead = Request.Method == "GET";
  ++this->Counts[IsRead ? "reads" : "writes"];
  if (Now < this->OutageUntil) {
    ++this->Counts["outage"];
    if (this->IsOutageSilent && this->Unanswered.size() < MaxUnanswered)
      this->Unanswered.push_back(Reply);
    else
      this->send(*Reply, 503, {{"error", "outage"}});
    return;
  }
  if (!(IsRead ? this->Reads : this->Writes).take(Now)) {
    ++this->Counts["refused"];
    this->send(*Reply, 429, {{"error", "rate limit"}});
    return;
  }
  if (this->Settings.ReplyDelay <= Duration::zero()) {
    this->carryOut(Request, Reply);
    return;
  }
  // A call takes effect after the delay even when its caller has gone, so that
  // a slow platform applies writes that their writers have given up on.
  std::erase_if(this->Timers,
                [](const sigc::connection &Each) { return !Each.connected(); });
  this->Timers.push_back(this->Loop.timers().after(
      this->Settings.ReplyDelay, [this, Request, Reply] {
        try {
          this->carryOut(Request, Reply);
        } catch (const Error &Failure) {
          this->fail(*Reply, Failure);
        } catch (const json::exception &Failure) {
          this->fail(*Reply, Error(ErrorKind::BadRequest, Failure.what()));
        }
      }));
}

void PlatformEmulator::answerAdmin(const HttpRequest &Request,
                                   HttpReply &Reply) {
  if (Request.Path == "/admin/fault" && Request.Method == "POST") {
    this->setFault(parseObject(Request.Body));
    this->send(Reply, 200, json::object());
  } else if (Request.Path == "/admin/vms" && Request.Method == "POST") {
    const json Body = parseObject(Request.Body);
    const Duration Lag = Milliseconds(
        Body.value("lag_ms", toMilliseconds(this->Settings.VmLag)));
    this->Timers.push_back(this->Loop.timers().after(
        Lag, [this, Vms = Body.at("vms")] { this->Vms = Vms; }));
    this->send(Reply, 200, json::object());
  } else if (Request.Path == "/admin/stats") {
    json Body = this->Counts;
    Body["revision"] = this->Revision;
    Body["era"] = this->Era;
    Body["watches"] = this->Watches.size();
    this->send(Reply, 200, Body);
  } else {
    throw Error(ErrorKind::NotFound, "no such path");
  }
}

void PlatformEmulator::setFault(const json &Fault) {
  if (Fault.contains("outage_ms")) {
    this->OutageUntil =
        EventLoop::now() + Milliseconds(Fault["outage_ms"].get<std::int64_t>());
    this->IsOutageSilent = Fault.value("outage_silent", false);
  }
  if (Fault.contains("slow_ms"))
    this->Settings.ReplyDelay =
        Milliseconds(Fault["slow_ms"].get<std::int64_t>());
  this->LoseReplies = Fault.value("lose_replies", this->LoseReplies);
  if (Fault.contains("writes_per_second"))
    this->Writes.setRate(Fault["writes_per_second"]);
  if (Fault.contains("reads_per_second"))
    this->Reads.setRate(Fault["reads_per_second"]);
  if (Fault.contains("restore_s"))
    this->restore(Milliseconds(
        static_cast<std::int64_t>(1000 * Fault["restore_s"].get<double>())));
}

void PlatformEmulator::restore(Duration Age) {
  const TimePoint From = EventLoop::now() - Age;
  if (Age < Duration::zero() || From < this->UndoableSince)
    throw Error(ErrorKind::BadRequest, "no copy of that age");
  while (!this->Undoable.empty() && this->Undoable.back().At > From) {
    Change &Last = this->Undoable.back();
    auto &Group = this->Objects[Last.Kind];
    if (Last.Before)
      Group[Last.Name] = std::move(*Last.Before);
    else
      Group.erase(Last.Name);
    this->Undoable.pop_back();
    --this->Revision;
  }
  while (!this->Deletions.empty() &&
         this->Deletions.back().Version > this->Revision)
    this->Deletions.pop_back();
  this->OldestRevision = std::min(this->OldestRevision, this->Revision);
  ++this->Era;
  ++this->Counts["restorations"];
  std::erase_if(this->Watches, [this](Watch &Each) {
    if (Each.Reply->isClosed())
      return true;
    // Changes may come again under the revisions that were checked.
    Each.Checked = Each.Since;
    if (Each.Since <= this->Revision)
      return false;
    this->send(*Each.Reply, 410, {{"revision", this->Revision}});
    return true;
  });
}

void PlatformEmulator::carryOut(const HttpRequest &Request,
                                const ReplyPtr &Reply) {
  const std::vector<std::string> Path = splitPath(Request.Path);
  if (Path.size() < 2 || Path[0] != "v1")
    throw Error(ErrorKind::NotFound, "no such path");
  if (Path[1] == "vms" && Path.size() == 2)
    this->send(*Reply, 200, {{"vms", this->Vms}});
  else if (Path[1] == "objects" && Path.size() == 4)
    this->answerObject(Request, Reply, Path[2], Path[3]);
  else if (Path[1] == "objects" && Path.size() == 3)
    this->list(Request, *Reply, Path[2]);
  else if (Path[1] == "watch" && Path.size() == 3)
    this->watch(Request, Reply, Path[2]);
  else
    throw Error(ErrorKind::NotFound, "no such path");
}

const PlatformEmulator::Object *
PlatformEmulator::find(const std::string &Kind, const std::string &Name) const {
  const auto Group = this->Objects.find(Kind);
  if (Group == this->Objects.end())
    return nullptr;
  const auto It = Group->second.find(Name);
  return It == Group->second.end() ? nullptr : &It->second;
}

void PlatformEmulator::answerObject(const HttpRequest &Request,
                                    const ReplyPtr &Reply,
                                    const std::string &Kind,
                                    const std::string &Name) {
  if (Request.Method == "PUT") {
    this->put(Request, Reply, Kind, Name);
  } else if (Request.Method == "DELETE") {
    this->remove(Request, Reply, Kind, Name);
  } else {
    const Object *Found = this->find(Kind, Name);
    if (Found)
      this->send(*Reply, 200,
                 describe(Kind, Name, Found->Version, Found->Value));
    else
      this->send(*Reply, 404, {{"error", "no such object"}});
  }
}

void PlatformEmulator::put(const HttpRequest &Request, const ReplyPtr &Reply,
                           const std::string &Kind, const std::string &Name) {
  json Body = parseObject(Request.Body);
  json Value = std::move(Body.at("value"));
  if (Value.dump().size() > this->Settings.MaxValueBytes)
    throw Error(ErrorKind::TooLarge, "the value is over 1 MB");
  const Object *Old = this->find(Kind, Name);
  const std::uint64_t OldVersion = Old ? Old->Version : 0;
  if (Body.contains("if_version") &&
      Body["if_version"].get<std::uint64_t>() != OldVersion) {
    ++this->Counts["conflicts"];
    this->send(*Reply, 409, {{"version", OldVersion}});
    return;
  }
  this->noteChange(Kind, Name, Old);
  this->Objects[Kind][Name] = {++this->Revision, std::move(Value)};
  this->answerWrite(Reply, this->Revision);
}

void PlatformEmulator::remove(const HttpRequest &Request, const ReplyPtr &Reply,
                              const std::string &Kind,
                              const std::string &Name) {
  const Object *Old = this->find(Kind, Name);
  if (!Old) {
    this->send(*Reply, 404, {{"error", "no such object"}});
    return;
  }
  if (queryNumber(Request.Query, "if_version", Old->Version) != Old->Version) {
    ++this->Counts["conflicts"];
    this->send(*Reply, 409, {{"version", Old->Version}});
    return;
  }
  this->noteChange(Kind, Name, Old);
  this->Objects[Kind].erase(Name);
  this->Deletions.push_back({++this->Revision, Kind, Name});
  if (this->Deletions.size() > this->Settings.MaxDeletions) {
    this->OldestRevision = this->Deletions.front().Version;
    this->Deletions.pop_front();
  }
  this->answerWrite(Reply, this->Revision);
}

void PlatformEmulator::noteChange(const std::string &Kind,
                                  const std::string &Name,
                                  const Object *Before) {
  this->Undoable.push_back(
      {EventLoop::now(), Kind, Name,
       Before ? std::optional<Object>(*Before) : std::nullopt});
  if (this->Undoable.size() > this->Settings.MaxUndoable) {
    this->UndoableSince = this->Undoable.front().At;
    this->Undoable.pop_front();
  }
}

void PlatformEmulator::answerWrite(const ReplyPtr &Reply,
                                   std::uint64_t Version) {
  this->checkWatches();
  if (this->LoseReplies > 0) {
    --this->LoseReplies;
    ++this->Counts["lost_replies"];
    Reply->abort();
    return;
  }
  this->send(*Reply, 200, {{"version", Version}});
}

void PlatformEmulator::list(const HttpRequest &Request, HttpReply &Reply,
                            const std::string &Kind) {
  const std::string Prefix = queryValue(Request.Query, "prefix").value_or("");
  const std::string After = queryValue(Request.Query, "after").value_or("");
  const std::uint64_t Limit = std::clamp<std::uint64_t>(
      queryNumber(Request.Query, "limit", 500), 1, MaxListLimit);
  json List = json::array();
  bool More = false;
  const auto &Group = this->Objects[Kind];
  const std::string &From = std::max(Prefix, After);
  for (auto It = Group.lower_bound(From);
       It != Group.end() && It->first.starts_with(Prefix); ++It) {
    if (!After.empty() && It->first <= After)
      continue;
    if (List.size() == Limit) {
      More = true;
      break;
    }
    List.push_back(
        describe(Kind, It->first, It->second.Version, It->second.Value));
  }
  this->send(Reply, 200,
             {{"revision", this->Revision}, {"objects", List}, {"more", More}});
}

void PlatformEmulator::watch(const HttpRequest &Request, const ReplyPtr &Reply,
                             const std::string &Kind) {
  const std::uint64_t Since = queryNumber(Request.Query, "since", 0);
  // A revision from the future belongs to another life of the platform.
  if (Since < this->OldestRevision || Since > this->Revision) {
    this->send(*Reply, 410, {{"revision", this->Revision}});
    return;
  }
  const auto Wait = Milliseconds(
      std::min(queryNumber(Request.Query, "timeout_ms", 10000), MaxWatchMs));
  this->Watches.push_back({Kind, Since, EventLoop::now() + Wait, Reply, Since});
  this->checkWatches();
}

json PlatformEmulator::changesSince(const std::string &Kind,
                                    std::uint64_t Since) const {
  std::map<std::uint64_t, json> Changes;
  if (const auto Group = this->Objects.find(Kind); Group != this->Objects.end())
    for (const auto &[Name, Each] : Group->second)
      if (Each.Version > Since)
        Changes[Each.Version] = describe(Kind, Name, Each.Version, Each.Value);
  for (const Deletion &Each : this->Deletions)
    if (Each.Version > Since && Each.Kind == Kind)
      Changes[Each.Version] = {{"kind", Kind},
                               {"name", Each.Name},
                               {"version", Each.Version},
                               {"deleted", true}};
  json Result = json::array();
  for (auto &[Version, Change] : Changes)
    Result.push_back(std::move(Change));
  return Result;
}

void PlatformEmulator::checkWatches() {
  const TimePoint Now = EventLoop::now();
  const bool IsOutage = Now < this->OutageUntil;
  if (!IsOutage) {
    for (const ReplyPtr &Each : this->Unanswered)
      Each->abort();
    this->Unanswered.clear();
  }
  std::erase_if(this->Watches, [&](Watch &Each) {
    if (Each.Reply->isClosed())
      return true;
    if (IsOutage) {
      if (this->IsOutageSilent)
        return false;
      this->send(*Each.Reply, 503, {{"error", "outage"}});
      return true;
    }
    if (Each.Checked == this->Revision && Now < Each.Deadline)
      return false;
    const json Changes = this->changesSince(Each.Kind, Each.Since);
    Each.Checked = this->Revision;
    if (Changes.empty() && Now < Each.Deadline)
      return false;
    this->send(*Each.Reply, 200,
               {{"revision", this->Revision}, {"objects", Changes}});
    return true;
  });
}

} // namespace galenaroute::emulator
