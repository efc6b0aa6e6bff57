#include "row.h"

namespace lavenderdale::matrix {

Rows platformDownRows() {
  return {
      {Fault::PlatformDown, Step::Admission, Covered{&WithdrawnKey},
       "`Freshness::mayAcceptKeys` (distribution/freshness.cpp), asked by "
       "`Entry::admit`",
       "C2, C4", "platform: platform_refuses_connections, platform_is_silent"},
      {Fault::PlatformDown, Step::Rate, Covered{&RateShare},
       "Shares and leases need no platform: `OwnerLease` "
       "(membership/ownerlease.cpp)",
       "N1, N4", ""},
      {Fault::PlatformDown, Step::Routing,
       Unaffected{"the view of a group comes from polls"}, "", "", ""},
      {Fault::PlatformDown, Step::Queue, Unaffected{"queues need no platform"},
       "", "", ""},
      {Fault::PlatformDown, Step::Run,
       Unaffected{"statements need no platform"}, "", "",
       "platform: platform_refuses_connections, platform_is_silent"},
      {Fault::PlatformDown, Step::Acknowledge,
       Unaffected{"permission comes from replicas"}, "", "",
       "platform: platform_refuses_connections, platform_is_silent"},
      {Fault::PlatformDown, Step::Answer,
       Unaffected{"answers need no platform"}, "", "", ""},
      {Fault::PlatformDown, Step::ConfigurationChange,
       Covered{&DistributedChange},
       "`Administrator::write`, `lostRace` (administration/administrator.cpp), "
       "conditional update in `PlatformClient` (platform/platformclient.cpp): "
       "exit code 5; nothing is in force that is not stored",
       "A3, F3", ""},
      {Fault::PlatformDown, Step::KeyWithdrawal, Covered{&WithdrawnKey},
       "`Administrator::withdrawKey` (administration/administrator.cpp), "
       "`Freshness` (distribution/freshness.cpp): cannot be stored; if the "
       "platform fails for all after it stored a withdrawal that no host has "
       "learned, the key works until it is back",
       "A3, C2", ""},
      {Fault::PlatformDown, Step::Claim, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Claiming (failover/primaryreplacement.cpp): "
       "waits, `platform-failed`",
       "", ""},
      {Fault::PlatformDown, Step::Fence, Unaffected{"needs no platform"}, "",
       "", ""},
      {Fault::PlatformDown, Step::Wait,
       Unaffected{"needs no platform; the claim ends after 1.5 s"}, "", "", ""},
      {Fault::PlatformDown, Step::Change, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Changing: conditional update "
       "(failover/primaryreplacement.cpp): no change without a stored update",
       "", ""},
      {Fault::PlatformDown, Step::Promote, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): any watcher completes: "
       "commands follow a fresh read of the status",
       "", ""},
      {Fault::PlatformDown, Step::Point, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): under a fresh read of "
       "the status, over a session opened before it: as above",
       "", ""},
      {Fault::PlatformDown, Step::HostSetChange, Covered{&ChangedHostSet},
       "`MembershipService::propose` (server/membershipservice.cpp): "
       "conditional update, the answer is read back: no change; dead hosts "
       "stay members until it is back",
       "N4", ""},
      {Fault::PlatformDown, Step::Drain,
       Unaffected{"cannot be ordered; one that is in force goes on"}, "", "",
       ""},
      {Fault::PlatformDown, Step::PlannedStop, Covered{&StoppedHost},
       "`Daemon::stop` (server/daemon.cpp), `HttpServer::closeIdle` "
       "(http/httpserver.cpp), `Membership::leave` "
       "(membership/membership.cpp): peers are told without the platform; the "
       "host set changes later",
       "", ""},
  };
}

} // namespace lavenderdale::matrix
