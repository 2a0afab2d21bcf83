#include "Store.h"

namespace review {

static constexpr std::string_view Prefix = "/api/objects/";

static std::string queryValue(const std::string &Query,
                              const std::string &Key) {
  std::size_t From = 0;
  while (From < Query.size()) {
    const std::size_t End = std::min(Query.find('&', From), Query.size());
    const std::string Pair = Query.substr(From, End - From);
    if (Pair.rfind(Key + "=", 0) == 0)
      return Pair.substr(Key.size() + 1);
    From = End + 1;
  }
  return "";
}

/// Names in paths are percent-encoded.
static std::string decoded(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result +=
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  }
  return Result;
}

Store::Store(const std::string &Host, Record &Log) : Log(Log) {
  this->Server = std::make_unique<Listener>(
      Host, 0, [this](Connection &Open) { this->serve(Open); });
  this->Expiring = std::thread([this] {
    while (!this->Stopping) {
      sleepMs(50);
      this->expireEntries();
    }
  });
}

Store::~Store() {
  this->Stopping = true;
  this->Changed.notify_all();
  this->Expiring.join();
  this->Server->stop();
}

void Store::write(const std::string &Kind, const std::string &Name,
                  const json &Spec, bool IsDeleted) {
  const Object Next{++this->Revision, IsDeleted, Spec};
  this->All[Kind].Named[Name] = Next;
  this->All[Kind].History.push_back({Name, Next, nowMs()});
  this->Changed.notify_all();
}

void Store::put(const std::string &Kind, const std::string &Name,
                const json &Spec) {
  const std::lock_guard Guard(this->Lock);
  this->write(Kind, Name, Spec, false);
}

void Store::beat(const std::string &Id, const json &Spec) {
  const std::lock_guard Guard(this->Lock);
  this->LastBeat[Id] = nowMs();
  const auto &Entries = this->All["servers"].Named;
  const auto Found = Entries.find(Id);
  // A PUT that changes nothing does not raise the revision.
  if (Found != Entries.end() && !Found->second.IsDeleted &&
      Found->second.Spec == Spec)
    return;
  this->write("servers", Id, Spec, false);
  this->Log.line("store: entry of " + Id + " is written, state " +
                 Spec.value("state", "?"));
}

void Store::expireEntries() {
  const std::lock_guard Guard(this->Lock);
  for (auto &[Kind, Each] : this->All)
    while (!Each.History.empty() &&
           nowMs() - Each.History.front().At > HistoryMs) {
      Each.Forgotten = Each.History.front().State.Revision;
      Each.History.pop_front();
    }
  for (auto &[Id, Each] : this->All["servers"].Named) {
    const auto Last = this->LastBeat.find(Id);
    if (Each.IsDeleted || Last == this->LastBeat.end() ||
        nowMs() - Last->second <= 3 * HeartbeatMs)
      continue;
    this->Log.note("store: entry of " + Id +
                   " goes after three intervals of "
                   "silence");
    this->write("servers", Id, Each.Spec, true);
  }
}

std::string Store::reply(int Status, const json &Body) const {
  static constexpr std::string_view Mark = CutText;
  std::string Text = Body.dump();
  for (std::size_t At = Text.find(Mark); At != std::string::npos;
       At = Text.find(Mark, At))
    Text.replace(At, Mark.size(), "\\ud83c");
  return formatResponse(
      Status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, Text);
}

void Store::serve(Connection &Open) {
  Message Request;
  while (!this->Stopping &&
         Open.readRequest(Request, INT64_MAX) == ReadEnd::Whole) {
    const std::string Text = this->answer(Request, Open);
    if (Text.empty() || !Open.write(Text, nowMs() + 2000))
      return;
  }
}

