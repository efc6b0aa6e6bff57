#include "upstreamconnectionstate.h"

namespace lavenderdale {

const std::string &StatementNames::nameOf(const std::string &Definition) {
  const auto [Found, Inserted] = this->Names.try_emplace(Definition);
  if (Inserted)
    Found->second = "p" + std::to_string(this->Names.size());
  return Found->second;
}

bool UpstreamConnectionState::needsReset(const SessionValues &Wanted) const {
  if (this->Prepared.size() >= MaxPrepared)
    return true;
  for (const auto &[Name, Value] : this->Values)
    if (!Wanted.count(Name))
      return true;
  return false;
}

std::vector<UpstreamCommand>
UpstreamConnectionState::switchTo(const SessionValues &Wanted,
                                  const std::string *Definition,
                                  StatementNames &Names, bool InTransaction) {
  std::vector<UpstreamCommand> Commands;
  if (!InTransaction && this->needsReset(Wanted)) {
    Commands.push_back({UpstreamCommand::Kind::Reset, {}, {}, {}, {}, {}});
    this->Values.clear();
    this->Prepared.clear();
  }
  for (const auto &[Name, Value] : Wanted) {
    const auto Found = this->Values.find(Name);
    if (Found != this->Values.end() && Found->second == Value)
      continue;
    Commands.push_back(
        {UpstreamCommand::Kind::SetValue, {}, {}, Name, Value, {}});
    this->Values[Name] = Value;
  }
  if (!Definition)
    return Commands;
  const std::string &Name = Names.nameOf(*Definition);
  if (this->Prepared.insert(Name).second)
    Commands.push_back(
        {UpstreamCommand::Kind::Prepare, {}, {}, Name, *Definition, {}});
  return Commands;
}

} // namespace lavenderdale
