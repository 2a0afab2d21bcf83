// The listing: the operators' TOML text, read into a Configuration.
//
//   ListingResult Result = parseListing(Text);
//   for (const ListingError &Each : Result.Errors)
//     std::cerr << Each.toString("harwood.toml") << "\n";
//
// Guarantees: all faults of a listing are reported in one pass (up to
// MaxListingErrors), each with its line, column, key and allowed values; no
// input makes the parser throw. parseListing(writeListing(C)) gives C again,
// apart from the epoch, which is not part of a listing. Upstreams are ordered
// by name, so their order in the text carries no meaning. docs/listing.md
// describes every key.

#ifndef GALENAROUTE_VERSION_LISTING_H
#define GALENAROUTE_VERSION_LISTING_H

#include "version/Configuration.h"

namespace galenaroute {

/// The largest listing in bytes. 6,900 upstreams take about 0.8 MB.
constexpr std::size_t MaxListingBytes = 4 << 20;

/// Errors reported at most; the last one then counts those left out.
constexpr std::size_t MaxListingErrors = 100;

/// One fault of a listing.
struct ListingError {
  unsigned Line = 0; ///< From 1; 0 when it concerns the whole text.
  unsigned Column = 0;
  std::string Key;     ///< Full path of the key; may be empty.
  std::string Message; ///< What is wrong.
  std::string Allowed; ///< What would be right; may be empty.

  /// Returns `FILE:LINE:COLUMN: KEY: MESSAGE; allowed: ALLOWED`.
  std::string toString(std::string_view File) const;
  bool operator==(const ListingError &) const = default;
};

/// A configuration, valid only when there are no errors.
struct ListingResult {
  Configuration Config;
  std::vector<ListingError> Errors;
};

/// Reads a listing.
ListingResult parseListing(std::string_view Text);

/// Returns \p Config as a listing, in canonical order.
std::string writeListing(const Configuration &Config);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_LISTING_H
