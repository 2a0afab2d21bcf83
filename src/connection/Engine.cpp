#include "connection/Engine.h"

#include "process/BoundedJson.h"

namespace galenaroute {

using nlohmann::json;

/// Silence is judged by the request, which resumes the stream.
static constexpr auto NoIdleLimit = std::chrono::hours(24);
/// How long the connection of a finished answer may take to end.
static constexpr auto FinishLimit = std::chrono::seconds(2);
static constexpr auto CancelLimit = std::chrono::seconds(2);

std::optional<EngineLine> parseEngineLine(std::string_view Text) {
  const json Parsed = tryParseJson(Text);
  if (!Parsed.is_object())
    return std::nullopt;
  try {
    EngineLine Line;
    Line.Attempt = Parsed.at("attempt");
    Line.IsDone = Parsed.value("done", false);
    const char *Counter = Line.IsDone ? "tokens" : "offset";
    if (!Parsed.at(Counter).is_number_unsigned())
      return std::nullopt;
    if (Line.IsDone) {
      Line.Tokens = Parsed.at("tokens");
      Line.CachedTokens = Parsed.value("cached_tokens", std::uint64_t{0});
      Line.Finish = Parsed.value("finish", "stop");
    } else {
      Line.Offset = Parsed.at("offset");
      Line.Text = Parsed.at("text");
    }
    return Line;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

bool LineSplitter::feed(std::string_view Bytes,
                        const std::function<void(std::string_view)> &OnLine) {
  std::size_t End;
  while ((End = Bytes.find('\n')) != std::string_view::npos) {
    if (this->Rest.size() + End > this->MaxBytes)
      return false;
    std::string_view Line = Bytes.substr(0, End);
    Bytes.remove_prefix(End + 1);
    if (this->Rest.empty()) {
      if (!Line.empty())
        OnLine(Line);
      continue;
    }
    const std::string Whole = std::move(this->Rest) + std::string(Line);
    this->Rest.clear();
    OnLine(Whole);
  }
  this->Rest += Bytes;
  return this->Rest.size() <= this->MaxBytes;
}

class HttpEngine::Stream : public EngineStream {
public:
  Stream(EngineCallbacks Callbacks) : Callbacks(std::move(Callbacks)) {}

  void begin(HttpClient &Client, HttpCall Call) {
    this->Exchange = Client.start(
        std::move(Call),
        {.OnHead =
             [this](int Status, const HttpHeaders &) {
               this->Status = Status;
               if (this->Callbacks.OnHead)
                 this->Callbacks.OnHead(Status);
             },
         .OnChunk = [this](std::string_view Bytes) { this->read(Bytes); },
         .OnDone =
             [this](const HttpResult &Result) {
               // The callback may destroy this stream.
               const auto OnEnd = std::move(this->Callbacks.OnEnd);
               if (OnEnd)
                 OnEnd(Result);
             }});
  }

  void pauseReading() override { this->Exchange->pauseReading(); }
  void resumeReading() override { this->Exchange->resumeReading(); }

  /// From now on only the end is reported, to \p OnEnd.
  void mute(std::function<void(const HttpResult &)> OnEnd) {
    this->Muted = true;
    this->Callbacks = {.OnEnd = std::move(OnEnd)};
  }

private:
  void read(std::string_view Bytes) {
    // Bodies of refusals are short texts, not lines of the protocol.
    if (this->Muted || this->Status != 200)
      return;
    // A copy, because mute() may replace the callbacks while it runs.
    const auto OnLine = this->Callbacks.OnLine;
    const bool Fits = this->Lines.feed(Bytes, [&](std::string_view Line) {
      if (!this->Muted)
        OnLine(parseEngineLine(Line));
    });
    if (!Fits && !this->Muted)
      OnLine(std::nullopt);
  }

  EngineCallbacks Callbacks;
  LineSplitter Lines{MaxEngineLineBytes};
  int Status = 0;
  bool Muted = false;
  std::unique_ptr<HttpExchange> Exchange;
};

HttpEngine::HttpEngine(EventLoop &Loop, HttpClient &Client,
                       Duration ConnectTimeout)
    : Loop(Loop), Client(Client), ConnectTimeout(ConnectTimeout) {}

HttpEngine::~HttpEngine() {
  for (auto &[Id, Each] : this->Finishing)
    Each.Timer.disconnect();
}

std::unique_ptr<EngineStream> HttpEngine::start(HttpCall Call,
                                                EngineCallbacks Callbacks) {
  Call.IdleTimeout = NoIdleLimit;
  Call.ConnectTimeout = this->ConnectTimeout;
  auto Started = std::make_unique<Stream>(std::move(Callbacks));
  Started->begin(this->Client, std::move(Call));
  return Started;
}

std::unique_ptr<EngineStream> HttpEngine::generate(const SocketAddress &To,
                                                   const EngineCall &Call,
                                                   EngineCallbacks Callbacks) {
  const json Body = {{"attempt", Call.Attempt},
                     {"customer", Call.Customer},
                     {"prompt", Call.Prompt},
                     {"block_keys", Call.BlockKeys},
                     {"prompt_tokens", Call.PromptTokens},
                     {"max_tokens", Call.MaxTokens},
                     {"priority", Call.Priority},
                     {"weight_version", Call.WeightVersion},
                     {"adapter", Call.Adapter}};
  return this->start(HttpCallBuilder(To)
                         .post("/v1/generate", Body.dump())
                         .header("Content-Type", "application/json")
                         .build(),
                     std::move(Callbacks));
}

std::unique_ptr<EngineStream> HttpEngine::resume(const SocketAddress &To,
                                                 const std::string &Attempt,
                                                 const std::string &Customer,
                                                 std::uint64_t Offset,
                                                 EngineCallbacks Callbacks) {
  return this->start(HttpCallBuilder(To)
                         .get("/v1/attempts/" + percentEncode(Attempt) +
                              "?offset=" + std::to_string(Offset) +
                              "&customer=" + percentEncode(Customer))
                         .newConnection()
                         .build(),
                     std::move(Callbacks));
}

void HttpEngine::cancel(const SocketAddress &To, const std::string &Attempt) {
  // The connection that carried the run may be silent, so a new one is used.
  this->Client.startDetached(
      HttpCallBuilder(To)
          .post("/v1/cancel", json{{"attempt", Attempt}}.dump())
          .header("Content-Type", "application/json")
          .connectTimeout(this->ConnectTimeout)
          .totalTimeout(CancelLimit)
          .newConnection()
          .build(),
      [](const HttpResult &) {});
}

void HttpEngine::finish(std::unique_ptr<EngineStream> Stream) {
  if (!Stream)
    return;
  const std::uint64_t Id = this->NextFinishing++;
  static_cast<HttpEngine::Stream &>(*Stream).mute(
      [this, Id](const HttpResult &) {
        // Destroyed when this scope ends, after the exchange has called back.
        auto Ended = this->Finishing.extract(Id);
        if (Ended)
          Ended.mapped().Timer.disconnect();
      });
  this->Finishing.emplace(
      Id, FinishingStream{std::move(Stream),
                          this->Loop.timers().after(FinishLimit, [this, Id] {
                            this->Finishing.erase(Id);
                          })});
}

} // namespace galenaroute
