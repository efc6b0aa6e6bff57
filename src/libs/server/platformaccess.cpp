#include "platformaccess.h"

#include <boost/asio/ip/address.hpp>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

PlatformChange changeOf(const WatchMessage &Message) {
  PlatformChange Change;
  Change.Object = Message.Object;
  Change.Deleted = Message.Kind == WatchMessage::Type::Deleted;
  Change.Bookmark = Message.Kind == WatchMessage::Type::Bookmark;
  return Change;
}

} // namespace

PlatformAccess::PlatformAccess(asio::io_context &Worker,
                               const std::vector<Endpoint> &Endpoints) {
  for (const Endpoint &Each : Endpoints) {
    const asio::ip::tcp::endpoint Address(asio::ip::make_address(Each.Address),
                                          Each.Port);
    this->Clients.push_back(
        std::make_unique<PlatformClient>(Worker.get_executor(), Address));
    this->WatchClients.push_back(
        std::make_unique<PlatformClient>(Worker.get_executor(), Address));
  }
}

PlatformClient &PlatformAccess::current() {
  return *this->Clients[this->EndpointIndex % this->Clients.size()];
}

template <typename T>
Result<T> PlatformAccess::switchIfUnavailable(Result<T> Outcome) {
  if (!Outcome && Outcome.error().Kind == ErrorKind::PlatformUnavailable)
    ++this->EndpointIndex;
  return Outcome;
}

asio::awaitable<Result<ObjectList>>
PlatformAccess::listAll(TimePoint Deadline) {
  co_return this->switchIfUnavailable(
      co_await this->current().list(std::nullopt, Deadline));
}

asio::awaitable<Result<std::uint64_t>>
PlatformAccess::version(TimePoint Deadline) {
  const Result<ObjectList> List = this->switchIfUnavailable(
      co_await this->current().list(ObjectKind::HostSet, Deadline));
  if (!List)
    co_return List.error();
  co_return List.value().Version;
}

asio::awaitable<Result<CatalogueObject>>
PlatformAccess::get(ObjectKind Kind, std::string Name, TimePoint Deadline) {
  co_return this->switchIfUnavailable(
      co_await this->current().get(Kind, Name, Deadline));
}

asio::awaitable<Result<CatalogueObject>>
PlatformAccess::replaceIf(CatalogueObject Object, TimePoint Deadline) {
  if (Object.Version == 0)
    co_return this->switchIfUnavailable(
        co_await this->current().create(std::move(Object), Deadline));
  co_return this->switchIfUnavailable(
      co_await this->current().replaceIf(std::move(Object), Deadline));
}

asio::awaitable<Error>
PlatformAccess::watchAll(std::uint64_t Version,
                         std::function<void(const PlatformChange &)> OnChange) {
  this->Watching =
      this->WatchClients[this->EndpointIndex % this->WatchClients.size()].get();
  const Result<void> End = co_await this->Watching->watch(
      std::nullopt, Version, [&OnChange](const WatchMessage &Message) {
        OnChange(changeOf(Message));
      });
  this->Watching = nullptr;
  co_return End.error();
}

void PlatformAccess::stopWatch() {
  if (this->Watching)
    this->Watching->close();
}

} // namespace lavenderdale
