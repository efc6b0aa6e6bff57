#pragma once

#include "http/endpoint.h"
#include "platform/platformclient.h"
#include "platformgateway.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace lavenderdale {

/// Accesses the platform through several endpoints. When one does not answer,
/// later calls go to the next one.
class PlatformAccess : public PlatformGateway {
public:
  /// \param Worker the worker that runs all calls.
  /// \param Endpoints at least one endpoint, with numeric IP addresses.
  PlatformAccess(boost::asio::io_context &Worker,
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

  /// Selects the next endpoint if \p Outcome is PlatformUnavailable.
  /// \returns \p Outcome.
  template <typename T> Result<T> switchIfUnavailable(Result<T> Outcome);

  std::vector<std::unique_ptr<PlatformClient>> Clients;
  std::size_t EndpointIndex = 0;
  /// Separate clients, so that closing one ends only the watch.
  std::vector<std::unique_ptr<PlatformClient>> WatchClients;
  PlatformClient *Watching = nullptr;
};

} // namespace lavenderdale
