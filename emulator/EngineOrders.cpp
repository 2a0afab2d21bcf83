#include "EngineOrders.h"

#include <algorithm>

namespace galenaroute::emulator {

using nlohmann::json;

namespace {
constexpr auto FetchRetry = std::chrono::milliseconds(300);
constexpr auto FetchTimeout = std::chrono::seconds(60);
} // namespace

EngineOrders::EngineOrders(EventLoop &Loop, HttpClient &Client,
                           const OrderSettings &Settings)
    : Loop(Loop), Client(Client), Settings(Settings),
      Current(Settings.WeightVersion), Desired(Settings.WeightVersion),
      Adapters(Settings.Adapters) {}

EngineOrders::~EngineOrders() { this->Timer.disconnect(); }

std::pair<int, json> EngineOrders::apply(const json &Body) {
  const auto OrderFence = Body.value("fence", std::uint64_t{0});
  if (this->Settings.ChecksFence && OrderFence < this->Fence)
    return {412, {{"error", "old fencing number"}, {"fence", this->Fence}}};
  // The whole order is read before any of it takes effect.
  const auto Version = Body.value("weight_version", this->Desired);
  auto NewModels = Body.value("models", this->Models);
  auto NewAdapters = Body.value("adapters", this->Adapters);
  auto NewRole = Body.value("role", this->Role);
  this->Fence = std::max(this->Fence, OrderFence);
  this->Desired = Version;
  this->Models = std::move(NewModels);
  this->Adapters = std::move(NewAdapters);
  this->Role = std::move(NewRole);
  this->pursue();
  return {200, this->state()};
}

json EngineOrders::state() const {
  return {{"fence", this->Fence},       {"weight_version", this->Current},
          {"loading", this->Loading},   {"models", this->Models},
          {"adapters", this->Adapters}, {"role", this->Role},
          {"loads", this->Loads}};
}

void EngineOrders::restart() {
  this->Timer.disconnect();
  this->Fetch.reset();
  this->Fence = 0;
  this->Loading.clear();
  this->Current = this->Desired = this->Settings.WeightVersion;
  this->Adapters = this->Settings.Adapters;
}

bool EngineOrders::hasAdapter(const std::string &Name) const {
  return std::find(this->Adapters.begin(), this->Adapters.end(), Name) !=
         this->Adapters.end();
}

void EngineOrders::pursue() {
  if (!this->Loading.empty() || this->Desired == this->Current)
    return;
  this->Loading = this->Desired;
  this->Current.clear();
  this->Unloaded.emit();
  this->load();
}

void EngineOrders::load() {
  if (!this->Settings.WeightStore) {
    this->Timer = this->Loop.timers().after(this->Settings.LoadTime,
                                            [this] { this->finishLoad(); });
    return;
  }
  HttpCall Call = HttpCallBuilder(*this->Settings.WeightStore)
                      .get("/v1/weights/" + percentEncode(this->Loading))
                      .idleTimeout(FetchTimeout)
                      .build();
  this->Fetch = this->Client.start(
      std::move(Call), {.OnDone = [this](const HttpResult &Result) {
        if (Result.isSuccess()) {
          this->finishLoad();
          return;
        }
        this->Timer =
            this->Loop.timers().after(FetchRetry, [this] { this->load(); });
      }});
}

void EngineOrders::finishLoad() {
  this->Current = std::exchange(this->Loading, {});
  ++this->Loads;
  this->pursue();
}

} // namespace galenaroute::emulator
