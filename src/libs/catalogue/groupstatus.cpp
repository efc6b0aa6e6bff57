#include "groupstatus.h"

#include "memberchecks.h"

#include <algorithm>
#include <cctype>

namespace lavenderdale {
namespace {

// A PostgreSQL timeline has 32 bits.
constexpr std::uint64_t MaxTerm = 0xffffffffU;
constexpr std::size_t MaxPositionDigits = 8;

bool isPositionPart(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxPositionDigits &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return std::isxdigit(C) != 0; });
}

Result<LineageEntry> readLineageEntry(const Json::Value &Value,
                                      const std::string &Path) {
  ObjectReader Reader(Value, Path, ErrorKind::InvalidCatalogue);
  LineageEntry Entry;
  Entry.Term = Reader.requiredUnsigned("term", 1, MaxTerm);
  Entry.StartPosition = Reader.requiredString("startPosition");
  if (!isLogPosition(Entry.StartPosition))
    Reader.reject("startPosition", "a log position such as \"0/3000148\"");
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Entry;
}

Result<PromotionAttempt> readAttempt(const Json::Value &Value,
                                     const std::string &Path) {
  ObjectReader Reader(Value, Path, ErrorKind::InvalidCatalogue);
  PromotionAttempt Attempt;
  Attempt.Id = Reader.requiredString("id");
  Attempt.By = Reader.requiredString("by");
  Attempt.Candidate = Reader.optionalString("candidate");
  Attempt.Term = Reader.requiredUnsigned("term", 1, MaxTerm);
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Attempt;
}

Json::Value attemptToJson(const PromotionAttempt &Attempt) {
  Json::Value Value(Json::objectValue);
  Value["id"] = Attempt.Id;
  Value["by"] = Attempt.By;
  Value["candidate"] = Attempt.Candidate;
  Value["term"] = static_cast<Json::UInt64>(Attempt.Term);
  return Value;
}

Result<std::vector<LineageEntry>> readLineage(const Json::Value &Array,
                                              const ObjectReader &Parent) {
  std::vector<LineageEntry> Lineage;
  for (Json::ArrayIndex I = 0; I < Array.size(); ++I) {
    const std::string Path = detail::itemPath(Parent, "lineage", I);
    BOOST_OUTCOME_TRY(LineageEntry Entry, readLineageEntry(Array[I], Path));
    if (!Lineage.empty() && Entry.Term <= Lineage.back().Term)
      return failure(ErrorKind::InvalidCatalogue,
                     Path + ".term: expected more than " +
                         std::to_string(Lineage.back().Term) + ", found " +
                         std::to_string(Entry.Term));
    Lineage.push_back(std::move(Entry));
  }
  return Lineage;
}

} // namespace

bool isLogPosition(const std::string &Text) {
  const std::size_t Slash = Text.find('/');
  return Slash != std::string::npos && isPositionPart(Text.substr(0, Slash)) &&
         isPositionPart(Text.substr(Slash + 1));
}

Result<GroupStatus> GroupStatus::fromJson(const Json::Value &Status) {
  ObjectReader Reader(Status, "status", ErrorKind::InvalidCatalogue);
  GroupStatus Value;
  Value.Term = Reader.requiredUnsigned("term", 1, MaxTerm);
  Value.Primary = detail::requiredName(Reader, "primary");
  const Json::Value &Lineage = Reader.optionalArray("lineage");
  const bool HasAttempt = Reader.has("promotionAttempt");
  const Json::Value &Attempt = Reader.optionalObject("promotionAttempt");
  for (const Json::Value &Name : Reader.optionalArray("replaced")) {
    if (!Name.isString()) {
      Reader.reject("replaced", "names of upstreams");
      break;
    }
    Value.Replaced.push_back(Name.asString());
  }
  if (Reader.has("promotionStart")) {
    Value.PromotionStart = Reader.requiredString("promotionStart");
    if (!isLogPosition(*Value.PromotionStart))
      Reader.reject("promotionStart", "a log position such as \"0/3000148\"");
  }
  BOOST_OUTCOME_TRYV(Reader.finish());
  BOOST_OUTCOME_TRY(Value.Lineage, readLineage(Lineage, Reader));
  if (!Value.Lineage.empty() && Value.Lineage.back().Term > Value.Term)
    return failure(ErrorKind::InvalidCatalogue,
                   "status.lineage: expected no term above " +
                       std::to_string(Value.Term) + ", found " +
                       std::to_string(Value.Lineage.back().Term));
  if (HasAttempt) {
    BOOST_OUTCOME_TRY(Value.Attempt,
                      readAttempt(Attempt, Reader.pathOf("promotionAttempt")));
  }
  return Value;
}

Json::Value GroupStatus::toJson() const {
  Json::Value Status(Json::objectValue);
  Status["term"] = static_cast<Json::UInt64>(this->Term);
  Status["primary"] = this->Primary;
  Status["lineage"] = Json::Value(Json::arrayValue);
  for (const LineageEntry &Entry : this->Lineage) {
    Json::Value Item(Json::objectValue);
    Item["term"] = static_cast<Json::UInt64>(Entry.Term);
    Item["startPosition"] = Entry.StartPosition;
    Status["lineage"].append(Item);
  }
  for (const std::string &Name : this->Replaced)
    Status["replaced"].append(Name);
  if (this->PromotionStart)
    Status["promotionStart"] = *this->PromotionStart;
  if (this->Attempt)
    Status["promotionAttempt"] = attemptToJson(*this->Attempt);
  return Status;
}

} // namespace lavenderdale
