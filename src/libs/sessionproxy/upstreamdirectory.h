#pragma once

#include "base/timepoint.h"
#include "upstreamentry.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace lavenderdale {

/// The upstreams that may be used. Entries that expired in the object store
/// during an outage of the store stay in use until their upstreams have had
/// time to register again.
class UpstreamDirectory {
public:
  /// Time that an upstream has to register again after an outage of the store.
  /// A live upstream does so within about two seconds.
  static constexpr std::chrono::milliseconds ReregistrationTime{2500};

  /// Records that a call to the store failed at \p Now.
  void recordStoreFailure(TimePoint Now) { this->StoreFailedAt = Now; }

  /// Replaces all entries by a current listing of the store.
  void replaceAll(const std::map<std::string, UpstreamEntry> &Entries,
                  TimePoint Now);
  void put(const UpstreamEntry &Entry);
  void remove(const std::string &Id, TimePoint Now);

  /// Removes the entries that did not register again in time.
  /// \returns whether there were any.
  bool removeExpired(TimePoint Now);

  /// Entries by group.
  std::map<std::string, std::vector<UpstreamEntry>> byGroup() const;
  std::size_t size() const { return this->Entries.size(); }

private:
  struct State {
    UpstreamEntry Entry;
    TimePoint RemoveAt{}; ///< Unset if the entry is in the store.
  };

  std::map<std::string, State> Entries;
  TimePoint StoreFailedAt{};
};

} // namespace lavenderdale
