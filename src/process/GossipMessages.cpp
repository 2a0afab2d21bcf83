#include "process/GossipMessages.h"

#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

static json toJson(const EntryNews &News) {
  return json::array({News.Id, News.Incarnation, News.Heartbeat,
                      News.Callers.toString(), News.Gossip.toString(),
                      News.Zone, News.Capacity, News.Busy, News.IsReady,
                      News.IsLeaving, News.SeesPlatform});
}

static EntryNews newsFromJson(const json &Value) {
  EntryNews News;
  News.Id = Value.at(0);
  News.Incarnation = Value.at(1);
  News.Heartbeat = Value.at(2);
  News.Callers = SocketAddress::parse(Value.at(3).get<std::string>());
  News.Gossip = SocketAddress::parse(Value.at(4).get<std::string>());
  News.Zone = Value.at(5);
  News.Capacity = Value.at(6);
  News.Busy = Value.at(7);
  News.IsReady = Value.at(8);
  News.IsLeaving = Value.at(9);
  News.SeesPlatform = Value.at(10);
  return News;
}

static json toJson(const EntryStatus &Status) {
  json Use = json::array();
  for (const UseItem &Each : Status.Use)
    Use.push_back(
        {Each.Key, Each.Use.Calls, Each.Use.Tokens, Each.Use.TokensAhead});
  if (Status.IsPart)
    return {{"from", Status.From}, {"use", std::move(Use)}};
  json Contacts = json::array();
  for (const auto &[Kind, Each] : Status.Contacts)
    Contacts.push_back(
        {Kind, Each.LastChange, Each.Digest, toMilliseconds(Each.Age)});
  return {{"from", Status.From},
          {"use", std::move(Use)},
          {"withheld", Status.Withheld},
          {"contacts", std::move(Contacts)}};
}

static EntryStatus statusFromJson(const json &Value) {
  EntryStatus Status;
  Status.From = Value.at("from");
  for (const json &Each : Value.at("use"))
    Status.Use.push_back({Each.at(0), {Each.at(1), Each.at(2), Each.at(3)}});
  Status.IsPart = !Value.contains("withheld");
  if (Status.IsPart)
    return Status;
  Status.Withheld = Value.at("withheld").get<std::vector<std::string>>();
  for (const json &Each : Value.at("contacts"))
    Status.Contacts.emplace_back(
        Each.at(0),
        ObjectContact{Each.at(1), Each.at(2), Milliseconds(Each.at(3))});
  return Status;
}

static json toJson(const StoreNews &News) {
  const CacheEventBatch &Batch = News.Batch;
  json Events = json::array();
  for (const CacheEvent &Each : Batch.Events)
    Events.push_back({Each.IsAdded, Each.Scope, Each.Part, Each.Tokens});
  json Result = {{"store", News.Store},
                 {"since", News.Since},
                 {"epoch", Batch.Epoch},
                 {"next", Batch.Next},
                 {"events", std::move(Events)}};
  if (Batch.ClockMs)
    Result["clock"] = *Batch.ClockMs;
  return Result;
}

static StoreNews storeNewsFromJson(const json &Value) {
  StoreNews News;
  News.Store = Value.at("store");
  News.Since = Value.at("since");
  News.Batch.Epoch = Value.at("epoch");
  News.Batch.Next = Value.at("next");
  if (Value.contains("clock"))
    News.Batch.ClockMs = Value.at("clock").get<std::int64_t>();
  for (const json &Each : Value.at("events"))
    News.Batch.Events.push_back(
        {Each.at(0), Each.at(1), Each.at(2), Each.at(3)});
  return News;
}

std::string encodeGossip(const GossipMessage &Message) {
  json Value = json::array();
  if (Message.Store)
    Value = toJson(*Message.Store);
  else if (!Message.Status.From.empty())
    Value = toJson(Message.Status);
  else
    for (const EntryNews &Each : Message.News)
      Value.push_back(toJson(Each));
  const std::vector<std::uint8_t> Bytes = json::to_cbor(Value);
  return {Bytes.begin(), Bytes.end()};
}

GossipMessage decodeGossip(std::string_view Bytes) {
  const json Value = json::from_cbor(Bytes.begin(), Bytes.end());
  GossipMessage Result;
  if (Value.is_object() && Value.contains("store"))
    Result.Store = storeNewsFromJson(Value);
  else if (Value.is_object())
    Result.Status = statusFromJson(Value);
  else
    for (const json &Each : Value)
      Result.News.push_back(newsFromJson(Each));
  return Result;
}

} // namespace galenaroute
