#include "memberchoice.h"

#include <algorithm>

namespace lavenderdale {

std::chrono::microseconds expectedAnswerTime(const ReadMember &Member,
                                             const ReadPlacementCosts &Costs) {
  const auto Capacity = std::max<std::size_t>(Member.Capacity, 1);
  // Statements in excess of the connections wait until one is free.
  const auto Rounds = static_cast<std::int64_t>(1 + Member.InFlight / Capacity);
  std::chrono::microseconds Expected = Member.ServiceTime * Rounds;
  if (Member.ExpectedWait)
    Expected = std::max(Expected, Member.ServiceTime + *Member.ExpectedWait);
  if (!Member.IdleConnection)
    Expected += Costs.Handshake;
  if (!Member.SameDomain)
    Expected += Costs.OtherDomain;
  if (Member.Primary)
    Expected += Costs.Primary;
  return Expected;
}

std::optional<std::size_t> chooseReadMember(std::span<const ReadMember> Members,
                                            const ReadPlacementCosts &Costs) {
  std::optional<std::size_t> Best;
  std::chrono::microseconds BestTime{};
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    const ReadMember &Each = Members[Index];
    if (!Each.Reachable || Each.KnownBehind)
      continue;
    const std::chrono::microseconds Time = expectedAnswerTime(Each, Costs);
    if (Best && Time >= BestTime)
      continue;
    Best = Index;
    BestTime = Time;
  }
  return Best;
}

} // namespace lavenderdale
