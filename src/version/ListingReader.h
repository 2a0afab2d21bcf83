// Typed access to the tables of a listing; errors carry their location.
//
//   TableReader Store(Table, "store[0]", Errors);
//   std::string Name = Store.name("name").Value;
//   std::int64_t Slots = Store.integer("slots", 8, {1, 10000});
//   Store.finish();  // reports the keys that were not read
//
// Guarantees: a reader never throws on a listing's content; each error adds one
// ListingError and yields a default value, so that one pass reports all errors.

#ifndef GALENAROUTE_VERSION_LISTINGREADER_H
#define GALENAROUTE_VERSION_LISTINGREADER_H

#include "version/Listing.h"

#include <optional>
#include <set>
#include <span>
#include <toml++/toml.h>

namespace galenaroute {

/// The location of a value in the listing.
struct ListingLocation {
  unsigned Line = 0;
  unsigned Column = 0;
  std::string Key; ///< Full path, such as `service[1].upstreams[0].zone`.
};

/// A value and its location.
template <typename T> struct Located {
  T Value{};
  ListingLocation Location;
};

/// Collects the errors of one listing, up to MaxListingErrors.
class ListingErrors {
public:
  void add(const ListingLocation &Location, std::string Message,
           std::string Allowed = {});
  std::vector<ListingError> take();

private:
  std::vector<ListingError> Errors;
  std::size_t Omitted = 0;
};

/// Limit of the parts of a key such as `a.b.c`. toml++ bounds the depth of
/// values but not of keys, and frees tables recursively: a key of a million
/// parts overflows the stack.
constexpr std::size_t MaxKeyParts = 16;

/// Returns the location of the first key in \p Text with more than MaxKeyParts
/// parts, if there is one. Follows the tokens of TOML without parsing it.
std::optional<ListingLocation> findDeepKey(std::string_view Text);

/// Inclusive bounds of a number.
template <typename T> struct Range {
  T Min;
  T Max;
};

/// Reads the keys of one table.
class TableReader {
public:
  TableReader(const toml::table &Table, ListingLocation Location,
              ListingErrors &Errors);

  /// Reads a required name: a letter or digit, then letters, digits, '.', '_'
  /// or '-', at most 63 characters.
  Located<std::string> name(std::string_view Key);

  /// Reads a printable string of at most \p MaxBytes; required when
  /// \p Default is empty.
  Located<std::string> text(std::string_view Key,
                            const std::optional<std::string> &Default,
                            std::size_t MaxBytes = 256);

  /// Reads one of \p Allowed; required when \p Default is empty.
  std::string choice(std::string_view Key,
                     std::span<const std::string_view> Allowed,
                     const std::optional<std::string> &Default);

  std::int64_t integer(std::string_view Key, std::int64_t Default,
                       Range<std::int64_t> Bounds);
  double number(std::string_view Key, double Default, Range<double> Bounds);

  /// Reads a boolean; required when \p Default is empty.
  bool boolean(std::string_view Key, std::optional<bool> Default);

  /// Reads a required IPv4 address and port.
  Located<SocketAddress> address(std::string_view Key);

  /// Reads an array of names; required and not empty when \p Required.
  std::vector<Located<std::string>> names(std::string_view Key, bool Required);

  /// Reads an array of tables; the caller must call finish() on each.
  std::vector<TableReader> tables(std::string_view Key);

  /// Returns the table of \p Key, or reports that it is missing.
  std::optional<TableReader> table(std::string_view Key);

  bool has(std::string_view Key) const { return this->Table->contains(Key); }

  /// Reports \p Key if it is present, with \p Reason as the message.
  void forbid(std::string_view Key, const std::string &Reason);

  /// Marks \p Keys as known without reading them.
  void skip(std::initializer_list<std::string_view> Keys) {
    this->Known.insert(Keys.begin(), Keys.end());
  }

  /// Reports every key that was neither read nor skipped.
  void finish();

  const ListingLocation &location() const { return this->Location; }

private:
  const toml::node *find(std::string_view Key);
  ListingLocation locationOf(std::string_view Key,
                             const toml::node &Node) const;
  const toml::node *require(std::string_view Key, std::string_view Allowed);

  const toml::table *Table;
  ListingLocation Location;
  ListingErrors *Errors;
  std::set<std::string, std::less<>> Known;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_LISTINGREADER_H
