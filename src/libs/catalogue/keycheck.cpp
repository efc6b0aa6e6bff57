#include "keycheck.h"

#include "keytext.h"

namespace lavenderdale {

Result<const Workspace *>
checkKey(const CatalogueSnapshot &Snapshot, const Route &Target,
         const std::optional<std::string> &Presented) {
  const Workspace *Owner = Snapshot.workspace(Target.Owner);
  if (!Owner)
    return failure(ErrorKind::Unavailable, "the route's owner is missing");
  if (Target.Open)
    return Owner;
  if (!Presented)
    return failure(ErrorKind::MissingKey,
                   "Authorization: expected 'Bearer KEY'");
  const std::optional<KeyText> Parts = parseKeyText(*Presented);
  const Key *Known = Parts ? Snapshot.key(Parts->Id) : nullptr;
  if (!Known || !secretMatches(Parts->Secret, Known->Hash))
    return failure(ErrorKind::BadKey, "not a key of this system");
  if (Known->State == KeyState::Withdrawn)
    return failure(ErrorKind::KeyWithdrawn, "key " + Known->Id);
  if (Known->Workspace != Owner->Name)
    return failure(ErrorKind::Forbidden, "workspace " + Known->Workspace +
                                             " does not own route " +
                                             Target.Name);
  return Owner;
}

} // namespace lavenderdale
