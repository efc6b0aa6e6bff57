#include "row.h"

namespace lavenderdale::matrix {

Rows operatorsRaceRows() {
  return {
      {Fault::OperatorsRace, Step::Admission,
       Unaffected{"decided from this host's memory"}, "", "", ""},
      {Fault::OperatorsRace, Step::Rate,
       Unaffected{"a changed limit comes as one new version"}, "", "", ""},
      {Fault::OperatorsRace, Step::Routing, Unaffected{"as above"}, "", "", ""},
      {Fault::OperatorsRace, Step::Queue, Unaffected{"as above"}, "", "", ""},
      {Fault::OperatorsRace, Step::Run, Unaffected{"as above"}, "", "", ""},
      {Fault::OperatorsRace, Step::Acknowledge, Unaffected{"as above"}, "", "",
       ""},
      {Fault::OperatorsRace, Step::Answer, Unaffected{"as above"}, "", "", ""},
      {Fault::OperatorsRace, Step::ConfigurationChange,
       NotCovered{"`PlatformClient` needs sockets"},
       "`Administrator::write`, `lostRace` (administration/administrator.cpp), "
       "conditional update in `PlatformClient` (platform/platformclient.cpp): "
       "the loser sees both versions",
       "A1, F1", "platform: operators_race"},
      {Fault::OperatorsRace, Step::KeyWithdrawal,
       NotCovered{"`PlatformClient` needs sockets"},
       "`Administrator::write`, `lostRace` (administration/administrator.cpp), "
       "conditional update in `PlatformClient` (platform/platformclient.cpp)",
       "A1, F1", ""},
      {Fault::OperatorsRace, Step::Claim, Covered{&ReplacedPrimary},
       "`SnapshotBuilder` (catalogue/snapshotbuilder.cpp): spec and status of "
       "a group are judged apart; the version is shared, so one of two writers "
       "reads again",
       "B2", ""},
      {Fault::OperatorsRace, Step::Fence, Unaffected{"no platform call"}, "",
       "", ""},
      {Fault::OperatorsRace, Step::Wait, Unaffected{"no platform call"}, "", "",
       ""},
      {Fault::OperatorsRace, Step::Change, Covered{&ReplacedPrimary},
       "`PrimaryReplacement` step Changing: conditional update "
       "(failover/primaryreplacement.cpp): a conflict is read back; holders "
       "learn of members at once",
       "", ""},
      {Fault::OperatorsRace, Step::Promote, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): any watcher completes: "
       "`Promotion::setMembers` ends an attempt when members change "
       "(failover/promotion.cpp)",
       "", ""},
      {Fault::OperatorsRace, Step::Point, Covered{&ReplacedPrimary},
       "`TermCompletion` (failover/termcompletion.cpp): under a fresh read of "
       "the status, over a session opened before it: as above",
       "", ""},
      {Fault::OperatorsRace, Step::HostSetChange,
       NotCovered{"`lavenderctl` does not write it; two proposals race in N1"},
       "`MembershipService::propose` (server/membershipservice.cpp): "
       "conditional update, the answer is read back: operators cannot write it "
       "with `lavenderctl`",
       "N1", ""},
      {Fault::OperatorsRace, Step::Drain,
       NotCovered{"`PlatformClient` needs sockets"},
       "`Administrator::write`, `lostRace` (administration/administrator.cpp), "
       "conditional update in `PlatformClient` (platform/platformclient.cpp)",
       "A1, F1", ""},
      {Fault::OperatorsRace, Step::PlannedStop,
       Unaffected{"a stop is not a change of the catalogue"}, "", "", ""},
  };
}

} // namespace lavenderdale::matrix
