#include "process/GossipMessages.h"

#include "process/CborDepth.h"
#include "process/ErrorKind.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace galenaroute {

using nlohmann::json;

/// Objects of the platform, which some messages carry, nest up to 128 levels.
static constexpr std::size_t MaxDepth = 160;

static json toJson(const EntryRecord &Record) {
  return json::array({Record.Id, Record.Incarnation, Record.Heartbeat,
                      Record.Callers.toString(), Record.Gossip.toString(),
                      Record.Zone, Record.Capacity, Record.Busy, Record.IsReady,
                      Record.IsLeaving, Record.ReachesPlatform,
                      Record.IssuesPermits, Record.KnownEntries,
                      Record.ConfigVersion, Record.Heard, Record.Level,
                      Record.LeastPeerLevel});
}

/// Reads at most MaxHeardServices keys.
static std::vector<std::uint32_t> heardFromJson(const json &Value) {
  std::vector<std::uint32_t> Result;
  for (const json &Each : Value)
    if (Result.size() < MaxHeardServices)
      Result.push_back(Each);
  return Result;
}

/// Reads a record; \p IsSenders tells that it is the sender's own.
static EntryRecord recordFromJson(const json &Value, bool IsSenders) {
  EntryRecord Record;
  Record.Id = Value.at(0);
  Record.Incarnation = Value.at(1);
  Record.Heartbeat = Value.at(2);
  Record.Callers = SocketAddress::parse(Value.at(3).get<std::string>());
  Record.Gossip = SocketAddress::parse(Value.at(4).get<std::string>());
  Record.Zone = Value.at(5);
  Record.Capacity = Value.at(6);
  Record.Busy = Value.at(7);
  Record.IsReady = Value.at(8);
  Record.IsLeaving = Value.at(9);
  Record.ReachesPlatform = Value.at(10);
  // Entries of older releases send no such values, and issue no permits.
  Record.IssuesPermits = Value.size() > 11 && Value.at(11).get<bool>();
  if (Value.size() > 12)
    Record.KnownEntries = Value.at(12);
  if (Value.size() > 13)
    Record.ConfigVersion = Value.at(13);
  if (Value.size() > 14)
    Record.Heard = heardFromJson(Value.at(14));
  // A build forwards the records of others with the fields that it knows
  // itself.
  if (Value.size() > 15)
    Record.Level = Value.at(15);
  else if (IsSenders)
    Record.Level = unstatedLevel(Value.size());
  if (Value.size() > 16)
    Record.LeastPeerLevel = Value.at(16);
  return Record;
}

/// Encodes a flat list of numbers; nested lists would dominate the time to
/// decode a message.
static json toJson(std::span<const UseItem> Items) {
  json Result = json::array();
  for (const UseItem &Each : Items)
    for (const std::uint64_t Value : {std::uint64_t{Each.Key}, Each.Use.Calls,
                                      Each.Use.Tokens, Each.Use.TokensAhead})
      Result.push_back(Value);
  return Result;
}

/// Name of the calls by class of the items in "use", in the same order. It is a
/// list of its own, which daemons of the release before ignore.
static constexpr const char *ClassesField = "classes";

/// Adds the calls by class of \p Items to \p Message, unless all are zero.
static void addClasses(json &Message, std::span<const UseItem> Items) {
  const auto HasClasses = [](const UseItem &Each) {
    return std::any_of(Each.Use.ClassCalls.begin(), Each.Use.ClassCalls.end(),
                       [](std::uint64_t Calls) { return Calls > 0; });
  };
  if (std::none_of(Items.begin(), Items.end(), HasClasses))
    return;
  json &Classes = Message[ClassesField] = json::array();
  for (const UseItem &Each : Items)
    for (const std::uint64_t Calls : Each.Use.ClassCalls)
      Classes.push_back(Calls);
}

