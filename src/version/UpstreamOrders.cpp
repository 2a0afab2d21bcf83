#include "version/UpstreamOrders.h"

#include "process/BoundedJson.h"
#include "process/ErrorKind.h"
#include "process/Log.h"

namespace galenaroute {

using nlohmann::json;

HttpUpstreamOrders::HttpUpstreamOrders(HttpClient &Client, Duration CallTimeout)
    : Client(Client), CallTimeout(CallTimeout) {}

/// Returns whether the engine is loading. The field is either the name of what
/// is being loaded, empty if nothing is, or a boolean.
static bool isLoading(const json &Body) {
  const auto It = Body.find("loading");
  if (It == Body.end() || It->is_null())
    return false;
  return It->is_string() ? !It->get<std::string>().empty() : It->get<bool>();
}

/// Limits of what upstreams answer. An adapter takes some hundred bytes.
static constexpr std::size_t MaxAnswerBytes = 1 << 20;
static constexpr JsonLimits AnswerLimits{.MaxDepth = 16,
                                         .MaxTreeBytes = 8 << 20};

static std::optional<UpstreamObservation>
observationFrom(const HttpResult &Result) {
  if (!Result.isSuccess())
    return std::nullopt;
  try {
    const json Body = parseJson(Result.Body, AnswerLimits);
    return UpstreamObservation{
        Body.at("weight_version"),
        Body.value("adapters", std::vector<std::string>()), isLoading(Body)};
  } catch (const std::exception &Failure) {
    log(LogLevel::Warn, "order.malformed_state",
        {{"bytes", std::to_string(Result.Body.size())},
         {"message", Failure.what()}});
    return std::nullopt;
  }
}

static OrderResult answerFrom(const HttpResult &Result) {
  if (Result.End != HttpEnd::Complete)
    return Result.BytesSent ? OrderResult::Unknown : OrderResult::Failed;
  if (Result.isSuccess())
    return OrderResult::Accepted;
  if (Result.Status == 412)
    return OrderResult::Fenced;
  return OrderResult::Busy;
}

void HttpUpstreamOrders::observe(const SocketAddress &Address,
                                 OnObservation Done) {
  this->Client.startDetached(
      HttpCallBuilder(Address)
          .get("/v1/orders")
          .totalTimeout(this->CallTimeout)
          .maxBodyBytes(MaxAnswerBytes)
          .build(),
      [Done = std::move(Done)](const HttpResult &Result) {
        Done(observationFrom(Result));
      });
}

void HttpUpstreamOrders::send(const Order &Order, OnAnswer Done) {
  const json Body = {{"fence", Order.Fence},
                     {"weight_version", Order.WeightVersion},
                     {"models", json::array({Order.Model})},
                     {"adapters", Order.Adapters},
                     {"role", "serve"}};
  // A reused connection may be silently broken, and the order would then count
  // as a pending load until it times out.
  this->Client.startDetached(
      HttpCallBuilder(Order.Address)
          .post("/v1/orders", Body.dump())
          .totalTimeout(this->CallTimeout)
          .newConnection()
          .maxBodyBytes(MaxAnswerBytes)
          .build(),
      [Done = std::move(Done)](const HttpResult &Result) {
        Done(answerFrom(Result));
      });
}

} // namespace galenaroute