static json toJson(const std::string &Name, std::uint64_t Revision,
                   const json &Spec) {
  return {{"metadata",
           {{"name", Name},
            {"revision", Revision},
            {"created", 1},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", Spec},
          {"status", nullptr}};
}

std::string Store::answer(const Message &Request, Connection &Open) {
  const std::string Target = Request.target();
  const std::size_t Question = std::min(Target.find('?'), Target.size());
  const std::string Query =
      Question < Target.size() ? Target.substr(Question + 1) : "";
  const std::string Path = Target.substr(0, Question);
  if (Path.rfind(Prefix, 0) != 0)
    return this->reply(404, json::object());
  const std::string Rest = Path.substr(Prefix.size());
  const std::size_t Slash = Rest.find('/');
  const std::string Kind = decoded(Rest.substr(0, Slash));
  if (Slash != std::string::npos || Request.method() != "GET")
    return this->answerObject(
        Kind, Slash == std::string::npos ? "" : decoded(Rest.substr(Slash + 1)),
        Request);
  if (const std::string Since = queryValue(Query, "watch"); !Since.empty())
    return this->answerWatch(Kind, std::stoull(Since),
                             std::atoll(queryValue(Query, "waitMs").c_str()),
                             Open);
  const std::lock_guard Guard(this->Lock);
  json Items = json::array();
  for (const auto &[Name, Each] : this->All[Kind].Named)
    if (!Each.IsDeleted)
      Items.push_back(toJson(Name, Each.Revision, Each.Spec));
  return this->reply(
      200, {{"items", Items}, {"hasMore", false}, {"asOf", this->Revision}});
}

std::string Store::answerWatch(const std::string &Kind, std::uint64_t Since,
                               std::int64_t WaitMs, Connection &Open) {
  const std::int64_t Until = nowMs() + std::min<std::int64_t>(WaitMs, 30000);
  std::unique_lock Guard(this->Lock);
  while (true) {
    if (this->Stopping)
      return "";
    if (Since > this->Revision || Since < this->All[Kind].Forgotten)
      return this->reply(410, json::object());
    json Events = json::array();
    for (const Event &Each : this->All[Kind].History)
      if (Each.State.Revision > Since)
        Events.push_back({{"object", toJson(Each.Name, Each.State.Revision,
                                            Each.State.Spec)},
                          {"deleted", Each.State.IsDeleted}});
    if (!Events.empty() || nowMs() >= Until)
      return this->reply(200, {{"events", Events}, {"asOf", this->Revision}});
    this->Changed.wait_for(Guard, std::chrono::milliseconds(20));
    if (Open.isClosedByPeer())
      return "";
  }
}

std::string Store::answerObject(const std::string &Kind,
                                const std::string &PathName,
                                const Message &Request) {
  const std::lock_guard Guard(this->Lock);
  std::string Name = PathName;
  json Body = json::parse(Request.Body, nullptr, false);
  if (Name.empty() && Body.is_object())
    Name = Body.at("metadata").at("name");
  auto &Named = this->All[Kind].Named;
  const auto Found = Named.find(Name);
  const bool Exists = Found != Named.end() && !Found->second.IsDeleted;
  const auto Show = [&](int Status) {
    const Object &Each = Named.at(Name);
    return this->reply(Status, toJson(Name, Each.Revision, Each.Spec));
  };
  if (Request.method() == "GET")
    return Exists ? Show(200) : this->reply(404, json::object());
  if (Request.method() == "POST" && Exists)
    return Show(409);
  if (Request.method() != "POST" && !Exists)
    return this->reply(404, json::object());
  std::uint64_t Expected = 0;
  if (Body.is_object())
    Expected = Body.at("metadata").value("revision", std::uint64_t{0});
  if (Exists && Expected != 0 && Expected != Found->second.Revision)
    return Show(409);
  if (Request.method() == "DELETE") {
    this->write(Kind, Name, Found->second.Spec, true);
    return this->reply(200, json::object());
  }
  this->write(Kind, Name, Body.at("spec"), false);
  return Show(Request.method() == "POST" ? 201 : 200);
}

} // namespace review
