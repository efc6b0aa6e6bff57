#include "statementgroups.h"

#include <utility>

namespace lavenderdale {

Statement plain(const char *Sql) { return {Sql, {}}; }

StatementGroups oneGroup(Statement Only) {
  StatementGroups Groups(1);
  Groups[0].push_back(std::move(Only));
  return Groups;
}

StatementGroups single(const char *Sql) { return oneGroup(plain(Sql)); }

StatementGroups pairOf(Statement First, Statement Second) {
  StatementGroups Groups(2);
  Groups[0].push_back(std::move(First));
  Groups[1].push_back(std::move(Second));
  return Groups;
}

std::vector<Statement> insideBegin(const char *Begin, Statement First,
                                   Statement Second) {
  std::vector<Statement> Group;
  Group.push_back(plain(Begin));
  Group.push_back(std::move(First));
  Group.push_back(std::move(Second));
  return Group;
}

} // namespace lavenderdale
