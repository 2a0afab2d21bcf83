#include "version/ListingCheck.h"

#include "version/Listing.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace galenaroute {

/// SHA-256 of no bytes. Requests without a key are refused before their digest
/// is looked up.
static constexpr std::string_view EmptyKeyDigest =
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

static void add(std::vector<ListingFinding> &Out, std::string Rule,
                ListingPlace Place, std::string Message) {
  Out.push_back({std::move(Rule), std::move(Place), std::move(Message)});
}

static ListingPlace servicePlace(const ServiceConfig &Service,
                                 std::string Field = {}) {
  return {.Table = "service", .Name = Service.Name, .Field = std::move(Field)};
}

static std::string quoted(std::string_view Text) {
  return "\"" + std::string(Text) + "\"";
}

static std::string formatNumber(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

static int countLive(const ServiceConfig &Service) {
  return static_cast<int>(
      std::count_if(Service.Upstreams.begin(), Service.Upstreams.end(),
                    [](const UpstreamConfig &Each) {
                      return Each.State == UpstreamState::Live;
                    }));
}

/// Requests that the upstreams of \p Service that take new work run at a time.
static std::int64_t countSlots(const ServiceConfig &Service) {
  return static_cast<std::int64_t>(countLive(Service)) * Service.Slots;
}

/// Returns whether \p Host is an IPv4 number that no single host has.
static bool isNoHost(std::string_view Host) {
  int First = 0;
  std::from_chars(Host.data(), Host.data() + Host.size(), First);
  return First == 0 || First >= 224;
}

/// Each model service is found by its model and by its name, and the first
/// service in order of names that has either is chosen, as by
/// Configuration::findModel().
static void checkModels(const Configuration &Config,
                        std::vector<ListingFinding> &Out) {
  std::map<std::string_view, const ServiceConfig *> Chosen;
  for (const auto &[Name, Service] : Config.Services)
    if (Service.Kind == ServiceKind::Model)
      for (const std::string_view Key :
           {std::string_view(Service.Model), std::string_view(Name)})
        Chosen.try_emplace(Key, &Service);
  for (const auto &[Name, Service] : Config.Services) {
    if (Service.Kind != ServiceKind::Model)
      continue;
    const ServiceConfig *ByModel = Chosen[Service.Model];
    const ServiceConfig *ByName = Chosen[Name];
    if (ByModel != &Service && ByName != &Service)
      add(Out, "unreachable-service", servicePlace(Service, "name"),
          "no call reaches this service: prompts for the model " +
              quoted(Service.Model) + " go to " + quoted(ByModel->Name) +
              ", and prompts for " + quoted(Name) + " go to " +
              quoted(ByName->Name));
    else if (ByModel != &Service)
      add(Out, "shadowed-model", servicePlace(Service, "model"),
          "prompts for the model " + quoted(Service.Model) + " go to " +
              quoted(ByModel->Name) +
              "; only prompts that give this service's name reach it");
    else if (ByName != &Service)
      add(Out, "shadowed-model", servicePlace(Service, "name"),
          "prompts for " + quoted(Name) + " go to " + quoted(ByName->Name) +
              ", whose model has this name");
  }
}

static void checkUpstreams(const ServiceConfig &Service,
                           const Configuration *Before,
                           std::vector<ListingFinding> &Out) {
  if (!Service.Upstreams.empty() && countLive(Service) == 0)
    add(Out, "unreachable-service", servicePlace(Service, "upstreams"),
        "every upstream is leaving, so that no call is served");
  const ServiceConfig *Earlier =
      Before ? Before->findService(Service.Name) : nullptr;
  for (const UpstreamConfig &Each : Service.Upstreams) {
    ListingPlace Place = servicePlace(Service, "address");
    Place.Upstream = Each.Name;
    if (isNoHost(Each.Address.Host))
      add(Out, "unusable-address", Place,
          quoted(Each.Address.toString()) +
              " is not the address of one host, so that this upstream is "
              "never used");
    if (!Before || Each.State == UpstreamState::Live)
      continue;
    // Upstreams are sorted by name.
    const bool IsKnown =
        Earlier &&
        std::binary_search(
            Earlier->Upstreams.begin(), Earlier->Upstreams.end(), Each,
            [](const UpstreamConfig &A, const UpstreamConfig &B) {
              return A.Name < B.Name;
            });
    Place.Field = "state";
    if (!IsKnown)
      add(Out, "unused-upstream", Place,
          "this upstream is new and leaving, so that it is never used");
  }
}

void checkReach(const Configuration &Config, const Configuration *Before,
                std::vector<ListingFinding> &Out) {
  if (Config.Services.empty())
    add(Out, "no-service", {.Table = "service"},
        "no service is declared, so that no call has a destination");
  checkModels(Config, Out);
  std::map<std::string_view, bool> IsUsed;
  for (const auto &[Name, Service] : Config.Services) {
    checkUpstreams(Service, Before, Out);
    if (Service.Kind == ServiceKind::Model)
      for (const std::string &Each : Service.DependsOn)
        IsUsed[Each] = true;
  }
  for (const auto &[Name, Store] : Config.Stores) {
    if (isNoHost(Store.Address.Host))
      add(Out, "unusable-address",
          {.Table = "store", .Name = Name, .Field = "address"},
          quoted(Store.Address.toString()) +
              " is not the address of one host, so that this store is never "
              "used");
    if (!IsUsed.contains(Name))
      add(Out, "unused-store",
          {.Table = "store", .Name = Name, .Field = "name"},
          "no model service depends on this store, so that nothing is written "
          "to it");
  }
}

/// Returns why no call has a path that begins with \p Path, or nothing. Paths
/// of calls are decoded, without a query, without empty segments and without
/// the segments `.` and `..`, see declaredPath().
static std::string whyUnmatched(std::string_view Path) {
  if (Path.find("//") != std::string_view::npos)
    return "paths are compared without empty segments";
  if (Path.find("/./") != std::string_view::npos ||
      Path.find("/../") != std::string_view::npos)
    return "calls with the segments '.' and '..' are refused";
  if (Path.find_first_of("?#") != std::string_view::npos)
    return "paths are compared without their query";
  const auto IsHex = [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f') ||
           (C >= 'A' && C <= 'F');
  };
  for (std::size_t I = 0; I + 2 < Path.size(); ++I)
    if (Path[I] == '%' && IsHex(Path[I + 1]) && IsHex(Path[I + 2]))
      return "paths are compared decoded; write the character itself";
  return {};
}

static std::string callTitle(const CallConfig &Call) {
  std::string Result = "\"";
  Result.append(Call.Method).append(" ").append(Call.Path).append("\"");
  return Result;
}

void checkCalls(const ServiceConfig &Service,
                std::vector<ListingFinding> &Out) {
  std::vector<std::size_t> Order(Service.Calls.size());
  for (std::size_t I = 0; I < Order.size(); ++I)
    Order[I] = I;
  // A path comes after all its prefixes, and what begins with it follows it.
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    const CallConfig &Left = Service.Calls[A], &Right = Service.Calls[B];
    return std::tie(Left.Method, Left.Path, A) <
           std::tie(Right.Method, Right.Path, B);
  });
  std::vector<const CallConfig *> Prefixes;
  for (const std::size_t Index : Order) {
    const CallConfig &Call = Service.Calls[Index];
    const std::string Title = callTitle(Call);
    ListingPlace Place = servicePlace(Service, "path");
    Place.Call = Index;
    const std::string Why = whyUnmatched(Call.Path);
    if (!Why.empty()) {
      add(Out, "unmatched-call", Place,
          std::string(Title).append(" matches no call: ").append(Why));
      continue;
    }
    while (!Prefixes.empty() &&
           (Prefixes.back()->Method != Call.Method ||
            !std::string_view(Call.Path).starts_with(Prefixes.back()->Path)))
      Prefixes.pop_back();
    if (!Prefixes.empty() && Prefixes.back()->Path == Call.Path) {
      add(Out, "shadowed-call", Place, Title + " is declared before");
      continue;
    }
    if (!Prefixes.empty() && Prefixes.back()->Repeatable == Call.Repeatable)
      add(Out, "shadowed-call", Place,
          Title + " changes nothing: " + callTitle(*Prefixes.back()) +
              " declares the same for its calls");
    Prefixes.push_back(&Call);
  }
}

