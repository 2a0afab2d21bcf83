#include "version/Listing.h"

#include "version/ListingReader.h"

#include <algorithm>

namespace galenaroute {

namespace {

/// Names and references of a listing; checked after all tables are read.
struct References {
  std::vector<Located<std::string>> Zones;   ///< References to zones.
  std::vector<Located<std::string>> Targets; ///< Names of services and stores.
  std::vector<Located<std::string>> Upstreams;
  std::vector<Located<std::string>> Customers;
  std::vector<Located<std::string>> Keys;
  std::vector<Located<SocketAddress>> Addresses;
  std::vector<std::pair<std::string, Located<std::string>>> Dependencies;
};

constexpr std::string_view Kinds[] = {"model", "plain"};
constexpr std::string_view States[] = {"live", "leaving"};
constexpr std::string_view Methods[] = {"GET", "HEAD",  "OPTIONS", "POST",
                                        "PUT", "PATCH", "DELETE"};

std::vector<std::string> valuesOf(const std::vector<Located<std::string>> &In) {
  std::vector<std::string> Result;
  Result.reserve(In.size());
  for (const auto &Each : In)
    Result.push_back(Each.Value);
  return Result;
}

UpstreamConfig readUpstream(TableReader &Reader, References &Refs) {
  const auto Name = Reader.name("name");
  const auto Address = Reader.address("address");
  const auto Zone = Reader.name("zone");
  const std::string State = Reader.choice("state", States, "live");
  Reader.finish();
  Refs.Upstreams.push_back(Name);
  Refs.Addresses.push_back(Address);
  Refs.Zones.push_back(Zone);
  return {Name.Value, Address.Value, Zone.Value,
          State == "leaving" ? UpstreamState::Leaving : UpstreamState::Live};
}

std::vector<CallConfig> readCalls(TableReader &Reader, ListingErrors &Errors) {
  std::set<std::pair<std::string, std::string>> Seen;
  std::vector<CallConfig> Result;
  for (TableReader &Each : Reader.tables("calls")) {
    CallConfig Call;
    Call.Method = Each.choice("method", Methods, std::nullopt);
    const auto Path = Each.text("path", std::nullopt, 1024);
    Call.Path = Path.Value;
    Call.Repeatable = Each.boolean("repeatable", std::nullopt);
    Each.finish();
    if (!Call.Path.empty() && !Call.Path.starts_with('/'))
      Errors.add(Path.Location, "does not start with '/'", "\"/payments\"");
    if (!Seen.emplace(Call.Method, Call.Path).second)
      Errors.add(Path.Location, "this method and path are declared twice");
    Result.push_back(std::move(Call));
  }
  return Result;
}

void readModelKeys(TableReader &Reader, ServiceConfig &Service) {
  Service.Model = Reader.name("model").Value;
  Service.WeightVersion = Reader.name("weight_version").Value;
  Service.Adapters = valuesOf(Reader.names("adapters", /*Required=*/false));
  Service.ChecksFence = Reader.boolean("checks_fence", false);
  Service.MaxConcurrentLoads =
      static_cast<int>(Reader.integer("max_concurrent_loads", 1, {1, 1000}));
  Reader.forbid("calls", "applies only to services of kind \"plain\"");
}

void readPlainKeys(TableReader &Reader, ServiceConfig &Service,
                   ListingErrors &Errors) {
  Service.Calls = readCalls(Reader, Errors);
  for (const std::string_view Key : {"model", "weight_version", "adapters",
                                     "checks_fence", "max_concurrent_loads"})
    Reader.forbid(Key, "applies only to services of kind \"model\"");
}

ServiceConfig readService(TableReader &Reader, References &Refs,
                          ListingErrors &Errors) {
  ServiceConfig Service;
  const auto Name = Reader.name("name");
  Refs.Targets.push_back(Name);
  Service.Name = Name.Value;
  const std::string Kind = Reader.choice("kind", Kinds, std::nullopt);
  const bool IsPlain = Kind == "plain";
  Service.Kind = IsPlain ? ServiceKind::Plain : ServiceKind::Model;
  if (IsPlain)
    readPlainKeys(Reader, Service, Errors);
  else if (Kind == "model")
    readModelKeys(Reader, Service);
  else // Without a valid kind, it is unknown which keys are allowed.
    Reader.skip({"model", "weight_version", "adapters", "checks_fence",
                 "max_concurrent_loads", "calls"});
  Service.Slots = static_cast<int>(Reader.integer("slots", 8, {1, 10000}));
  Service.Deadline =
      Milliseconds(Reader.integer("deadline_ms", 30000, {100, 3600000}));
  for (const auto &Each : Reader.names("depends_on", /*Required=*/false)) {
    Refs.Dependencies.push_back({Service.Name, Each});
    Service.DependsOn.push_back(Each.Value);
  }
  for (TableReader &Each : Reader.tables("upstreams"))
    Service.Upstreams.push_back(readUpstream(Each, Refs));
  if (Service.Upstreams.empty()) {
    ListingLocation At = Reader.location();
    At.Key += ".upstreams";
    Errors.add(At, "has no entry", "at least one upstream");
  }
  std::sort(Service.Upstreams.begin(), Service.Upstreams.end(),
            [](const UpstreamConfig &A, const UpstreamConfig &B) {
              return A.Name < B.Name;
            });
  Reader.finish();
  return Service;
}

StoreConfig readStore(TableReader &Reader, References &Refs) {
  const auto Name = Reader.name("name");
  const auto Address = Reader.address("address");
  const auto Zone = Reader.name("zone");
  const double Link = Reader.number("link_mbps", 1000, {1, 1000000});
  Reader.finish();
  Refs.Targets.push_back(Name);
  Refs.Addresses.push_back(Address);
  Refs.Zones.push_back(Zone);
  return {Name.Value, Address.Value, Zone.Value, Link};
}

CustomerConfig readCustomer(TableReader &Reader, References &Refs,
                            ListingErrors &Errors) {
  const auto Name = Reader.name("name");
  const auto Key = Reader.text("key_sha256", std::nullopt, 64);
  const bool IsDigest =
      Key.Value.size() == 64 &&
      Key.Value.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!Key.Value.empty() && !IsDigest)
    Errors.add(Key.Location, "is not a SHA-256 digest",
               "64 lower-case hexadecimal digits");
  CustomerConfig Result{
      Name.Value, Key.Value, Reader.number("weight", 1, {0.01, 1000}),
      static_cast<int>(Reader.integer("max_in_flight", 64, {1, 1000000}))};
  Reader.finish();
  Refs.Customers.push_back(Name);
  Refs.Keys.push_back(Key);
  return Result;
}

template <typename T>
void checkUnique(const std::vector<Located<T>> &Values, std::string_view What,
                 ListingErrors &Errors) {
  std::map<T, const ListingLocation *> Seen;
  for (const Located<T> &Each : Values) {
    if (Each.Value == T{})
      continue; // Missing or invalid; already reported.
    const auto [It, IsNew] = Seen.emplace(Each.Value, &Each.Location);
    if (!IsNew)
      Errors.add(Each.Location, "this " + std::string(What) +
                                    " is already used at line " +
                                    std::to_string(It->second->Line));
  }
}

void checkKnown(const Located<std::string> &Use,
                const std::set<std::string> &Known, std::string_view What,
                ListingErrors &Errors) {
  if (Use.Value.empty() || Known.contains(Use.Value))
    return;
  std::string Allowed;
  for (const std::string &Each : Known) {
    if (Allowed.size() > 400) {
      Allowed += ", ...";
      break;
    }
    Allowed += (Allowed.empty() ? "" : ", ") + Each;
  }
  Errors.add(Use.Location,
             "\"" + Use.Value + "\" is not a declared " + std::string(What),
             Allowed);
}

/// Reports the dependencies between services that are part of a cycle, or of a
/// path between cycles: those that remain after services without dependencies
/// or dependants have been removed repeatedly.
void checkCycles(const References &Refs, ListingErrors &Errors) {
  auto Edges = Refs.Dependencies;
  std::set<std::string> Services;
  for (const auto &Each : Edges)
    Services.insert(Each.first);
  for (std::size_t Before = Edges.size() + 1; Edges.size() < Before;) {
    Before = Edges.size();
    std::set<std::string> Froms, Tos;
    for (const auto &[From, To] : Edges) {
      Froms.insert(From);
      Tos.insert(To.Value);
    }
    std::erase_if(Edges, [&](const auto &Edge) {
      return !Froms.contains(Edge.second.Value) || !Tos.contains(Edge.first);
    });
  }
  for (const auto &[From, To] : Edges)
    Errors.add(To.Location, "\"" + From + "\" and \"" + To.Value +
                                "\" are part of a cycle of dependencies");
}

void checkReferences(const Configuration &Config, const References &Refs,
                     ListingErrors &Errors) {
  const std::set<std::string> Zones(Config.Deployment.Zones.begin(),
                                    Config.Deployment.Zones.end());
  for (const auto &Each : Refs.Zones)
    checkKnown(Each, Zones, "zone", Errors);
  std::set<std::string> Targets;
  for (const auto &Each : Refs.Targets)
    Targets.insert(Each.Value);
  Targets.erase("");
  for (const auto &[From, To] : Refs.Dependencies)
    checkKnown(To, Targets, "service or store", Errors);
  checkUnique(Refs.Targets, "name of a service or store", Errors);
  checkUnique(Refs.Upstreams, "upstream name", Errors);
  checkUnique(Refs.Customers, "customer name", Errors);
  checkUnique(Refs.Keys, "key", Errors);
  checkUnique(Refs.Addresses, "address", Errors);
  checkCycles(Refs, Errors);
}

void readRoot(const toml::table &Root, Configuration &Config,
              ListingErrors &Errors) {
  References Refs;
  TableReader Reader(Root, {1, 1, ""}, Errors);
  if (auto Deployment = Reader.table("deployment")) {
    Config.Deployment.Name = Deployment->name("name").Value;
    if (Deployment->has("region"))
      Config.Deployment.Region = Deployment->name("region").Value;
    else
      Deployment->text("region", "");
    Config.Deployment.Zones =
        valuesOf(Deployment->names("zones", /*Required=*/true));
    Deployment->finish();
  }
  for (TableReader &Each : Reader.tables("store")) {
    StoreConfig Store = readStore(Each, Refs);
    Config.Stores.emplace(Store.Name, Store);
  }
  for (TableReader &Each : Reader.tables("service")) {
    ServiceConfig Service = readService(Each, Refs, Errors);
    Config.Services.emplace(Service.Name, Service);
  }
  for (TableReader &Each : Reader.tables("customer")) {
    CustomerConfig Customer = readCustomer(Each, Refs, Errors);
    Config.Customers.emplace(Customer.Name, Customer);
  }
  Reader.finish();
  checkReferences(Config, Refs, Errors);
}

} // namespace

