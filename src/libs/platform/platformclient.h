#pragma once

#include "http/endpoint.h"
#include "http/httpmessage.h"
#include "platformgateway.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <vector>

namespace lavenderdale {

/// Client of the platform's object API over HTTP. When an endpoint does not
/// answer, the next call goes to the next one.
class PlatformClient : public PlatformGateway {
public:
  /// \param Executor runs all calls; not on several threads.
  /// \param Endpoints at least one.
  PlatformClient(boost::asio::any_io_executor Executor,
                 std::vector<Endpoint> Endpoints);
  ~PlatformClient() override;

  boost::asio::awaitable<Result<ObjectList>>
  listAll(TimePoint Deadline) override;
  boost::asio::awaitable<Result<std::uint64_t>>
  version(TimePoint Deadline) override;
  boost::asio::awaitable<Result<CatalogueObject>>
  get(ObjectKind Kind, std::string Name, TimePoint Deadline) override;
  boost::asio::awaitable<Result<CatalogueObject>>
  replaceIf(CatalogueObject Object, TimePoint Deadline) override;
  boost::asio::awaitable<Result<void>> remove(CatalogueObject Object,
                                              TimePoint Deadline) override;
  boost::asio::awaitable<Error>
  watchAll(std::uint64_t Version,
           std::function<void(const PlatformChange &)> OnChange) override;
  void stopWatch() override;

private:
  class Private;
  std::shared_ptr<Private> P;
};

} // namespace lavenderdale
