#pragma once

#include "daemoncontext.h"
#include "executionrequest.h"
#include "failover/writepermission.h"
#include "statementgroups.h"
#include "upstreamservice.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace lavenderdale {

/// What StatementRunner needs to know of its group.
class GroupState {
public:
  virtual ~GroupState() = default;

  /// Whether a write may be sent to the primary now.
  virtual bool mayWrite(TimePoint Now) const = 0;

  /// Decides about a write whose commit was answered.
  /// \param SentAt when the commit was sent.
  virtual AckDecision decide(const Position &Reached, Acknowledge Mode,
                             TimePoint SentAt, TimePoint Now) const = 0;

  /// Waits for the next poll of a replica, at most until \p Limit.
  virtual boost::asio::awaitable<void> nextPoll(TimePoint Limit) = 0;

  /// Terms of the group.
  virtual const Lineage &history() const = 0;

  /// Age of the data of a replica that has replayed up to \p Replayed.
  virtual std::optional<Duration> ageOf(const Position &Replayed,
                                        TimePoint Now) const = 0;
};

/// Runs requests on the upstreams of one group that this host holds. Belongs
/// to the group's worker.
class StatementRunner {
public:
  StatementRunner(const DaemonContext &Context, GroupState &State);

  /// Runs \p Request on \p Target.
  boost::asio::awaitable<ExecutionResult>
  execute(std::shared_ptr<UpstreamService> Target, ExecutionRequest Request);

  /// Number of open transactions.
  /// Safe to call from any thread.
  std::size_t transactions() const { return this->OpenCount; }

private:
  using GroupResults = PostgresConnection::GroupResults;
  using TargetPointer = std::shared_ptr<UpstreamService>;

  struct Transaction {
    std::string Workspace;
    TargetPointer Target;
    UpstreamService::Lease Held;
  };

  /// Waits for a connection while writes may be acknowledged.
  /// \returns NoPrimary when they may not, or as UpstreamService::acquire().
  boost::asio::awaitable<Result<UpstreamService::Lease>>
  acquireForWrite(TargetPointer Target, const ExecutionRequest &Request);

  boost::asio::awaitable<ExecutionResult> write(TargetPointer Target,
                                                ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult> keyedWrite(TargetPointer Target,
                                                     ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult> runKeyed(TargetPointer Target,
                                                   ExecutionRequest &Request,
                                                   UpstreamService::Lease Held,
                                                   bool &Plain);
  boost::asio::awaitable<ExecutionResult>
  finishKeyed(TargetPointer Target, ExecutionRequest &Request,
              UpstreamService::Lease Held, StatementResult Result);
  boost::asio::awaitable<ExecutionResult>
  storedAnswer(TargetPointer Target, ExecutionRequest &Request,
               UpstreamService::Lease Held);
  boost::asio::awaitable<ExecutionResult>
  readReplica(TargetPointer Target, ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult>
  readPrimary(TargetPointer Target, ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult> begin(TargetPointer Target,
                                                ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult> runInside(ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult> end(ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult> acknowledge(ExecutionRequest &Request,
                                                      ExecutionAnswer Answer,
                                                      TimePoint SentAt);

  boost::asio::awaitable<Result<GroupResults>>
  run(TargetPointer Target, UpstreamService::Lease Held,
      StatementGroups Statements, const ExecutionRequest &Request);
  ReadVerdict judge(const ReadDemand &Demand,
                    const std::optional<Position> &Replayed) const;
  bool forget(const std::string &Id);
  std::string newTransactionId(const std::string &Group);

  const DaemonContext &Context;
  GroupState &State;
  std::map<std::string, Transaction> Open;
  std::atomic<std::size_t> OpenCount{0};
  std::mt19937_64 Random;
};

} // namespace lavenderdale
