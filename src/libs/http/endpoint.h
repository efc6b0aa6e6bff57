#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace lavenderdale {

/// A numeric IP address and a TCP port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  // The implicit parameter names of a defaulted <=> fail the naming check.
  bool operator==(const Endpoint &) const = default;
  bool operator<(const Endpoint &Other) const {
    return std::tie(this->Address, this->Port) <
           std::tie(Other.Address, Other.Port);
  }
};

/// "address:port", with brackets around an IPv6 address.
std::string toString(const Endpoint &Where);

/// Parses "address:port". Host names are refused.
/// \returns the endpoint, or BadRequest.
Result<Endpoint> parseEndpoint(std::string_view Text);

} // namespace lavenderdale
