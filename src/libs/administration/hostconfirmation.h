#pragma once

#include "base/timepoint.h"
#include "catalogue/host.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lavenderdale {

/// Asks all hosts at the same time, again and again, for the version of their
/// configuration (GET /status on the admin listener).
/// \returns the names of the hosts that did not show \p Version or a newer one
/// before the deadline; a host without an admin listener is one of them.
boost::asio::awaitable<std::vector<std::string>>
hostsWithout(std::uint64_t Version, std::vector<Host> Hosts,
             TimePoint Deadline);

/// What is told about hosts that did not confirm, for example "Hosts a and b
/// did not confirm. They stop accepting keys 10 s after they were cut off,
/// except on routes marked serveWhenCutOff."
std::string unconfirmedSentence(const std::vector<std::string> &Names);

} // namespace lavenderdale
