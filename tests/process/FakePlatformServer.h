// A fake HTTP server of the platform's object store for process tests of
// galenaroute-platform: objects with revisions, lists and watches.
//
//   FakePlatformServer Server(Loop);
//   Server.put("config", "main", Spec);
//   Server.keepCopy();
//   Server.restore(); // what was written since the copy is gone

#ifndef GALENAROUTE_TESTS_PROCESS_FAKEPLATFORMSERVER_H
#define GALENAROUTE_TESTS_PROCESS_FAKEPLATFORMSERVER_H

#include "connection/HttpServer.h"

#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace galenaroute::testing_support {

class FakePlatformServer {
public:
  explicit FakePlatformServer(EventLoop &Loop) : Loop(Loop), Server(Loop, {}) {
    this->Server.handle([this](const HttpRequest &Request,
                               const std::shared_ptr<HttpReply> &Reply) {
      this->answer(Request, Reply);
    });
    this->Address.Port = this->Server.listen({"127.0.0.1", 0});
  }

  const SocketAddress &address() const { return this->Address; }

  /// Writes an object as an operator or a server would, and wakes its watches.
  /// A null \p Spec removes the object.
  void put(const std::string &Kind, const std::string &Name,
           const nlohmann::json &Spec) {
    Object &Stored = this->Objects[Kind][Name];
    Stored = {++this->Revision, Spec.is_null(), Spec};
    std::erase_if(this->Watches, [&](const Watch &Each) {
      if (Each.Kind != Kind)
        return false;
      this->sendEvents(Each);
      return true;
    });
  }
  /// From now on writes of objects of \p Kind over HTTP fail.
  void rejectWrites(const std::string &Kind) { this->Rejected.insert(Kind); }
  /// Loses the history of changes: watches from an earlier revision fail, so
  /// that clients list the objects again.
  void loseHistory() {
    this->FirstRevision = ++this->Revision;
    for (const Watch &Each : std::exchange(this->Watches, {}))
      this->send(*Each.Reply, 410, nlohmann::json::object());
  }
  /// Copies all objects for restore().
  void keepCopy() { this->Copy = {this->Objects, this->Revision}; }
  /// Returns to the copy: what was written since is gone, its revisions are
  /// given out again, and a new era begins. Watches that wait stay open.
  void restore() {
    this->Objects = this->Copy.Objects;
    this->Revision = this->Copy.Revision;
    ++this->Era;
  }
  std::uint64_t era() const { return this->Era; }
  /// While true, calls are not answered, as if the store stood still.
  void setSilent(bool Enabled) { this->IsSilent = Enabled; }
  /// Returns the spec of an object, or null.
  nlohmann::json read(const std::string &Kind, const std::string &Name) {
    return this->Objects[Kind][Name].Spec;
  }

  /// Returns the specs of a kind by name; null for removed objects.
  std::map<std::string, nlohmann::json> specs(const std::string &Kind) const {
    std::map<std::string, nlohmann::json> Result;
    if (const auto Found = this->Objects.find(Kind);
        Found != this->Objects.end())
      for (const auto &[Name, Each] : Found->second)
        Result[Name] = Each.Spec;
    return Result;
  }

  /// Answers a request that reached another listener.
  void answer(const HttpRequest &Request,
              const std::shared_ptr<HttpReply> &Reply) {
    if (this->IsSilent) {
      this->Unanswered.push_back(Reply);
      return;
    }
    static const std::string Prefix = "/api/objects/";
    const std::string Rest =
        Request.Path.substr(std::min(Request.Path.size(), Prefix.size()));
    const std::size_t Slash = Rest.find('/');
    const std::string Kind = Rest.substr(0, Slash);
    if (Slash == std::string::npos && Request.Method == "GET")
      this->answerList(Kind, Request, Reply);
    else
      this->answerObject(
          Kind, Slash == std::string::npos ? "" : Rest.substr(Slash + 1),
          Request, *Reply);
  }

private:
  struct Object {
    std::uint64_t Revision = 0;
    bool IsDeleted = false;
    nlohmann::json Spec;
  };
  struct Watch {
    std::uint64_t Id = 0;
    std::string Kind;
    std::uint64_t Since = 0;
    std::shared_ptr<HttpReply> Reply;
  };

