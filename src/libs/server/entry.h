#pragma once

#include "callerrequest.h"
#include "configurationsource.h"
#include "consistency/attemptplan.h"
#include "consistency/sessiontokencodec.h"
#include "executor.h"
#include "groupviews.h"
#include "rateservice.h"
#include "retry/retrybudget.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace lavenderdale {

/// Handles the requests of callers: authenticates them, applies rate limits,
/// checks session tokens, plans the attempts and retries them.
class Entry {
public:
  using FleetSource = std::function<FleetPointer()>;
  /// Requests a newer view of a group from one of the hosts that poll it.
  using ViewRefresher =
      std::function<boost::asio::awaitable<void>(std::string Group)>;

  Entry(const DaemonContext &Context, const ConfigurationSource &Configuration,
        RateService &Rates, GroupViews &Views, Executor &RequestExecutor,
        FleetSource Fleet, ViewRefresher RefreshView);

  /// Handles one request of a caller.
  /// \returns the response, also for a request that fails.
  boost::asio::awaitable<HttpResponse> handle(HttpRequest Request);

private:
  /// A request whose route, key, group, deadline and session token were
  /// checked.
  struct AdmittedRequest {
    SnapshotPointer Snapshot;
    const Route *TargetRoute = nullptr;
    const Workspace *CallerWorkspace = nullptr;
    const Group *TargetGroup = nullptr;
    TimePoint Deadline;
    SessionToken Session{std::string()};
  };

  struct RetryShard {
    std::mutex Lock;
    std::map<std::string, RetryBudget> Budgets;
  };

  Result<AdmittedRequest> admit(const CallerRequest &Caller,
                                TimePoint Now) const;
  Result<SessionToken> readSession(const CallerRequest &Caller,
                                   const CatalogueSnapshot &Snapshot,
                                   const std::string &Workspace) const;
  boost::asio::awaitable<Result<void>>
  spendRateTokens(const AdmittedRequest &Request);
  boost::asio::awaitable<HttpResponse> serve(const CallerRequest &Caller,
                                             HopSpan &Hop);
  boost::asio::awaitable<ExecutionResult>
  runAdmitted(const CallerRequest &Caller, const AdmittedRequest &Request,
              HopSpan &Hop);
  boost::asio::awaitable<ExecutionResult>
  runWithRetries(const CallerRequest &Caller, const AdmittedRequest &Request,
                 ExecutionRequest Message);
  Result<AttemptPlan> planWithView(const CallerRequest &Caller,
                                   const AdmittedRequest &Request,
                                   const PublishedGroupView &View) const;
  void countServed(const CallerRequest &Caller, const ExecutionAnswer &Answer,
                   std::optional<PrimaryReason> Reason) const;
  bool trySpendRetry(const std::string &Workspace, TimePoint Now);
  void countRequest(const std::string &Workspace, TimePoint Now);
  HttpResponse toResponse(const AdmittedRequest &Request,
                          ExecutionResult Result) const;
  /// Plans the attempts with a view that is recent enough for the request.
  /// \param Refresh whether to request a newer view first.
  boost::asio::awaitable<Result<AttemptPlan>>
  planWithRecentView(const CallerRequest &Caller,
                     const AdmittedRequest &Request, bool Refresh);

  const DaemonContext &Context;
  const ConfigurationSource &Configuration;
  RateService &Rates;
  GroupViews &Views;
  Executor &RequestExecutor;
  FleetSource Fleet;
  ViewRefresher RefreshView;
  std::array<RetryShard, 16> RetryShards;
  mutable std::atomic<std::uint64_t> RoundRobinTurn{
      0}; ///< For round-robin reads.
};

} // namespace lavenderdale
