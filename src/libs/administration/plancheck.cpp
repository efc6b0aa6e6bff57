#include "plancheck.h"

#include "base/strictjson.h"
#include "catalogue/snapshotbuilder.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace lavenderdale {
namespace {

bool isForOperators(ObjectKind Kind) {
  return Kind == ObjectKind::Workspace || Kind == ObjectKind::Route ||
         Kind == ObjectKind::Group;
}

std::set<std::string> faultsOf(SnapshotBuilder &Builder) {
  Builder.build();
  std::set<std::string> Faults;
  for (const CatalogueFault &Fault : Builder.faults())
    Faults.insert(Fault.Detail);
  return Faults;
}

/// The shortest digits that give the same number: 1.9, not 1.8999999999999999.
std::string shortestText(double Number) {
  std::array<char, 32> Digits{};
  const auto Written =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Number);
  return {Digits.data(), Written.ptr};
}

Result<void> checkBurst(const CatalogueObject &Object, double Burst,
                        const char *Path, std::size_t Domains) {
  if (Burst >= static_cast<double>(Domains))
    return success();
  return failure(
      ErrorKind::InvalidCatalogue,
      Object.label() + ": " + Path + ": expected at least " +
          std::to_string(Domains) + ", found " + shortestText(Burst) +
          "; each of the " + std::to_string(Domains) +
          " failure domains of the hosts gets an equal share of the burst, "
          "and a share below 1 grants nothing");
}

const CatalogueObject *findStored(const ObjectList &Stored,
                                  const CatalogueObject &Object) {
  const auto Found = std::find_if(Stored.Objects.begin(), Stored.Objects.end(),
                                  [&](const CatalogueObject &Item) {
                                    return Item.Kind == Object.Kind &&
                                           Item.Name == Object.Name;
                                  });
  return Found == Stored.Objects.end() ? nullptr : &*Found;
}

/// Number of the upstreams of \p Of that \p In does not have.
std::size_t countMissing(const Group &Of, const Group &In) {
  return static_cast<std::size_t>(std::count_if(
      Of.Upstreams.begin(), Of.Upstreams.end(),
      [&](const Upstream &Each) { return In.upstream(Each.Name) == nullptr; }));
}

} // namespace

Json::Value shownObject(CatalogueObject Object) {
  if (Object.Kind == ObjectKind::Secret && Object.Spec.isMember("hex"))
    Object.Spec["hex"] = "(not shown)";
  return Object.toJson();
}

Result<void> checkKinds(const std::vector<CatalogueObject> &Desired) {
  for (const CatalogueObject &Object : Desired)
    if (!isForOperators(Object.Kind))
      return failure(ErrorKind::InvalidCatalogue,
                     Object.label() +
                         ": expected a workspace, route or group; keys are "
                         "changed with \"lavenderctl keys\"");
  return success();
}

Result<void> checkVersions(const ObjectList &Stored,
                           const std::vector<CatalogueObject> &Desired) {
  for (const CatalogueObject &Object : Desired) {
    if (Object.Version == 0)
      continue;
    const CatalogueObject *Found = findStored(Stored, Object);
    const std::uint64_t Version = Found ? Found->Version : 0;
    if (Version != Object.Version)
      return failure(
          ErrorKind::VersionConflict,
          Object.label() + ": the change is for version " +
              std::to_string(Object.Version) + ", stored is " +
              (Version == 0 ? "none" : "version " + std::to_string(Version)) +
              "; nothing was written\nwanted: " +
              writeCompactJson(shownObject(Object)) + "\nstored: " +
              (Version == 0 ? "none" : writeCompactJson(shownObject(*Found))));
  }
  return success();
}

Result<void> checkBursts(const ObjectList &Stored,
                         const std::vector<CatalogueObject> &Desired) {
  std::set<std::string> Domains;
  for (const CatalogueObject &Object : Stored.Objects)
    if (Object.Kind == ObjectKind::Host)
      if (const auto Listed = Host::fromJson(Object.Name, Object.Spec))
        Domains.insert(Listed.value().FailureDomain);
  for (const CatalogueObject &Object : Desired) {
    if (Object.Kind == ObjectKind::Workspace) {
      BOOST_OUTCOME_TRY(const Workspace Item,
                        Workspace::fromJson(Object.Name, Object.Spec));
      BOOST_OUTCOME_TRYV(
          checkBurst(Object, Item.Burst, "spec.burst", Domains.size()));
    } else if (Object.Kind == ObjectKind::Route) {
      BOOST_OUTCOME_TRY(const Route Item,
                        Route::fromJson(Object.Name, Object.Spec));
      if (Item.Limits.Burst) {
        BOOST_OUTCOME_TRYV(checkBurst(Object, *Item.Limits.Burst,
                                      "spec.limits.burst", Domains.size()));
      }
    }
  }
  return success();
}

Result<void> checkMembers(const ObjectList &Stored,
                          const std::vector<CatalogueObject> &Desired) {
  for (const CatalogueObject &Object : Desired) {
    if (Object.Kind != ObjectKind::Group)
      continue;
    const CatalogueObject *Found = findStored(Stored, Object);
    if (!Found || Found->Status.empty())
      continue;
    BOOST_OUTCOME_TRY(const Group Before,
                      Group::fromJson(Found->Name, Found->Spec));
    BOOST_OUTCOME_TRY(const Group After,
                      Group::fromJson(Object.Name, Object.Spec));
    const std::size_t Changed =
        countMissing(Before, After) + countMissing(After, Before);
    if (Changed > 1)
      return failure(ErrorKind::InvalidCatalogue,
                     Object.label() +
                         ": spec.upstreams: expected at most one "
                         "added or removed, found " +
                         std::to_string(Changed) +
                         "; change one, wait until it is in force on all "
                         "hosts, then the next");
  }
  return success();
}

Result<void> checkTogether(const ObjectList &Stored,
                           const std::vector<Change> &Steps) {
  SnapshotBuilder Builder;
  Builder.replaceAll(Stored);
  const std::set<std::string> Before = faultsOf(Builder);
  for (Change Step : Steps) {
    Step.Object.Version = Builder.version() + 1;
    if (Step.Action == ChangeAction::Delete)
      Builder.remove(Step.Object.Kind, Step.Object.Name, Step.Object.Version);
    else
      Builder.apply(Step.Object);
  }
  for (const std::string &Fault : faultsOf(Builder))
    if (!Before.contains(Fault))
      return failure(ErrorKind::InvalidCatalogue, Fault);
  return success();
}

} // namespace lavenderdale
