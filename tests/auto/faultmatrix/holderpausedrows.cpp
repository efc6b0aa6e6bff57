#include "row.h"

namespace lavenderdale::matrix {

Rows holderPausedRows() {
  return {
      {Fault::HolderPaused, Step::Admission, Covered{&WithdrawnKey},
       "`Freshness::mayAcceptKeys` (distribution/freshness.cpp), asked by "
       "`Entry::admit`: times count from when a question was sent",
       "C5, C7", "network: paused_daemon"},
      {Fault::HolderPaused, Step::Rate, Covered{&RateShare},
       "`RateClient` checks expiry when it spends (limits/rateclient.cpp); "
       "`OwnerLease` (membership/ownerlease.cpp)",
       "X1, X3, N1, N5", ""},
      {Fault::HolderPaused, Step::Routing, Covered{&RoutedRead},
       "Views carry the time of their polls, `PublishedGroupView::At` "
       "(server/groupviews.h); the holder checks again",
       "", ""},
      {Fault::HolderPaused, Step::Queue, Covered{&QueuedWrite},
       "`StatementRunner::write` asks `WritePermission::mayStart` again after "
       "the queue (server/statementrunner.cpp): the deadline of the permission "
       "has passed",
       "W1", ""},
      {Fault::HolderPaused, Step::Run, Covered{&RepeatedAttempt},
       "`PostgresConnection::run` with a deadline "
       "(postgres/postgresconnection.cpp), `ConnectionPool` "
       "(scheduling/connectionpool.cpp)",
       "P1, G1", ""},
      {Fault::HolderPaused, Step::Acknowledge, Covered{&AcknowledgedWrite},
       "`WritePermission::decide` (failover/writepermission.cpp), "
       "`StatementRunner::acknowledge` (server/statementrunner.cpp)",
       "W1, W3, W4, E4", "network: paused_daemon"},
      {Fault::HolderPaused, Step::Answer, Covered{&RepeatedAttempt},
       "`nextStep` (retry/retrytable.cpp), `RetryBudget` "
       "(retry/retrybudget.cpp), `finalFailure` (server/entry.cpp)",
       "T1", ""},
      {Fault::HolderPaused, Step::ConfigurationChange,
       Covered{&DistributedChange},
       "`ConfigurationState` (distribution/configurationstate.cpp), "
       "`ConfigurationStore` (distribution/configurationstore.cpp)",
       "C5", ""},
      {Fault::HolderPaused, Step::KeyWithdrawal, Covered{&WithdrawnKey},
       "`Administrator::withdrawKey` (administration/administrator.cpp), "
       "`Freshness` (distribution/freshness.cpp)",
       "C5, C7", "network: paused_daemon"},
      {Fault::HolderPaused, Step::Claim, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Claiming (failover/primaryreplacement.cpp): "
       "the own claim's deadline has passed",
       "E3, E4", ""},
      {Fault::HolderPaused, Step::Fence, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Fencing (failover/primaryreplacement.cpp), "
       "`PromotionDriver::fence` (server/promotiondriver.cpp): other control "
       "sessions are ended first",
       "E3", ""},
      {Fault::HolderPaused, Step::Wait, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` steps Waiting and Checking "
       "(failover/primaryreplacement.cpp)",
       "E3", ""},
      {Fault::HolderPaused, Step::Change, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Changing: conditional update "
       "(failover/primaryreplacement.cpp)",
       "E3", ""},
      {Fault::HolderPaused, Step::Promote, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): any watcher completes",
       "E3, E4", ""},
      {Fault::HolderPaused, Step::Point, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): under a fresh read of "
       "the status, over a session opened before it",
       "E3, E4", ""},
      {Fault::HolderPaused, Step::HostSetChange, Covered{&ChangedHostSet},
       "An agreement to remove a host holds until the epoch changes, "
       "`Membership::onRemovalRequest` (membership/membership.cpp)",
       "N1, N5", ""},
      {Fault::HolderPaused, Step::Drain, Covered{&DrainedUpstream},
       "`ConnectionPool::setLeaving` (scheduling/connectionpool.cpp), "
       "`planAttempts` (consistency/attemptplan.cpp): a paused holder runs "
       "nothing, and learns the configuration when it wakes",
       "", ""},
      {Fault::HolderPaused, Step::PlannedStop, Covered{&StoppedHost},
       "`Daemon::stop` (server/daemon.cpp), `HttpServer::closeIdle` "
       "(http/httpserver.cpp), `Membership::leave` "
       "(membership/membership.cpp): a paused host does not stop; it is "
       "removed by the others",
       "", ""},
  };
}

} // namespace lavenderdale::matrix
