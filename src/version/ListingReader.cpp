#include "version/ListingReader.h"

#include "process/ErrorKind.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>

namespace galenaroute {

static constexpr std::string_view NameRule =
    "a letter or digit, then letters, digits, '.', '_' or '-'; at most 63 "
    "characters";
static constexpr std::string_view AddressRule =
    "IPv4 address and port, such as \"127.0.0.1:9101\"";

void ListingErrors::add(const ListingLocation &Location, std::string Message,
                        std::string Allowed) {
  if (this->Errors.size() >= MaxListingErrors - 1) {
    ++this->Omitted;
    return;
  }
  this->Errors.push_back({Location.Line, Location.Column, Location.Key,
                          std::move(Message), std::move(Allowed)});
}

std::vector<ListingError> ListingErrors::take() {
  std::stable_sort(this->Errors.begin(), this->Errors.end(),
                   [](const ListingError &A, const ListingError &B) {
                     return std::tie(A.Line, A.Column) <
                            std::tie(B.Line, B.Column);
                   });
  if (this->Omitted > 0)
    this->Errors.push_back(
        {0, 0, "", std::to_string(this->Omitted) + " further errors", ""});
  return std::move(this->Errors);
}

static bool isName(std::string_view Text) {
  const auto Alnum = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9');
  };
  return !Text.empty() && Text.size() <= 63 && Alnum(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), [&](char C) {
           return Alnum(C) || C == '.' || C == '_' || C == '-';
         });
}

/// Returns whether \p Text can be printed on one line of a terminal.
static bool isPrintable(std::string_view Text) {
  return std::none_of(Text.begin(), Text.end(), [](char C) {
    return static_cast<unsigned char>(C) < 0x20 || C == 0x7f;
  });
}

static std::string_view typeName(const toml::node &Node) {
  switch (Node.type()) {
  case toml::node_type::table:
    return "a table";
  case toml::node_type::array:
    return "an array";
  case toml::node_type::string:
    return "a string";
  case toml::node_type::integer:
    return "an integer";
  case toml::node_type::floating_point:
    return "a float";
  case toml::node_type::boolean:
    return "a boolean";
  default:
    return "a date or time";
  }
}

/// Returns \p Text quoted for a message, shortened and without control bytes.
static std::string quoted(std::string_view Text) {
  std::string Result = "\"";
  for (const char C : Text.substr(0, 80))
    Result += static_cast<unsigned char>(C) < 0x20 || C == 0x7f ? '?' : C;
  return Result + (Text.size() > 80 ? "...\"" : "\"");
}

/// Returns the end of the string that begins at \p Begin with a quotation mark.
/// A string of one line ends at the line feed at the latest.
static std::size_t skipString(std::string_view Text, std::size_t Begin) {
  const char Quote = Text[Begin];
  const std::string Triple(3, Quote);
  const bool IsLong = Text.substr(Begin, 3) == Triple;
  std::size_t At = Begin + (IsLong ? 3 : 1);
  while (At < Text.size()) {
    if (Text[At] == '\\' && Quote == '"') {
      At += 2;
    } else if (IsLong && Text.substr(At, 3) == Triple) {
      // One or two quotation marks before the end belong to the string.
      At += 3;
      for (int More = 0; More < 2 && At < Text.size() && Text[At] == Quote;
           ++More)
        ++At;
      return At;
    } else if (!IsLong && (Text[At] == Quote || Text[At] == '\n')) {
      return At + (Text[At] == Quote ? 1 : 0);
    } else {
      ++At;
    }
  }
  return Text.size();
}

std::optional<ListingLocation> findDeepKey(std::string_view Text) {
  std::size_t Dots = 0;
  for (std::size_t At = 0; At < Text.size();) {
    const char C = Text[At];
    if (C == '"' || C == '\'') {
      At = skipString(Text, At);
      continue;
    }
    if (C == '#') {
      At = std::min(Text.find('\n', At), Text.size());
      continue;
    }
    const bool IsPart = static_cast<unsigned char>(C) >= 0x80 ||
                        std::isalnum(static_cast<unsigned char>(C)) != 0 ||
                        C == '_' || C == '-' || C == ' ' || C == '\t';
    if (C == '.')
      ++Dots;
    else if (!IsPart)
      Dots = 0;
    if (Dots >= MaxKeyParts) {
      const std::string_view Before = Text.substr(0, At);
      // npos + 1 is 0: the first line.
      return ListingLocation{
          static_cast<unsigned>(std::count(Before.begin(), Before.end(), '\n') +
                                1),
          static_cast<unsigned>(At - (Before.rfind('\n') + 1) + 1), ""};
    }
    ++At;
  }
  return std::nullopt;
}

static std::string wrongType(const toml::node &Node,
                             std::string_view Expected) {
  return "is " + std::string(typeName(Node)) + " instead of " +
         std::string(Expected);
}

