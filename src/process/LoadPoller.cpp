#include "process/LoadPoller.h"

namespace galenaroute {

/// How often due calls are looked for; small against the periods.
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
      New.Questions[Question::Load].DueAt = Now;
    if (Each.Kind == PollKind::Engine)
      New.Questions[Question::Events].DueAt = Now;
    if (Each.Kind != PollKind::Plain) {
      New.Questions[Question::Blocks].DueAt = Now;
      // Another process may be behind a changed address.
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
  this->Stretch =
      std::max(1.0, CallsPerSecond / this->Settings.MaxCallsPerSecond);
}

Duration LoadPoller::period(const Target &Of, Question What) const {
  const auto Stretched = [this](Duration Period) {
    return std::max(fromSeconds(toSeconds(Period) * this->Stretch),
                    this->Active ? Duration::zero()
                                 : this->Settings.IdlePeriod);
  };
  switch (What) {
  case Question::Load:
    return Stretched(this->Settings.LoadPeriod);
  case Question::Events:
    return Stretched(this->Settings.EventPeriod);
  case Question::Blocks:
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
    for (auto &[What, Waiting] : Each.Questions)
      if (What != Question::Blocks)
        Waiting.DueAt = std::min(
            Waiting.DueAt, Now + this->withJitter(this->period(Each, What)));
}

Duration LoadPoller::withJitter(Duration Period) {
  return fromSeconds(toSeconds(Period) * std::uniform_real_distribution<double>(
                                             0.75, 1.25)(this->Generator));
}

void LoadPoller::tick() {
  this->Ended.clear();
  const TimePoint Now = EventLoop::now();
  for (auto &[Name, Each] : this->Targets)
    for (auto &[What, Waiting] : Each.Questions)
      if (!Waiting.Call && Waiting.DueAt <= Now)
        this->ask(Each, What);
}

void LoadPoller::ask(Target &To, Question What) {
  std::string Path = "/v1/load";
  if (What == Question::Events)
    Path = "/v1/cache/events?after=" +
           std::to_string(lastSeq(this->Index, To.Config.Name));
  else if (What == Question::Blocks && To.Config.Kind == PollKind::Engine)
    Path = "/v1/cache/blocks";
  else if (What == Question::Blocks)
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
  To.Questions[What].Call = this->Http.start(
      std::move(Call), {.OnDone = [this, Name = To.Config.Name, What,
                                   SentAt](const HttpResult &Result) {
        this->answered(Name, What, SentAt, Result);
      }});
}

void LoadPoller::answered(const std::string &Name, Question What,
                          TimePoint SentAt, const HttpResult &Result) {
  // Exchanges of removed targets were destroyed and don't call back.
  Target &From = this->Targets.at(Name);
  Pending &Waiting = From.Questions.at(What);
  this->Ended.push_back(std::move(Waiting.Call));
  Waiting.DueAt = EventLoop::now() + this->withJitter(this->period(From, What));
  if (!Result.isSuccess()) {
    // A listing that broke off is started again.
    if (What == Question::Blocks) {
      From.Pages = {};
      From.PageCount = 0;
      Waiting.DueAt =
          EventLoop::now() + this->withJitter(this->Settings.RelistDelay);
    }
    return;
  }
  switch (What) {
  case Question::Load:
    return this->onLoad(From, SentAt, Result);
  case Question::Events:
    return this->onEvents(From, Result);
  case Question::Blocks:
    return this->onBlocks(From, Result);
  }
}

void LoadPoller::onLoad(const Target &From, TimePoint SentAt,
                        const HttpResult &Result) {
  const Duration RoundTrip = EventLoop::now() - SentAt;
  // The answer left the upstream about half a round trip ago.
  const auto Report = parseLoadReport(Result.Body, SentAt + RoundTrip / 2);
  if (!Report) {
    ++this->Malformed;
    return;
  }
  // Copied, because a handler may change the targets.
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
  Pending &Listing = From.Questions.at(Question::Blocks);
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
    From.Questions.at(Question::Blocks).DueAt = EventLoop::now();
    return;
  }
  applyListing(this->Index, From.Config.Name, From.Pages.Seq, From.Pages.Keys);
  From.Pages = {};
  From.PageCount = 0;
}

} // namespace galenaroute
