#include "EngineEmulator.h"

#include "GeneratedText.h"

#include "process/ErrorKind.h"

#include <algorithm>

namespace galenaroute::emulator {

using nlohmann::json;

namespace {

/// Bytes of text that stand for one token where no tokenizer is given.
constexpr std::uint64_t BytesPerToken = 4;
/// Steps made up for after the process was held up; more would be a burst that
/// no engine delivers.
constexpr double MaxDueSteps = 20;
/// From the last bytes of a crashing engine to the end of its connections, so
/// that they reach the caller.
constexpr auto CrashFlushTime = std::chrono::milliseconds(5);

} // namespace

EngineEmulator::EngineEmulator(EventLoop &Loop, HttpClient &Client,
                               const EngineSettings &Settings)
    : Loop(Loop), Settings(Settings),
      Generator(Settings.Seed), Batch{.Slots = Settings.Slots,
                                      .MaxQueued = Settings.MaxQueued},
      Cache(Settings.CacheBlocks, 10000), Orders(Loop, Client, Settings.Orders),
      Transfer(
          Loop, Client, Cache, [this] { return this->Orders.weightVersion(); },
          Settings.KvLinkMbps, Settings.BlockBytes) {
  this->Orders.Unloaded.connect(
      [this] { this->Cache.clear(EventLoop::now()); });
  this->sampleLoad();
  this->SampleTimer = Loop.timers().every(std::chrono::milliseconds(20),
                                          [this] { this->sampleLoad(); });
  this->ForgetTimer = Loop.timers().every(std::chrono::milliseconds(500),
                                          [this] { this->forgetAttempts(); });
}

EngineEmulator::~EngineEmulator() {
  for (sigc::connection *Each : {&this->StepTimer, &this->SampleTimer,
                                 &this->ForgetTimer, &this->CrashTimer})
    Each->disconnect();
}

void EngineEmulator::answer(const HttpRequest &Request, const ReplyPtr &Reply) {
  const std::string Route = Request.Method + " " + Request.Path;
  static constexpr std::string_view AttemptPrefix = "GET /v1/attempts/";
  if (Route == "POST /v1/generate") {
    this->generate(Request, Reply);
  } else if (Route.starts_with(AttemptPrefix)) {
    this->resume(Request, Reply,
                 percentDecode(Route.substr(AttemptPrefix.size())));
  } else if (Route == "POST /v1/cancel") {
    this->cancel(parseObject(Request.Body).at("attempt"), *Reply);
  } else if (Route == "GET /v1/load") {
    this->answerLoad(*Reply);
  } else if (Route == "GET /v1/cache/events") {
    this->answerEvents(Request, *Reply);
  } else if (Route == "GET /v1/cache/blocks") {
    sendJson(
        *Reply, 200,
        {{"seq", this->Cache.lastSequence()}, {"keys", this->Cache.keys()}});
  } else if (Route == "POST /v1/orders") {
    const auto [Status, Body] = this->Orders.apply(parseObject(Request.Body));
    sendJson(*Reply, Status, Body);
  } else if (Route == "GET /v1/orders") {
    sendJson(*Reply, 200, this->Orders.state());
  } else if (Route == "POST /v1/kv/export") {
    this->Transfer.exportBlocks(parseObject(Request.Body), Reply);
  } else if (Route == "POST /v1/kv/import") {
    this->Transfer.importBlocks(parseObject(Request.Body), Reply);
  } else if (Route == "POST /admin/fault") {
    const json Fault = parseObject(Request.Body);
    sendJson(*Reply, 200, json::object());
    this->setFault(Fault);
  } else if (Route == "GET /admin/stats") {
    this->answerStats(*Reply);
  } else {
    throw Error(ErrorKind::NotFound, "no such path");
  }
}

void EngineEmulator::generate(const HttpRequest &Request,
                              const ReplyPtr &Reply) {
  const json Body = parseObject(Request.Body);
  Attempt Run;
  Run.Id = Body.at("attempt");
  Run.Customer = Body.value("customer", "");
  const std::string Prompt = Body.at("prompt");
  const std::string Version = Body.value("weight_version", "");
  const std::string Adapter = Body.value("adapter", "");
  const std::string &Current = this->Orders.weightVersion();
  if (Current.empty() || (!Version.empty() && Version != Current)) {
    ++this->Counts["refused_version"];
    sendJson(*Reply, 409,
             {{"error", "weight_version"}, {"weight_version", Current}});
    return;
  }
  if (!Adapter.empty() && !this->Orders.hasAdapter(Adapter)) {
    sendJson(*Reply, 409, {{"error", "adapter"}, {"weight_version", Current}});
    return;
  }
  if (Run.Id.empty() || this->Attempts.contains(Run.Id)) {
    sendJson(*Reply, 409, {{"error", "attempt"}, {"weight_version", Current}});
    return;
  }
  Run.Seed = answerSeed(Prompt);
  Run.MaxTokens = std::clamp<std::uint64_t>(
      Body.value("max_tokens", std::uint64_t{16}), 1, this->Settings.MaxTokens);
  Run.PromptTokens = std::max<std::uint64_t>(
      1, Body.value("prompt_tokens",
                    (Prompt.size() + BytesPerToken - 1) / BytesPerToken));
  this->setKeys(Run, Body, Prompt);
  Run.Crashes = !this->CrashMarker.empty() &&
                Prompt.find(this->CrashMarker) != std::string::npos;
  if (this->Attempts.size() >= this->Settings.MaxAttempts ||
      !enqueue(this->Batch, {.Id = Run.Id,
                             .Priority = Body.value("priority", 0),
                             .Uncached = static_cast<double>(Run.PromptTokens),
                             .MaxTokens = Run.MaxTokens})) {
    ++this->Counts["refused_full"];
    sendJson(*Reply, 429, {{"error", "queue"}});
    return;
  }
  ++this->Counts["accepted"];
  Attempt &Added = this->Attempts[Run.Id] = std::move(Run);
  this->attach(Added, Reply, 0);
  this->startWaitingRuns();
  this->scheduleStep();
}

void EngineEmulator::setKeys(Attempt &Run, const json &Body,
                             std::string_view Prompt) const {
  const auto Keys = Body.value("block_keys", std::vector<std::string>{});
  const std::uint64_t BlockSize = this->Settings.BlockTokens * BytesPerToken;
  const std::size_t Whole =
      std::min<std::size_t>(Keys.size(), Prompt.size() / BlockSize);
  BlockOrigin Origin{Run.Customer, this->Orders.weightVersion(),
                     Body.value("adapter", ""), 0};
  for (std::size_t I = 0; I < Whole; ++I) {
    // Chaining covers the whole prefix without hashing it again per block.
    Origin.PrefixHash = Origin.PrefixHash * 1099511628211ULL ^
                        answerSeed(Prompt.substr(I * BlockSize, BlockSize));
    Run.Keys.push_back(Keys[I]);
    Run.Origins.push_back(Origin);
  }
}

void EngineEmulator::resume(const HttpRequest &Request, const ReplyPtr &Reply,
                            const std::string &Id) {
  const auto It = this->Attempts.find(Id);
  const std::string Customer =
      queryValue(Request.Query, "customer").value_or("");
  if (It == this->Attempts.end() || It->second.Customer != Customer)
    throw Error(ErrorKind::NotFound, "no such attempt");
  const std::uint64_t Offset = queryNumber(Request.Query, "offset", 0);
  if (Offset > It->second.MaxTokens)
    throw Error(ErrorKind::BadRequest, "the offset is past the answer");
  ++this->Counts["resumed"];
  this->attach(It->second, Reply, Offset);
}

void EngineEmulator::cancel(const std::string &Id, HttpReply &Reply) {
  const auto It = this->Attempts.find(Id);
  const bool IsOpen = It != this->Attempts.end() && It->second.Finish.empty();
  if (IsOpen) {
    ++this->Counts["cancelled"];
    removeRun(this->Batch, Id);
    this->finish(It->second, "cancelled");
    this->startWaitingRuns();
  }
  sendJson(Reply, 200, {{"cancelled", IsOpen}});
}

void EngineEmulator::attach(Attempt &Run, const ReplyPtr &Reply,
                            std::uint64_t Offset) {
  // A stream has one reader; an earlier one is cut when its reply goes away.
  Run.Reader = Reply;
  Run.Sent = Offset;
  Run.LastRead = EventLoop::now();
  const HttpHeaders Headers = {{"Content-Type", "application/jsonl"}};
  const auto IsDrawn = [this](double Share) {
    return Share > 0 && happens(this->Generator, Share);
  };
  Run.IsUnframed = IsDrawn(this->Settings.UnframedShare);
  Run.BreaksOffAt.reset();
  if (IsDrawn(this->Settings.BrokenOffShare))
    Run.BreaksOffAt = Offset + 1;
  if (Run.IsUnframed)
    Reply->startUnframedStream(200, Headers);
  else
    Reply->startStream(200, Headers);
  this->deliver(Run);
}

static std::string lineOf(const std::string &Attempt, std::uint64_t Seed,
                          std::uint64_t Offset) {
  return json{{"attempt", Attempt},
              {"offset", Offset},
              {"text", tokenText(Seed, Offset)}}
             .dump() +
         "\n";
}

void EngineEmulator::deliver(Attempt &Run) {
  if (!Run.Reader)
    return;
  if (Run.Crashes && this->CrashesAtAnswer && Run.Generated > 0) {
    this->crashAtAnswer(Run);
    return;
  }
  std::string Lines;
  for (; Run.Sent < Run.Generated; ++Run.Sent) {
    if (Run.Sent == Run.BreaksOffAt) {
      this->breakOff(Run, Lines);
      return;
    }
    Lines += lineOf(Run.Id, Run.Seed, Run.Sent);
  }
  if (!Run.Finish.empty())
    Lines += json{{"attempt", Run.Id},
                  {"done", true},
                  {"tokens", Run.Generated},
                  {"cached_tokens", Run.CachedTokens},
                  {"finish", Run.Finish}}
                 .dump() +
             "\n";
  Run.Reader->write(Lines);
  if (!Run.Finish.empty()) {
    Run.Reader->endStream();
    Run.Reader.reset();
  }
}

/// Ends the stream to the reader with \p Lines and half of the next one.
void EngineEmulator::breakOff(Attempt &Run, const std::string &Lines) {
  ++this->Counts["broken_off"];
  const std::string Next = lineOf(Run.Id, Run.Seed, Run.Sent);
  const std::string Last = Lines + Next.substr(0, Next.size() / 2);
  const ReplyPtr Reader = std::exchange(Run.Reader, nullptr);
  if (Run.IsUnframed) {
    Reader->write(Last);
    Reader->endStream();
  } else {
    Reader->abortAfter(Last);
  }
}

/// Writes half of the first line and crashes.
void EngineEmulator::crashAtAnswer(Attempt &Run) {
  const std::string First = lineOf(Run.Id, Run.Seed, 0);
  Run.Reader->write(std::string_view(First).substr(0, First.size() / 2));
  this->Silent.push_back(std::exchange(Run.Reader, nullptr));
  this->CrashTimer = this->Loop.timers().after(
      CrashFlushTime, [this] { this->crash(this->CrashRestart); });
}

void EngineEmulator::finish(Attempt &Run, const std::string &Reason) {
  Run.Finish = Reason;
  Run.LastRead = EventLoop::now();
  this->Cache.unpin(Run.Pinned);
  Run.Pinned.clear();
  this->deliver(Run);
}

void EngineEmulator::startWaitingRuns() {
  for (const std::string &Id : startWaiting(this->Batch)) {
    Attempt &Run = this->Attempts.at(Id);
    const std::size_t Hits = this->Cache.match(Run.Keys, Run.Origins);
    Run.Pinned.assign(Run.Keys.begin(),
                      Run.Keys.begin() + static_cast<std::ptrdiff_t>(Hits));
    this->Cache.pin(Run.Pinned);
    // At least one token is always processed, since it yields the first
    // token of the answer.
    Run.CachedTokens =
        std::min(Hits * this->Settings.BlockTokens, Run.PromptTokens - 1);
    this->Counts["prompt_tokens"] += Run.PromptTokens;
    this->Counts["cached_tokens"] += Run.CachedTokens;
    findRunning(this->Batch, Id)->Uncached =
        static_cast<double>(Run.PromptTokens - Run.CachedTokens);
    if (Run.Crashes && !this->CrashesAtAnswer)
      this->CrashTimer = this->Loop.timers().after(
          this->CrashDelay, [this] { this->crash(this->CrashRestart); });
  }
  std::uint64_t &Most = this->Counts["most_running"];
  Most = std::max<std::uint64_t>(Most, this->Batch.Running.size());
}

Duration EngineEmulator::stepTime() const {
  const double Factor =
      EventLoop::now() < this->SlowUntil ? this->SlowFactor : 1;
  return fromSeconds(toSeconds(this->Settings.DecodeStep) * Factor);
}

void EngineEmulator::scheduleStep() {
  if (this->IsStepArmed || this->Batch.Running.empty())
    return;
  this->IsStepArmed = true;
  this->LastStep = EventLoop::now();
  this->DueSteps = 0;
  this->StepTimer = this->Loop.timers().every(this->Settings.DecodeStep,
                                              [this] { this->runSteps(); });
}

void EngineEmulator::runSteps() {
  const TimePoint Now = EventLoop::now();
  this->DueSteps =
      std::min(MaxDueSteps, this->DueSteps + toSeconds(Now - this->LastStep) /
                                                 toSeconds(this->stepTime()));
  this->LastStep = Now;
  const double Budget = this->Settings.PrefillTokensPerSecond *
                        toSeconds(this->Settings.DecodeStep);
  for (; this->DueSteps >= 1; this->DueSteps -= 1) {
    for (const BatchEvent &Each : step(this->Batch, Budget))
      this->apply(Each);
    this->startWaitingRuns();
  }
  if (this->Batch.Running.empty()) {
    this->StepTimer.disconnect();
    this->IsStepArmed = false;
  }
}

void EngineEmulator::apply(const BatchEvent &Event) {
  Attempt &Run = this->Attempts.at(Event.Id);
  switch (Event.What) {
  case BatchEvent::Type::Prefilled:
    this->completePrefill(Run);
    break;
  case BatchEvent::Type::Token:
    ++this->Counts["generated_tokens"];
    Run.Generated = Event.Offset + 1;
    this->deliver(Run);
    break;
  case BatchEvent::Type::Finished:
    ++this->Counts["finished"];
    this->finish(Run, "stop");
    break;
  }
}

void EngineEmulator::completePrefill(Attempt &Run) {
  // A run that began on earlier weights must not leave blocks to new ones.
  if (!Run.Origins.empty() &&
      Run.Origins.front().WeightVersion != this->Orders.weightVersion())
    return;
  this->Cache.unpin(Run.Pinned);
  const TimePoint Now = EventLoop::now();
  for (std::size_t I = 0; I < Run.Keys.size(); ++I) {
    this->Cache.add(Run.Keys[I], Run.Origins[I], Now);
    this->Cache.pin({&Run.Keys[I], 1});
  }
  Run.Pinned.clear();
  for (const std::string &Each : Run.Keys)
    if (this->Cache.find(Each))
      Run.Pinned.push_back(Each);
}

void EngineEmulator::forgetAttempts() {
  const TimePoint Now = EventLoop::now();
  for (auto It = this->Attempts.begin(); It != this->Attempts.end();) {
    Attempt &Run = It->second;
    if (Run.Reader && Run.Reader->isClosed())
      Run.Reader.reset();
    if (Run.Reader)
      Run.LastRead = Now;
    if (Run.Finish.empty() && !Run.Reader &&
        Now - Run.LastRead > this->Settings.KeepUnread) {
      ++this->Counts["abandoned"];
      removeRun(this->Batch, Run.Id);
      this->finish(Run, "cancelled");
      this->startWaitingRuns();
    }
    if (!Run.Finish.empty() && Now - Run.LastRead > this->Settings.KeepFinished)
      It = this->Attempts.erase(It);
    else
      ++It;
  }
}

void EngineEmulator::crash(Duration RestartAfter) {
  ++this->Counts["crashes"];
  this->dropState();
  this->Crashed.emit(RestartAfter);
}

} // namespace galenaroute::emulator
