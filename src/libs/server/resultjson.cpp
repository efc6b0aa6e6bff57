#include "resultjson.h"

#include "base/strictjson.h"

#include <json/writer.h>

#include <algorithm>
#include <cctype>

namespace lavenderdale {
namespace {

// Object identifiers of PostgreSQL's built-in types (catalog pg_type).
constexpr std::uint32_t BoolOid = 16;
constexpr std::uint32_t Int8Oid = 20;
constexpr std::uint32_t Int2Oid = 21;
constexpr std::uint32_t Int4Oid = 23;
constexpr std::uint32_t Float4Oid = 700;
constexpr std::uint32_t Float8Oid = 701;

bool isNumberType(std::uint32_t Oid) {
  return Oid == Int8Oid || Oid == Int2Oid || Oid == Int4Oid ||
         Oid == Float4Oid || Oid == Float8Oid;
}

// NaN and Infinity are not JSON numbers and are written as strings.
bool isJsonNumber(const std::string &Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isdigit(C) || C == '-' || C == '+' || C == '.' ||
                  C == 'e' || C == 'E';
         });
}

void appendValue(std::string &Out, std::uint32_t Oid,
                 const std::optional<std::string> &Value) {
  if (!Value)
    Out += "null";
  else if (Oid == BoolOid)
    Out += *Value == "t" ? "true" : "false";
  else if (isNumberType(Oid) && isJsonNumber(*Value))
    Out += *Value;
  else
    Out += Json::valueToQuotedString(Value->c_str());
}

} // namespace

std::string resultToJson(const StatementResult &Result) {
  std::string Out = R"({"columns":[)";
  for (std::size_t I = 0; I < Result.Columns.size(); ++I) {
    Out += I == 0 ? "" : ",";
    Out += Json::valueToQuotedString(Result.Columns[I].Name.c_str());
  }
  Out += R"(],"rows":[)";
  for (std::size_t Row = 0; Row < Result.Rows.size(); ++Row) {
    Out += Row == 0 ? "[" : ",[";
    for (std::size_t I = 0; I < Result.Rows[Row].size(); ++I) {
      Out += I == 0 ? "" : ",";
      appendValue(Out, Result.Columns[I].TypeOid, Result.Rows[Row][I]);
    }
    Out += "]";
  }
  Out += R"(],"affected":)" + std::to_string(Result.Affected) + "}";
  return Out;
}

} // namespace lavenderdale
