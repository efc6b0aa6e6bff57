#pragma once

#include "http/endpoint.h"
#include "platform/platformclient.h"
#include "platformgateway.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace lavenderdale {

/// The platform behind several endpoints. When one does not answer, the next
/// call goes to the next one.
class PlatformAccess : public PlatformGateway {
public:
  /// \param Home runs all calls.
  /// \param Endpoints at least one, with numeric addresses.
  PlatformAccess(boost::asio::io_context &Home,
                 const std::vector<Endpoint> &Endpoints);

  boost::asio::awaitable<Result<ObjectList>>
  listAll(TimePoint Deadline) override;
  boost::asio::awaitable<Result<std::uint64_t>>
  version(TimePoint Deadline) override;
  boost::asio::awaitable<Result<CatalogueObject>>
  get(ObjectKind Kind, std::string Name, TimePoint Deadline) override;
  boost::asio::awaitable<Result<CatalogueObject>>
  replaceIf(CatalogueObject Object, TimePoint Deadline) override;
  boost::asio::awaitable<Error>
  watchAll(std::uint64_t Version,
           std::function<void(const PlatformChange &)> OnChange) override;
  void stopWatch() override;

private:
  PlatformClient &current();

  /// Goes to the next endpoint after \p Outcome without an answer.
  template <typename T> Result<T> noted(Result<T> Outcome);

  std::vector<std::unique_ptr<PlatformClient>> Clients;
  std::size_t Turn = 0;
  /// A client of its own, so that closing it ends the watch only.
  std::vector<std::unique_ptr<PlatformClient>> WatchClients;
  PlatformClient *Watching = nullptr;
};

} // namespace lavenderdale
