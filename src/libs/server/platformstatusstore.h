#pragma once

#include "groupstatusstore.h"
#include "platformgateway.h"

#include <boost/asio/io_context.hpp>

namespace lavenderdale {

/// Keeps the status of groups in the platform's group objects.
class PlatformStatusStore : public GroupStatusStore {
public:
  /// \param Home worker that \p Platform is called on.
  PlatformStatusStore(boost::asio::io_context &Home, PlatformGateway &Platform)
      : Home(Home), Platform(Platform) {}

  boost::asio::awaitable<std::optional<TermStatus>>
  read(std::string Group, TimePoint Deadline) override;
  boost::asio::awaitable<Update> replaceIf(std::string Group, TermStatus Status,
                                           TimePoint Deadline) override;

private:
  boost::asio::awaitable<Result<CatalogueObject>> get(std::string Group,
                                                      TimePoint Deadline);
  boost::asio::awaitable<Update>
  replaceHere(std::string Group, TermStatus Status, TimePoint Deadline);

  boost::asio::io_context &Home;
  PlatformGateway &Platform;
};

} // namespace lavenderdale
