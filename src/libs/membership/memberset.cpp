#include "memberset.h"

#include <algorithm>

namespace lavenderdale {

std::strong_ordering HostKey::operator<=>(const HostKey &Other) const {
  const int Order = this->Name.compare(Other.Name);
  return Order != 0 ? Order <=> 0 : this->Generation <=> Other.Generation;
}

const HostMember *MemberSet::find(std::string_view Name) const {
  const auto Found =
      std::ranges::find_if(this->Members, [Name](const HostMember &Member) {
        return Member.Key.Name == Name;
      });
  return Found == this->Members.end() ? nullptr : &*Found;
}

const HostMember *MemberSet::find(const HostKey &Key) const {
  const HostMember *Member = this->find(Key.Name);
  return Member && Member->Key == Key ? Member : nullptr;
}

std::vector<HostMember>
MemberSet::ofDomain(std::string_view FailureDomain) const {
  std::vector<HostMember> Found;
  std::ranges::copy_if(this->Members, std::back_inserter(Found),
                       [FailureDomain](const HostMember &Member) {
                         return Member.FailureDomain == FailureDomain;
                       });
  std::ranges::sort(Found, {}, &HostMember::Key);
  return Found;
}

std::vector<PlacementHost>
toPlacementHosts(const std::vector<HostMember> &Members) {
  std::vector<PlacementHost> Hosts;
  Hosts.reserve(Members.size());
  for (const HostMember &Member : Members)
    Hosts.push_back({Member.Key.Name, Member.FailureDomain});
  return Hosts;
}

} // namespace lavenderdale