void checkCustomers(const Configuration &Config,
                    std::vector<ListingFinding> &Out) {
  if (Config.Customers.empty())
    add(Out, "no-customer", {.Table = "customer"},
        "no customer is declared, so that every call is refused");
  for (const auto &[Name, Customer] : Config.Customers)
    if (Customer.KeySha256 == EmptyKeyDigest)
      add(Out, "customer-without-key",
          {.Table = "customer", .Name = Name, .Field = "key_sha256"},
          "this is the digest of an empty key, which is always refused");
}

static void checkService(const Configuration &Config,
                         const ServiceConfig &Service,
                         std::vector<ListingFinding> &Out) {
  for (const std::string &Each : Service.DependsOn)
    if (const ServiceConfig *Needed = Config.findService(Each);
        Needed && Needed->Deadline > Service.Deadline)
      add(Out, "deadline-order", servicePlace(Service, "deadline_ms"),
          std::to_string(Service.Deadline.count()) +
              " is shorter than the deadline of " + quoted(Each) +
              ", on which this service depends (" +
              std::to_string(Needed->Deadline.count()) + ")");
  const int Live = countLive(Service);
  if (Service.Kind == ServiceKind::Model && Live > 0 &&
      Service.MaxConcurrentLoads >= std::max(Live, 2))
    add(Out, "loads-all-upstreams",
        servicePlace(Service, "max_concurrent_loads"),
        std::to_string(Service.MaxConcurrentLoads) + " with " +
            std::to_string(Live) +
            " live upstreams: a change of weights takes all of them out of "
            "use at once");
}

