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

/// Serves callers: authentication, rate, session, routing, retries.
class Entry {
public:
  using FleetSource = std::function<FleetPointer()>;
  /// Asks a watcher for a newer view of a group.
  using ViewRefresher =
      std::function<boost::asio::awaitable<void>(std::string Group)>;

  Entry(const DaemonContext &Context, const ConfigurationSource &Configuration,
        RateService &Rates, GroupViews &Views, Executor &Run, FleetSource Fleet,
        ViewRefresher RefreshView);

  /// Serves one request of a caller.
  boost::asio::awaitable<HttpResponse> handle(HttpRequest Request);

private:
  /// What is known about a request after admission.
  struct Admitted {
    SnapshotPointer Snapshot;
    const Route *Target = nullptr;
    const Workspace *Payer = nullptr;
    const Group *Members = nullptr;
    TimePoint Deadline;
    SessionToken Session{std::string()};
  };

  struct RetryShard {
    std::mutex Lock;
    std::map<std::string, RetryBudget> Budgets;
  };

  Result<Admitted> admit(const CallerRequest &Caller, TimePoint Now) const;
  Result<SessionToken> readSession(const CallerRequest &Caller,
                                   const CatalogueSnapshot &Snapshot,
                                   const std::string &Workspace) const;
  boost::asio::awaitable<Result<void>> spendRate(const Admitted &Request);
  boost::asio::awaitable<HttpResponse> serve(const CallerRequest &Caller,
                                             HopSpan &Hop);
  boost::asio::awaitable<ExecutionResult>
  runAdmitted(const CallerRequest &Caller, const Admitted &Request,
              HopSpan &Hop);
  boost::asio::awaitable<ExecutionResult>
  runWithRetries(const CallerRequest &Caller, const Admitted &Request,
                 ExecutionRequest Message);
  Result<AttemptPlan> planFor(const CallerRequest &Caller,
                              const Admitted &Request,
                              const PublishedGroupView &View) const;
  void countServed(const CallerRequest &Caller, const ExecutionAnswer &Answer,
                   std::optional<PrimaryReason> Reason) const;
  bool mayRetry(const std::string &Workspace, TimePoint Now);
  void countRequest(const std::string &Workspace, TimePoint Now);
  HttpResponse answer(const Admitted &Request, ExecutionResult Result) const;
  /// Plans with a view that is new enough for the request.
  boost::asio::awaitable<Result<AttemptPlan>>
  plan(const CallerRequest &Caller, const Admitted &Request, bool Refresh);

  const DaemonContext &Context;
  const ConfigurationSource &Configuration;
  RateService &Rates;
  GroupViews &Views;
  Executor &Run;
  FleetSource Fleet;
  ViewRefresher RefreshView;
  std::array<RetryShard, 16> RetryShards;
  mutable std::atomic<std::uint64_t> Turn{0}; ///< Of reads in round robin.
};

} // namespace lavenderdale
