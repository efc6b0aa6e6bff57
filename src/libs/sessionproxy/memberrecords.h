#pragma once

#include "failover/departedreplicas.h"
#include "objectstore.h"
#include "proxystate.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lavenderdale {

/// Encodes a record as the contents of an object of Collection::Members.
Json::Value encodeMemberRecord(const MemberRecord &Record);
/// Errors: BadRequest.
Result<MemberRecord> decodeMemberRecord(const Json::Value &Spec);

/// Keeps the records of groups with synchronous replicas in the object store,
/// so that hosts that start know which replicas are gone. Without such groups,
/// the store is not called.
///
/// Load pattern: a replica that alone had received the latest commits is lost,
/// all hosts restart, and the primary crashes.
class MemberRecords : public std::enable_shared_from_this<MemberRecords> {
public:
  static constexpr std::chrono::milliseconds CheckInterval{100};
  static constexpr std::chrono::milliseconds CallTimeout{700};
  /// Pause after a failed call.
  static constexpr std::chrono::milliseconds RetryPause{300};
  /// How much longer each promoter leaves a change to those before it. One
  /// that finds the change made already has only read the record.
  static constexpr std::chrono::milliseconds RankDelay{400};

  MemberRecords(boost::asio::any_io_executor Executor, ObjectStore &Store,
                ProxyState &State);

  void start();
  void stop() { this->Stopped = true; }

  /// Reads the record of \p Group again. Errors: PlatformUnavailable.
  boost::asio::awaitable<Result<void>>
  refresh(std::shared_ptr<ProxyGroup> Group);

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  /// What this host knows of the record of one group.
  struct Known {
    std::uint64_t Revision = 0; ///< 0 if there is no object.
    MemberRecord Stored;
    std::optional<TimePoint> WriteAt; ///< Set while the record is outdated.
  };

  Task<void> run();
  Task<Result<void>> readAll();
  Task<void> write(std::shared_ptr<ProxyGroup> Group, Known &Record);
  bool isWriteDue(ProxyGroup &Group, Known &Record, TimePoint Now);
  void recordRead(ProxyGroup &Group, const StoredObject &Object);

  boost::asio::any_io_executor Executor;
  ObjectStore &Store;
  ProxyState &State;
  std::map<std::string, Known> Records; ///< By group.
  bool Read = false; ///< All records were read since the start.
  bool Stopped = false;
};

} // namespace lavenderdale
