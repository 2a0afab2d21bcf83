// Finds entries of a valid configuration that cannot have the effect that
// their author expects: entries that no call can reach, and limits that
// contradict each other.
//
//   ListingResult Parsed = parseListing(Text);
//   std::vector<ListingFinding> Found = checkConfiguration(Parsed.Config);
//   locateFindings(Text, Found); // version/ListingPlaces.h
//
// Guarantees: the result depends only on the configurations; takes
// O(n log n) for n entries; at most MaxListingFindings are returned, and the
// last one then states how many were omitted. docs/listing.md describes each
// rule.

#ifndef GALENAROUTE_VERSION_LISTINGCHECK_H
#define GALENAROUTE_VERSION_LISTINGCHECK_H

#include "version/Configuration.h"

#include <optional>

namespace galenaroute {

/// Limit of the reported findings.
constexpr std::size_t MaxListingFindings = 100;

/// The entry of a configuration that a finding concerns.
struct ListingPlace {
  std::string Table; ///< `service`, `store` or `customer`; empty: the whole.
  std::string Name;  ///< Of the record; empty: no record of the table exists.
  std::string Upstream; ///< Name of an upstream of the service; may be empty.
  std::optional<std::size_t> Call; ///< Index in ServiceConfig::Calls.
  std::string Field; ///< May be empty or missing from the listing.
  bool operator==(const ListingPlace &) const = default;
};

/// One finding.
struct ListingFinding {
  std::string Rule; ///< Stable identifier, such as `unused-store`.
  ListingPlace Place;
  std::string Message;
  unsigned Line = 0; ///< From 1; 0 if the finding concerns the whole text.
  unsigned Column = 0;
  std::string Key; ///< Full path of the key in the listing; may be empty.

  /// Returns `FILE:LINE:COLUMN: KEY: MESSAGE [RULE]`.
  std::string toString(std::string_view File) const;
};

/// Applies all rules to \p Config. \p Before is the configuration that
/// \p Config replaces, if it is known. Lines, columns and keys are not set.
std::vector<ListingFinding>
checkConfiguration(const Configuration &Config,
                   const Configuration *Before = nullptr);

/// Services and upstreams that no call can reach, and unused stores.
void checkReach(const Configuration &Config, const Configuration *Before,
                std::vector<ListingFinding> &Out);

/// Declared calls that match no path or change nothing.
void checkCalls(const ServiceConfig &Service, std::vector<ListingFinding> &Out);

/// Customers that cannot call.
void checkCustomers(const Configuration &Config,
                    std::vector<ListingFinding> &Out);

/// Deadlines, slots, limits in flight, weights and loads.
void checkLimits(const Configuration &Config, std::vector<ListingFinding> &Out);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_LISTINGCHECK_H