/// Reads the use of upstreams in \p Message.
static std::vector<UseItem> useFromJson(const json &Message) {
  const json &Value = Message.at("use");
  std::vector<UseItem> Result;
  Result.reserve(Value.size() / 4);
  for (std::size_t I = 0; I + 3 < Value.size(); I += 4)
    Result.push_back(
        {Value.at(I), {Value.at(I + 1), Value.at(I + 2), Value.at(I + 3)}});
  const auto Classes = Message.find(ClassesField);
  if (Classes == Message.end())
    return Result;
  // A list of another length has another number of classes.
  if (Classes->size() != Result.size() * ReportedClasses)
    return Result;
  for (std::size_t I = 0; I < Result.size(); ++I)
    for (std::size_t Class = 0; Class < ReportedClasses; ++Class)
      Result[I].Use.ClassCalls[Class] =
          Classes->at(I * ReportedClasses + Class);
  return Result;
}

/// Name of the engine times by customer, a list of keys and milliseconds.
/// Daemons of the release before ignore it.
static constexpr const char *CustomersField = "customers";
static constexpr const char *IncarnationField = "incarnation";
/// More than 100,000 slots use within some half-lives.
static constexpr std::uint64_t MaxCustomerMs = 1'000'000'000;

/// Adds \p Customers to \p Message, unless all times are zero.
static void addCustomers(json &Message,
                         std::span<const CustomerTime> Customers) {
  json List = json::array();
  for (const CustomerTime &Each : Customers) {
    const auto Ms = static_cast<std::uint64_t>(
        std::clamp(Each.Ms, 0.0, static_cast<double>(MaxCustomerMs)));
    if (Ms == 0)
      continue;
    List.push_back(Each.Customer);
    List.push_back(Ms);
  }
  if (!List.empty())
    Message[CustomersField] = std::move(List);
}

/// Reads the engine times by customer in \p Message. A malformed list counts as
/// none, so that the rest of the message is still read.
static std::vector<CustomerTime> customersFromJson(const json &Message) {
  const auto List = Message.find(CustomersField);
  if (List == Message.end() || !List->is_array() || List->size() % 2 != 0)
    return {};
  static constexpr std::uint64_t Max[] = {
      std::numeric_limits<CustomerKey>::max(), MaxCustomerMs};
  std::vector<CustomerTime> Result;
  Result.reserve(List->size() / 2);
  for (std::size_t I = 0; I < List->size(); ++I) {
    const json &Value = (*List)[I];
    if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Max[I % 2])
      return {};
    if (I % 2 == 0)
      Result.push_back({Value.get<CustomerKey>(), 0});
    else
      Result.back().Ms = Value.get<double>();
  }
  return Result;
}

/// Reads the engine times of an entry, which are sent with its start time.
static void readCustomers(const json &Message, EntryStatus &Into) {
  const auto Incarnation = Message.find(IncarnationField);
  if (Incarnation == Message.end() || !Incarnation->is_number_integer())
    return;
  Into.Incarnation = *Incarnation;
  Into.Customers = customersFromJson(Message);
}

/// Name of the list of queued work: for each service its key, then the work on
/// time and the late work by class. Daemons of the release before ignore it.
static constexpr const char *BacklogField = "backlog";
static constexpr std::size_t NumbersPerBacklog = 1 + 2 * PriorityClasses;

/// Adds \p Items to \p Message, unless all are empty.
static void addBacklog(json &Message, std::vector<BacklogItem> Items) {
  limitItems(Items);
  if (Items.empty())
    return;
  json &Backlog = Message[BacklogField] = json::array();
  for (const BacklogItem &Each : Items) {
    Backlog.push_back(Each.Key);
    for (const auto *Work : {&Each.Work.OnTimeMs, &Each.Work.LateMs})
      for (const std::uint64_t Ms : *Work)
        Backlog.push_back(std::min(Ms, MaxBacklogMs));
  }
}

/// Reads queued work; an unusable value counts as zero.
static std::uint64_t backlogMsFromJson(const json &Value) {
  return Value.is_number_unsigned()
             ? std::min(Value.get<std::uint64_t>(), MaxBacklogMs)
             : 0;
}

