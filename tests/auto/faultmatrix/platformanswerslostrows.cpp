#include "row.h"

namespace lavenderdale::matrix {

Rows platformAnswersLostRows() {
  return {
      {Fault::PlatformAnswersLost, Step::Admission,
       Unaffected{"decided from this host's memory"}, "", "", ""},
      {Fault::PlatformAnswersLost, Step::Rate,
       Unaffected{"decided without the platform"}, "", "", ""},
      {Fault::PlatformAnswersLost, Step::Routing,
       Unaffected{"decided without the platform"}, "", "", ""},
      {Fault::PlatformAnswersLost, Step::Queue,
       Unaffected{"decided without the platform"}, "", "", ""},
      {Fault::PlatformAnswersLost, Step::Run,
       Unaffected{"decided without the platform"}, "", "", ""},
      {Fault::PlatformAnswersLost, Step::Acknowledge,
       Unaffected{"decided without the platform"}, "", "", ""},
      {Fault::PlatformAnswersLost, Step::Answer,
       Unaffected{"decided without the platform"}, "", "", ""},
      {Fault::PlatformAnswersLost, Step::ConfigurationChange,
       NotCovered{"`PlatformClient` needs sockets"},
       "`Administrator::write`, `lostRace` (administration/administrator.cpp), "
       "conditional update in `PlatformClient` (platform/platformclient.cpp)",
       "F1, F2", "network: lost_platform_answers"},
      {Fault::PlatformAnswersLost, Step::KeyWithdrawal,
       NotCovered{"`PlatformClient` needs sockets"},
       "`Administrator::withdrawKey` (administration/administrator.cpp), "
       "`Freshness` (distribution/freshness.cpp): written with "
       "`replaceIfResolved`",
       "F2", ""},
      {Fault::PlatformAnswersLost, Step::Claim, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Claiming (failover/primaryreplacement.cpp): "
       "read back, attempt ids compared",
       "E1, E2, E3", "network: lost_platform_answers"},
      {Fault::PlatformAnswersLost, Step::Fence, Unaffected{"no platform call"},
       "", "", ""},
      {Fault::PlatformAnswersLost, Step::Wait, Unaffected{"no platform call"},
       "", "", ""},
      {Fault::PlatformAnswersLost, Step::Change, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Changing: conditional update "
       "(failover/primaryreplacement.cpp): read back, term and primary "
       "compared",
       "E1, E2, E3", "network: lost_platform_answers"},
      {Fault::PlatformAnswersLost, Step::Promote, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): any watcher completes: "
       "the status is read again",
       "E1, E4", ""},
      {Fault::PlatformAnswersLost, Step::Point, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): under a fresh read of "
       "the status, over a session opened before it",
       "E1, E4", ""},
      {Fault::PlatformAnswersLost, Step::HostSetChange,
       Covered{&ChangedHostSet},
       "`MembershipService::propose` (server/membershipservice.cpp): "
       "conditional update, the answer is read back",
       "N1", ""},
      {Fault::PlatformAnswersLost, Step::Drain,
       NotCovered{"`PlatformClient` needs sockets"},
       "`Administrator::write`, `lostRace` (administration/administrator.cpp), "
       "conditional update in `PlatformClient` (platform/platformclient.cpp): "
       "the change of `state` is a catalogue change",
       "F2", ""},
      {Fault::PlatformAnswersLost, Step::PlannedStop,
       Unaffected{"a stop writes nothing itself; see host set change"}, "", "",
       ""},
  };
}

} // namespace lavenderdale::matrix
