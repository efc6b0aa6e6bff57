#include "memberchoice.h"

#include <algorithm>

namespace lavenderdale {

std::chrono::microseconds expectedAnswer(const ReadCandidate &Member,
                                         const ReadPlacementCosts &Costs) {
  const auto Capacity = std::max<std::size_t>(Member.Capacity, 1);
  // Statements beyond the connections wait for one of them.
  const auto Turns = static_cast<std::int64_t>(1 + Member.InFlight / Capacity);
  std::chrono::microseconds Expected = Member.Service * Turns;
  if (!Member.IdleConnection)
    Expected += Costs.Handshake;
  if (!Member.SameDomain)
    Expected += Costs.OtherDomain;
  if (Member.Primary)
    Expected += Costs.Primary;
  return Expected;
}

std::optional<std::size_t>
chooseReadMember(std::span<const ReadCandidate> Members,
                 const ReadPlacementCosts &Costs) {
  std::optional<std::size_t> Best;
  std::chrono::microseconds BestTime{};
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    const ReadCandidate &Each = Members[Index];
    if (!Each.Reachable || Each.KnownBehind)
      continue;
    const std::chrono::microseconds Time = expectedAnswer(Each, Costs);
    if (Best && Time >= BestTime)
      continue;
    Best = Index;
    BestTime = Time;
  }
  return Best;
}

} // namespace lavenderdale
