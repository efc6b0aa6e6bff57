#include "snapshotbuilder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lavenderdale {

/// What is known of one object.
struct SnapshotBuilder::Entry {
  std::uint64_t Version = 0;
  bool Deleted = false;
  std::shared_ptr<const CatalogueObject> Newest;
  std::shared_ptr<const CatalogueObject> InForce;
  /// Parsed spec and status in force, of the type that belongs to the kind.
  std::shared_ptr<const void> Spec;
  std::shared_ptr<const GroupStatus> Status;
  /// Version whose spec was last checked, and what was wrong with it.
  std::uint64_t CheckedVersion = 0;
  std::string SpecFault;
  std::shared_ptr<const void> CheckedSpec;

  template <typename T> std::shared_ptr<const T> spec() const {
    return std::static_pointer_cast<const T>(this->Spec);
  }

  /// Parses the newest spec once for each version.
  template <typename T> std::shared_ptr<const T> checkedSpec();

  void take() {
    this->InForce = this->Newest;
    this->Spec = this->CheckedSpec;
  }

  void drop() {
    this->InForce.reset();
    this->Spec.reset();
  }
};

namespace {

Result<HostSet> parseSpec(const CatalogueObject &Object, const HostSet *) {
  return HostSet::fromJson(Object.Spec);
}

template <typename T>
Result<T> parseSpec(const CatalogueObject &Object, const T *) {
  return T::fromJson(Object.Name, Object.Spec);
}

} // namespace

template <typename T>
std::shared_ptr<const T> SnapshotBuilder::Entry::checkedSpec() {
  if (this->CheckedVersion != this->Version) {
    Result<T> Parsed =
        parseSpec(*this->Newest, static_cast<const T *>(nullptr));
    this->CheckedVersion = this->Version;
    this->SpecFault = Parsed ? std::string() : Parsed.error().Detail;
    this->CheckedSpec =
        Parsed ? std::make_shared<const T>(std::move(Parsed.value())) : nullptr;
  }
  return std::static_pointer_cast<const T>(this->CheckedSpec);
}

SnapshotBuilder::SnapshotBuilder() = default;
SnapshotBuilder::~SnapshotBuilder() = default;
SnapshotBuilder::SnapshotBuilder(SnapshotBuilder &&) noexcept = default;
SnapshotBuilder &
SnapshotBuilder::operator=(SnapshotBuilder &&) noexcept = default;

bool SnapshotBuilder::store(const CatalogueObject &Object) {
  std::unique_ptr<Entry> &Item = this->entries(Object.Kind)[Object.Name];
  if (!Item)
    Item = std::make_unique<Entry>();
  if (Object.Version <= Item->Version)
    return false;
  Item->Version = Object.Version;
  Item->Deleted = false;
  Item->Newest = std::make_shared<const CatalogueObject>(Object);
  return true;
}

bool SnapshotBuilder::apply(const CatalogueObject &Object) {
  // What the list at ListVersion did not contain was deleted by then.
  if (Object.Version <= this->ListVersion)
    return false;
  this->advance(Object.Version);
  return this->store(Object);
}

bool SnapshotBuilder::remove(ObjectKind Kind, const std::string &Name,
                             std::uint64_t DeletedAt) {
  if (DeletedAt <= this->ListVersion)
    return false;
  this->advance(DeletedAt);
  std::unique_ptr<Entry> &Item = this->entries(Kind)[Name];
  if (Item && DeletedAt <= Item->Version)
    return false;
  // The entry stays, without content, so that older versions are recognized.
  Item = std::make_unique<Entry>();
  Item->Version = DeletedAt;
  Item->Deleted = true;
  return true;
}

bool SnapshotBuilder::replaceAll(const ObjectList &List) {
  if (List.Version < this->Version)
    return false;
  std::set<std::pair<ObjectKind, std::string>> Listed;
  for (const CatalogueObject &Object : List.Objects)
    Listed.emplace(Object.Kind, Object.Name);
  for (std::size_t I = 0; I < ObjectKindCount; ++I)
    std::erase_if(this->ByKind[I], [&](const auto &Item) {
      return Item.second->Deleted ||
             !Listed.contains({static_cast<ObjectKind>(I), Item.first});
    });
  for (const CatalogueObject &Object : List.Objects)
    this->store(Object);
  this->advance(List.Version);
  this->ListVersion = List.Version;
  return true;
}

