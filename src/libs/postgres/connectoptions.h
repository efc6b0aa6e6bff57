#pragma once

#include <cstdint>
#include <string>

namespace lavenderdale {

/// Where and as whom to connect.
struct ConnectOptions {
  std::string Address; ///< Numeric IPv4 or IPv6 address.
  std::uint16_t Port = 0;
  std::string Database;
  std::string User;
  std::string ApplicationName;
};

} // namespace lavenderdale
