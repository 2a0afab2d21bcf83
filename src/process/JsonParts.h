// Splits JSON text into the parts of its outermost object or array without
// decoding them, so that a part that cannot be decoded does not hide the
// others.
//
//   forEachElement(memberOf(Text, "items"), [&](std::string_view Item) {
//     read(Item);
//     return true;
//   });
//
// Guarantees: never throws and never reads beyond the text. Of text that is not
// JSON by its structure, the parts before the fault are returned. Needs no
// memory, however many parts there are and however deeply they nest.

#ifndef GALENAROUTE_PROCESS_JSONPARTS_H
#define GALENAROUTE_PROCESS_JSONPARTS_H

#include <functional>
#include <string_view>

namespace galenaroute {

/// Returns \p Text without the white space around it.
std::string_view trimJson(std::string_view Text);

/// Returns whether \p Text is one object or array by its brackets, whole and
/// with nothing behind it. Text that was cut is not.
bool isWhole(std::string_view Text);

/// Returns the position behind the string that begins at \p At with a quote.
std::size_t endOfString(std::string_view Text, std::size_t At);

/// Receives a part; returns false to be given no further ones.
using OnJsonElement = std::function<bool(std::string_view Element)>;
using OnJsonMember =
    std::function<bool(std::string_view Key, std::string_view Value)>;

/// Calls \p Visit with the text of each element of the array \p Text. An
/// element is empty where a comma has none before or behind it.
void forEachElement(std::string_view Text, const OnJsonElement &Visit);

/// Calls \p Visit with the texts of the key, in its quotes, and the value of
/// each member of the object \p Text.
void forEachMember(std::string_view Text, const OnJsonMember &Visit);

/// Returns the text of the first member called \p Name of the object \p Text,
/// or nothing. Names with escapes are not found.
std::string_view memberOf(std::string_view Text, std::string_view Name);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_JSONPARTS_H
