// Does an order of a holder that was told to stop reach a server within leaseMs
// of an order of the next holder? Plays the store, one model server and the
// operator; starts three daemons. In each round new weights are named, the
// server falls silent for half a second as it is asked for its report, and the
// daemon that asked gets SIGTERM meanwhile.
//
//   one-holder PROGRAM FOLDER RECORD TROUBLE
//
// TROUBLE is 1, 0, or term for SIGTERM without the silence.

#include "Daemons.h"
#include "Platform.h"

using namespace standin;

static constexpr std::int64_t LeaseMs = 3000;
static constexpr std::int64_t SilenceMs = 540;
static constexpr std::int64_t LoadMs = 1800;
static constexpr std::int64_t HeartbeatMs = 1200;
static constexpr std::int64_t LengthMs = 105000;

namespace {

struct Order {
  std::int64_t AtMs;
  std::string Holder;
  std::int64_t Fence;
  int Version;
  int Status;
};

class Case {
public:
  Case(const std::string &Program, const std::string &Folder,
       const std::string &RecordPath, const std::string &Trouble)
      : Stops(Trouble != "0"), FallsSilent(Stops && Trouble != "term"),
        Record(RecordPath),
        Store(Events, {"127." + std::to_string(network()) + ".9.7", 0}),
        Server(Events, {"127." + std::to_string(network()) + ".8.3", 0},
               [this](const std::shared_ptr<Connection> &From,
                      const Message &Of) { onServerCall(From, Of); }),
        Fronts(Folder, Program, network(), 3, Store.address()), Born(wallMs()) {
  }