std::string positionText(std::string_view File, unsigned Line, unsigned Column,
                         const std::string &Key) {
  std::string Result(File);
  if (Line > 0)
    Result += ":" + std::to_string(Line) + ":" + std::to_string(Column);
  if (!Key.empty())
    Result += ": " + Key;
  return Result;
}

std::string ListingError::toString(std::string_view File) const {
  std::string Result = positionText(File, this->Line, this->Column, this->Key) +
                       ": " + this->Message;
  if (!this->Allowed.empty())
    Result += "; allowed: " + this->Allowed;
  return Result;
}

ListingResult parseListing(std::string_view Text) {
  ListingResult Result;
  ListingErrors Errors;
  if (Text.size() > MaxListingBytes) {
    Errors.add({}, "the listing is too long",
               "at most " + std::to_string(MaxListingBytes) + " bytes");
    Result.Errors = Errors.take();
    return Result;
  }
  if (const auto Deep = findDeepKey(Text)) {
    Errors.add(*Deep, "a key has too many parts",
               "at most " + std::to_string(MaxKeyParts) + " parts");
    Result.Errors = Errors.take();
    return Result;
  }
  try {
    readRoot(toml::parse(Text), Result.Config, Errors);
  } catch (const toml::parse_error &Failure) {
    const toml::source_position At = Failure.source().begin;
    Errors.add({At.line, At.column, ""},
               "TOML syntax error: " + std::string(Failure.description()));
  }
  Result.Errors = Errors.take();
  return Result;
}

} // namespace galenaroute
