#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

namespace lavenderdale {

/// What a host knows about one member of a group when it places a read.
struct ReadMember {
  bool Reachable = true;
  bool Primary = false;
  bool SameDomain = false;
  bool KnownBehind = false;    ///< Recently lacked a required log position.
  bool IdleConnection = false; ///< One for the read's workspace.
  std::chrono::microseconds
      ServiceTime{};        ///< Moving average of the answer time.
  std::size_t InFlight = 0; ///< Running and queued statements of this host.
  /// Statements that it runs at the same time: its learned limit, or the
  /// connections that may be used.
  std::size_t Capacity = 1;
  /// Wait for a slot that the holder of its connections expects; nothing if it
  /// does not tell.
  std::optional<std::chrono::microseconds> ExpectedWait;
};

/// Penalties that are added to the expected answer time of a member.
struct ReadPlacementCosts {
  /// No idle connection: the handshake of a new one occupies a slot of the
  /// upstream.
  std::chrono::microseconds Handshake{12000};
  /// Other failure domain: traffic between domains is billed and has a higher
  /// latency.
  std::chrono::microseconds OtherDomain{3000};
  /// Primary: it is the only member that can serve writes, so reads should
  /// leave its capacity to them.
  std::chrono::microseconds Primary{12000};
};

/// Selects the reachable member with the lowest expected answer time that is
/// not known to be behind. Reads move away from a slow or busy member as its
/// average answer time and its queue grow. The primary gets reads only if the
/// replicas are behind or clearly slower.
/// \returns an index into \p Members, or nothing if no member can serve.
std::optional<std::size_t> chooseReadMember(std::span<const ReadMember> Members,
                                            const ReadPlacementCosts &Costs);

/// \returns the expected answer time plus penalties, by which
///          chooseReadMember() compares members.
std::chrono::microseconds expectedAnswerTime(const ReadMember &Member,
                                             const ReadPlacementCosts &Costs);

} // namespace lavenderdale
