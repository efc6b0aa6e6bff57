#pragma once

#include "base/boottime.h"
#include "hostreport.h"
#include "http/endpoint.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// The hosts of the fleet that this host knows: those registered in the object
/// store, and those that have sent reports.
class FleetView {
public:
  /// A registered host that sends no report for this long is considered
  /// removed. Longer than any network outage that operators plan for.
  static constexpr std::chrono::seconds SilenceLimit{20};

  /// A host's registration in the object store.
  struct Registration {
    Endpoint Address;
    std::string FailureDomain; ///< Empty if an older version registered it.
    double Capacity = 0;       ///< In cores; 0 if not declared.
    std::string Internal = {}; ///< HTTP address for other hosts; may be empty.
  };

  struct Host {
    Endpoint Address;
    std::string FailureDomain;
    double Capacity = 0;            ///< In cores; 0 if not declared.
    std::string Internal;           ///< As registered; may be empty.
    bool Registered = false;        ///< In the object store.
    std::optional<HostReport> Last; ///< The latest report.
    BootTime HeardAt{};             ///< When the latest report arrived.
    BootTime KnownSince{};
  };

  explicit FleetView(std::string OwnName) : OwnName(std::move(OwnName)) {}

  /// Replaces the registered hosts.
  void setRegistered(const std::map<std::string, Registration> &Hosts,
                     BootTime Now);

  /// Records a report of another host.
  /// \returns false if the report is ignored, because it is this host's own or
  ///          not newer than the latest one.
  bool recordReport(const HostReport &Report, BootTime Now);

  /// Number of hosts that may be serving, this one included: those with a
  /// recent report that are not leaving, and registered ones until
  /// SilenceLimit.
  std::size_t size(BootTime Now) const;

  /// Hosts with a recent report, by name.
  std::vector<const Host *> recentlyHeard(BootTime Now) const;

  /// Number of hosts, this one included, whose report arrived so lately that
  /// this host cannot be cut off from them: about one interval ago. This host's
  /// last report to a host that was heard longer ago may be as old.
  std::size_t inContact(BootTime Now) const;

  /// The same, with the registered hosts that had no time to report yet.
  std::size_t assumedInContact(BootTime Now) const;

  /// Number of hosts, this one included, that were heard since \p Since.
  std::size_t heardSince(BootTime Since) const;

  /// Age up to which a report shows that this host is in contact.
  std::chrono::milliseconds contactAge() const {
    return contactLifetime(this->Hosts.size() + 1);
  }

  /// The other hosts to which work can be given: those with a recent report
  /// that are not leaving, and registered ones that had no time to report yet.
  ///
  /// Load pattern: all hosts are restarted at the same moment. Their
  /// registrations are still there, so all of them agree on the holders of each
  /// upstream with the first list of hosts, instead of opening connections over
  /// other holders with each report that arrives.
  std::map<std::string, const Host *> present(BootTime Now) const;

  /// Index of this host, by name, among itself and the hosts of present().
  std::size_t rank(BootTime Now) const;

  /// Names of registered hosts that have sent no report for SilenceLimit.
  std::vector<std::string> silentHosts(BootTime Now) const;

  const std::map<std::string, Host> &hosts() const { return this->Hosts; }

  /// Number that changes whenever present() may have changed.
  std::uint64_t presentRevision(BootTime Now) const;

private:
  /// Results of a walk over all hosts. They stay the same until ValidUntil,
  /// unless a report or the registrations change a host's state.
  struct Counts {
    std::size_t Size = 0;
    std::size_t InContact = 0;
    std::size_t AssumedInContact = 0;
    std::size_t Rank = 0;
    std::uint64_t Revision = 0;
    BootTime CountedAt{};
    BootTime ValidUntil{};
  };

  const Counts &counts(BootTime Now) const;
  Counts count(BootTime Now) const;
  bool mayBeServing(const Host &Each, BootTime Now) const;
  bool isInContact(const Host &Each, BootTime Now) const;
  /// Whether all counts include \p Each, and a report only confirms that.
  bool isCounted(const Host &Each, BootTime Now) const;
  bool isRecentlyHeard(const Host &Each, BootTime Now) const;
  bool isPresent(const Host &Each, BootTime Now) const;

  /// Moves \p Each to the end of HeardTimes.
  void recordHeard(Host &Each, BootTime Now);
  void updateHeardTimes();

  const std::string OwnName;
  std::map<std::string, Host> Hosts; ///< Without this host.
  /// Host::HeardAt of the hosts that have reported, in ascending order. An
  /// operation may need heardSince().
  std::vector<BootTime> HeardTimes;
  /// Cached, because each operation and each report needs the counts.
  mutable std::optional<Counts> Cached;
  mutable std::uint64_t Revision = 0;
};

} // namespace lavenderdale
