// The platform's store, as a small stand-in: objects by kind and name with
// revisions, lists, watches and conditional writes. Each answer takes 4 ms.

#ifndef GALENAROUTE_REVIEW_STANDIN3_PLATFORM_H
#define GALENAROUTE_REVIEW_STANDIN3_PLATFORM_H

#include "Net.h"

#include <list>
#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

class Platform {
public:
  Platform(Loop &Events, const Address &At)
      : Events(Events), Door(Events, At,
                             [this](const std::shared_ptr<Connection> &From,
                                    const Message &Of) {
                               From->IsBusy = true;
                               this->Events.after(AnswerMs, [this, From, Of] {
                                 if (From->isOpen())
                                   this->onCall(From, Of);
                               });
                             }) {}

  const Address &address() const { return Door.address(); }
  /// Opens a further address of the store, for machines that it may turn away.
  std::unique_ptr<Listener> door(const Address &At) {
    return std::make_unique<Listener>(
        Events, At,
        [this](const std::shared_ptr<Connection> &From, const Message &Of) {
          From->IsBusy = true;
          this->Events.after(AnswerMs, [this, From, Of] {
            if (From->isOpen())
              onCall(From, Of);
          });
        });
  }

  /// Writes as the operator or a server does. A null spec removes the object.
  void put(const std::string &Kind, const std::string &Name, const json &Spec) {
    auto &Of = Objects[Kind];
    const auto It = Of.find(Name);
    if (Spec.is_null()) {
      if (It == Of.end())
        return;
      It->second.Revision = ++Revision;
      note(Kind, Name, It->second, true);
      Of.erase(It);
    } else {
      if (It != Of.end() && It->second.Spec == Spec)
        return;
      Object &Stored = Of[Name];
      Stored.Spec = Spec;
      Stored.Revision = ++Revision;
      if (Stored.Created == 0)
        Stored.Created = Revision;
      note(Kind, Name, Stored, false);
    }
    wake();
  }
  json read(const std::string &Kind, const std::string &Name) {
    const auto It = Objects[Kind].find(Name);
    return It == Objects[Kind].end() ? json() : It->second.Spec;
  }
  std::map<std::string, json> specs(const std::string &Kind) {
    std::map<std::string, json> Result;
    for (const auto &[Name, Each] : Objects[Kind])
      Result[Name] = Each.Spec;
    return Result;
  }

private:
  static constexpr int AnswerMs = 4;
  struct Object {
    json Spec;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
  };
  struct Change {
    std::int64_t Revision;
    std::string Kind;
    json Event;
  };
  struct Watch {
    std::weak_ptr<Connection> From;
    std::string Kind;
    std::int64_t Since;
    std::int64_t EndMs;
  };

  static json toJson(const std::string &Name, const Object &Of) {
    return {{"metadata",
             {{"name", Name},
              {"revision", Of.Revision},
              {"created", Of.Created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", Of.Spec},
            {"status", nullptr}};
  }
  void note(const std::string &Kind, const std::string &Name, const Object &Of,
            bool Deleted) {
    Changes.push_back(
        {Revision, Kind, {{"object", toJson(Name, Of)}, {"deleted", Deleted}}});
  }
  void done(const std::shared_ptr<Connection> &To, int Status,
            const json &Body) {
    To->answer(Status, Body.dump(), "Store-Era: 1\r\n");
    To->next();
  }
  json eventsSince(const std::string &Kind, std::int64_t Since) {
    json Result = json::array();
    for (const Change &Each : Changes)
      if (Each.Kind == Kind && Each.Revision > Since)
        Result.push_back(Each.Event);
    return Result;
  }
  void wake() {
    for (auto It = Watches.begin(); It != Watches.end();) {
      const auto To = It->From.lock();
      const json Found = eventsSince(It->Kind, It->Since);
      if (To && To->isOpen() && Found.empty() && nowMs() < It->EndMs) {
        ++It;
        continue;
      }
      if (To && To->isOpen())
        done(To, 200, {{"events", Found}, {"asOf", Revision}});
      It = Watches.erase(It);
    }
  }
  void onCall(const std::shared_ptr<Connection> &From, const Message &Of) {
    static const std::string Prefix = "/api/objects/";
    const std::string Path = Of.path();
    if (Path.rfind(Prefix, 0) != 0)
      return done(From, 404, json::object());
    const std::string Rest = Path.substr(Prefix.size());
    const std::size_t Slash = Rest.find('/');
    const std::string Kind = decoded(Rest.substr(0, Slash));
    const std::string Method = Of.method();
    if (Slash == std::string::npos && Method == "GET")
      return onList(From, Of, Kind);
    std::string Name =
        Slash == std::string::npos ? "" : decoded(Rest.substr(Slash + 1));
    auto &Stored = Objects[Kind];
    if (Method == "GET") {
      const auto It = Stored.find(Name);
      if (It == Stored.end())
        return done(From, 404, json::object());
      return done(From, 200, toJson(Name, It->second));
    }
    if (Method == "DELETE") {
      const auto It = Stored.find(Name);
      if (It == Stored.end())
        return done(From, 404, json::object());
      const std::string If = Of.query("revision");
      if (!If.empty() && std::atoll(If.c_str()) != It->second.Revision)
        return done(From, 409, toJson(Name, It->second));
      const json Last = toJson(Name, It->second);
      put(Kind, Name, nullptr);
      return done(From, 200, Last);
    }
    const json Body = json::parse(Of.Body, nullptr, false);
    if (!Body.is_object() || !Body.contains("metadata"))
      return done(From, 400, json::object());
    const json &Metadata = Body["metadata"];
    if (Method == "POST") {
      Name = Metadata.value("name", "");
      if (const auto It = Stored.find(Name); It != Stored.end())
        return done(From, 409, toJson(Name, It->second));
    } else {
      const auto It = Stored.find(Name);
      if (It == Stored.end())
        return done(From, 404, json::object());
      if (Metadata.contains("revision") &&
          Metadata["revision"] != It->second.Revision)
        return done(From, 409, toJson(Name, It->second));
    }
    put(Kind, Name, Body.value("spec", json()));
    if (OnWrite)
      OnWrite(Kind, Name, Body.value("spec", json()));
    done(From, 200, toJson(Name, Objects[Kind][Name]));
  }
  void onList(const std::shared_ptr<Connection> &From, const Message &Of,
              const std::string &Kind) {
    const std::string Since = Of.query("watch");
    if (Since.empty()) {
      json Items = json::array();
      const std::string After = decoded(Of.query("after"));
      for (const auto &[Name, Each] : Objects[Kind])
        if (After.empty() || Name > After)
          Items.push_back(toJson(Name, Each));
      return done(From, 200,
                  {{"items", Items}, {"hasMore", false}, {"asOf", Revision}});
    }
    const std::int64_t WaitMs =
        std::min<std::int64_t>(30000, std::atoll(Of.query("waitMs").c_str()));
    Watches.push_back(
        {From, Kind, std::atoll(Since.c_str()), nowMs() + WaitMs});
    wake();
    Events.after(WaitMs + 1, [this] { wake(); });
  }

  Loop &Events;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::vector<Change> Changes;
  std::list<Watch> Watches;
  std::int64_t Revision = 10;
  Listener Door;

public:
  std::function<void(const std::string &, const std::string &, const json &)>
      OnWrite;
};

} // namespace standin

#endif // GALENAROUTE_REVIEW_STANDIN3_PLATFORM_H
