#include "row.h"

namespace lavenderdale::matrix {

Rows keysWithdrawnRows() {
  return {
      {Fault::KeysWithdrawn, Step::Admission, Covered{&WithdrawnKey},
       "`checkKey` (catalogue/keycheck.cpp), asked by `Entry::admit`: the key "
       "is looked up for each request, so a connection has no rights of its "
       "own",
       "", "keys: withdrawn_key_stops_on_open_connections"},
      {Fault::KeysWithdrawn, Step::Rate,
       Unaffected{"the key was judged before"}, "", "", ""},
      {Fault::KeysWithdrawn, Step::Routing,
       Unaffected{"the key was judged before"}, "", "", ""},
      {Fault::KeysWithdrawn, Step::Queue,
       Unaffected{"requests admitted before are finished"}, "", "", ""},
      {Fault::KeysWithdrawn, Step::Run, Unaffected{"as above"}, "", "", ""},
      {Fault::KeysWithdrawn, Step::Acknowledge, Unaffected{"as above"}, "", "",
       ""},
      {Fault::KeysWithdrawn, Step::Answer, Unaffected{"as above"}, "", "", ""},
      {Fault::KeysWithdrawn, Step::ConfigurationChange,
       Covered{&DistributedChange},
       "`SnapshotBuilder` (catalogue/snapshotbuilder.cpp): the withdrawn state "
       "is a newer version of the object",
       "B1", ""},
      {Fault::KeysWithdrawn, Step::KeyWithdrawal, Covered{&WithdrawnKey},
       "`Administrator::withdrawKey` (administration/administrator.cpp), "
       "`Freshness` (distribution/freshness.cpp)",
       "A2, C3, C7, O1", "keys: withdrawn_key_stops_on_open_connections"},
      {Fault::KeysWithdrawn, Step::Claim, Unaffected{"control uses no keys"},
       "", "", ""},
      {Fault::KeysWithdrawn, Step::Fence, Unaffected{"control uses no keys"},
       "", "", ""},
      {Fault::KeysWithdrawn, Step::Wait, Unaffected{"control uses no keys"}, "",
       "", ""},
      {Fault::KeysWithdrawn, Step::Change, Unaffected{"control uses no keys"},
       "", "", ""},
      {Fault::KeysWithdrawn, Step::Promote, Unaffected{"control uses no keys"},
       "", "", ""},
      {Fault::KeysWithdrawn, Step::Point, Unaffected{"control uses no keys"},
       "", "", ""},
      {Fault::KeysWithdrawn, Step::HostSetChange,
       Unaffected{"control uses no keys"}, "", "", ""},
      {Fault::KeysWithdrawn, Step::Drain, Unaffected{"control uses no keys"},
       "", "", ""},
      {Fault::KeysWithdrawn, Step::PlannedStop,
       Unaffected{"a stopping host judges each request as before"}, "", "", ""},
  };
}

} // namespace lavenderdale::matrix
