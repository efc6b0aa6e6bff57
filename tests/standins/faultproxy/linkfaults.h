#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace lavenderdale::standins {

/// Faults of one direction of a link.
struct DirectionFaults {
  std::chrono::milliseconds Delay{0};
  std::uint64_t BytesPerSecond = 0; ///< 0 for no limit.
  bool Silent = false;              ///< Carries nothing on any connection.
  /// Connections numbered up to this one carry nothing; 0 for none.
  std::uint64_t SilentUpTo = 0;
  bool HalfClosed = false; ///< The receiving side sees the end of the stream.
  /// Added for every other connection, so that connections overtake each other.
  std::chrono::milliseconds ReorderDelay{0};

  bool isSilent(std::uint64_t Connection) const {
    return this->Silent || Connection <= this->SilentUpTo;
  }

  std::chrono::milliseconds delayOf(std::uint64_t Connection) const {
    const bool IsDelayed = Connection % 2 == 1;
    return this->Delay +
           (IsDelayed ? this->ReorderDelay : std::chrono::milliseconds{0});
  }
};

/// Faults of a link; "up" is from the client to the target.
struct LinkFaults {
  DirectionFaults Up;
  DirectionFaults Down;
  bool Cut = false;         ///< New connections are reset.
  bool AcceptsNone = false; ///< New connections wait in the kernel's backlog.
};

/// Changes \p Faults as the admin call {"fault","direction","ms","rate",
/// "accept"} asks.
/// \param Newest number of the newest connection.
/// \returns what was wrong with the call, or nothing.
std::string applyFault(LinkFaults &Faults, const Json::Value &Call,
                       std::uint64_t Newest);

Json::Value toJson(const LinkFaults &Faults);

} // namespace lavenderdale::standins
