// Finds the lines of a listing that findings concern.
//
//   std::vector<ListingFinding> Found = checkConfiguration(Parsed.Config);
//   locateFindings(Text, Found);
//
// Guarantees: no text makes this throw; a place that the text does not hold is
// given as its nearest enclosing table, or as line 0.

#ifndef GALENAROUTE_VERSION_LISTINGPLACES_H
#define GALENAROUTE_VERSION_LISTINGPLACES_H

#include "version/ListingCheck.h"

#include <span>

namespace galenaroute {

/// Sets the line, column and key of each of \p Findings from \p Text, and sorts
/// them by line and column; findings that concern the whole text come last.
void locateFindings(std::string_view Text, std::span<ListingFinding> Findings);

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_LISTINGPLACES_H
