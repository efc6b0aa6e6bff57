#include "departedreplicas.h"

#include <algorithm>

namespace lavenderdale {

void DepartedReplicas::present(const std::string &Id, std::uint64_t StartedAt,
                               BootTime Now) {
  const auto [Known, Added] = this->Present.try_emplace(Id, StartedAt);
  if (!Added && Known->second != StartedAt && Id != this->Primary)
    this->Gone[{Id, Known->second}] = Now;
  Known->second = StartedAt;
  this->Gone.erase({Id, StartedAt});
}

void DepartedReplicas::gone(const std::string &Id, BootTime Now) {
  const auto Known = this->Present.find(Id);
  if (Known == this->Present.end())
    return;
  if (Id != this->Primary)
    this->Gone[{Id, Known->second}] = Now;
  this->Present.erase(Known);
}

void DepartedReplicas::restore(const MemberRecord &Read, BootTime Now) {
  if (this->Primary.empty())
    this->Primary = Read.Primary;
  // A record that was damaged or set back accounts for nothing.
  if (Read.Required && Read.Required > this->Stored.Required)
    for (const MemberProcess &Each : this->Stored.Processes)
      if (!Read.Processes.contains(Each))
        this->Gone.erase(Each);
  for (const MemberProcess &Each : Read.Processes) {
    const auto Known = this->Present.find(Each.Id);
    const bool IsPresent =
        Known != this->Present.end() && Known->second == Each.StartedAt;
    if (!IsPresent && Each.Id != this->Primary)
      this->Gone.try_emplace(Each, Now);
  }
  this->Stored = Read;
  if (Read.Required)
    this->Required =
        std::max(this->Required.value_or(*Read.Required), *Read.Required);
}

MemberRecord DepartedReplicas::record() const {
  MemberRecord Record{{}, this->Primary, this->Required};
  for (const auto &[Id, StartedAt] : this->Present)
    Record.Processes.insert({Id, StartedAt});
  for (const auto &[Process, Since] : this->Gone)
    Record.Processes.insert(Process);
  return Record;
}

void DepartedReplicas::update(const VerifiedPositions &Proved) {
  std::erase_if(this->Gone, [&](const auto &Each) {
    const std::optional<Position> Covering = Proved.oldestCovering(Each.second);
    if (Covering)
      this->Required = std::max(this->Required.value_or(*Covering), *Covering);
    return Covering.has_value();
  });
}

} // namespace lavenderdale
