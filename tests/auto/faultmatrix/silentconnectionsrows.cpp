#include "row.h"

namespace lavenderdale::matrix {

Rows silentConnectionsRows() {
  return {
      {Fault::SilentConnections, Step::Admission,
       NotCovered{"`HttpServer` needs sockets"},
       "`HttpClient::send` (http/httpclient.cpp): a health check after 1 s "
       "idle, a deadline for each exchange; `nextStep` (retry/retrytable.cpp): "
       "callers' connections end by `idle_timeout_ms` and `header_timeout_ms`, "
       "`HttpServer` (http/httpserver.cpp)",
       "", ""},
      {Fault::SilentConnections, Step::Rate, Covered{&RateShare},
       "Calls to rate owners have deadlines of 50 ms in `RateClient`, 200 ms "
       "in `RateService` (server/rateservice.cpp)",
       "X4", ""},
      {Fault::SilentConnections, Step::Routing, Covered{&RoutedRead},
       "`GroupDirectory::refreshView` asks each watcher with a deadline of 300 "
       "ms (server/groupdirectory.cpp)",
       "", ""},
      {Fault::SilentConnections, Step::Queue, Covered{&QueuedWrite},
       "`FairQueue` (scheduling/fairqueue.cpp), `UpstreamService::wait` "
       "(server/upstreamservice.cpp): bounded by the deadline: idle "
       "connections are checked every 2 s",
       "P2", ""},
      {Fault::SilentConnections, Step::Run, Covered{&RepeatedAttempt},
       "`PostgresConnection::run` with a deadline "
       "(postgres/postgresconnection.cpp), `ConnectionPool` "
       "(scheduling/connectionpool.cpp)",
       "G1, P1",
       "failover: primary_silent_on_open_connections; repeat: "
       "never_repeat_with_a_frozen_database; network: silent_connections"},
      {Fault::SilentConnections, Step::Acknowledge, Covered{&AcknowledgedWrite},
       "`MemberMonitor::pollOnce` replaces its connection after 300 ms "
       "(server/membermonitor.cpp)",
       "", "failover: primary_silent_on_open_connections"},
      {Fault::SilentConnections, Step::Answer, Covered{&RepeatedAttempt},
       "`HttpClient::send` (http/httpclient.cpp): a health check after 1 s "
       "idle, a deadline for each exchange; `nextStep` (retry/retrytable.cpp)",
       "H1", ""},
      {Fault::SilentConnections, Step::ConfigurationChange,
       Covered{&DistributedChange},
       "`PlatformClient` (platform/platformclient.cpp) and pulls with "
       "deadlines, `ConfigurationService::pull` "
       "(server/configurationservice.cpp)",
       "F3, C5", "network: silent_connections"},
      {Fault::SilentConnections, Step::KeyWithdrawal, Covered{&WithdrawnKey},
       "`Administrator::withdrawKey` (administration/administrator.cpp), "
       "`Freshness` (distribution/freshness.cpp)",
       "F3, C3", ""},
      {Fault::SilentConnections, Step::Claim, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Claiming (failover/primaryreplacement.cpp)",
       "F3, E4", ""},
      {Fault::SilentConnections, Step::Fence, Covered{&ReplacedPrimary},
       "Control sessions are opened anew for each command, "
       "`PromotionDriver::connect` (server/promotiondriver.cpp)",
       "E4", ""},
      {Fault::SilentConnections, Step::Wait, Covered{&ReplacedPrimary},
       "`MemberMonitor::pollNow` with a deadline of 500 ms "
       "(server/membermonitor.cpp)",
       "E4", ""},
      {Fault::SilentConnections, Step::Change, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Changing: conditional update "
       "(failover/primaryreplacement.cpp)",
       "F3, E4", ""},
      {Fault::SilentConnections, Step::Promote, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): any watcher completes",
       "E4", ""},
      {Fault::SilentConnections, Step::Point, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): under a fresh read of "
       "the status, over a session opened before it",
       "E4", ""},
      {Fault::SilentConnections, Step::HostSetChange, Covered{&ChangedHostSet},
       "`MembershipService::propose` (server/membershipservice.cpp): "
       "conditional update, the answer is read back: calls have deadlines of 1 "
       "s",
       "N1", ""},
      {Fault::SilentConnections, Step::Drain, Covered{&DrainedUpstream},
       "`ConnectionPool::setLeaving` (scheduling/connectionpool.cpp), "
       "`planAttempts` (consistency/attemptplan.cpp): the connection ends by "
       "its deadline",
       "P4", ""},
      {Fault::SilentConnections, Step::PlannedStop, Covered{&StoppedHost},
       "`Daemon::stop` (server/daemon.cpp), `HttpServer::closeIdle` "
       "(http/httpserver.cpp), `Membership::leave` "
       "(membership/membership.cpp): silent connections are not waited for "
       "longer than `stop_limit_ms`",
       "", ""},
  };
}

} // namespace lavenderdale::matrix
