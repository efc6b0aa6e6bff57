#pragma once

#include "base/timepoint.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {

/// Memory and connections of a process that its callers and peers may use, and
/// which of them has to give way when they are used up.
///
/// Load pattern: hundreds of callers send messages of legal size at once, or
/// stop halfway, fill their sessions with state, take no answers, or open more
/// connections than the host has descriptors, while thousands of ordinary
/// sessions hold a few kilobytes each.
///
/// Every connection has a part of its own, which is never refused, so an
/// ordinary session does not depend on the others. Beyond it, connections share
/// one limit for each use. Of those that hold memory without progress, the
/// largest of the owner with the most gives way first.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
public:
  /// What memory is used for. Each use has its own limit.
  enum class Use {
    Receiving,    ///< Messages that are received or being worked on.
    SessionState, ///< Values and prepared statements of sessions.
    Answers,      ///< Answers that the caller has not taken yet.
    Relayed,      ///< Requests of other hosts.
  };
  static constexpr std::size_t UseCount = 4;

  /// Up to this many bytes of a use belong to the connection's own part.
  static constexpr std::size_t OrdinaryBytes = 4096;
  /// The own part of a connection: up to OrdinaryBytes of each of the three
  /// uses that a session has, without their sum ever being counted.
  static constexpr std::size_t ConnectionBytes = 3 * OrdinaryBytes;
  /// Less leaves no room for one message of the largest size.
  static constexpr std::size_t MinMemory = std::size_t{64} << 20;
  static constexpr std::size_t DefaultMemory = std::size_t{1} << 30;
  /// Descriptors for files, which are not for connections.
  static constexpr std::size_t FileDescriptors = 200;
  static constexpr std::size_t MinDescriptors = 300;
  static constexpr std::size_t DefaultDescriptors = 20000;
  /// A connection without progress for this long may be closed for others.
  static constexpr std::chrono::milliseconds StalledAfter{1000};
  /// Connections that may wait for memory at the same time.
  static constexpr std::size_t MaxWaiting = 16;

  /// Who is at the other end of a connection.
  enum class Role { Caller, Peer };
  static constexpr std::size_t RoleCount = 2;

  struct Limits {
    std::array<std::size_t, RoleCount> Connections{}; ///< By Role.
    std::array<std::size_t, UseCount> Bytes{};        ///< By Use.
  };

  /// Divides the memory and the descriptors of a host.
  /// \param Memory bytes of the host; 0 for the default. Half of it is for
  ///        callers and other hosts' requests.
  /// \param Descriptors of the host; 0 for the default. A quarter of those that
  ///        are not for files is for upstreams, other hosts and the store; half
  ///        of that for connections that other hosts open.
  static Limits limitsFor(std::size_t Memory, std::size_t Descriptors);

  enum class Grant {
    Given,
    AfterClosing, ///< Not yet; possible once the closed connections have ended.
    Refused,
  };

  /// One connection. Gives everything back when it is destroyed, and keeps the
  /// budget, which must be owned by a shared pointer.
  class Account {
  public:
    /// \param Owner whose use is added up: an address or a workspace.
    /// \param Close closes the connection without waiting; called at most once.
    Account(MemoryBudget &Budget, Role Kind, std::string Owner,
            std::function<void()> Close);
    ~Account();
    Account(const Account &) = delete;
    Account &operator=(const Account &) = delete;

    /// Requests that this connection may hold \p Bytes for \p For, in place of
    /// what it holds now. Never refused for no more than it holds now, or for
    /// up to OrdinaryBytes.
    Grant reserve(Use For, std::size_t Bytes) {
      // The usual case: small before and after.
      if (Bytes <= OrdinaryBytes &&
          this->Held[static_cast<std::size_t>(For)] == 0)
        return Grant::Given;
      return this->Budget.reserve(*this, For, Bytes);
    }
    /// Returns what is counted for \p For, in bytes.
    std::size_t held(Use For) const {
      return this->Held[static_cast<std::size_t>(For)];
    }
    void setOwner(const std::string &Name);
    /// A busy connection has work in progress and is not closed for others.
    void setBusy(bool IsBusy) { this->Busy = IsBusy; }
    /// Records progress.
    void touch() { this->ProgressAt = this->Budget.Now; }
    /// Returns whether the budget has closed this connection.
    bool isClosing() const { return this->Closing; }
    MemoryBudget &budget() { return this->Budget; }

  private:
    friend class MemoryBudget;

    const std::shared_ptr<MemoryBudget> Keep;
    MemoryBudget &Budget;
    const Role Kind;
    std::string Owner;
    std::function<void()> Close;
    std::array<std::size_t, UseCount> Held{};
    TimePoint ProgressAt;
    bool Busy = false;
    bool Closing = false;
    std::list<Account *>::iterator Place;
  };

  /// What was refused or closed.
  struct Counts {
    std::uint64_t Refused = 0;            ///< Reservations.
    std::uint64_t Closed = 0;             ///< Connections, for others' memory.
    std::uint64_t ConnectionsRefused = 0; ///< New connections.
    std::uint64_t ConnectionsClosed = 0;  ///< Idle ones, for new ones.
    std::uint64_t TooSlow = 0; ///< Closed because they sent or read too slowly.
    /// Owners with the most of all these events, in descending order.
    std::vector<std::pair<std::string, std::uint64_t>> Largest;

    bool empty() const {
      return this->Refused + this->Closed + this->ConnectionsRefused +
                 this->ConnectionsClosed + this->TooSlow ==
             0;
    }
  };

  /// Number of owners in Counts::Largest.
  static constexpr std::size_t ReportedOwners = 3;

  MemoryBudget(Limits Allowed, TimePoint Now) : Allowed(Allowed), Now(Now) {}

  /// Sets the time that counts for progress.
  void advance(TimePoint To) { this->Now = To; }

  /// Returns whether one more connection may be opened. If there are too many,
  /// an idle one of the owner with the most connections is closed for it.
  Grant admitConnection(Role Kind, const std::string &Owner);

  /// Returns whether one more connection may wait for memory, and counts it
  /// until stopWaiting(). Few may, so that waiting costs no processor time.
  bool startWaiting() {
    if (this->Waiting >= MaxWaiting)
      return false;
    ++this->Waiting;
    return true;
  }
  void stopWaiting() { --this->Waiting; }

  /// Counts a reservation that was given up after waiting for memory.
  void countRefusal(const Account &For);
  /// Counts a connection that is closed because it made too little progress.
  void countTooSlow(const Account &For);

  /// Returns the events since the last call.
  Counts takeCounts();

  std::size_t used(Use For) const {
    return this->Used[static_cast<std::size_t>(For)];
  }
  std::size_t limit(Use For) const {
    return this->Allowed.Bytes[static_cast<std::size_t>(For)];
  }
  const Limits &limits() const { return this->Allowed; }
  std::size_t connections(Role Kind) const {
    return this->Connections[static_cast<std::size_t>(Kind)];
  }