TableReader::TableReader(const toml::table &Table, ListingLocation Location,
                         ListingErrors &Errors)
    : Table(&Table), Location(std::move(Location)), Errors(&Errors) {}

const toml::node *TableReader::find(std::string_view Key) {
  this->Known.emplace(Key);
  return this->Table->get(Key);
}

ListingLocation TableReader::locationOf(std::string_view Key,
                                        const toml::node &Node) const {
  const toml::source_position At = Node.source().begin;
  return {At.line, At.column,
          this->Location.Key.empty()
              ? std::string(Key)
              : this->Location.Key + "." + std::string(Key)};
}

const toml::node *TableReader::require(std::string_view Key,
                                       std::string_view Allowed) {
  const toml::node *Node = this->find(Key);
  if (!Node) {
    ListingLocation Missing = this->Location;
    Missing.Key += (Missing.Key.empty() ? "" : ".") + std::string(Key);
    this->Errors->add(Missing, "is missing", std::string(Allowed));
  }
  return Node;
}

Located<std::string> TableReader::name(std::string_view Key) {
  const toml::node *Node = this->require(Key, NameRule);
  if (!Node)
    return {{}, this->Location};
  Located<std::string> Result{{}, this->locationOf(Key, *Node)};
  const auto Text = Node->value_exact<std::string_view>();
  if (!Text)
    this->Errors->add(Result.Location, wrongType(*Node, "a string"),
                      std::string(NameRule));
  else if (!isName(*Text))
    this->Errors->add(Result.Location, quoted(*Text) + " is not a name",
                      std::string(NameRule));
  else
    Result.Value = *Text;
  return Result;
}

Located<std::string>
TableReader::text(std::string_view Key,
                  const std::optional<std::string> &Default,
                  std::size_t MaxBytes) {
  const std::string Allowed =
      "a printable string of 1 to " + std::to_string(MaxBytes) + " bytes";
  const toml::node *Node =
      Default ? this->find(Key) : this->require(Key, Allowed);
  if (!Node)
    return {Default.value_or(""), this->Location};
  Located<std::string> Result{{}, this->locationOf(Key, *Node)};
  const auto Text = Node->value_exact<std::string_view>();
  if (!Text)
    this->Errors->add(Result.Location, wrongType(*Node, "a string"), Allowed);
  else if (Text->empty() || Text->size() > MaxBytes || !isPrintable(*Text))
    this->Errors->add(Result.Location, quoted(*Text) + " is not valid",
                      Allowed);
  else
    Result.Value = *Text;
  return Result;
}

std::string TableReader::choice(std::string_view Key,
                                std::span<const std::string_view> Allowed,
                                const std::optional<std::string> &Default) {
  std::string Rule;
  for (const std::string_view Each : Allowed)
    Rule += (Rule.empty() ? "" : ", ") + quoted(Each);
  const toml::node *Node = Default ? this->find(Key) : this->require(Key, Rule);
  if (!Node)
    return Default.value_or("");
  const auto Text = Node->value_exact<std::string_view>();
  if (!Text)
    this->Errors->add(this->locationOf(Key, *Node),
                      wrongType(*Node, "a string"), Rule);
  else if (std::find(Allowed.begin(), Allowed.end(), *Text) == Allowed.end())
    this->Errors->add(this->locationOf(Key, *Node),
                      quoted(*Text) + " is not allowed", Rule);
  else
    return std::string(*Text);
  return Default.value_or("");
}

std::int64_t TableReader::integer(std::string_view Key, std::int64_t Default,
                                  Range<std::int64_t> Bounds) {
  const toml::node *Node = this->find(Key);
  if (!Node)
    return Default;
  const std::string Rule = "integer from " + std::to_string(Bounds.Min) +
                           " to " + std::to_string(Bounds.Max);
  const auto Value = Node->value_exact<std::int64_t>();
  if (!Value)
    this->Errors->add(this->locationOf(Key, *Node),
                      wrongType(*Node, "an integer"), Rule);
  else if (*Value < Bounds.Min || *Value > Bounds.Max)
    this->Errors->add(this->locationOf(Key, *Node),
                      std::to_string(*Value) + " is out of range", Rule);
  else
    return *Value;
  return Default;
}

