#pragma once

#include "base/result.h"
#include "position.h"

#include <vector>

namespace lavenderdale {

/// What became of a write, as far as a lineage tells.
enum class WriteFate {
  Survived, ///< It is in the log of the newest known term.
  Lost,     ///< It was cut off by a change of primary.
  Unknown,  ///< Its term is not in the lineage, or newer than all of it.
};

/// The terms of a group in ascending order, each with the position at which it
/// branched off from the one before.
class Lineage {
public:
  struct Entry {
    Term InTerm;
    LogPosition Start;
    bool operator==(const Entry &) const = default;
  };

  /// Entries kept. The oldest are dropped; tokens of dropped terms are
  /// Unknown, which is answered as a lost session and never with older data.
  static constexpr std::size_t MaxEntries = 64;

  /// Appends a term.
  /// \returns BadRequest if \p InTerm is not above the newest term.
  Result<void> append(Term InTerm, LogPosition Start);

  /// Drops the terms above \p Last, whose primaries were never followed.
  void dropAbove(Term Last);

  /// The newest term, or term 0 of an empty lineage.
  Term newest() const;

  /// Whether the write at \p Written is part of the newest term's log.
  WriteFate fate(const Position &Written) const;

  const std::vector<Entry> &entries() const { return this->Entries; }
  bool operator==(const Lineage &) const = default;

private:
  std::vector<Entry> Entries;
};

} // namespace lavenderdale