  static nlohmann::json toJson(const std::string &Name, const Object &Stored) {
    return {{"metadata", {{"name", Name}, {"revision", Stored.Revision}}},
            {"spec", Stored.Spec}};
  }
  void send(HttpReply &Reply, int Status, const nlohmann::json &Body) {
    Reply.send(Status,
               {{"Content-Type", "application/json"},
                {"Store-Era", std::to_string(this->Era)}},
               Body.dump());
  }

  void sendEvents(const Watch &To) {
    nlohmann::json Events = nlohmann::json::array();
    for (const auto &[Name, Each] : this->Objects[To.Kind])
      if (Each.Revision > To.Since)
        Events.push_back(
            {{"object", toJson(Name, Each)}, {"deleted", Each.IsDeleted}});
    this->send(*To.Reply, 200, {{"events", Events}, {"asOf", this->Revision}});
  }

  void answerList(const std::string &Kind, const HttpRequest &Request,
                  const std::shared_ptr<HttpReply> &Reply) {
    const auto Since = queryValue(Request.Query, "watch");
    if (!Since) {
      nlohmann::json Items = nlohmann::json::array();
      for (const auto &[Name, Each] : this->Objects[Kind])
        if (!Each.IsDeleted)
          Items.push_back(toJson(Name, Each));
      this->send(
          *Reply, 200,
          {{"items", Items}, {"hasMore", false}, {"asOf", this->Revision}});
      return;
    }
    const Watch Next{++this->LastWatch, Kind, std::stoull(*Since), Reply};
    if (Next.Since < this->FirstRevision || Next.Since > this->Revision) {
      this->send(*Reply, 410, nlohmann::json::object());
      return;
    }
    for (const auto &[Name, Each] : this->Objects[Kind])
      if (Each.Revision > Next.Since) {
        this->sendEvents(Next);
        return;
      }
    this->Watches.push_back(Next);
    const int WaitMs =
        std::stoi(queryValue(Request.Query, "waitMs").value_or("0"));
    this->Loop.timers().after(
        std::chrono::milliseconds(WaitMs), [this, Id = Next.Id] {
          std::erase_if(this->Watches, [&](const Watch &Each) {
            if (Each.Id == Id)
              this->sendEvents(Each);
            return Each.Id == Id;
          });
        });
  }

  void answerObject(const std::string &Kind, std::string Name,
                    const HttpRequest &Request, HttpReply &Reply) {
    if (Request.Method == "GET") {
      const Object &Stored = this->Objects[Kind][Name];
      this->send(Reply, Stored.Spec.is_null() ? 404 : 200,
                 toJson(Name, Stored));
      return;
    }
    if (this->Rejected.contains(Kind)) {
      this->send(Reply, 503, nlohmann::json::object());
      return;
    }
    const nlohmann::json Body = nlohmann::json::parse(Request.Body);
    const nlohmann::json &Metadata = Body.at("metadata");
    if (Name.empty())
      Name = Metadata.at("name");
    const Object &Stored = this->Objects[Kind][Name];
    const std::uint64_t Current = Stored.Spec.is_null() ? 0 : Stored.Revision;
    if (Metadata.value("revision", std::uint64_t{0}) != Current) {
      this->send(Reply, 409, toJson(Name, Stored));
      return;
    }
    this->put(Kind, Name, Body.at("spec"));
    this->send(Reply, 200, toJson(Name, this->Objects[Kind][Name]));
  }

  EventLoop &Loop;
  HttpServer Server;
  SocketAddress Address{"127.0.0.1", 0};
  using ObjectsByKind = std::map<std::string, std::map<std::string, Object>>;
  ObjectsByKind Objects;
  struct {
    ObjectsByKind Objects;
    std::uint64_t Revision = 0;
  } Copy;
  std::uint64_t Era = 1;
  bool IsSilent = false;
  /// Kept so that their connections stay open.
  std::vector<std::shared_ptr<HttpReply>> Unanswered;
  std::list<Watch> Watches;
  std::set<std::string> Rejected; ///< Kinds.
  std::uint64_t Revision = 0;
  std::uint64_t FirstRevision = 0; ///< From which watches can begin.
  std::uint64_t LastWatch = 0;
};

} // namespace galenaroute::testing_support

#endif // GALENAROUTE_TESTS_PROCESS_FAKEPLATFORMSERVER_H
