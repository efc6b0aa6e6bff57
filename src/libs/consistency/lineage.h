#pragma once

#include "base/result.h"
#include "position.h"

#include <vector>

namespace lavenderdale {

/// Whether a write survived the changes of primary after it.
enum class WriteStatus {
  Survived, ///< The write is in the log of the newest known term.
  Lost,     ///< The write is not in the log of a later primary.
  Unknown,  ///< The term of the write is not in the lineage.
};

/// The timelines of a group in ascending order, each with the log position at
/// which it branched off from the one before.
class Lineage {
public:
  struct Entry {
    Term InTerm;
    LogPosition Start; ///< Where the timeline branched off.
    bool operator==(const Entry &) const = default;
  };

  /// Maximum number of entries; the oldest are dropped. The status of a write
  /// of a dropped term is Unknown, for which a session is answered session-lost
  /// and never gets older data.
  static constexpr std::size_t MaxEntries = 64;

  /// Appends a term that starts at \p Start.
  /// \returns BadRequest if \p InTerm is not above the newest term.
  Result<void> append(Term InTerm, LogPosition Start);

  /// Removes the terms above \p Last, whose primaries no member has followed.
  void dropAbove(Term Last);

  /// The newest term, or term 0 of an empty lineage.
  Term newest() const;

  /// Whether the write at \p Written is part of the newest term's log.
  WriteStatus writeStatus(const Position &Written) const;

  const std::vector<Entry> &entries() const { return this->Entries; }
  bool operator==(const Lineage &) const = default;

private:
  std::vector<Entry> Entries;
};

} // namespace lavenderdale
