#include "platformstatusstore.h"

#include "groupdirectory.h"
#include "http/runon.h"

namespace lavenderdale {
namespace asio = boost::asio;

asio::awaitable<Result<CatalogueObject>>
PlatformStatusStore::get(std::string Group, TimePoint Deadline) {
  co_return co_await runOn<Result<CatalogueObject>>(
      this->Worker.get_executor(),
      [&]() -> asio::awaitable<Result<CatalogueObject>> {
        co_return co_await this->Platform.get(ObjectKind::Group, Group,
                                              Deadline);
      });
}

asio::awaitable<std::optional<TermStatus>>
PlatformStatusStore::read(std::string Group, TimePoint Deadline) {
  const Result<CatalogueObject> Object = co_await this->get(Group, Deadline);
  if (!Object)
    co_return std::nullopt;
  const Result<GroupStatus> Stored =
      GroupStatus::fromJson(Object.value().Status);
  if (!Stored)
    co_return std::nullopt;
  const Result<TermStatus> Status =
      termStatusOf(Stored.value(), Object.value().Version);
  if (!Status)
    co_return std::nullopt;
  co_return Status.value();
}

asio::awaitable<GroupStatusStore::Update>
PlatformStatusStore::replaceIf(std::string Group, TermStatus Status,
                               TimePoint Deadline) {
  co_return co_await runOn<Update>(
      this->Worker.get_executor(), [&]() -> asio::awaitable<Update> {
        co_return co_await this->replaceHere(Group, Status, Deadline);
      });
}

// Storing a status also stores the spec, so the object is read first. Comparing
// versions ensures that the status was derived from this object.
asio::awaitable<GroupStatusStore::Update>
PlatformStatusStore::replaceHere(std::string Group, TermStatus Status,
                                 TimePoint Deadline) {
  Result<CatalogueObject> Object =
      co_await this->Platform.get(ObjectKind::Group, Group, Deadline);
  if (!Object)
    co_return Update{};
  if (Object.value().Version != Status.Version)
    co_return Update{UpdateOutcome::Conflict, Object.value().Version};
  Object.value().Status = storedStatusOf(Status).toJson();
  const Result<CatalogueObject> Stored =
      co_await this->Platform.replaceIf(Object.value(), Deadline);
  if (Stored)
    co_return Update{UpdateOutcome::Done, Stored.value().Version};
  const bool Conflict = Stored.error().Kind == ErrorKind::VersionConflict;
  co_return Update{Conflict ? UpdateOutcome::Conflict : UpdateOutcome::Unknown,
                   0};
}

} // namespace lavenderdale
