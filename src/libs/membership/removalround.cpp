#include "removalround.h"

#include "ownerlease.h"

#include <algorithm>

namespace lavenderdale {
namespace {

constexpr std::chrono::milliseconds RequestInterval{500};
constexpr std::chrono::milliseconds AnswerTimeout{600};

} // namespace

void RemovalRound::reset() { *this = RemovalRound(); }

void RemovalRound::recordAnswer(const RemovalAnswer &Answer) {
  this->UnansweredSince.erase(Answer.Sender);
  this->AgreedBy[Answer.Sender].insert(Answer.Agreed.begin(),
                                       Answer.Agreed.end());
}

bool RemovalRound::hasAgreed(const HostKey &Member) const {
  const auto Found = this->AgreedBy.find(Member);
  return Found != this->AgreedBy.end() &&
         std::ranges::includes(Found->second, this->Current);
}

bool RemovalRound::isSilent(const HostKey &Member, TimePoint Now) const {
  const auto Found = this->UnansweredSince.find(Member);
  return Found != this->UnansweredSince.end() &&
         Now - Found->second >= AnswerTimeout;
}

std::vector<HostMember>
RemovalRound::update(std::set<HostKey> Suspects,
                     const std::vector<HostMember> &Staying, TimePoint Now) {
  for (const HostMember &Member : Staying)
    if (!Suspects.empty() && this->isSilent(Member.Key, Now))
      Suspects.insert(Member.Key);
  if (Suspects != this->Current) {
    this->Current = std::move(Suspects);
    this->LastRequested.reset();
    this->CompleteSince.reset();
  }
  std::vector<HostMember> Missing;
  if (this->Current.empty()) {
    this->UnansweredSince.clear();
    return Missing;
  }
  for (const HostMember &Member : Staying)
    if (!this->Current.contains(Member.Key) && !this->hasAgreed(Member.Key))
      Missing.push_back(Member);
  if (Missing.empty() && !this->CompleteSince)
    this->CompleteSince = Now;
  if (this->LastRequested && Now - *this->LastRequested < RequestInterval)
    return {};
  this->LastRequested = Now;
  for (const HostMember &Member : Missing)
    this->UnansweredSince.try_emplace(Member.Key, Now);
  return Missing;
}

bool RemovalRound::isComplete(TimePoint Now) const {
  if (!this->CompleteSince || this->Current.empty())
    return false;
  return this->Current.size() == 1 ||
         Now - *this->CompleteSince >= OwnerLease::ContactWindow;
}

} // namespace lavenderdale
