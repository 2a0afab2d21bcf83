// Reads JSON text from outside within a bound on the memory that its parsed
// form takes. That form can be forty times as large as the text: each three
// bytes of "[],[],[]" become an array of their own.
//
//   const json Body = parseJson(Result.Body, {.MaxTreeBytes = 1 << 20});
//
// A long array, such as the listing of a store, is read element by element, so
// that only one element is held in its parsed form:
//
//   const json Head = readJsonObject(
//       Result.Body, {}, [&](std::string_view Member, const json &Element) {
//         if (Member == "events")
//           Batch.Events.push_back(eventFromJson(Element));
//       });
//
// Guarantees: text is measured before it is parsed, which allocates nothing and
// ends as soon as a limit is exceeded, so that neither the memory nor the time
// that a text takes exceeds what its limits allow. Nesting does not use up the
// stack. Malformed text and text beyond a limit are refused alike.

#ifndef GALENAROUTE_PROCESS_BOUNDEDJSON_H
#define GALENAROUTE_PROCESS_BOUNDEDJSON_H

#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace galenaroute {

struct JsonLimits {
  /// Copying and printing the parsed form recurse, and each level takes a few
  /// hundred bytes of the stack.
  std::size_t MaxDepth = 128;
  /// What a parsed text may take at any time, also while it is parsed.
  std::size_t MaxTreeBytes = 1 << 20;
};

/// Returns an upper bound of what \p Text takes when it is parsed, or nothing
/// if it exceeds \p Limits. Text that is not JSON gets any result.
std::optional<std::size_t> measureJson(std::string_view Text,
                                       const JsonLimits &Limits);

/// Parses \p Text. Throws Error(BadRequest) if it is malformed or exceeds
/// \p Limits.
nlohmann::json parseJson(std::string_view Text, const JsonLimits &Limits = {});

/// As parseJson(), but returns a discarded value instead of throwing.
nlohmann::json tryParseJson(std::string_view Text,
                            const JsonLimits &Limits = {});

struct JsonObjectLimits {
  JsonLimits Element;                  ///< Of each element of an array.
  JsonLimits Head;                     ///< Of all other members together.
  std::size_t MaxElements = 100 << 10; ///< Of all arrays together.
  /// Of the parsed forms of all elements together, where they are kept.
  std::size_t MaxKeptBytes = std::numeric_limits<std::size_t>::max();
};

using OnParsedElement =
    std::function<void(std::string_view Member, const nlohmann::json &Element)>;

/// Reads the object \p Text and calls \p OnElement for each element of the
/// arrays that are its members, in their order. Returns the object with these
/// arrays empty. Throws Error(BadRequest), possibly after some elements, if the
/// text is malformed, names a member twice or exceeds \p Limits; what \p
/// OnElement throws passes through.
nlohmann::json readJsonObject(std::string_view Text,
                              const JsonObjectLimits &Limits,
                              const OnParsedElement &OnElement);

} // namespace galenaroute

#endif // GALENAROUTE_PROCESS_BOUNDEDJSON_H
