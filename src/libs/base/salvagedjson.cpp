#include "salvagedjson.h"

#include "strictjson.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {
namespace {

constexpr std::string_view Blanks = " \t\r\n";

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// Splits the elements of an array or the members of an object, without reading
/// what is in them. Does not recurse, so that no nesting is too deep for it.
///
/// \param Text with its brackets.
/// \returns nothing if the brackets or quotes do not match.
std::optional<std::vector<std::string_view>> splitParts(std::string_view Text) {
  std::vector<std::string_view> Parts;
  std::size_t Depth = 0;
  std::size_t Start = 1;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char Each = Text[I];
    if (InString) {
      if (Each == '\\')
        ++I;
      InString = Each != '"';
      continue;
    }
    const bool Closes = Each == ']' || Each == '}';
    InString = Each == '"';
    if (Each == '[' || Each == '{')
      ++Depth;
    if ((Closes || Each == ',') && Depth == 1) {
      const std::string_view Part = trimmed(Text.substr(Start, I - Start));
      if (!Part.empty() || Each == ',')
        Parts.push_back(Part);
      Start = I + 1;
    }
    if (Closes && --Depth == 0)
      return I + 1 == Text.size() ? std::optional(std::move(Parts))
                                  : std::nullopt;
  }
  return std::nullopt;
}

/// Returns the position of the colon after the name of a member.
std::size_t findColon(std::string_view Member) {
  bool InString = false;
  for (std::size_t I = 0; I < Member.size(); ++I) {
    if (InString && Member[I] == '\\')
      ++I;
    else if (Member[I] == '"')
      InString = !InString;
    else if (Member[I] == ':' && !InString)
      return I;
  }
  return std::string_view::npos;
}

/// Reads a value and counts what it has to leave out.
class Salvager {
public:
  explicit Salvager(std::span<const std::string_view> Containers)
      : Containers(Containers) {}

  /// \param IsContainer whether a value that cannot be parsed is split.
  /// \param Depth of the value; bounds the recursion over nested containers.
  Json::Value read(std::string_view Text, bool IsContainer, unsigned Depth) {
    Result<Json::Value> Whole = parseStrictJson(Text);
    if (Whole)
      return std::move(Whole.value());
    const char First = Text.empty() ? '\0' : Text.front();
    const bool IsArray = First == '[';
    const auto Parts =
        IsContainer && Depth < MaxContainerDepth && (IsArray || First == '{')
            ? splitParts(Text)
            : std::nullopt;
    if (!Parts) {
      ++this->Unreadable;
      return {};
    }
    Json::Value Value(IsArray ? Json::arrayValue : Json::objectValue);
    for (const std::string_view Part : *Parts)
      if (IsArray)
        Value.append(this->read(Part, true, Depth + 1));
      else
        this->readMember(Part, Value, Depth);
    return Value;
  }

  std::size_t Unreadable = 0;

private:
  static constexpr unsigned MaxContainerDepth = 8;

  void readMember(std::string_view Part, Json::Value &Into, unsigned Depth) {
    const std::size_t Colon = findColon(Part);
    const Result<Json::Value> Name = parseStrictJson(Part.substr(0, Colon));
    if (Colon == std::string_view::npos || !Name || !Name.value().isString()) {
      ++this->Unreadable;
      return;
    }
    const std::string Key = Name.value().asString();
    const bool IsContainer =
        std::find(this->Containers.begin(), this->Containers.end(), Key) !=
        this->Containers.end();
    Into[Key] =
        this->read(trimmed(Part.substr(Colon + 1)), IsContainer, Depth + 1);
  }

  std::span<const std::string_view> Containers;
};

} // namespace

Result<SalvagedJson>
parseSalvagedJson(std::string_view Text,
                  std::span<const std::string_view> Containers) {
  Salvager Reader(Containers);
  SalvagedJson Salvaged;
  const std::string_view Whole = trimmed(Text);
  Salvaged.Value = Reader.read(Whole, true, 0);
  Salvaged.Unreadable = Reader.Unreadable;
  if (Salvaged.Value.isNull() && Salvaged.Unreadable > 0)
    return failure(ErrorKind::BadRequest, "invalid JSON: its parts cannot be "
                                          "told apart");
  return Salvaged;
}

} // namespace lavenderdale
