#include "ipendpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace lavenderdale {
namespace {

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Fault] = std::from_chars(Text.data(), End, Port);
  if (Fault != std::errc() || Rest != End)
    return std::nullopt;
  return Port;
}

bool isAddress(int Family, const std::string &Text) {
  in6_addr Buffer{};
  return inet_pton(Family, Text.c_str(), &Buffer) == 1;
}

bool isIpv6(const std::string &Text) {
  return Text.find(':') != std::string::npos;
}

} // namespace

std::optional<IpEndpoint> parseIpEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Address = Text.substr(0, Colon);
  const bool Bracketed =
      Address.size() > 2 && Address.front() == '[' && Address.back() == ']';
  if (Bracketed)
    Address = Address.substr(1, Address.size() - 2);
  IpEndpoint Endpoint{std::string(Address), 0};
  const std::optional<std::uint16_t> Port = parsePort(Text.substr(Colon + 1));
  if (!Port || !isAddress(Bracketed ? AF_INET6 : AF_INET, Endpoint.Address))
    return std::nullopt;
  Endpoint.Port = *Port;
  return Endpoint;
}

std::string toString(const IpEndpoint &Endpoint) {
  const std::string Port = ":" + std::to_string(Endpoint.Port);
  if (isIpv6(Endpoint.Address))
    return "[" + Endpoint.Address + "]" + Port;
  return Endpoint.Address + Port;
}

} // namespace lavenderdale