static std::vector<BacklogItem> backlogFromJson(const json &Message) {
  std::vector<BacklogItem> Result;
  const auto Numbers = Message.find(BacklogField);
  // A list of another length has another number of classes.
  if (Numbers == Message.end() || !Numbers->is_array() ||
      Numbers->size() % NumbersPerBacklog != 0)
    return Result;
  for (std::size_t I = 0; I < Numbers->size(); I += NumbersPerBacklog) {
    BacklogItem Item{.Key = Numbers->at(I)};
    for (std::size_t Class = 0; Class < PriorityClasses; ++Class) {
      Item.Work.OnTimeMs[Class] = backlogMsFromJson(Numbers->at(I + 1 + Class));
      Item.Work.LateMs[Class] =
          backlogMsFromJson(Numbers->at(I + 1 + PriorityClasses + Class));
    }
    Result.push_back(Item);
  }
  limitItems(Result);
  return Result;
}

using ProgressByKind = std::vector<std::pair<std::string, WatchProgress>>;

/// Times of BootClock are sent as ages, which go on while a relay is suspended.
static json toJson(const ProgressByKind &All) {
  const BootTime Now = BootClock::now();
  json Result = json::array();
  for (const auto &[Kind, Each] : All) {
    json Progress = {Kind, Each.LastChange, Each.Digest,
                     toMilliseconds(Each.Age), Each.Era};
    if (Each.CompleteUntil)
      Progress.push_back(
          std::chrono::ceil<Milliseconds>(Now - *Each.CompleteUntil).count());
    Result.push_back(std::move(Progress));
  }
  return Result;
}

/// Daemons of the release before tell no era.
static std::uint64_t eraOf(const json &Progress) {
  return Progress.size() > 4 ? Progress.at(4).get<std::uint64_t>() : 0;
}

/// Daemons of the release before do not tell until when their view holds all
/// changes.
static std::optional<BootTime> completeUntilOf(const json &Progress,
                                               BootTime Now) {
  if (Progress.size() <= 5)
    return std::nullopt;
  return Now - std::clamp(Milliseconds(Progress.at(5)), Milliseconds(0),
                          MaxReportedAge);
}

static ProgressByKind progressFromJson(const json &Value) {
  const BootTime Now = BootClock::now();
  ProgressByKind Result;
  for (const json &Each : Value)
    Result.emplace_back(
        Each.at(0), WatchProgress{.LastChange = Each.at(1),
                                  .Digest = Each.at(2),
                                  .Age = Milliseconds(Each.at(3)),
                                  .Era = eraOf(Each),
                                  .CompleteUntil = completeUntilOf(Each, Now)});
  return Result;
}

static json toJson(const EntryStatus &Status) {
  json Result = {{"from", Status.From},
                 {"count", Status.Sequence},
                 {"relay", Status.IsForRelay},
                 {"use", toJson(Status.Use)}};
  addClasses(Result, Status.Use);
  if (Status.IsIncremental)
    return Result;
  addBacklog(Result, Status.Backlog);
  Result["withheld"] = Status.Withheld;
  Result["contacts"] = toJson(Status.Progress);
  addCustomers(Result, Status.Customers);
  if (Result.contains(CustomersField))
    Result[IncarnationField] = Status.Incarnation;
  return Result;
}

static json toJson(const StatusDigest &Digest) {
  json Counted = json::array();
  for (const auto &[Key, Sequence] : Digest.LastSequences) {
    Counted.push_back(Key);
    Counted.push_back(Sequence);
  }
  json Result = {
      {"digest", Digest.From},       {"group", Digest.IsGroupOnly},
      {"members", Digest.Members},   {"use", toJson(Digest.Use)},
      {"withheld", Digest.Withheld}, {"contacts", toJson(Digest.Progress)},
      {"alive", Digest.Alive},       {"counted", std::move(Counted)}};
  addClasses(Result, Digest.Use);
  addCustomers(Result, Digest.Customers);
  addBacklog(Result, Digest.Backlog);
  return Result;
}

static StatusDigest digestFromJson(const json &Value) {
  StatusDigest Digest;
  Digest.From = Value.at("digest");
  Digest.IsGroupOnly = Value.at("group");
  Digest.Members = Value.at("members");
  Digest.Use = useFromJson(Value);
  Digest.Backlog = backlogFromJson(Value);
  Digest.Withheld = Value.at("withheld").get<std::vector<std::string>>();
  Digest.Progress = progressFromJson(Value.at("contacts"));
  Digest.Alive = Value.at("alive").get<std::vector<std::uint32_t>>();
  const json &Counted = Value.at("counted");
  for (std::size_t I = 0; I + 1 < Counted.size(); I += 2)
    Digest.LastSequences.emplace_back(Counted.at(I), Counted.at(I + 1));
  Digest.Customers = customersFromJson(Value);
  return Digest;
}

