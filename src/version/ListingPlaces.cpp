#include "version/ListingPlaces.h"

#include <algorithm>
#include <toml++/toml.h>

namespace galenaroute {

namespace {

/// A table of the listing and its key.
struct PlacedTable {
  const toml::table *Table = nullptr;
  std::string Key;
};

using TablesByName = std::map<std::string, PlacedTable, std::less<>>;

/// Returns the tables of the array \p Key of \p Parent by their names.
TablesByName tablesByName(const toml::table &Parent, std::string_view Key,
                          const std::string &Prefix) {
  TablesByName Result;
  const toml::array *Array = Parent[Key].as_array();
  for (std::size_t I = 0; Array && I < Array->size(); ++I)
    if (const toml::table *Table = Array->get(I)->as_table())
      if (const auto Name = (*Table)["name"].value<std::string>())
        Result.try_emplace(*Name,
                           PlacedTable{Table, Prefix + std::string(Key) + "[" +
                                                  std::to_string(I) + "]"});
  return Result;
}

/// The tables of one listing; those of upstreams are collected on first use.
class PlaceIndex {
public:
  explicit PlaceIndex(const toml::table &Root) {
    for (const char *Key : {"service", "store", "customer"})
      this->Records[Key] = tablesByName(Root, Key, "");
  }

  void locate(ListingFinding &Finding) {
    const ListingPlace &Place = Finding.Place;
    const auto Records = this->Records.find(Place.Table);
    if (Records == this->Records.end())
      return;
    Finding.Key = Place.Table;
    const auto Record = Records->second.find(Place.Name);
    if (Record == Records->second.end())
      return;
    const PlacedTable At = this->entryOf(Record->second, Place);
    Finding.Key = At.Key;
    const toml::node *Node = At.Table;
    if (const toml::node *Field = At.Table->get(Place.Field)) {
      Node = Field;
      Finding.Key += "." + Place.Field;
    }
    Finding.Line = Node->source().begin.line;
    Finding.Column = Node->source().begin.column;
  }

private:
  PlacedTable entryOf(const PlacedTable &Record, const ListingPlace &Place) {
    if (!Place.Upstream.empty()) {
      const auto [It, IsNew] = this->Upstreams.try_emplace(Record.Table);
      if (IsNew)
        It->second = tablesByName(*Record.Table, "upstreams", Record.Key + ".");
      const auto Found = It->second.find(Place.Upstream);
      return Found == It->second.end() ? Record : Found->second;
    }
    if (Place.Call) {
      const toml::array *Calls = (*Record.Table)["calls"].as_array();
      const toml::node *Call = Calls ? Calls->get(*Place.Call) : nullptr;
      if (Call && Call->is_table())
        return {Call->as_table(),
                Record.Key + ".calls[" + std::to_string(*Place.Call) + "]"};
    }
    return Record;
  }

  std::map<std::string, TablesByName, std::less<>> Records;
  std::map<const toml::table *, TablesByName> Upstreams;
};

} // namespace

void locateFindings(std::string_view Text, std::span<ListingFinding> Findings) {
  try {
    const toml::table Root = toml::parse(Text);
    PlaceIndex Index(Root);
    for (ListingFinding &Each : Findings)
      Index.locate(Each);
  } catch (const toml::parse_error &) {
    return; // No place is known; the findings keep line 0.
  }
  // Line 0 wraps around to the highest number.
  std::stable_sort(Findings.begin(), Findings.end(),
                   [](const ListingFinding &A, const ListingFinding &B) {
                     return std::pair(A.Line - 1, A.Column) <
                            std::pair(B.Line - 1, B.Column);
                   });
}

} // namespace galenaroute
