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

/// State of a group, as StatementRunner uses it.
class GroupState {
public:
  virtual ~GroupState() = default;

  /// Whether a write may be sent to the primary now.
  virtual bool mayWrite(TimePoint Now) const = 0;

  /// Decides whether to acknowledge a write whose commit the database has
  /// confirmed.
  /// \param Reached the log position after the commit.
  /// \param SentAt when the commit was sent.
  virtual AcknowledgeDecision decide(const Position &Reached, Acknowledge Mode,
                                     TimePoint SentAt, TimePoint Now) const = 0;

  /// Waits until a replica was polled again, at most until \p Limit.
  virtual boost::asio::awaitable<void> nextPoll(TimePoint Limit) = 0;

  /// The terms of the group and the log positions at which they began.
  virtual const Lineage &history() const = 0;

  /// Age of the data of a replica that has replayed the log up to \p Replayed.
  /// \returns nullopt if the age is unknown.
  virtual std::optional<Duration> ageOf(const Position &Replayed,
                                        TimePoint Now) const = 0;
};

/// Runs requests on those upstreams of one group that this host holds. Except
/// where noted, it is used on the group's worker only.
class StatementRunner {
public:
  StatementRunner(const DaemonContext &Context, GroupState &State);

  /// Runs \p Request on \p Target.
  boost::asio::awaitable<ExecutionResult>
  execute(std::shared_ptr<UpstreamService> Target, ExecutionRequest Request);

  /// Number of open transactions.
  /// Safe to call from any thread.
  std::size_t transactions() const { return this->OpenTransactionCount; }

private:
  using GroupResults = PostgresConnection::GroupResults;
  using TargetPointer = std::shared_ptr<UpstreamService>;

  struct Transaction {
    std::string Workspace;
    TargetPointer Target;
    UpstreamService::Lease ConnectionLease;
  };

  /// Waits for a connection to the primary for a write.
  /// \returns NoPrimary if the primary may not acknowledge writes, or the
  /// errors of UpstreamService::acquire().
  boost::asio::awaitable<Result<UpstreamService::Lease>>
  acquireForWrite(TargetPointer Target, const ExecutionRequest &Request);

  boost::asio::awaitable<ExecutionResult> write(TargetPointer Target,
                                                ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult> keyedWrite(TargetPointer Target,
                                                     ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult>
  runKeyedTransaction(TargetPointer Target, ExecutionRequest &Request,
                      UpstreamService::Lease ConnectionLease,
                      bool &NoSessionState);
  boost::asio::awaitable<ExecutionResult>
  commitKeyedWrite(TargetPointer Target, ExecutionRequest &Request,
                   UpstreamService::Lease ConnectionLease,
                   StatementResult Result);
  boost::asio::awaitable<ExecutionResult>
  readStoredAnswer(TargetPointer Target, ExecutionRequest &Request,
                   UpstreamService::Lease ConnectionLease);
  boost::asio::awaitable<ExecutionResult>
  readReplica(TargetPointer Target, ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult>
  readPrimary(TargetPointer Target, ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult>
  beginTransaction(TargetPointer Target, ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult>
  runInTransaction(ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult>
  endTransaction(ExecutionRequest &Request);
  boost::asio::awaitable<ExecutionResult> acknowledge(ExecutionRequest &Request,
                                                      ExecutionAnswer Answer,
                                                      TimePoint SentAt);

  boost::asio::awaitable<Result<GroupResults>>
  run(TargetPointer Target, UpstreamService::Lease ConnectionLease,
      StatementGroups Groups, const ExecutionRequest &Request);
  ReadEligibility
  judgeReplicaPosition(const ReadDemand &Demand,
                       const std::optional<Position> &Replayed) const;
  bool removeTransaction(const std::string &Id);
  std::string newTransactionId(const std::string &Group);

  const DaemonContext &Context;
  GroupState &State;
  std::map<std::string, Transaction> OpenTransactions;
  std::atomic<std::size_t> OpenTransactionCount{0};
  std::mt19937_64 Random;
};

} // namespace lavenderdale
