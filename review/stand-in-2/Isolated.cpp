// Case: a tenant becomes isolated. See review/8/claim.txt.

#include "Cases.h"

namespace review {
namespace {

/// A model server that caches parts of prompts under Cache-Salt.
class CachingServer {
public:
  CachingServer(std::string Id, Record &Log) : Id(std::move(Id)), Log(Log) {
    Listener.start("127.0.0.1", [this](const Message &Request, Stream &Peer) {
      return this->onCall(Request, Peer);
    });
  }
  ~CachingServer() { Listener.stop(); }

  json entry() const {
    return {{"service", "models"},
            {"address", Listener.address().text()},
            {"zone", "zone-0"},
            {"version", "v1"},
            {"slots", 128},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"stage", "both"},
            {"models",
             {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
            {"born", 1700000000000},
            {"sequence", 0}};
  }

  /// One use of a part by a request, and who made the part.
  struct Use {
    std::string Call;
    std::string Part;
    std::string User;
    std::string Maker;
  };
  std::vector<Use> uses() {
    const std::lock_guard Lock(Mutex);
    return Uses;
  }

private:
  bool onCall(const Message &Request, Stream &Peer) {
    const std::string Call = Request.field("request-id");
    if (Request.field("expect-instance") != Id)
      return answer(Peer, 421, {{"Instance-Id", Id}}, "");
    const std::string Tenant = Request.field("tenant");
    const std::string Salt = Request.field("cache-salt");
    std::string Rest = Request.field("prompt-prefix");
    {
      const std::lock_guard Lock(Mutex);
      bool IsCached = true;
      std::string Text;
      while (!Rest.empty()) {
        const std::string Item = Rest.substr(0, Rest.find(','));
        Rest = Item.size() < Rest.size() ? Rest.substr(Item.size() + 1) : "";
        const std::string Part = Item.substr(0, Item.find(':'));
        const auto [It, IsNew] = Makers.try_emplace({Salt, Part}, Tenant);
        // A part is used only if all parts before it are cached, too.
        IsCached = IsCached && !IsNew;
        if (IsCached) {
          Uses.push_back({Call, Part, Tenant, It->second});
          Text += " uses part " + Part + " that " + It->second + " made;";
        } else {
          It->second = Tenant;
          Text += " reads part " + Part + ";";
        }
      }
      Log.line("server " + Id + " runs " + Call + " of " + Tenant +
               " under salt '" + Salt + "':" + Text);
    }
    const std::string Event = "id: 1\ndata: done\n\n";
    return answer(Peer, 200,
                  {{"Request-Id", Call},
                   {"Server-Stamp", Id + "." + Call},
                   {"Server-Load", "1,0,128,100"},
                   {"Weight-Versions", "1"},
                   {"Content-Type", "text/event-stream"}},
                  Event);
  }

  std::string Id;
  Record &Log;
  std::mutex Mutex;
  std::map<std::pair<std::string, std::string>, std::string> Makers;
  std::vector<Use> Uses;
  Server Listener;
};

} // namespace

Verdict playIsolated(Setting &At) {
  constexpr int ConfigApplyMs = 2000;
  Store Platform(At.Log);
  CachingServer Model("model-1", At.Log);
  const auto Configure = [&](int Version, bool IsIsolated) {
    Platform.put("config", "main",
                 {{"version", Version},
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
                  {"limits", callerLimits()},
                  {"tenants",
                   {{{"name", "harwood"},
                     {"apiKeys", {"key-harwood"}},
                     {"isolated", IsIsolated}},
                    {{"name", "cedarline"}, {"apiKeys", {"key-cedarline"}}}}}});
    At.Log.line("config version " + std::to_string(Version) +
                " is acknowledged; tenant harwood is " +
                (IsIsolated ? "isolated" : "not isolated"));
  };
  Configure(7, false);
  Platform.put("versions", "m0", {{"model", "m0"}, {"version", 1}});
  Platform.put("servers", "model-1", Model.entry());
  Daemons Fleet(At.Program, At.Folder, 2, Platform, At.Log);
  for (std::size_t I = 0; I < Fleet.count(); ++I)
    Fleet.start(I);
  if (!Fleet.waitReady(15000)) {
    Platform.stop();
    return Verdict::NotRun;
  }
  pause(6000);
  const auto Ask = [&](const std::string &Id, const std::string &Tenant,
                       const std::string &Part, std::size_t Daemon) {
    const Message Answer =
        call(Fleet.callers(Daemon), "POST", "/s/ask",
             {{"Host", "h.example"},
              {"Request-Id", Id},
              {"Model", "m0"},
              {"Token-Usage", "900,10"},
              {"Prompt-Prefix", Part + ":800," + Id + ":100"},
              {"Deadline-Ms", "12000"},
              {"Authorization", "Bearer key-" + Tenant}},
             "hi");
    At.Log.line("client of " + Tenant + " gets " +
                std::to_string(Answer.Status) + " for " + Id);
    return Answer.Status == 200;
  };
  bool IsAnswered = true;
  constexpr int Parts = 10;
  const auto PartName = [](int I) { return "aa" + std::to_string(10 + I); };
  for (int I = 0; I < Parts; ++I)
    IsAnswered &= Ask("a" + std::to_string(100 + I), "harwood", PartName(I),
                      static_cast<std::size_t>(I) % 2);
  Configure(9, At.HasTrouble);
  pause(ConfigApplyMs + 2000);
  const std::size_t Before = Model.uses().size();
  for (int I = 0; I < Parts; ++I)
    IsAnswered &= Ask("b" + std::to_string(100 + I), "cedarline", PartName(I),
                      static_cast<std::size_t>(I) % 2);
  const auto Uses = Model.uses();
  int Foreign = 0;
  for (std::size_t I = Before; I < Uses.size(); ++I)
    if (At.HasTrouble && Uses[I].User != Uses[I].Maker)
      ++Foreign;
  At.Log.line(std::to_string(Foreign) + " of " + std::to_string(Parts) +
              " requests of cedarline used KV cache that a request of the "
              "isolated tenant harwood made");
  Platform.stop();
  if (!IsAnswered)
    return Verdict::NotRun;
  return Foreign > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace review
