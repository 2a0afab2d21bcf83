#include "request/CallerApi.h"

#include "process/BuildVersion.h"
#include "process/Log.h"
#include "process/Sha256.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

static constexpr std::size_t MaxRequestIdBytes = 128;

/// Returns the request id that the caller sent, or an empty string.
static std::string callerRequestId(const HttpRequest &Request) {
  const auto Given = Request.Headers.find("X-Request-Id");
  if (!Given || Given->empty())
    return {};
  const bool IsPlain =
      std::all_of(Given->begin(), Given->end(),
                  [](unsigned char C) { return C > ' ' && C < 0x7f; });
  if (Given->size() > MaxRequestIdBytes || !IsPlain)
    throw Error(
        ErrorKind::BadRequest,
        "X-Request-Id must consist of 1 to 128 visible ASCII characters");
  return std::string(*Given);
}

/// Returns the bearer token of the Authorization header, or an empty string.
static std::string_view bearerToken(const HttpRequest &Request) {
  static constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Field =
      Request.Headers.find("Authorization").value_or("");
  return Field.starts_with(Scheme) ? Field.substr(Scheme.size())
                                   : std::string_view();
}

static void requireMethod(const HttpRequest &Request, std::string_view Method) {
  if (Request.Method != Method)
    throw Error(ErrorKind::NotFound,
                Request.Path + " supports " + std::string(Method) + " only");
}

static std::string_view toString(ServingState State) {
  switch (State) {
  case ServingState::Serving:
    return "serving";
  case ServingState::Withdrawn:
    return "withdrawn";
  case ServingState::Finishing:
    return "finishing";
  }
  return "finishing";
}

CallerApi::CallerApi(RequestContext &Context, const ConfigSource &Config,
                     CallerApiHooks Hooks)
    : Context(Context), Config(Config), Hooks(std::move(Hooks)) {}

void CallerApi::handle(HttpRequest Request,
                       const std::shared_ptr<HttpReply> &Http) {
  const bool CloseAfter = this->Hooks.State() != ServingState::Serving;
  std::string Id;
  try {
    Id = callerRequestId(Request);
  } catch (const Error &Failure) {
    CallerReply(Http, randomId(), CloseAfter).fail(Failure);
    return;
  }
  const bool HasCallerId = !Id.empty();
  CallerReply Reply(Http, HasCallerId ? std::move(Id) : randomId(), CloseAfter);
  try {
    this->dispatch(Request, Reply, HasCallerId);
  } catch (const Error &Failure) {
    this->Context.Events.record("request.rejected", Reply.requestId(),
                                describeError(Failure.Kind).Code);
    this->Context.Stats.requestEnded(
        "none", std::string(describeError(Failure.Kind).Code),
        Duration::zero());
    log(LogLevel::Info, "request.rejected",
        {{"request", Reply.requestId()},
         {"kind", std::string(describeError(Failure.Kind).Code)},
         {"message", Failure.what()}});
    Reply.fail(Failure);
  } catch (const std::exception &Failure) {
    log(LogLevel::Error, "request.fault",
        {{"request", Reply.requestId()}, {"message", Failure.what()}});
    Reply.fail(Error(ErrorKind::Internal, "internal error"));
  }
}

void CallerApi::dispatch(HttpRequest &Request, CallerReply &Reply,
                         bool HasCallerId) {
  if (Request.Path == "/v1/completions")
    return this->prompt(Request, Reply, PromptApi::Completion);
  if (Request.Path == "/v1/chat/completions")
    return this->prompt(Request, Reply, PromptApi::Chat);
  if (Request.Path.starts_with("/services/"))
    return this->service(Request, Reply, HasCallerId);
  this->dispatchOperator(Request, Reply);
}

void CallerApi::dispatchOperator(const HttpRequest &Request,
                                 CallerReply &Reply) {
  static constexpr std::string_view Json = "application/json";
  if (Request.Path == "/v1/entries") {
    requireMethod(Request, "GET");
    json List = json::array();
    for (const EntryAddress &Each : this->Hooks.Entries())
      List.push_back({{"address", Each.Address}, {"zone", Each.Zone}});
    const json Body = {
        {"entries", List},
        {"keep_seconds", toSeconds(this->Context.Settings.EntriesTtl)}};
    return Reply.send(200, Json, Body.dump());
  }
  if (Request.Path == "/v1/status") {
    requireMethod(Request, "GET");
    return Reply.send(200, Json, this->status().dump());
  }
  if (Request.Path == "/healthz") {
    requireMethod(Request, "GET");
    const bool IsReady = this->Config.current() != nullptr &&
                         this->Hooks.State() == ServingState::Serving;
    return Reply.send(IsReady ? 200 : 503, Json, this->status().dump());
  }
  if (Request.Path == "/metrics") {
    requireMethod(Request, "GET");
    return Reply.send(200, "text/plain; version=0.0.4; charset=utf-8",
                      this->Context.Stats.toText());
  }
  if (Request.Path == "/v1/timeline") {
    requireMethod(Request, "GET");
    this->checkOperator(Request);
    const std::string Since = queryValue(Request.Query, "since").value_or("0");
    std::int64_t Micros = 0;
    std::from_chars(Since.data(), Since.data() + Since.size(), Micros);
    return Reply.send(
        200, Json,
        this->Context.Events
            .toJson(queryValue(Request.Query, "request").value_or(""), Micros)
            .dump(-1, ' ', false, json::error_handler_t::replace));
  }
  if (Request.Path == "/v1/drain") {
    requireMethod(Request, "POST");
    this->checkOperator(Request);
    this->Hooks.Drain();
    return Reply.send(202, Json, this->status().dump());
  }
  throw Error(ErrorKind::NotFound, "unknown path: " + Request.Path);
}