static EntryStatus statusFromJson(const json &Value) {
  EntryStatus Status;
  Status.From = Value.at("from");
  Status.Use = useFromJson(Value);
  Status.IsIncremental = !Value.contains("withheld");
  Status.Sequence = Value.at("count");
  Status.IsForRelay = Value.at("relay");
  if (Status.IsIncremental)
    return Status;
  Status.Backlog = backlogFromJson(Value);
  Status.Withheld = Value.at("withheld").get<std::vector<std::string>>();
  Status.Progress = progressFromJson(Value.at("contacts"));
  readCustomers(Value, Status);
  return Status;
}

static json toJson(const AddedUseBatch &Batch) {
  json Entries = json::array();
  std::vector<UseItem> Items;
  for (const AddedUse &Each : Batch.Items) {
    Entries.push_back(Each.Entry);
    Items.push_back(Each.Item);
  }
  json Result = {{"added", Batch.From},
                 {"group", Batch.IsGroupOnly},
                 {"entries", std::move(Entries)},
                 {"use", toJson(Items)}};
  addClasses(Result, Items);
  return Result;
}

static AddedUseBatch addedFromJson(const json &Value) {
  AddedUseBatch Batch;
  Batch.From = Value.at("added");
  Batch.IsGroupOnly = Value.at("group");
  const std::vector<UseItem> Items = useFromJson(Value);
  const json &Entries = Value.at("entries");
  for (std::size_t I = 0; I < std::min(Items.size(), Entries.size()); ++I)
    Batch.Items.push_back({Entries.at(I), Items[I]});
  return Batch;
}

static json toJson(const StoreUpdate &Update) {
  const StoreEventBatch &Batch = Update.Batch;
  json Events = json::array();
  for (const StoreEvent &Each : Batch.Events)
    Events.push_back({Each.IsAdded, Each.Scope, Each.Part, Each.Tokens});
  json Result = {{"store", Update.Store},
                 {"since", Update.Since},
                 {"epoch", Batch.Epoch},
                 {"next", Batch.Next},
                 {"events", std::move(Events)}};
  if (Batch.ClockMs)
    Result["clock"] = *Batch.ClockMs;
  return Result;
}

static StoreUpdate storeUpdateFromJson(const json &Value) {
  StoreUpdate Update;
  Update.Store = Value.at("store");
  Update.Since = Value.at("since");
  Update.Batch.Epoch = Value.at("epoch");
  Update.Batch.Next = Value.at("next");
  if (Value.contains("clock"))
    Update.Batch.ClockMs = Value.at("clock").get<std::int64_t>();
  for (const json &Each : Value.at("events"))
    Update.Batch.Events.push_back(
        {Each.at(0), Each.at(1), Each.at(2), Each.at(3)});
  return Update;
}

static json toJson(const ObjectUpdates &Update) {
  json Objects = json::array();
  for (const PlatformObject &Each : Update.Objects)
    Objects.push_back({Each.Key.Name, Each.Version, Each.Deleted, Each.Value});
  return {{"objects", std::move(Objects)},
          {"kind", Update.Kind},
          {"era", Update.Era},
          {"since", Update.Since},
          {"revision", Update.Revision}};
}

static ObjectUpdates objectNewsFromJson(const json &Value) {
  ObjectUpdates Update;
  Update.Kind = Value.at("kind");
  Update.Era = Value.value("era", std::uint64_t{0});
  Update.Since = Value.at("since");
  Update.Revision = Value.at("revision");
  for (const json &Each : Value.at("objects"))
    Update.Objects.push_back({.Key = {Update.Kind, Each.at(0)},
                              .Version = Each.at(1),
                              .Deleted = Each.at(2),
                              .Value = Each.at(3)});
  return Update;
}

