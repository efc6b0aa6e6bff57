#include "row.h"

namespace lavenderdale::matrix {

Rows primaryCutOffRows() {
  return {
      {Fault::PrimaryCutOff, Step::Admission,
       Unaffected{"decided from this host's memory"}, "", "", ""},
      {Fault::PrimaryCutOff, Step::Rate,
       Unaffected{"rates do not depend on databases"}, "", "", ""},
      {Fault::PrimaryCutOff, Step::Routing, Covered{&RoutedRead},
       "`Entry::runWithRetries` (server/entry.cpp), `planAttempts` "
       "(consistency/attemptplan.cpp), `ReadRouter::plan` "
       "(consistency/readrouter.cpp): another view is asked for at each round "
       "until the deadline",
       "R2", "failover: primary_killed, primary_cut_off_and_back"},
      {Fault::PrimaryCutOff, Step::Queue, Covered{&QueuedWrite},
       "`StatementRunner::write` asks `WritePermission::mayStart` again after "
       "the queue (server/statementrunner.cpp), and "
       "`GroupService::refuseStrandedWrites` fails what waits at a primary "
       "without permission, so that it is tried at the next one",
       "", "failover: primary_killed"},
      {Fault::PrimaryCutOff, Step::Run, Covered{&RepeatedAttempt},
       "`PostgresConnection::run` with a deadline "
       "(postgres/postgresconnection.cpp), `ConnectionPool` "
       "(scheduling/connectionpool.cpp)",
       "G1, G2", "failover: primary_silent_on_open_connections"},
      {Fault::PrimaryCutOff, Step::Acknowledge, Covered{&AcknowledgedWrite},
       "`WritePermission::decide` (failover/writepermission.cpp), "
       "`StatementRunner::acknowledge` (server/statementrunner.cpp)",
       "W1, W2, W3, W4, E1, E2, E4",
       "failover: primary_cut_off_and_back, "
       "replication_cut_while_daemons_reach_the_primary"},
      {Fault::PrimaryCutOff, Step::Answer, Covered{&RepeatedAttempt},
       "`nextStep` (retry/retrytable.cpp), `RetryBudget` "
       "(retry/retrybudget.cpp), `finalFailure` (server/entry.cpp): "
       "`outcome-unknown`, or a retry of reads and keyed writes",
       "T1, L1", ""},
      {Fault::PrimaryCutOff, Step::ConfigurationChange,
       Unaffected{"the platform and the hosts take part only"}, "", "", ""},
      {Fault::PrimaryCutOff, Step::KeyWithdrawal, Unaffected{"as above"}, "",
       "", ""},
      {Fault::PrimaryCutOff, Step::Claim, Covered{&ReplacedPrimary},
       "`FailureDetector`, `EvidenceAggregator` (failover/), then "
       "`PrimaryReplacement` step Claiming (failover/primaryreplacement.cpp)",
       "D1, D3, D4, E1, E2", "failover: all five"},
      {Fault::PrimaryCutOff, Step::Fence, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Fencing (failover/primaryreplacement.cpp), "
       "`PromotionDriver::fence` (server/promotiondriver.cpp): the primary "
       "itself need not answer",
       "E1, E2, E4", "failover: primary_cut_off_and_back"},
      {Fault::PrimaryCutOff, Step::Wait, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` steps Waiting and Checking "
       "(failover/primaryreplacement.cpp)",
       "E1, E2, E4", "failover: all five"},
      {Fault::PrimaryCutOff, Step::Change, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Changing: conditional update "
       "(failover/primaryreplacement.cpp)",
       "E1, E2, E4", "failover: all five"},
      {Fault::PrimaryCutOff, Step::Promote, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): any watcher completes; "
       "if the chosen member dies first, the next term's timeline is stored as "
       "it is reached, `Promotion::completeIfNeeded` (failover/promotion.cpp)",
       "E1, E4, E5", "failover: all five"},
      {Fault::PrimaryCutOff, Step::Point, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): under a fresh read of "
       "the status, over a session opened before it: an old primary is left "
       "alone until it is rebuilt; it gives no permission",
       "E1, E4", "failover: primary_killed"},
      {Fault::PrimaryCutOff, Step::HostSetChange,
       Unaffected{"hosts are judged by heartbeats, not by databases"}, "", "",
       ""},
      {Fault::PrimaryCutOff, Step::Drain,
       NotCovered{"a planned change and a cut together"},
       "`Promotion::needsPlannedChange` (failover/promotion.cpp): a leaving "
       "primary "
       "is replaced while it answers, otherwise as any primary",
       "E6, M1", "failover: leaving_primary_is_replaced (no cut)"},
      {Fault::PrimaryCutOff, Step::PlannedStop,
       NotCovered{"`Daemon::stop` needs sockets"},
       "`Daemon::stop` (server/daemon.cpp), `HttpServer::closeIdle` "
       "(http/httpserver.cpp), `Membership::leave` "
       "(membership/membership.cpp): a request without permission ends by its "
       "deadline, at most `stop_limit_ms`",
       "", ""},
  };
}

} // namespace lavenderdale::matrix
