#include "row.h"

namespace lavenderdale::matrix {

Rows proxyDiesRows() {
  return {
      {Fault::ProxyDies, Step::Admission, Covered{&WithdrawnKey},
       "The caller connects to another host; tokens and keys are valid at all",
       "", ""},
      {Fault::ProxyDies, Step::Rate, Covered{&RateShare},
       "Grants of the dead entry host expire at the owner, `RateOwner` "
       "(limits/rateowner.cpp); a new owner is placed when the host set "
       "changes",
       "X1, X2, X5, N1, N2", "rate: restarted_daemon_gives_no_second_burst"},
      {Fault::ProxyDies, Step::Routing, Covered{&RoutedRead},
       "`FleetView::holders` (server/fleetview.cpp), second holder in "
       "`Entry::runWithRetries` (server/entry.cpp): `unavailable` for the "
       "transaction",
       "", ""},
      {Fault::ProxyDies, Step::Queue, Covered{&RepeatedAttempt},
       "The queue is lost with the holder; the entry host sees the connection "
       "close, `HttpClient` (http/httpclient.cpp)",
       "H1", ""},
      {Fault::ProxyDies, Step::Run, Covered{&RepeatedAttempt},
       "The database rolls back when the connection closes; `nextStep` for the "
       "rest (retry/retrytable.cpp)",
       "T1", "transactions: daemon_killed_in_a_transaction"},
      {Fault::ProxyDies, Step::Acknowledge, Covered{&RepeatedAttempt},
       "`nextStep` (retry/retrytable.cpp), `RetryBudget` "
       "(retry/retrybudget.cpp), `finalFailure` (server/entry.cpp): no "
       "acknowledgement was given; `outcome-unknown` unless it may be repeated",
       "T1", ""},
      {Fault::ProxyDies, Step::Answer, Covered{&RepeatedAttempt},
       "`HttpClient::send` (http/httpclient.cpp): a health check after 1 s "
       "idle, a deadline for each exchange; `nextStep` (retry/retrytable.cpp)",
       "H1, T1", ""},
      {Fault::ProxyDies, Step::ConfigurationChange, Covered{&DistributedChange},
       "`ConfigurationState` (distribution/configurationstate.cpp), "
       "`ConfigurationStore` (distribution/configurationstore.cpp): the other "
       "relay of the domain goes on",
       "C5", ""},
      {Fault::ProxyDies, Step::KeyWithdrawal, Covered{&WithdrawnKey},
       "`Administrator::withdrawKey` (administration/administrator.cpp), "
       "`Freshness` (distribution/freshness.cpp): a dead host accepts nothing; "
       "`--wait` names it",
       "A2", ""},
      {Fault::ProxyDies, Step::Claim, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Claiming (failover/primaryreplacement.cpp): "
       "taken over after 1.5 s",
       "E3, E4", ""},
      {Fault::ProxyDies, Step::Fence, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Fencing (failover/primaryreplacement.cpp), "
       "`PromotionDriver::fence` (server/promotiondriver.cpp): a claim without "
       "progress is released or taken over",
       "E3", ""},
      {Fault::ProxyDies, Step::Wait, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` steps Waiting and Checking "
       "(failover/primaryreplacement.cpp)",
       "E3", ""},
      {Fault::ProxyDies, Step::Change, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Changing: conditional update "
       "(failover/primaryreplacement.cpp)",
       "E3", ""},
      {Fault::ProxyDies, Step::Promote, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): any watcher completes: "
       "completed by another watcher",
       "E3, E4", ""},
      {Fault::ProxyDies, Step::Point, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): under a fresh read of "
       "the status, over a session opened before it",
       "E3, E4", ""},
      {Fault::ProxyDies, Step::HostSetChange, Covered{&ChangedHostSet},
       "`Membership`, `RemovalRound` (membership/)", "N1, N2", ""},
      {Fault::ProxyDies, Step::Drain, Covered{&DrainedUpstream},
       "`ConnectionPool::setLeaving` (scheduling/connectionpool.cpp), "
       "`planAttempts` (consistency/attemptplan.cpp): another holder takes the "
       "duty",
       "", ""},
      {Fault::ProxyDies, Step::PlannedStop, Covered{&StoppedHost},
       "`Daemon::stop` (server/daemon.cpp), `HttpServer::closeIdle` "
       "(http/httpserver.cpp), `Membership::leave` "
       "(membership/membership.cpp): a dead host stops nothing",
       "", ""},
  };
}

} // namespace lavenderdale::matrix