private:
  /// What the connections of an owner use together.
  struct OwnerUse {
    std::size_t Connections = 0;
    std::array<std::size_t, UseCount> Bytes{};
  };

  /// More owners are counted together, so that addresses cannot fill the
  /// memory.
  static constexpr std::size_t CountedOwners = 64;

  Grant reserve(Account &For, Use Kind, std::size_t Bytes);
  void set(Account &For, std::size_t Kind, std::size_t Bytes);
  Account *chooseVictim(const Account &For, std::size_t Kind,
                        std::size_t Missing) const;
  void close(Account &Victim);
  void countFor(const std::string &Owner);
  void leave(const Account &Leaving);

  const Limits Allowed;
  TimePoint Now;
  std::list<Account *> Accounts;
  std::map<std::string, OwnerUse> Owners;
  std::array<std::size_t, UseCount> Used{};
  /// Part of Used that is given back when the closed connections have ended.
  std::array<std::size_t, UseCount> ComingFree{};
  std::array<std::size_t, RoleCount> Connections{}; ///< Open ones, by Role.
  std::array<std::size_t, RoleCount> ClosingConnections{};
  std::size_t Waiting = 0;
  Counts Events;
  std::map<std::string, std::uint64_t> EventsOf; ///< By owner.
};

} // namespace lavenderdale
