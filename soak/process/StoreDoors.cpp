#include "StoreDoors.h"

namespace galenaroute::process_soak {

/// Between resets of the connections of a daemon.
static constexpr Duration ResetPeriod = std::chrono::milliseconds(20);
/// Longest piece of bytes that a link passes on at once.
static constexpr std::size_t LongestPiece = 64 << 10;
static constexpr std::string_view DoorPath = "/doors/";

StoreDoors::Door::Door(EventLoop &Loop,
                       testing_support::FakePlatformServer &Store,
                       std::uint64_t Seed)
    : Server(Loop, {}) {
  this->Server.handle([this, &Store](const HttpRequest &Request,
                                     const std::shared_ptr<HttpReply> &Reply) {
    if (this->Status == 0)
      Store.answer(Request, Reply);
    else
      Reply->send(this->Status,
                  {{"Content-Type", "application/json"},
                   {"Store-Era", std::to_string(Store.era())}},
                  "{}");
  });
  const std::uint16_t Port = this->Server.listen({"127.0.0.1", 0});
  this->Link = std::make_unique<soak::FaultyLink>(
      Loop, SocketAddress{"127.0.0.1", Port}, Seed, LongestPiece);
}

StoreDoors::StoreDoors(EventLoop &Loop,
                       testing_support::FakePlatformServer &Store,
                       const Journal &Log, const StoreDoorsSettings &Settings)
    : Loop(Loop), Log(Log), Control(Loop, {}) {
  for (std::size_t I = 0; I < Settings.Count; ++I)
    this->Doors.push_back(
        std::make_unique<Door>(Loop, Store, Settings.Seed * 1000 + I));
  this->Control.handle([this](const HttpRequest &Request,
                              const std::shared_ptr<HttpReply> &Reply) {
    this->onControl(Request, *Reply);
  });
  this->ControlAddress.Port = this->Control.listen(this->ControlAddress);
}

const SocketAddress &StoreDoors::address(std::size_t Index) const {
  return this->Doors.at(Index)->Link->address();
}

void StoreDoors::onControl(const HttpRequest &Request, HttpReply &Reply) {
  const nlohmann::json Body =
      nlohmann::json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  const auto Way = turnAwayWayOf(Body.is_object() ? Body.value("how", "") : "");
  if (!Request.Path.starts_with(DoorPath) || !Way) {
    Reply.send(400, {}, "");
    return;
  }
  this->turnAway(std::stoul(Request.Path.substr(DoorPath.size())), *Way,
                 Milliseconds(Body.value("forMs", std::int64_t{0})));
  Reply.send(200, {}, "");
}

void StoreDoors::turnAway(std::size_t Index, TurnAwayWay Way, Duration For) {
  Door &At = *this->Doors.at(Index);
  const TimePoint Now = EventLoop::now();
  this->Log.write("turned_away", std::to_string(Index), toString(Way));
  At.ServesFrom = std::max(At.ServesFrom, Now + For);
  At.Status = Way == TurnAwayWay::Unavailable       ? 503
              : Way == TurnAwayWay::TooManyRequests ? 429
                                                    : 0;
  At.Resets = Way == TurnAwayWay::Reset;
  const bool IsSilent = Way == TurnAwayWay::Silence || At.Resets;
  At.Link->setHarm(IsSilent ? soak::SilentProcess : soak::LinkHarm());
  // Watches that wait would still be answered.
  if (!IsSilent)
    At.Link->resetAll();
  if (At.Resets)
    this->resetAgain(Index);
  this->Loop.timers().after(For, [this, Index] { this->serve(Index); });
}

void StoreDoors::resetAgain(std::size_t Index) {
  Door &At = *this->Doors[Index];
  if (!At.Resets)
    return;
  At.Link->resetAll();
  this->Loop.timers().after(ResetPeriod,
                            [this, Index] { this->resetAgain(Index); });
}

void StoreDoors::serve(std::size_t Index) {
  Door &At = *this->Doors[Index];
  if (EventLoop::now() < At.ServesFrom)
    return;
  At.Status = 0;
  At.Resets = false;
  At.Link->setHarm({});
  this->Log.write("served", std::to_string(Index));
}

} // namespace galenaroute::process_soak