static std::string formatNumber(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

double TableReader::number(std::string_view Key, double Default,
                           Range<double> Bounds) {
  const toml::node *Node = this->find(Key);
  if (!Node)
    return Default;
  const std::string Rule = "number from " + formatNumber(Bounds.Min) + " to " +
                           formatNumber(Bounds.Max);
  if (!Node->is_number()) {
    this->Errors->add(this->locationOf(Key, *Node),
                      wrongType(*Node, "a number"), Rule);
    return Default;
  }
  const double Value = Node->value<double>().value_or(Default);
  // The negated form also rejects NaN.
  if (!(Value >= Bounds.Min && Value <= Bounds.Max)) {
    this->Errors->add(this->locationOf(Key, *Node),
                      formatNumber(Value) + " is out of range", Rule);
    return Default;
  }
  return Value;
}

bool TableReader::boolean(std::string_view Key, std::optional<bool> Default) {
  const toml::node *Node =
      Default ? this->find(Key) : this->require(Key, "true, false");
  if (!Node)
    return Default.value_or(false);
  const auto Value = Node->value_exact<bool>();
  if (!Value)
    this->Errors->add(this->locationOf(Key, *Node),
                      wrongType(*Node, "a boolean"), "true, false");
  return Value.value_or(Default.value_or(false));
}

Located<SocketAddress> TableReader::address(std::string_view Key) {
  const toml::node *Node = this->require(Key, AddressRule);
  if (!Node)
    return {{}, this->Location};
  Located<SocketAddress> Result{{}, this->locationOf(Key, *Node)};
  const auto Text = Node->value_exact<std::string_view>();
  if (!Text) {
    this->Errors->add(Result.Location, wrongType(*Node, "a string"),
                      std::string(AddressRule));
    return Result;
  }
  try {
    Result.Value = SocketAddress::parse(*Text);
  } catch (const Error &) {
    Result.Value = {};
  }
  in_addr Parsed;
  if (inet_pton(AF_INET, Result.Value.Host.c_str(), &Parsed) != 1) {
    Result.Value = {};
    this->Errors->add(Result.Location, quoted(*Text) + " is not an address",
                      std::string(AddressRule));
  }
  return Result;
}

std::vector<Located<std::string>> TableReader::names(std::string_view Key,
                                                     bool Required) {
  const toml::node *Node =
      Required ? this->require(Key, "array of names") : this->find(Key);
  if (!Node)
    return {};
  const ListingLocation Whole = this->locationOf(Key, *Node);
  const toml::array *Array = Node->as_array();
  if (!Array) {
    this->Errors->add(Whole, wrongType(*Node, "an array"), "array of names");
    return {};
  }
  if (Required && Array->empty())
    this->Errors->add(Whole, "is empty", "at least one name");
  std::vector<Located<std::string>> Result;
  std::set<std::string_view> Seen;
  for (std::size_t I = 0; I < Array->size(); ++I) {
    const toml::node &Each = *Array->get(I);
    const ListingLocation At = this->locationOf(
        std::string(Key) + "[" + std::to_string(I) + "]", Each);
    const auto Text = Each.value_exact<std::string_view>();
    if (!Text)
      this->Errors->add(At, wrongType(Each, "a string"), std::string(NameRule));
    else if (!isName(*Text))
      this->Errors->add(At, quoted(*Text) + " is not a name",
                        std::string(NameRule));
    else if (!Seen.insert(*Text).second)
      this->Errors->add(At, quoted(*Text) + " is given twice");
    else
      Result.push_back({std::string(*Text), At});
  }
  return Result;
}

std::vector<TableReader> TableReader::tables(std::string_view Key) {
  const toml::node *Node = this->find(Key);
  if (!Node)
    return {};
  const toml::array *Array = Node->as_array();
  if (!Array) {
    this->Errors->add(this->locationOf(Key, *Node),
                      wrongType(*Node, "an array of tables"));
    return {};
  }
  std::vector<TableReader> Result;
  for (std::size_t I = 0; I < Array->size(); ++I) {
    const toml::node &Each = *Array->get(I);
    ListingLocation At = this->locationOf(
        std::string(Key) + "[" + std::to_string(I) + "]", Each);
    if (const toml::table *Inner = Each.as_table())
      Result.emplace_back(*Inner, std::move(At), *this->Errors);
    else
      this->Errors->add(At, wrongType(Each, "a table"));
  }
  return Result;
}

std::optional<TableReader> TableReader::table(std::string_view Key) {
  const toml::node *Node = this->require(Key, "a table");
  if (!Node)
    return std::nullopt;
  if (const toml::table *Inner = Node->as_table())
    return TableReader(*Inner, this->locationOf(Key, *Node), *this->Errors);
  this->Errors->add(this->locationOf(Key, *Node), wrongType(*Node, "a table"));
  return std::nullopt;
}

void TableReader::forbid(std::string_view Key, const std::string &Reason) {
  if (const toml::node *Node = this->find(Key))
    this->Errors->add(this->locationOf(Key, *Node), Reason);
}

void TableReader::finish() {
  std::string Allowed;
  for (const std::string &Each : this->Known)
    Allowed += (Allowed.empty() ? "" : ", ") + Each;
  for (auto &&[Key, Node] : *this->Table) {
    if (this->Known.contains(Key.str()))
      continue;
    const toml::source_position At = Key.source().begin;
    this->Errors->add(
        {At.line, At.column,
         (this->Location.Key.empty() ? "" : this->Location.Key + ".") +
             std::string(Key.str().substr(0, 80))},
        "is not a known key", Allowed);
  }
}

} // namespace galenaroute
