#include "preparedstatements.h"

#include <utility>

namespace lavenderdale {
namespace {

// SQLSTATE invalid_sql_statement_name and duplicate_prepared_statement.
constexpr std::string_view NoSuchStatement = "26000";
constexpr std::string_view DuplicateStatement = "42P05";

// Command tags after which the session has no prepared statements.
bool dropsAll(const StatementResult &Result) {
  return Result.CommandTag == "DISCARD ALL" ||
         Result.CommandTag == "DEALLOCATE ALL";
}

} // namespace

SentGroups PreparedStatements::plan(
    const std::vector<std::vector<Statement>> &Groups) const {
  SentGroups Sent;
  Sent.reserve(Groups.size());
  std::set<std::string> Planned;
  for (const auto &Group : Groups) {
    auto &Target = Sent.emplace_back();
    Target.reserve(Group.size());
    for (const Statement &Each : Group) {
      if (!Each.Name.empty() && !this->Names.contains(Each.Name) &&
          Planned.insert(Each.Name).second)
        Target.push_back({&Each, true});
      Target.push_back({&Each, false});
    }
  }
  return Sent;
}

PreparedStatements::GroupResults
PreparedStatements::take(const SentGroups &Sent, GroupResults Results) {
  GroupResults Kept(Results.size());
  for (std::size_t Group = 0; Group < Results.size(); ++Group) {
    Kept[Group].reserve(Results[Group].size());
    for (std::size_t I = 0; I < Results[Group].size(); ++I) {
      StatementResult &Result = Results[Group][I];
      this->learn(Sent[Group][I], Result);
      if (!Sent[Group][I].IsPreparation)
        Kept[Group].push_back(std::move(Result));
      else if (Result.Failure)
        // Tells why the statement, which was skipped, did not run.
        Results[Group][I + 1].Failure = std::move(Result.Failure);
    }
  }
  return Kept;
}

void PreparedStatements::learn(const SentStatement &Sent,
                               const StatementResult &Result) {
  if (Sent.IsPreparation && Result.Failure &&
      Result.Failure->SqlState == DuplicateStatement)
    this->Conflict = true;
  else if (Sent.IsPreparation && !Result.Failure)
    this->Names.insert(Sent.What->Name);
  else if (!Sent.What->Name.empty() && Result.Failure &&
           Result.Failure->SqlState == NoSuchStatement)
    this->Names.erase(Sent.What->Name);
  else if (dropsAll(Result))
    this->Names.clear();
}

} // namespace lavenderdale
