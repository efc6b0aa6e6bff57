#pragma once

#include "groupstatusstore.h"
#include "platformgateway.h"

#include <boost/asio/io_context.hpp>

namespace lavenderdale {

/// Stores the status of groups in the platform's group objects.
class PlatformStatusStore : public GroupStatusStore {
public:
  /// \param Worker the worker on which \p Platform is called.
  PlatformStatusStore(boost::asio::io_context &Worker,
                      PlatformGateway &Platform)
      : Worker(Worker), Platform(Platform) {}

  boost::asio::awaitable<std::optional<TermStatus>>
  read(std::string Group, TimePoint Deadline) override;
  boost::asio::awaitable<Update> replaceIf(std::string Group, TermStatus Status,
                                           TimePoint Deadline) override;

private:
  boost::asio::awaitable<Result<CatalogueObject>> get(std::string Group,
                                                      TimePoint Deadline);
  boost::asio::awaitable<Update>
  replaceHere(std::string Group, TermStatus Status, TimePoint Deadline);

  boost::asio::io_context &Worker;
  PlatformGateway &Platform;
};

} // namespace lavenderdale