void SnapshotBuilder::advance(std::uint64_t SeenVersion) {
  this->Version = std::max(this->Version, SeenVersion);
}

void SnapshotBuilder::report(const Entry &Item, std::string Detail) {
  this->Faults.push_back({Item.Newest->Kind, Item.Newest->Name, Item.Version,
                          Item.Newest->label() + ": " + std::move(Detail)});
}

template <typename T>
void SnapshotBuilder::buildKind(ObjectKind Kind, ObjectMap<T> &Target,
                                SnapshotContents &Contents) {
  for (auto &[Name, Item] : this->entries(Kind)) {
    if (Item->Deleted)
      continue;
    if (Item->template checkedSpec<T>()) {
      Item->take();
    } else {
      this->report(*Item, Item->SpecFault);
      // The invalid version may be meant as a withdrawal.
      if (Kind == ObjectKind::Key)
        Item->drop();
    }
    if (!Item->InForce)
      continue;
    Target.emplace(Name, Item->template spec<T>());
    Contents.Objects.push_back(Item->InForce);
  }
}

/// Decides which specs and statuses of groups come into force. The names of
/// upstreams in force are claimed by their groups; a new spec is taken only if
/// no other group has claimed one of its names.
struct SnapshotBuilder::GroupPass {
  std::map<std::string, std::string> Claims; ///< Upstream name to group.
  std::map<std::string, std::string> Refusals;

  void release(const Group &Old) {
    for (const Upstream &Member : Old.Upstreams)
      this->Claims.erase(Member.Name);
  }

  void claim(const Group &Taken) {
    for (const Upstream &Member : Taken.Upstreams)
      this->Claims[Member.Name] = Taken.Name;
  }

  /// \returns the reason for which \p Candidate cannot be in force, or nothing.
  std::string refusal(const Group &Candidate, const GroupStatus *Status) const {
    for (const Upstream &Member : Candidate.Upstreams) {
      const auto Claim = this->Claims.find(Member.Name);
      if (Claim != this->Claims.end() && Claim->second != Candidate.Name)
        return "spec.upstreams: expected unique names, but \"" + Member.Name +
               "\" is an upstream of group \"" + Claim->second + "\"";
    }
    if (Status != nullptr && Candidate.upstream(Status->Primary) == nullptr)
      return "spec.upstreams: expected the primary \"" + Status->Primary +
             "\" to be a member";
    return {};
  }

  /// Takes the newest status where it is valid.
  static std::string checkStatus(Entry &Item) {
    const CatalogueObject &Newest = *Item.Newest;
    if (Newest.Status.empty()) {
      if (Item.Status)
        return "status: expected a term and a primary, found none";
      return {};
    }
    const Result<GroupStatus> Parsed = GroupStatus::fromJson(Newest.Status);
    if (!Parsed)
      return Parsed.error().Detail;
    const GroupStatus &Status = Parsed.value();
    const auto InForce = Item.spec<Group>();
    const auto Checked = Item.checkedSpec<Group>();
    const bool Known =
        (InForce && InForce->upstream(Status.Primary) != nullptr) ||
        (Checked && Checked->upstream(Status.Primary) != nullptr);
    if (!Known)
      return "status.primary: expected a member of the group, found \"" +
             Status.Primary + "\"";
    if (Item.Status && Status.Term < Item.Status->Term)
      return "status.term: expected at least " +
             std::to_string(Item.Status->Term) + ", found " +
             std::to_string(Status.Term);
    Item.Status = std::make_shared<const GroupStatus>(Status);
    return {};
  }

  /// Takes the newest spec where nothing stands against it.
  /// \returns whether a spec came into force.
  bool checkSpec(Entry &Item) {
    const auto Candidate = Item.checkedSpec<Group>();
    if (!Candidate || Candidate == Item.spec<Group>())
      return false;
    std::string Reason = this->refusal(*Candidate, Item.Status.get());
    if (!Reason.empty()) {
      this->Refusals[Candidate->Name] = std::move(Reason);
      return false;
    }
    this->Refusals.erase(Candidate->Name);
    if (const auto Old = Item.spec<Group>())
      this->release(*Old);
    this->claim(*Candidate);
    Item.Spec = Candidate;
    return true;
  }

