#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderdale {

/// A numeric IP address and a port.
struct IpEndpoint {
  std::string Address; ///< Without the brackets of IPv6.
  std::uint16_t Port = 0;

  bool operator==(const IpEndpoint &) const = default;
};

/// Reads "192.0.2.1:80" or "[2001:db8::1]:80". Host names are not accepted,
/// because processes reach each other by IP and resolve nothing.
/// \returns the endpoint, or nothing if \p Text is not of this form.
std::optional<IpEndpoint> parseIpEndpoint(std::string_view Text);

/// The inverse of parseIpEndpoint().
std::string toString(const IpEndpoint &Endpoint);

} // namespace lavenderdale
