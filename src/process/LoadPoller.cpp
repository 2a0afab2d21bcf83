#include "process/LoadPoller.h"

namespace galenaroute {

/// How often due calls are started; small compared to the periods.
static constexpr auto TickPeriod = std::chrono::milliseconds(10);

LoadPoller::LoadPoller(EventLoop &Loop, HttpClient &Http, CacheIndex &Index,
                       RandomGenerator &Generator, LoadPollerSettings Settings)
    : Loop(Loop), Http(Http), Index(Index), Generator(Generator),
      Settings(Settings) {
  this->Timer = Loop.timers().every(TickPeriod, [this] { this->tick(); });
}

LoadPoller::~LoadPoller() { this->Timer.disconnect(); }

void LoadPoller::setTargets(const std::vector<PollTarget> &Wanted) {
  std::map<std::string, Target> Kept;
  double CallsPerSecond = 0;
  const TimePoint Now = EventLoop::now();
  for (const PollTarget &Each : Wanted) {
    if (Each.Kind != PollKind::Store)
      CallsPerSecond += 1 / toSeconds(this->Settings.LoadPeriod);
    if (Each.Kind == PollKind::Engine)
      CallsPerSecond += 1 / toSeconds(this->Settings.EventPeriod);
    auto Node = this->Targets.extract(Each.Name);
    if (Node && Node.mapped().Config == Each) {
      Kept.insert(std::move(Node));
      continue;
    }
    Target New{.Config = Each};
    if (Each.Kind != PollKind::Store)
      New.Queries[Query::Load].DueAt = Now;
    if (Each.Kind == PollKind::Engine)
      New.Queries[Query::Events].DueAt = Now;
    if (Each.Kind != PollKind::Plain) {
      New.Queries[Query::Blocks].DueAt = Now;
      // A changed address may belong to another process.
      removeHolder(this->Index, Each.Name);
      addHolder(this->Index, Each.Name,
                Each.Kind == PollKind::Store ? HolderKind::Store
                                             : HolderKind::Engine);
    }
    Kept.emplace(Each.Name, std::move(New));
  }
  std::swap(this->Targets, Kept);
  for (const auto &[Name, Old] : Kept)
    if (!this->Targets.contains(Name))
      removeHolder(this->Index, Name);
  this->PeriodFactor =
      std::max(1.0, CallsPerSecond / this->Settings.MaxCallsPerSecond);
}

Duration LoadPoller::period(const Target &Of, Query Kind) const {
  const auto Scaled = [this](Duration Period) {
    return std::max(fromSeconds(toSeconds(Period) * this->PeriodFactor),
                    this->Active ? Duration::zero()
                                 : this->Settings.IdlePeriod);
  };
  switch (Kind) {
  case Query::Load:
    return Scaled(this->Settings.LoadPeriod);
  case Query::Events:
    return Scaled(this->Settings.EventPeriod);
  case Query::Blocks:
    return Of.Config.Kind == PollKind::Store ? this->Settings.StorePeriod
                                             : this->Settings.ListPeriod;
  }
  return this->Settings.ListPeriod;
}

void LoadPoller::setActive(bool Value) {
  if (Value == this->Active)
    return;
  this->Active = Value;
  if (!Value)
    return;
  const TimePoint Now = EventLoop::now();
  for (auto &[Name, Each] : this->Targets)
    for (auto &[Kind, Scheduled] : Each.Queries)
      if (Kind != Query::Blocks)
        Scheduled.DueAt = std::min(
            Scheduled.DueAt, Now + this->withJitter(this->period(Each, Kind)));
}

Duration LoadPoller::withJitter(Duration Period) {
  return fromSeconds(toSeconds(Period) * std::uniform_real_distribution<double>(
                                             0.75, 1.25)(this->Generator));
}

void LoadPoller::tick() {
  this->Ended.clear();
  const TimePoint Now = EventLoop::now();
  for (auto &[Name, Each] : this->Targets)
    for (auto &[Kind, Scheduled] : Each.Queries)
      if (!Scheduled.Call && Scheduled.DueAt <= Now)
        this->sendQuery(Each, Kind);
}

void LoadPoller::sendQuery(Target &To, Query Kind) {
  std::string Path = "/v1/load";
  if (Kind == Query::Events)
    Path = "/v1/cache/events?after=" +
           std::to_string(lastSeq(this->Index, To.Config.Name));
  else if (Kind == Query::Blocks && To.Config.Kind == PollKind::Engine)
    Path = "/v1/cache/blocks";
  else if (Kind == Query::Blocks)
    Path = To.Pages.Last.empty()
               ? "/v1/blocks"
               : "/v1/blocks?after=" + percentEncode(To.Pages.Last);
  ++this->Calls;
  HttpCall Call = HttpCallBuilder(To.Config.Address)
                      .get(std::move(Path))
                      .connectTimeout(this->Settings.Timeout)
                      .idleTimeout(this->Settings.Timeout)
                      .totalTimeout(this->Settings.Timeout)
                      .build();
  Call.MaxBodyBytes = this->Settings.MaxBodyBytes;
  const TimePoint SentAt = EventLoop::now();
  To.Queries[Kind].Call = this->Http.start(
      std::move(Call), {.OnDone = [this, Name = To.Config.Name, Kind,
                                   SentAt](const HttpResult &Result) {
        this->onResponse(Name, Kind, SentAt, Result);
      }});
}

void LoadPoller::onResponse(const std::string &Name, Query Kind,
                            TimePoint SentAt, const HttpResult &Result) {
  // Exchanges of removed targets have been destroyed and don't call back.
  Target &From = this->Targets.at(Name);
  ScheduledCall &Scheduled = From.Queries.at(Kind);
  this->Ended.push_back(std::move(Scheduled.Call));
  Scheduled.DueAt =
      EventLoop::now() + this->withJitter(this->period(From, Kind));
  if (!Result.isSuccess()) {
    // A failed listing restarts from its first page.
    if (Kind == Query::Blocks) {
      From.Pages = {};
      From.PageCount = 0;
      Scheduled.DueAt =
          EventLoop::now() + this->withJitter(this->Settings.RelistDelay);
    }
    return;
  }
  switch (Kind) {
  case Query::Load:
    return this->onLoad(From, SentAt, Result);
  case Query::Events:
    return this->onEvents(From, Result);
  case Query::Blocks:
    return this->onBlocks(From, Result);
  }
}

void LoadPoller::onLoad(const Target &From, TimePoint SentAt,
                        const HttpResult &Result) {
  const Duration RoundTrip = EventLoop::now() - SentAt;
  // The upstream sent its response about half a round trip ago.
  const auto Report = parseLoadReport(Result.Body, SentAt + RoundTrip / 2);
  if (!Report) {
    ++this->Malformed;
    return;
  }
  // Copied because a handler may change the targets.
  const std::string Name = From.Config.Name;
  this->Loaded.emit(Name, *Report, RoundTrip);
}

void LoadPoller::onEvents(Target &From, const HttpResult &Result) {
  const auto Batch = parseCacheEvents(Result.Body);
  if (!Batch) {
    ++this->Malformed;
    return;
  }
  applyEvents(this->Index, From.Config.Name, *Batch);
  if (!needsListing(this->Index, From.Config.Name))
    return;
  ScheduledCall &Listing = From.Queries.at(Query::Blocks);
  const TimePoint Soon =
      EventLoop::now() + this->withJitter(this->Settings.RelistDelay);
  Listing.DueAt = std::min(Listing.DueAt, Soon);
}

void LoadPoller::onBlocks(Target &From, const HttpResult &Result) {
  auto Page = parseBlockListing(Result.Body);
  if (!Page) {
    ++this->Malformed;
    return;
  }
  From.Pages.Seq = Page->Seq;
  From.Pages.Last = std::move(Page->Last);
  From.Pages.Keys.insert(From.Pages.Keys.end(), Page->Keys.begin(),
                         Page->Keys.end());
  if (Page->More && ++From.PageCount < this->Settings.MaxPages &&
      From.Pages.Keys.size() < MaxReportedBlocks) {
    From.Queries.at(Query::Blocks).DueAt = EventLoop::now();
    return;
  }
  applyListing(this->Index, From.Config.Name, From.Pages.Seq, From.Pages.Keys);
  From.Pages = {};
  From.PageCount = 0;
}

} // namespace galenaroute