void checkLimits(const Configuration &Config,
                 std::vector<ListingFinding> &Out) {
  double Weights = 0;
  std::int64_t InFlight = 0;
  const CustomerConfig *Heaviest = nullptr;
  for (const auto &[Name, Customer] : Config.Customers) {
    Weights += Customer.Weight;
    InFlight += Customer.MaxInFlight;
    if (!Heaviest || Customer.Weight > Heaviest->Weight)
      Heaviest = &Customer;
  }
  const ServiceConfig *Largest = nullptr;
  for (const auto &[Name, Service] : Config.Services) {
    checkService(Config, Service, Out);
    const std::int64_t Slots = countSlots(Service);
    if (!Largest || Slots > countSlots(*Largest))
      Largest = &Service;
    if (Heaviest && InFlight < Slots)
      add(Out, "unused-slots", servicePlace(Service, "slots"),
          std::to_string(Slots - InFlight) + " of " + std::to_string(Slots) +
              " slots are never used: the customers may have " +
              std::to_string(InFlight) + " requests in flight together");
  }
  const std::int64_t Slots = Largest ? countSlots(*Largest) : 0;
  if (Slots == 0)
    return;
  const std::string Of = " slots of " + quoted(Largest->Name);
  for (const auto &[Name, Customer] : Config.Customers) {
    const double Share =
        std::floor(static_cast<double>(Slots) * Customer.Weight / Weights);
    // Limits that are too low together are reported as unused-slots.
    if (InFlight >= Slots && Share > Customer.MaxInFlight)
      add(Out, "share-above-limit",
          {.Table = "customer", .Name = Name, .Field = "max_in_flight"},
          std::to_string(Customer.MaxInFlight) +
              " is less than the share that the weight gives this customer: " +
              formatNumber(Share) + " of " + std::to_string(Slots) + Of);
    if (Customer.Weight * static_cast<double>(Slots) < Heaviest->Weight)
      add(Out, "share-below-slot",
          {.Table = "customer", .Name = Name, .Field = "weight"},
          formatNumber(Customer.Weight) +
              " gives this customer less than one of " + std::to_string(Slots) +
              Of + " beside " + quoted(Heaviest->Name) + ", whose weight is " +
              formatNumber(Heaviest->Weight));
  }
}

std::vector<ListingFinding> checkConfiguration(const Configuration &Config,
                                               const Configuration *Before) {
  std::vector<ListingFinding> Result;
  checkReach(Config, Before, Result);
  for (const auto &[Name, Service] : Config.Services)
    checkCalls(Service, Result);
  checkCustomers(Config, Result);
  checkLimits(Config, Result);
  if (Result.size() > MaxListingFindings) {
    const std::size_t Omitted = Result.size() - (MaxListingFindings - 1);
    Result.resize(MaxListingFindings - 1);
    add(Result, "further-findings", {},
        std::to_string(Omitted) + " further findings");
  }
  return Result;
}

std::string ListingFinding::toString(std::string_view File) const {
  return positionText(File, this->Line, this->Column, this->Key) + ": " +
         this->Message + " [" + this->Rule + "]";
}

} // namespace galenaroute
