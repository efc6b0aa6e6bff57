#pragma once

#include <cstddef>

namespace lavenderdale {

/// Connections to one upstream that a host may have.
struct ConnectionShare {
  std::size_t Guaranteed = 0; ///< Kept while idle.
  std::size_t Most = 1;       ///< Tried while other hosts leave room.
};

/// Divides the connections that an upstream allows over all hosts. The first
/// holder of the upstream gets most of them, so that they serve all
/// workspaces without new handshakes. The rest is for the second holder, which
/// takes over while the upstream still counts the connections of a first one
/// that is gone, and for hosts that see other holders for a moment.
/// \param Limit connections that the upstream allows.
/// \param Rank place of the host among the holders: 0, 1, or 2 for all others.
ConnectionShare connectionShare(std::size_t Limit, std::size_t Rank);

} // namespace lavenderdale
