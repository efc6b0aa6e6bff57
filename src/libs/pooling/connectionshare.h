#pragma once

#include <cstddef>

namespace lavenderdale {

/// Number of connections that one host may open to an upstream.
struct ConnectionShare {
  std::size_t Guaranteed = 0; ///< Connections that may stay open while idle.
  std::size_t Max = 1; ///< Maximum while other hosts leave connections free.
};

/// Divides the connection limit of an upstream among the hosts. The first
/// holder of the upstream gets most of the connections, so that they can serve
/// all workspaces without new handshakes. The rest is for the second holder,
/// which takes over while the upstream still counts the connections of a failed
/// first holder, and for hosts that temporarily see different holders.
/// \param Limit connections that the upstream permits in total.
/// \param Rank rank of the host among the holders: 0, 1, or 2 for all others.
/// \returns the share of the host; its maximum is at least 1.
ConnectionShare connectionShare(std::size_t Limit, std::size_t Rank);

} // namespace lavenderdale
