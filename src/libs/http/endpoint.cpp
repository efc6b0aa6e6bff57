#include "endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace lavenderdale {

std::string toString(const Endpoint &Where) {
  const bool IsV6 = Where.Address.find(':') != std::string::npos;
  const std::string Host = IsV6 ? "[" + Where.Address + "]" : Where.Address;
  return Host + ":" + std::to_string(Where.Port);
}

Result<Endpoint> parseEndpoint(std::string_view Text) {
  const auto Refused = [Text] {
    return failure(ErrorKind::BadRequest,
                   "expected IP:PORT, found '" + std::string(Text) + "'");
  };
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Refused();
  std::string_view Host = Text.substr(0, Colon);
  const std::string_view PortText = Text.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);

  boost::system::error_code Failure;
  boost::asio::ip::make_address(std::string(Host), Failure);
  std::uint16_t Port = 0;
  const auto [End, Status] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Failure || Status != std::errc() ||
      End != PortText.data() + PortText.size())
    return Refused();
  return Endpoint{std::string(Host), Port};
}

} // namespace lavenderdale
