#pragma once

#include "catalogue/group.h"
#include "groupservice.h"
#include "http/endpoint.h"
#include "placement/placement.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale {

/// The hosts that take part in placement, and their peer addresses. Immutable:
/// a change of membership creates a new view. Thread-safe.
class FleetView {
public:
  struct Member {
    std::string Name;
    std::string FailureDomain;
    Endpoint Peer;
  };

  FleetView(std::uint64_t Epoch, std::vector<Member> Members);

  std::uint64_t epoch() const { return this->Epoch; }
  const std::vector<PlacementHost> &hosts() const { return this->Hosts; }
  const std::vector<std::string> &domains() const { return this->Domains; }

  /// \returns nullptr for an unknown host.
  const Member *find(const std::string &Name) const;

  /// \returns the hosts that hold connections to \p Target, in order of
  /// preference.
  std::vector<std::string> holders(const Upstream &Target) const;

  /// \returns the duties of \p Host for a group.
  GroupDuties dutiesOf(const std::string &Host, const Group &Members) const;

private:
  std::uint64_t Epoch;
  std::map<std::string, Member> Members;
  std::vector<PlacementHost> Hosts;
  std::vector<std::string> Domains;

  // Placement hashes every host, so its results are cached in the view.
  mutable std::mutex Lock;
  // The key is the upstream's name and failure domain.
  mutable std::map<std::pair<std::string, std::string>,
                   std::vector<std::string>>
      HoldersByUpstream;
};

using FleetPointer = std::shared_ptr<const FleetView>;

} // namespace lavenderdale