static json toJson(std::span<const CrashReport> All) {
  json Contents = json::array();
  for (const CrashReport &Each : All) {
    json Observations = json::array();
    for (const CrashReport::Observation &Seen : Each.Observations) {
      Observations.push_back(Seen.Upstream);
      Observations.push_back(Seen.Age.count());
    }
    Contents.push_back(
        {Each.Key, Each.ClearedAge ? json(Each.ClearedAge->count()) : json(),
         std::move(Observations)});
  }
  return {{"crashes", std::move(Contents)}};
}

static std::vector<CrashReport> crashesFromJson(const json &Value) {
  std::vector<CrashReport> Result;
  for (const json &Each : Value.at("crashes")) {
    CrashReport Report;
    Report.Key = Each.at(0);
    if (!Each.at(1).is_null())
      Report.ClearedAge = Milliseconds(Each.at(1).get<std::int64_t>());
    const json &Observations = Each.at(2);
    for (std::size_t I = 0; I + 1 < Observations.size(); I += 2)
      Report.Observations.push_back(
          {Observations.at(I),
           Milliseconds(Observations.at(I + 1).get<std::int64_t>())});
    Result.push_back(std::move(Report));
  }
  return Result;
}

static json toJson(const RateMessage &Message) {
  json Statements = json::array();
  for (const RateStatement &Each : Message.Statements)
    Statements.push_back(
        {Each.Upstream, Each.PerSecond ? json(*Each.PerSecond) : json(),
         Each.Age.count(), Each.ColdPerSecond, Each.ColdLeft.count()});
  json Requests = json::array();
  for (const PermitRequest &Each : Message.Requests)
    Requests.push_back({Each.Upstream, Each.Count, Each.SentMs});
  json Grants = json::array();
  for (const PermitGrant &Each : Message.Grants)
    Grants.push_back(
        {Each.Upstream, Each.Count, Each.SentMs, Each.Backlog.count()});
  json Returns = json::array();
  for (const PermitReturn &Each : Message.Returns)
    Returns.push_back({Each.Upstream, Each.Count});
  return {{"rates", Message.From},
          {"statements", std::move(Statements)},
          {"requests", std::move(Requests)},
          {"grants", std::move(Grants)},
          {"returns", std::move(Returns)}};
}

static RateMessage ratesFromJson(const json &Value) {
  RateMessage Message;
  Message.From = Value.at("rates");
  for (const json &Each : Value.at("statements")) {
    RateStatement Read{.Upstream = Each.at(0)};
    if (!Each.at(1).is_null())
      Read.PerSecond = Each.at(1).get<double>();
    Read.Age = Milliseconds(Each.at(2).get<std::int64_t>());
    Read.ColdPerSecond = Each.at(3);
    Read.ColdLeft = Milliseconds(Each.at(4).get<std::int64_t>());
    Message.Statements.push_back(Read);
  }
  for (const json &Each : Value.at("requests"))
    Message.Requests.push_back({Each.at(0), Each.at(1), Each.at(2)});
  for (const json &Each : Value.at("grants"))
    Message.Grants.push_back({Each.at(0), Each.at(1), Each.at(2),
                              Milliseconds(Each.at(3).get<std::int64_t>())});
  for (const json &Each : Value.at("returns"))
    Message.Returns.push_back({Each.at(0), Each.at(1)});
  return Message;
}

/// Name of the level of the build that sends notices on weights.
static constexpr const char *LevelField = "level";

static json toJson(std::span<const WeightNotice> Notices, BuildLevel Level) {
  json Result = json::array();
  for (const WeightNotice &Each : Notices)
    Result.push_back({Each.Model, Each.Version, Each.Age.count()});
  return {{"weights", std::move(Result)}, {LevelField, Level}};
}

static std::vector<WeightNotice> weightsFromJson(const json &Value) {
  std::vector<WeightNotice> Result;
  for (const json &Each : Value.at("weights"))
    Result.push_back(
        {Each.at(0), Each.at(1), Milliseconds(Each.at(2).get<std::int64_t>())});
  return Result;
}

