// Case: orders around the end of a holder. See review/7/claim.txt.

#include "Cases.h"

#include <csignal>

namespace review {
namespace {

/// A model server that takes orders. It does not check fencing tokens.
class OrderedServer {
public:
  OrderedServer(std::string Id, Store &Platform, Record &Log)
      : Id(std::move(Id)), Platform(Platform), Log(Log) {
    Listener.start("127.0.0.1", [this](const Message &Request, Stream &Peer) {
      return this->onCall(Request, Peer);
    });
    writeEntry();
  }
  ~OrderedServer() { Listener.stop(); }

  struct Order {
    std::int64_t AtMs;
    std::string Holder;
    std::uint64_t Fence;
    int Version;
  };
  std::vector<Order> orders() {
    const std::lock_guard Lock(Mutex);
    return Orders;
  }
  int version() {
    const std::lock_guard Lock(Mutex);
    return Version;
  }
  /// Called when a report is asked for; returns for how long the server falls
  /// silent before it answers.
  std::function<int()> OnReport = [] { return 0; };

  void writeEntry() {
    int Stated;
    {
      const std::lock_guard Lock(Mutex);
      Stated = Version;
    }
    Platform.put(
        "servers", Id,
        {{"service", "models"},
         {"address", Listener.address().text()},
         {"zone", "zone-0"},
         {"version", "v1"},
         {"slots", 128},
         {"state", "ready"},
         {"coldLeftMs", 0},
         {"stage", "both"},
         {"models",
          {{{"name", "m0"}, {"version", Stated}, {"adapters", json::array()}}}},
         {"born", 1700000000000},
         {"sequence", 0}});
  }

private:
  bool onCall(const Message &Request, Stream &Peer) {
    const std::string Path = Request.path();
    if (Path == "/api/report")
      return report(Peer);
    if (Path != "/api/order")
      return answer(Peer, 404, {}, "");
    const json Body = json::parse(Request.Body);
    if (!Request.field("expect-instance").empty() &&
        Request.field("expect-instance") != Id)
      return answer(Peer, 421, {{"Instance-Id", Id}}, "");
    int Status = 202;
    {
      const std::lock_guard Lock(Mutex);
      Orders.push_back(
          {Log.now(), Body.at("holder"), Body.at("fence"), Body.at("version")});
      if (IsBusy || Body.value("expected", Sequence) != Sequence)
        Status = 409;
      else if (Body.at("version") == Version)
        Status = 200;
      if (Status == 202) {
        IsBusy = true;
        ++Sequence;
        std::thread([this, Next = Body.at("version").get<int>()] {
          pause(LoadMs);
          {
            const std::lock_guard Lock(Mutex);
            Version = Next;
            IsBusy = false;
          }
          writeEntry();
        }).detach();
      }
    }
    Log.line("server " + Id + " gets an order of " +
             Body.at("holder").get<std::string>() + ", fence " +
             std::to_string(Body.at("fence").get<std::uint64_t>()) +
             ", version " + std::to_string(Body.at("version").get<int>()) +
             ": " + std::to_string(Status));
    return answer(Peer, Status, {}, "");
  }

  bool report(Stream &Peer) {
    if (const int SilentMs = OnReport())
      pause(SilentMs);
    json Body;
    {
      const std::lock_guard Lock(Mutex);
      Body = {{"stage", "both"},
              {"models",
               {{{"name", "m0"},
                 {"version", Version},
                 {"adapters", json::array()}}}},
              {"busy", IsBusy},
              {"sequence", Sequence},
              {"queued", 0},
              {"active", 0},
              {"kvUsed", 0},
              {"kvTotal", 213382},
              {"handles", 0},
              {"born", 1700000000000}};
    }
    return answer(Peer, 200, {{"Content-Type", "application/json"}},
                  Body.dump());
  }

  static constexpr int LoadMs = 1800;
  std::string Id;
  Store &Platform;
  Record &Log;
  std::mutex Mutex;
  std::vector<Order> Orders;
  int Version = 1;
  bool IsBusy = false;
  std::uint64_t Sequence = 0;
  Server Listener;
};

} // namespace

Verdict playOrders(Setting &At) {
  constexpr int LeaseMs = 3000;
  // A sound server may fall silent for a second or so.
  constexpr int SilentMs = 550;
  constexpr int Rounds = 6;
  Store Platform(At.Log);
  Platform.put("config", "main",
               {{"version", 7},
                {"routes",
                 {{{"name", "ask"},
                   {"host", "h.example"},
                   {"pathPrefix", "/s/"},
                   {"kind", "stream"},
                   {"timeoutMs", 15000},
                   {"targetLatencyMs", 800},
                   {"priority", 2},
                   {"service", "models"},
                   {"maxAttempts", 2},
                   {"public", false},
                   {"sticky", true},
                   {"resumable", true},
                   {"gapAimMs", 300}}}},
                {"services", {modelService("models", "m0")}},
                {"limits", callerLimits()}});
  int Named = 1;
  const auto Name = [&] {
    Platform.put("versions", "m0", {{"model", "m0"}, {"version", ++Named}});
    At.Log.line("version " + std::to_string(Named) + " of m0 is named");
  };
  Platform.put("versions", "m0", {{"model", "m0"}, {"version", 1}});
  OrderedServer Model("model-1", Platform, At.Log);
  Daemons Fleet(At.Program, At.Folder, 3, Platform, At.Log);
  for (std::size_t I = 0; I < Fleet.count(); ++I)
    Fleet.start(I);
  if (!Fleet.waitReady(15000)) {
    Platform.stop();
    return Verdict::NotRun;
  }
  pause(6000);
  std::atomic<bool> IsArmed{false};
  std::atomic<bool> IsAsked{false};
  Model.OnReport = [&] {
    if (!IsArmed.exchange(false))
      return 0;
    IsAsked = true;
    At.Log.line("model-1 falls silent for " + std::to_string(SilentMs) + " ms");
    return SilentMs;
  };
  for (int Round = 0; Round < Rounds && At.Log.now() < 95000; ++Round) {
    // The daemon that holds the lease is the one that writes it.
    IsAsked = false;
    IsArmed = true;
    Name();
    for (int I = 0; I < 1000 && !IsAsked; ++I)
      pause(5);
    if (!IsAsked)
      continue;
    const json Lease = Platform.read("lease", "models");
    const std::string Holder = Lease.value("holder", "front-0#");
    const std::size_t Index = static_cast<std::size_t>(
        std::stoi(Holder.substr(6, Holder.find('#') - 6)));
    At.Log.line("the lease is held by " + Holder);
    if (At.HasTrouble)
      Fleet.signal(Index, SIGTERM);
    pause(1000);
    Name();
    pause(6500);
    if (At.HasTrouble) {
      Fleet.wait(Index, 9000);
      Fleet.start(Index);
    }
    pause(3000);
  }
  const auto Orders = Model.orders();
  int Turns = 0;
  for (std::size_t I = 1; I < Orders.size(); ++I)
    if (Orders[I].Holder != Orders[I - 1].Holder) {
      const std::int64_t Apart = Orders[I].AtMs - Orders[I - 1].AtMs;
      At.Log.line("orders of " + Orders[I - 1].Holder + " and " +
                  Orders[I].Holder + " are " + std::to_string(Apart) +
                  " ms apart");
      Turns += Apart < LeaseMs;
    }
  At.Log.line(std::to_string(Turns) + " turns of holders lie within leaseMs");
  Platform.stop();
  if (Orders.empty())
    return Verdict::NotRun;
  return Turns > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace review