  /// The stored form of what is in force: the parts may be of two versions.
  static void updateObject(Entry &Item) {
    CatalogueObject Object = *Item.Newest;
    Object.Spec = Item.spec<Group>()->toJson();
    Object.Status =
        Item.Status ? Item.Status->toJson() : Json::Value(Json::objectValue);
    Item.InForce = std::make_shared<const CatalogueObject>(std::move(Object));
  }
};

void SnapshotBuilder::buildGroups(SnapshotContents &Contents) {
  GroupPass Pass;
  Entries &Groups = this->entries(ObjectKind::Group);
  std::map<std::string, std::string> StatusFaults;
  for (auto &[Name, Item] : Groups) {
    if (Item->Deleted)
      continue;
    if (const auto InForce = Item->spec<Group>())
      Pass.claim(*InForce);
    StatusFaults[Name] = GroupPass::checkStatus(*Item);
  }
  // A name that moves between groups is free once the other group gave it up.
  bool Changed = true;
  while (Changed) {
    Changed = false;
    for (auto &[Name, Item] : Groups)
      if (!Item->Deleted && Pass.checkSpec(*Item))
        Changed = true;
  }
  for (auto &[Name, Item] : Groups) {
    if (Item->Deleted)
      continue;
    if (!StatusFaults[Name].empty())
      this->report(*Item, StatusFaults[Name]);
    if (!Item->SpecFault.empty())
      this->report(*Item, Item->SpecFault);
    else if (Pass.Refusals.contains(Name))
      this->report(*Item, Pass.Refusals[Name]);
    if (!Item->Spec)
      continue;
    GroupPass::updateObject(*Item);
    Contents.Groups.emplace(Name, Item->spec<Group>());
    if (Item->Status)
      Contents.GroupStatuses.emplace(Name, Item->Status);
    Contents.Objects.push_back(Item->InForce);
  }
}

namespace {

std::string routeRefusal(const Route &Candidate,
                         const SnapshotContents &Contents) {
  if (!Contents.Workspaces.contains(Candidate.Owner))
    return "spec.owner: expected an existing workspace, found \"" +
           Candidate.Owner + "\"";
  if (!Contents.Groups.contains(Candidate.Group))
    return "spec.group: expected an existing group, found \"" +
           Candidate.Group + "\"";
  return {};
}

} // namespace

void SnapshotBuilder::buildRoutes(SnapshotContents &Contents) {
  for (auto &[Name, Item] : this->entries(ObjectKind::Route)) {
    if (Item->Deleted)
      continue;
    const auto Candidate = Item->checkedSpec<Route>();
    const std::string Reason =
        Candidate ? routeRefusal(*Candidate, Contents) : Item->SpecFault;
    if (Reason.empty())
      Item->take();
    else
      this->report(*Item, Reason);
    const auto InForce = Item->spec<Route>();
    if (!InForce || !routeRefusal(*InForce, Contents).empty())
      continue;
    Contents.Routes.emplace(Name, InForce);
    Contents.Objects.push_back(Item->InForce);
  }
}

void SnapshotBuilder::buildHostSet(SnapshotContents &Contents) {
  ObjectMap<HostSet> Sets;
  this->buildKind(ObjectKind::HostSet, Sets, Contents);
  const auto Found = Sets.find(HostSet::ObjectName);
  if (Found != Sets.end())
    Contents.Hostset = Found->second;
}

void SnapshotBuilder::checkKeys(const SnapshotContents &Contents) {
  for (auto &[Id, Item] : this->entries(ObjectKind::Key)) {
    const auto InForce = Item->spec<Key>();
    if (InForce && !Contents.Workspaces.contains(InForce->Workspace))
      this->report(*Item,
                   "spec.workspace: expected an existing workspace, found \"" +
                       InForce->Workspace + "\"");
  }
}

SnapshotPointer SnapshotBuilder::build() {
  this->Faults.clear();
  SnapshotContents Contents;
  Contents.Version = this->Version;
  this->buildKind(ObjectKind::Workspace, Contents.Workspaces, Contents);
  this->buildKind(ObjectKind::Key, Contents.Keys, Contents);
  this->buildKind(ObjectKind::Host, Contents.Hosts, Contents);
  this->buildKind(ObjectKind::Secret, Contents.Secrets, Contents);
  this->buildHostSet(Contents);
  this->buildGroups(Contents);
  this->buildRoutes(Contents);
  this->checkKeys(Contents);
  return std::make_shared<const CatalogueSnapshot>(std::move(Contents));
}

} // namespace lavenderdale