RequestInfo CallerApi::admit(const HttpRequest &Request,
                             const CallerReply &Reply) {
  if (this->Hooks.State() == ServingState::Finishing)
    throw Error(
        ErrorKind::Draining,
        "this gateway is draining; fetch /v1/entries for other gateways");
  ConfigurationPtr Current = this->Config.current();
  if (!Current)
    throw Error(ErrorKind::NotReady, "no configuration has been loaded yet");
  const std::string_view Key = bearerToken(Request);
  const CustomerConfig *Customer =
      Key.empty() ? nullptr : Current->findCustomerByDigest(sha256Hex(Key));
  if (!Customer)
    throw Error(ErrorKind::Unauthenticated,
                "an Authorization header with a customer's bearer key is "
                "required");
  if (this->Context.Open.count() >= this->Context.Settings.MaxOpenRequests)
    throw Error(ErrorKind::Overloaded,
                "the gateway has reached its limit of open requests");
  return {std::move(Current), Customer->Name, {}, EventLoop::now(), Reply};
}

void CallerApi::prompt(const HttpRequest &Request, CallerReply &Reply,
                       PromptApi Api) {
  requireMethod(Request, "POST");
  RequestInfo Info = this->admit(Request, Reply);
  PromptRequest Prompt = parsePromptRequest(Api, Request.Body);
  const ServiceConfig *Service = Info.Config->findModel(Prompt.Model);
  if (!Service)
    throw Error(ErrorKind::NotFound,
                "no service serves the model '" + Prompt.Model + "'");
  if (!Prompt.Adapter.empty() &&
      std::find(Service->Adapters.begin(), Service->Adapters.end(),
                Prompt.Adapter) == Service->Adapters.end())
    throw Error(ErrorKind::NotFound, "the service " + Service->Name +
                                         " has no adapter '" + Prompt.Adapter +
                                         "'");
  Info.Service = Service->Name;
  std::optional<ResumePoint> From;
  if (const auto Last = Request.Headers.find("Last-Event-ID")) {
    From = parseResumePoint(*Last);
    if (!Prompt.Stream)
      throw Error(ErrorKind::BadRequest,
                  "Last-Event-ID is only supported for streamed responses");
    const bool IsKnown =
        std::any_of(Service->Upstreams.begin(), Service->Upstreams.end(),
                    [&](const UpstreamConfig &Each) {
                      return Each.Name == From->Upstream;
                    });
    if (!IsKnown)
      throw Error(ErrorKind::StreamLost,
                  "the upstream of this stream no longer exists; retry without "
                  "Last-Event-ID");
    if (RequestRun *Earlier =
            this->Context.Open.findStream(Info.Customer, From->Attempt))
      Earlier->takeOver();
  }
  this->Context.Events.record("request.arrived", Info.id(),
                              Info.Customer + " " + Info.Service);
  this->Context.Open.add(
      std::make_unique<ModelRun>(this->Context, Info, std::move(Prompt), From));
}

void CallerApi::service(HttpRequest &Request, CallerReply &Reply,
                        bool HasCallerId) {
  RequestInfo Info = this->admit(Request, Reply);
  std::string_view Rest = Request.Path;
  Rest.remove_prefix(std::string_view("/services/").size());
  const std::size_t Slash = Rest.find('/');
  const std::string Name = percentDecode(Rest.substr(0, Slash));
  const std::string_view Path =
      Slash == std::string_view::npos ? "/" : Rest.substr(Slash);
  const ServiceConfig *Service = Info.Config->findService(Name);
  if (!Service || Service->Kind != ServiceKind::Plain)
    throw Error(ErrorKind::NotFound,
                "no plain service is named '" + Name + "'");
  Info.Service = Service->Name;
  PlainCall Call;
  Call.Repeatable = isRepeatable(*Service, Request.Method, declaredPath(Path));
  Call.Method = Request.Method;
  Call.Target = std::string(Path);
  if (!Request.Query.empty())
    Call.Target += "?" + Request.Query;
  Call.Headers = forwardedHeaders(Request.Headers);
  Call.Body = std::move(Request.Body);
  if (const auto Key = Request.Headers.find("Idempotency-Key"))
    Call.Key = *Key;
  else if (HasCallerId)
    Call.Key = Info.id();
  if (Call.Key.size() > MaxRequestIdBytes)
    throw Error(ErrorKind::BadRequest,
                "Idempotency-Key must have at most 128 characters");
  this->Context.Events.record("request.arrived", Info.id(),
                              Info.Customer + " " + Info.Service + " " +
                                  Call.Method + " " + Call.Target);
  this->Context.Open.add(
      std::make_unique<PlainRun>(this->Context, Info, std::move(Call)));
}

void CallerApi::checkOperator(const HttpRequest &Request) const {
  const std::string &Wanted = this->Context.Settings.OperatorKeySha256;
  if (!Wanted.empty() && sha256Hex(bearerToken(Request)) != Wanted)
    throw Error(ErrorKind::Unauthenticated,
                "an Authorization header with the operator's bearer key is "
                "required");
}

json CallerApi::status() const {
  const ConfigurationPtr Current = this->Config.current();
  json Result = {
      {"node", this->Context.Settings.NodeId},
      {"address", this->Context.Settings.Advertise.toString()},
      {"zone", this->Context.Settings.Zone},
      {"state", toString(this->Hooks.State())},
      {"ready", Current != nullptr},
      {"build", buildVersion()},
      {"epoch", Current ? Current->Epoch : 0},
      {"open_requests", this->Context.Open.count()},
      {"uptime_ms", toMilliseconds(EventLoop::now() - this->Started)}};
  if (this->Hooks.AddStatus)
    this->Hooks.AddStatus(Result);
  return Result;
}

} // namespace galenaroute
