#include "row.h"

namespace lavenderdale::matrix {

Rows domainsCutOffRows() {
  return {
      {Fault::DomainsCutOff, Step::Admission, Covered{&WithdrawnKey},
       "`Freshness::mayAcceptKeys` (distribution/freshness.cpp), asked by "
       "`Entry::admit`",
       "C3, C4", "network: domain_cut_off"},
      {Fault::DomainsCutOff, Step::Rate, Covered{&RateShare},
       "The own share goes on, loans stop: `RateOwner` (limits/rateowner.cpp)",
       "N4, X1", ""},
      {Fault::DomainsCutOff, Step::Routing, Covered{&RoutedRead},
       "`Entry::runWithRetries` (server/entry.cpp), `planAttempts` "
       "(consistency/attemptplan.cpp), `ReadRouter::plan` "
       "(consistency/readrouter.cpp): replicas of the own domain, until the "
       "accepted age is exceeded",
       "R1, L3", ""},
      {Fault::DomainsCutOff, Step::Queue,
       Unaffected{"a queue belongs to one host"}, "", "", ""},
      {Fault::DomainsCutOff, Step::Run, Covered{&RepeatedAttempt},
       "`PostgresConnection::run` with a deadline "
       "(postgres/postgresconnection.cpp), `ConnectionPool` "
       "(scheduling/connectionpool.cpp)",
       "G1, G2, G3", ""},
      {Fault::DomainsCutOff, Step::Acknowledge, Covered{&AcknowledgedWrite},
       "`WritePermission::decide` (failover/writepermission.cpp), "
       "`StatementRunner::acknowledge` (server/statementrunner.cpp): no "
       "permission without a majority of the group",
       "W1", ""},
      {Fault::DomainsCutOff, Step::Answer, Covered{&RepeatedAttempt},
       "`nextStep` (retry/retrytable.cpp), `RetryBudget` "
       "(retry/retrybudget.cpp), `finalFailure` (server/entry.cpp)",
       "T1", ""},
      {Fault::DomainsCutOff, Step::ConfigurationChange,
       Covered{&DistributedChange},
       "`ConfigurationState` (distribution/configurationstate.cpp), "
       "`ConfigurationStore` (distribution/configurationstore.cpp)",
       "C3, C4, O2", ""},
      {Fault::DomainsCutOff, Step::KeyWithdrawal, Covered{&WithdrawnKey},
       "`Administrator::withdrawKey` (administration/administrator.cpp), "
       "`Freshness` (distribution/freshness.cpp)",
       "C3", "network: domain_cut_off"},
      {Fault::DomainsCutOff, Step::Claim, Covered{&ReplacedPrimary},
       "`EvidenceAggregator::hasQuorum` needs a majority in two domains "
       "(failover/evidence.cpp)",
       "D4", ""},
      {Fault::DomainsCutOff, Step::Fence, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Fencing (failover/primaryreplacement.cpp), "
       "`PromotionDriver::fence` (server/promotiondriver.cpp): fails with "
       "`no-quorum` on the side without a majority",
       "", ""},
      {Fault::DomainsCutOff, Step::Wait, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` steps Waiting and Checking "
       "(failover/primaryreplacement.cpp)",
       "", ""},
      {Fault::DomainsCutOff, Step::Change, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Changing: conditional update "
       "(failover/primaryreplacement.cpp)",
       "", ""},
      {Fault::DomainsCutOff, Step::Promote, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): any watcher completes",
       "", ""},
      {Fault::DomainsCutOff, Step::Point, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): under a fresh read of "
       "the status, over a session opened before it",
       "", ""},
      {Fault::DomainsCutOff, Step::HostSetChange, Covered{&ChangedHostSet},
       "`Membership`, `RemovalRound` (membership/)", "N3, N4", ""},
      {Fault::DomainsCutOff, Step::Drain, Covered{&DrainedUpstream},
       "`ConnectionPool::setLeaving` (scheduling/connectionpool.cpp), "
       "`planAttempts` (consistency/attemptplan.cpp): in force in the cut off "
       "domain only after it is reached again",
       "", ""},
      {Fault::DomainsCutOff, Step::PlannedStop, Covered{&StoppedHost},
       "`Daemon::stop` (server/daemon.cpp), `HttpServer::closeIdle` "
       "(http/httpserver.cpp), `Membership::leave` "
       "(membership/membership.cpp): peers on the other side learn later",
       "", ""},
  };
}

} // namespace lavenderdale::matrix