  int run() {
    Store.put("config", "main", config());
    Store.put("versions", "weights-a", version(1));
    beat();
    for (std::size_t I = 0; I < Fronts.All.size(); ++I)
      Fronts.start(I);
    Events.after(6000, [this] { round(); });
    Events.after(LengthMs, [this] { Events.stop(); });
    watchProcesses();
    Events.run();
    return judge();
  }

private:
  static int network() {
    static const int Found = freeNetwork();
    return Found;
  }
  json version(int Number) const {
    return {{"model", "weights-a"}, {"version", Number}};
  }
  static json config() {
    return {{"version", 1},
            {"routes",
             {{{"name", "r-1"},
               {"host", "one.example"},
               {"pathPrefix", "/a/"},
               {"kind", "stream"},
               {"timeoutMs", 15000},
               {"targetLatencyMs", 800},
               {"priority", 1},
               {"service", "models"},
               {"maxAttempts", 2},
               {"public", false},
               {"sticky", true},
               {"resumable", true},
               {"gapAimMs", 300}}}},
            {"services",
             {{{"name", "models"},
               {"healthPath", "/health"},
               {"maxConns", 620},
               {"protocol", "h1"},
               {"tls", false},
               {"engine",
                {{"slots", 128},
                 {"kvCapacity", 213382},
                 {"kvTokenBytes", 18432},
                 {"linkMbps", 180000.0},
                 {"managed", true},
                 {"maxInflight", 12},
                 {"models", {{{"name", "weights-a"}}}}}}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants",
             {{{"name", "t-1"}, {"apiKeys", {"key-1"}}, {"priority", 1}}}}};
  }

  void note(const std::string &Text) {
    Record << nowMs() << " ms  " << Text << std::endl;
  }

  // The operator.
  void name(int Number) {
    Named = Number;
    Store.put("versions", "weights-a", version(Number));
    note("the operator names version " + std::to_string(Number));
  }
  void round() {
    if (nowMs() > LengthMs - 11000)
      return;
    IsArmed = Stops;
    name(Named + 1);
    // A further version is named while the server loads the first.
    Events.after(2300, [this] { name(Named + 1); });
    Events.after(11000, [this] { round(); });
  }

  // The server.
  void beat() {
    Store.put("servers", "i-7f3a91c2",
              {{"service", "models"},
               {"address", Server.address().text()},
               {"zone", "wellington"},
               {"version", "v1"},
               {"slots", 128},
               {"state", "ready"},
               {"coldLeftMs", 0},
               {"stage", "both"},
               {"models",
                {{{"name", "weights-a"},
                  {"version", Has},
                  {"adapters", json::array()}}}},
               {"sequence", Sequence},
               {"born", Born}});
    Events.after(HeartbeatMs, [this] { beat(); });
  }
  void onServerCall(const std::shared_ptr<Connection> &From,
                    const Message &Of) {
    if (Of.has("Expect-Instance") &&
        Of.field("Expect-Instance") != "i-7f3a91c2")
      return From->answer(421, "{}", "Instance-Id: i-7f3a91c2\r\n");
    const std::string Path = Of.path();
    if (Path == "/api/report") {
      const std::string Holder = holder();
      note("the server is asked for its report; the lease is held by " +
           Holder);
      if (IsArmed && !Holder.empty()) {
        IsArmed = false;
        stopHolderSoon();
        if (FallsSilent) {
          fallSilent(From);
          return;
        }
      }
      report(From);
      return;
    }
    if (Path == "/api/order")
      return onOrder(From, Of);
    From->answer(404, "{}");
  }
  void report(const std::shared_ptr<Connection> &To) {
    To->answer(200, json{{"stage", "both"},
                         {"models",
                          {{{"name", "weights-a"},
                            {"version", Has},
                            {"adapters", json::array()}}}},
                         {"busy", Loading != 0},
                         {"sequence", Sequence},
                         {"queued", 0},
                         {"active", 0},
                         {"kvUsed", 0},
                         {"kvTotal", 213382},
                         {"handles", 0},
                         {"born", Born}}
                        .dump());
  }
  /// The server answers nothing for a moment, and goes on.
  void fallSilent(const std::shared_ptr<Connection> &Asked) {
    note("the server falls silent for " + std::to_string(SilenceMs) + " ms");
    Server.setSilent(true);
    Events.after(SilenceMs, [this, Asked] {
      note("the server goes on");
      Server.setSilent(false);
      report(Asked);
    });
  }
  void stopHolderSoon() {
    Events.after(20, [this] {
      const std::string Holder = holder();
      for (std::size_t I = 0; I < Fronts.All.size(); ++I)
        if (Fronts.All[I].Node == Holder) {
          note("SIGTERM to " + Holder);
          Fronts.signal(I, SIGTERM);
        }
    });
  }
  void onOrder(const std::shared_ptr<Connection> &From, const Message &Of) {
    const json Body = json::parse(Of.Body, nullptr, false);
    const int Wanted = Body.value("version", 0);
    int Status = 202;
    if (Wanted > Named || Wanted < 1)
      Status = 400;
    else if (Wanted == Has && Loading == 0)
      Status = 200;
    else if (Loading != 0 ||
             (Body.contains("expected") && Body["expected"] != Sequence))
      Status = 409;
    Orders.push_back({nowMs(), Body.value("holder", ""),
                      Body.value("fence", std::int64_t{0}), Wanted, Status});
    note("the server gets an order of " + Orders.back().Holder + ", fence " +
         std::to_string(Orders.back().Fence) + ", version " +
         std::to_string(Wanted) + ", and answers " + std::to_string(Status));
    From->answer(Status, "{}");
    if (Status != 202)
      return;
    ++Sequence;
    Loading = Wanted;
    Events.after(LoadMs, [this] {
      Has = Loading;
      Loading = 0;
      note("the server has version " + std::to_string(Has));
    });
  }

  /// Returns the node that the lease object names, as the record tells it.
  std::string holder() {
    for (const auto &[Name, Spec] : Store.specs("lease"))
      if (Spec.is_object()) {
        const std::string Text = Spec.value("holder", "");
        return Text.substr(0, Text.find('#'));
      }
    return {};
  }
  void watchProcesses() {
    for (std::size_t I = 0; I < Fronts.All.size(); ++I)
      if (Fronts.All[I].Pid > 0 && Fronts.hasEnded(I)) {
        note(Fronts.All[I].Node + " has ended and is started again");
        Fronts.start(I);
      }
    Events.after(100, [this] { watchProcesses(); });
  }

  /// ONE: orders of two machines to one server within leaseMs.
  int judge() {
    int Broken = 0;
    for (std::size_t I = 1; I < Orders.size(); ++I) {
      const Order &A = Orders[I - 1];
      const Order &B = Orders[I];
      if (A.Holder == B.Holder)
        continue;
      const bool IsBroken = B.AtMs - A.AtMs < LeaseMs || B.Fence <= A.Fence;
      Broken += IsBroken;
      note(std::string(IsBroken ? "BROKEN" : "kept") + ": " + A.Holder +
           " (fence " + std::to_string(A.Fence) + ") at " +
           std::to_string(A.AtMs) + " ms, then " + B.Holder + " (fence " +
           std::to_string(B.Fence) + ") at " + std::to_string(B.AtMs) +
           " ms: " + std::to_string(B.AtMs - A.AtMs) + " ms apart");
    }
    note(std::to_string(Orders.size()) + " orders, rule broken " +
         std::to_string(Broken) + " times");
    if (Orders.size() < 4) {
      note("too few orders to judge");
      return 2;
    }
    return Broken > 0 ? 1 : 0;
  }

  bool Stops;
  bool FallsSilent;
  std::ofstream Record;
  Loop Events;
  Platform Store;
  Listener Server;
  Daemons Fronts;
  std::int64_t Born;
  std::vector<Order> Orders;
  int Named = 1;
  int Has = 1;
  int Loading = 0;
  int Sequence = 0;
  bool IsArmed = false;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 5)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  return Case(Words[1], Words[2], Words[3], Words[4]).run();
}
