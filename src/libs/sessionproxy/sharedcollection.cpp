#include "sharedcollection.h"

#include "sharedmessages.h"

#include <algorithm>
#include <utility>

namespace lavenderdale {
namespace {

void appendTo(std::string &List, const std::string &Members) {
  if (Members.empty())
    return;
  if (!List.empty())
    List += ',';
  List += Members;
}

} // namespace

void SharedCollection::recordList(const StoredObjects &Listed, TimePoint Now) {
  this->replaceAll(Listed);
  this->Revision = Listed.AtRevision;
  this->answered(Now);
}

void SharedCollection::recordChanges(std::uint64_t After,
                                     const StoredObjects &Changes,
                                     TimePoint Now) {
  for (const StoredObject &Each : Changes.Objects)
    this->apply(Each);
  this->keep(After, Changes);
  this->answered(Now);
}

void SharedCollection::recordFailure(TimePoint Now) {
  this->FailedAt = Now;
  this->FailedSinceAnswer = true;
}

void SharedCollection::answered(TimePoint At) {
  this->AnsweredAt = std::max(this->AnsweredAt.value_or(At), At);
  this->FailedSinceAnswer = false;
}

Result<StoredObjects> SharedCollection::acceptList(StoredObjects Listed) {
  const auto IsOld = [this](const StoredObject &Each) {
    const auto Found = this->Objects.find(Each.Name);
    if (Found != this->Objects.end())
      return Each.Revision < Found->second.Revision;
    return !this->isNew(Each);
  };
  const bool Older = this->Known && (Listed.AtRevision < this->Revision ||
                                     std::any_of(Listed.Objects.begin(),
                                                 Listed.Objects.end(), IsOld));
  if (Older)
    return failure(ErrorKind::VersionConflict,
                   "a list of revision " + std::to_string(Listed.AtRevision) +
                       " is older than what is known of revision " +
                       std::to_string(this->Revision));
  this->replaceAll(Listed);
  this->Revision = Listed.AtRevision;
  if (Listed.AnsweredAt)
    this->answered(*Listed.AnsweredAt);
  return Listed;
}

Result<StoredObjects> SharedCollection::acceptChanges(std::uint64_t After,
                                                      StoredObjects Changes) {
  StoredObjects New = Changes;
  New.Objects.clear();
  for (const StoredObject &Each : Changes.Objects) {
    if (!this->isNew(Each))
      continue;
    this->apply(Each);
    New.Objects.push_back(Each);
  }
  if (this->Removed.size() > MaxRemoved)
    return failure(ErrorKind::VersionConflict, "too many removed objects");
  this->keep(After, New);
  if (Changes.AnsweredAt)
    this->answered(*Changes.AnsweredAt);
  return New;
}

void SharedCollection::replaceAll(const StoredObjects &Listed) {
  this->Objects.clear();
  for (const StoredObject &Each : Listed.Objects)
    this->Objects[Each.Name] = Each;
  this->Removed.clear();
  this->ListedAt = Listed.AtRevision;
  this->Batches.clear();
  this->KeptBytes = 0;
  this->KeptAfter = Listed.AtRevision;
  this->Encoded.reset();
  this->Known = true;
}

// The revision of a removal may be that of the removed object.
bool SharedCollection::isNew(const StoredObject &Change) const {
  const auto Found = this->Objects.find(Change.Name);
  if (Found != this->Objects.end())
    return Change.Removed ? Change.Revision >= Found->second.Revision
                          : Change.Revision > Found->second.Revision;
  if (Change.Removed)
    return false;
  const auto Gone = this->Removed.find(Change.Name);
  return Change.Revision >
         (Gone == this->Removed.end() ? this->ListedAt : Gone->second);
}

void SharedCollection::apply(const StoredObject &Change) {
  this->Encoded.reset();
  if (!Change.Removed) {
    this->Objects[Change.Name] = Change;
    this->Removed.erase(Change.Name);
    return;
  }
  std::uint64_t &Gone = this->Removed[Change.Name];
  Gone = std::max(Gone, Change.Revision);
  const auto Found = this->Objects.find(Change.Name);
  if (Found == this->Objects.end())
    return;
  Gone = std::max(Gone, Found->second.Revision);
  this->Objects.erase(Found);
}

void SharedCollection::keep(std::uint64_t After, const StoredObjects &Changes) {
  // Changes between what is kept and After are unknown here.
  if (After > this->Revision) {
    this->Batches.clear();
    this->KeptBytes = 0;
    this->KeptAfter = After;
  }
  this->Revision = std::max(this->Revision, Changes.AtRevision);
  if (Changes.Objects.empty())
    return;
  ChangeBatch Batch{this->Revision, {}};
  for (const StoredObject &Each : Changes.Objects)
    appendTo(Batch.Encoded, encodeSharedObject(Each));
  this->KeptBytes += Batch.Encoded.size();
  this->Batches.push_back(std::move(Batch));
  while (this->Batches.size() > MaxChanges ||
         this->KeptBytes > MaxChangeBytes) {
    this->KeptAfter = this->Batches.front().AtRevision;
    this->KeptBytes -= this->Batches.front().Encoded.size();
    this->Batches.pop_front();
  }
}

std::optional<std::string>
SharedCollection::changesAfter(std::uint64_t After) const {
  if (!this->Known || After < this->KeptAfter)
    return std::nullopt;
  std::string Members;
  for (const ChangeBatch &Each : this->Batches)
    if (Each.AtRevision > After)
      appendTo(Members, Each.Encoded);
  return Members;
}

const std::string &SharedCollection::allObjects() {
  if (!this->Encoded) {
    std::string Members;
    for (const auto &[Name, Each] : this->Objects)
      appendTo(Members, encodeSharedObject(Each));
    this->Encoded = std::move(Members);
  }
  return *this->Encoded;
}

} // namespace lavenderdale
