#include "statementgroups.h"

#include <utility>

namespace lavenderdale {

Statement makeStatement(const char *Sql) { return {Sql, {}}; }

StatementGroups makeGroup(Statement Only) {
  StatementGroups Groups(1);
  Groups[0].push_back(std::move(Only));
  return Groups;
}

StatementGroups makeGroupFromSql(const char *Sql) {
  return makeGroup(makeStatement(Sql));
}

StatementGroups makeTwoGroups(Statement First, Statement Second) {
  StatementGroups Groups(2);
  Groups[0].push_back(std::move(First));
  Groups[1].push_back(std::move(Second));
  return Groups;
}

std::vector<Statement> makeTransactionGroup(const char *Begin, Statement First,
                                            Statement Second) {
  std::vector<Statement> Group;
  Group.push_back(makeStatement(Begin));
  Group.push_back(std::move(First));
  Group.push_back(std::move(Second));
  return Group;
}

} // namespace lavenderdale