static json toJson(const StreamRecordUpdates &News) {
  json Groups = json::array();
  for (const StreamRecordGroup &Each : News)
    Groups.push_back({Each.Origin.Service, Each.Origin.Version, Each.Keys});
  return {{"streams", std::move(Groups)}};
}

static std::string originNameFromJson(const json &Value) {
  std::string Name = Value;
  if (Name.empty() || Name.size() > MaxOriginNameBytes)
    throw Error(ErrorKind::BadRequest, "malformed origin of streams");
  return Name;
}

static StreamRecordUpdates streamsFromJson(const json &Value) {
  StreamRecordUpdates Result;
  std::size_t Records = 0;
  for (const json &Group : Value.at("streams")) {
    Records += Group.at(2).size();
    if (Records > MaxUpdateRecords || Result.size() >= MaxUpdateOrigins)
      throw Error(ErrorKind::BadRequest, "too many records of streams");
    StreamRecordGroup Read{.Origin = {originNameFromJson(Group.at(0)),
                                      originNameFromJson(Group.at(1))}};
    for (const json &Key : Group.at(2)) {
      if (!Key.is_number_unsigned())
        throw Error(ErrorKind::BadRequest, "malformed key of a stream");
      Read.Keys.push_back(Key);
    }
    Result.push_back(std::move(Read));
  }
  return Result;
}

std::string encodeGossip(const GossipMessage &Message) {
  json Value = json::array();
  if (Message.Store)
    Value = toJson(*Message.Store);
  else if (Message.Objects)
    Value = toJson(*Message.Objects);
  else if (!Message.Crashes.empty())
    Value = toJson(Message.Crashes);
  else if (!Message.Weights.empty())
    Value = toJson(std::span<const WeightNotice>(Message.Weights),
                   Message.WeightsLevel);
  else if (!Message.Rates.From.empty())
    Value = toJson(Message.Rates);
  else if (!Message.Streams.empty())
    Value = toJson(Message.Streams);
  else if (!Message.Digest.From.empty())
    Value = toJson(Message.Digest);
  else if (!Message.Added.From.empty())
    Value = toJson(Message.Added);
  else if (!Message.Status.From.empty())
    Value = toJson(Message.Status);
  else
    for (const EntryRecord &Each : Message.Records)
      Value.push_back(toJson(Each));
  std::vector<std::uint8_t> Bytes = json::to_cbor(Value);
  for (const char *Optional : {ClassesField, CustomersField, BacklogField})
    if (Bytes.size() > MaxGossipBytes && Value.is_object() &&
        Value.erase(Optional) > 0)
      Bytes = json::to_cbor(Value);
  return {Bytes.begin(), Bytes.end()};
}

GossipMessage decodeGossip(std::string_view Bytes) {
  if (!isBoundedCbor(Bytes, MaxDepth))
    throw Error(ErrorKind::BadRequest, "the message is nested too deeply");
  const json Value = json::from_cbor(Bytes.begin(), Bytes.end());
  GossipMessage Result;
  if (Value.is_object() && Value.contains("store"))
    Result.Store = storeUpdateFromJson(Value);
  else if (Value.is_object() && Value.contains("objects"))
    Result.Objects = objectNewsFromJson(Value);
  else if (Value.is_object() && Value.contains("crashes"))
    Result.Crashes = crashesFromJson(Value);
  else if (Value.is_object() && Value.contains("weights")) {
    Result.Weights = weightsFromJson(Value);
    Result.WeightsLevel = Value.value(LevelField, BuildLevel{0});
  } else if (Value.is_object() && Value.contains("rates"))
    Result.Rates = ratesFromJson(Value);
  else if (Value.is_object() && Value.contains("streams"))
    Result.Streams = streamsFromJson(Value);
  else if (Value.is_object() && Value.contains("digest"))
    Result.Digest = digestFromJson(Value);
  else if (Value.is_object() && Value.contains("added"))
    Result.Added = addedFromJson(Value);
  else if (Value.is_object())
    Result.Status = statusFromJson(Value);
  else
    for (const json &Each : Value)
      Result.Records.push_back(
          recordFromJson(Each, /*IsSenders=*/Result.Records.empty()));
  return Result;
}

} // namespace galenaroute
