#pragma once

#include "base/timepoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// The evacuated failure domains as read from the store.
struct EvacuationSet {
  /// Domains in a message between hosts. The message is one datagram, so a
  /// larger set is not passed on; hosts then read it from the store only.
  static constexpr std::size_t MaxToldDomains = 64;
  /// Length of the name of a domain in such a message, in bytes.
  static constexpr std::size_t MaxDomainLength = 128;

  std::uint64_t Revision = 0; ///< Of the store, when the set was read.
  std::set<std::string> Domains;

  /// Whether the set fits into a message between hosts.
  bool canBeTold() const;
};

/// Decides to which failure domains nothing may be sent, and for how long what
/// was begun there may go on. The single decision for all paths to an upstream.
///
/// Load pattern: an operator empties a failure domain while statements,
/// transactions and probes of all hosts are under way, and some hosts hear of
/// the order only from other hosts. A set is replaced only by one that was read
/// later, in whichever order they arrive, and stays in force while none can be
/// read.
class Evacuations {
public:
  /// Part of the bound after which open transactions are rolled back, as in the
  /// first half of a planned stop.
  static constexpr double TransactionShare = 0.5;
  /// Part of the bound after which statements and commits that were sent
  /// before are no longer awaited. The rest allows for the time in which the
  /// host learned of the order.
  static constexpr double AnswerShare = 0.9;

  /// The order to evacuate one failure domain.
  struct Order {
    std::uint64_t Revision = 0; ///< Of the first set that contained it.
    TimePoint LearnedAt{};
    /// From then on nothing is sent, also in open transactions.
    TimePoint TransactionsEndAt{};
    /// From then on answers are no longer awaited.
    TimePoint AnswersEndAt{};
  };

  /// What a new set changes.
  struct Change {
    std::vector<std::string> Ordered;
    std::vector<std::string> Withdrawn;

    bool empty() const {
      return this->Ordered.empty() && this->Withdrawn.empty();
    }
  };

  /// \param Bound time from an order until nothing more is sent; not positive
  ///        if the deployment has no evacuations, and every set is ignored.
  explicit Evacuations(std::chrono::milliseconds Bound) : Bound(Bound) {}

  bool enabled() const { return this->Bound.count() > 0; }
  std::chrono::milliseconds bound() const { return this->Bound; }

  /// Takes over \p Read unless the present set is at least as recent.
  Change offer(const EvacuationSet &Read, TimePoint Now);

  /// The order to evacuate \p FailureDomain, or nullptr. Nothing new may be
  /// sent to an upstream of a domain with an order.
  const Order *find(const std::string &FailureDomain) const;
  bool covers(const std::string &FailureDomain) const {
    return this->find(FailureDomain) != nullptr;
  }

  /// The set in force, or nothing if none was read yet.
  const std::optional<EvacuationSet> &current() const { return this->Current; }

private:
  const std::chrono::milliseconds Bound;
  std::optional<EvacuationSet> Current;
  std::map<std::string, Order> Orders; ///< By failure domain.
};

} // namespace lavenderdale
