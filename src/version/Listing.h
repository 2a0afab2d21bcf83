// Parses and writes listings: TOML files in which operators declare a
// Configuration.
//
//   ListingResult Result = parseListing(Text);
//   for (const ListingError &Each : Result.Errors)
//     std::cerr << Each.toString("harwood.toml") << "\n";
//
// Guarantees: all errors of a listing are reported in one pass (up to
// MaxListingErrors), each with its line, column, key and allowed values; no
// input makes the parser throw. parseListing(writeListing(C)) equals C except
// for the epoch, which is not part of a listing. Upstreams are sorted by name,
// so their order in the text has no meaning. docs/listing.md describes every
// key.

#ifndef GALENAROUTE_VERSION_LISTING_H
#define GALENAROUTE_VERSION_LISTING_H

#include "version/Configuration.h"

namespace galenaroute {

/// Limit of the size of a listing. 6,900 upstreams take about 0.8 MB.
constexpr std::size_t MaxListingBytes = 4 << 20;

/// Limit of the reported errors. If there are more, the last one states how
/// many were omitted.
constexpr std::size_t MaxListingErrors = 100;

/// One error of a listing.
struct ListingError {
  unsigned Line = 0; ///< From 1; 0 if the error concerns the whole text.
  unsigned Column = 0;
  std::string Key;     ///< Full path of the key; may be empty.
  std::string Message; ///< Describes the error.
  std::string Allowed; ///< The allowed values; may be empty.

  /// Returns `FILE:LINE:COLUMN: KEY: MESSAGE; allowed: ALLOWED`.
  std::string toString(std::string_view File) const;
  bool operator==(const ListingError &) const = default;
};

/// Returns `FILE:LINE:COLUMN: KEY`, without a line of 0 and an empty key.
std::string positionText(std::string_view File, unsigned Line, unsigned Column,
                         const std::string &Key);

/// A configuration, valid only when there are no errors.
struct ListingResult {
  Configuration Config;
  std::vector<ListingError> Errors;
};

/// Parses a listing.
ListingResult parseListing(std::string_view Text);

/// Writes \p Config as a listing in canonical order.
std::string writeListing(const Configuration &Config);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_LISTING_H
