#include "row.h"

namespace lavenderdale::matrix {

Rows replicasBehindRows() {
  return {
      {Fault::ReplicasBehind, Step::Admission,
       Unaffected{"decided from this host's memory"}, "", "", ""},
      {Fault::ReplicasBehind, Step::Rate,
       Unaffected{"rates do not depend on databases"}, "", "", ""},
      {Fault::ReplicasBehind, Step::Routing, Covered{&RoutedRead},
       "`Entry::runWithRetries` (server/entry.cpp), `planAttempts` "
       "(consistency/attemptplan.cpp), `ReadRouter::plan` "
       "(consistency/readrouter.cpp)",
       "R1, L2, L3", "session: roaming_session_with_lagging_replicas"},
      {Fault::ReplicasBehind, Step::Queue,
       Unaffected{
           "a read that waits for the position gives its slot back in between"},
       "", "", ""},
      {Fault::ReplicasBehind, Step::Run, Covered{&RoutedRead},
       "`StatementRunner::readReplica` checks the position before and waits at "
       "most until `WaitUntil` (server/statementrunner.cpp); `evaluateRead` "
       "(consistency/readrule.cpp)",
       "L2, R1",
       "session: roaming_session_with_lagging_replicas, reads_never_go_back"},
      {Fault::ReplicasBehind, Step::Acknowledge, Covered{&AcknowledgedWrite},
       "`WritePermission::decide` (failover/writepermission.cpp), "
       "`StatementRunner::acknowledge` (server/statementrunner.cpp): mode "
       "`replica` waits, then `outcome-unknown`",
       "W4", ""},
      {Fault::ReplicasBehind, Step::Answer, Covered{&RepeatedAttempt},
       "`nextStep` (retry/retrytable.cpp), `RetryBudget` "
       "(retry/retrybudget.cpp), `finalFailure` (server/entry.cpp): "
       "`replica-behind` only if the primary was not reached either",
       "T1", ""},
      {Fault::ReplicasBehind, Step::ConfigurationChange,
       Unaffected{"positions play no part"}, "", "", ""},
      {Fault::ReplicasBehind, Step::KeyWithdrawal,
       Unaffected{"positions play no part"}, "", "", ""},
      {Fault::ReplicasBehind, Step::Claim, Unaffected{"positions play no part"},
       "", "", ""},
      {Fault::ReplicasBehind, Step::Fence, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Fencing (failover/primaryreplacement.cpp), "
       "`PromotionDriver::fence` (server/promotiondriver.cpp): positions are "
       "read after fencing",
       "E1, E2, E4", ""},
      {Fault::ReplicasBehind, Step::Wait, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` steps Waiting and Checking "
       "(failover/primaryreplacement.cpp): positions are compared again",
       "E1, E2, E4", ""},
      {Fault::ReplicasBehind, Step::Change, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` chooses the highest receive position "
       "(failover/primaryreplacement.cpp)",
       "E1, E2, E4", ""},
      {Fault::ReplicasBehind, Step::Promote, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): any watcher completes",
       "E4", ""},
      {Fault::ReplicasBehind, Step::Point, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): under a fresh read of "
       "the status, over a session opened before it",
       "E4", ""},
      {Fault::ReplicasBehind, Step::HostSetChange,
       Unaffected{"positions play no part"}, "", "", ""},
      {Fault::ReplicasBehind, Step::Drain, Unaffected{"positions play no part"},
       "", "", ""},
      {Fault::ReplicasBehind, Step::PlannedStop,
       Unaffected{"positions play no part"}, "", "", ""},
  };
}

} // namespace lavenderdale::matrix
