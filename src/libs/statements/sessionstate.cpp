#include "sessionstate.h"

#include "base/softassert.h"

#include <utility>

namespace lavenderdale {

Result<void> SessionState::setValue(const std::string &Name,
                                    const std::string &Value) {
  if (this->Values.size() >= MaxValues && !this->Values.count(Name))
    return failure(ErrorKind::BadRequest, "the session has too many values");
  const auto [Entry, Added] = this->Values.try_emplace(Name);
  if (Added)
    this->Bytes += Name.size() + EntryBytes;
  this->Bytes += Value.size() - Entry->second.size();
  Entry->second = Value;
  return success();
}

Result<void> SessionState::prepare(const std::string &Name,
                                   PreparedStatement Prepared) {
  if (this->Prepared.size() >= MaxPrepared && !this->Prepared.count(Name))
    return failure(ErrorKind::BadRequest,
                   "the session has too many prepared statements");
  const auto [Entry, Added] = this->Prepared.try_emplace(Name);
  if (Added)
    this->Bytes += Name.size() + EntryBytes;
  this->Bytes += Prepared.Definition.size() - Entry->second.Definition.size();
  Entry->second = std::move(Prepared);
  return success();
}

Result<void> SessionState::deallocate(const std::string &Name) {
  const auto Found = this->Prepared.find(Name);
  if (Found == this->Prepared.end())
    return failure(ErrorKind::UnknownStatement, "no statement " + Name);
  this->Bytes -= Name.size() + EntryBytes + Found->second.Definition.size();
  this->Prepared.erase(Found);
  return success();
}

const PreparedStatement *
SessionState::findPrepared(const std::string &Name) const {
  const auto Found = this->Prepared.find(Name);
  return Found == this->Prepared.end() ? nullptr : &Found->second;
}

Result<void> SessionState::begin(bool ReadOnly) {
  if (this->inTransaction())
    return failure(ErrorKind::BadRequest, "a transaction is already open");
  this->Phase = TransactionPhase::Pending;
  this->ReadOnly = ReadOnly;
  return success();
}

void SessionState::markTransactionOpen() {
  if (softAssert(this->Phase == TransactionPhase::Pending,
                 "only a pending transaction can be opened"))
    this->Phase = TransactionPhase::Open;
}

void SessionState::failTransaction() {
  if (softAssert(this->inTransaction(),
                 "only an open or pending transaction can fail"))
    this->Phase = TransactionPhase::Failed;
}

void SessionState::endTransaction() {
  this->Phase = TransactionPhase::None;
  this->ReadOnly = false;
  this->Written = false;
}

void SessionState::recordCommit(const Position &At) {
  if (!this->LastCommit || *this->LastCommit < At)
    this->LastCommit = At;
}

} // namespace lavenderdale
