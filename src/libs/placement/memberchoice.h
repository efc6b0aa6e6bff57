#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

namespace lavenderdale {

/// What a host knows of one member of a group when it places a read.
struct ReadCandidate {
  bool Reachable = true;
  bool Primary = false;
  bool SameDomain = false;
  bool KnownBehind = false;            ///< Lacked the position a moment ago.
  bool IdleConnection = false;         ///< For the read's workspace.
  std::chrono::microseconds Service{}; ///< Smoothed answer time.
  std::size_t InFlight = 0; ///< Statements of this host, running or waiting.
  std::size_t Capacity = 1; ///< Connections this host may use.
};

/// Costs that a read's placement adds to the expected answer time.
struct ReadPlacementCosts {
  /// A new connection holds a slot of the upstream for its handshake.
  std::chrono::microseconds Handshake{12000};
  /// Bytes between failure domains are charged, and take longer.
  std::chrono::microseconds OtherDomain{3000};
  /// The primary is the only member that can serve writes.
  std::chrono::microseconds Primary{12000};
};

/// Chooses the member with the least expected answer time. Answers load that
/// is uneven: a member that turned slow or is busy loses reads to the others
/// as its smoothed answer time and queue grow, and the primary gets reads
/// only when the replicas are clearly worse or behind.
/// \returns an index into \p Members, or nothing if none can serve.
std::optional<std::size_t>
chooseReadMember(std::span<const ReadCandidate> Members,
                 const ReadPlacementCosts &Costs);

/// The answer time that chooseReadMember() compares.
std::chrono::microseconds expectedAnswer(const ReadCandidate &Member,
                                         const ReadPlacementCosts &Costs);

} // namespace lavenderdale
