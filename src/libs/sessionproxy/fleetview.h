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

/// The hosts of the fleet as far as this host knows them: those registered in
/// the object store and those that sent reports.
class FleetView {
public:
  /// A registered host that stays silent for this long is taken as gone: no
  /// cut that operators plan for lasts longer.
  static constexpr std::chrono::seconds GoneAfter{20};

  struct Host {
    Endpoint Address;
    bool Registered = false;
    std::optional<HostReport> Last;
    BootTime HeardAt{};
    BootTime KnownSince{};
  };

  explicit FleetView(std::string OwnName) : OwnName(std::move(OwnName)) {}

  /// Replaces the registered hosts.
  void setRegistered(const std::map<std::string, Endpoint> &Hosts,
                     BootTime Now);

  /// Takes over a report. \returns false if it is older than the last one.
  bool heard(const HostReport &Report, BootTime Now);

  /// Number of hosts that may be serving, this one included.
  std::size_t size(BootTime Now) const;

  /// Hosts with a recent report, by name.
  std::vector<const Host *> fresh(BootTime Now) const;

  /// Position of this host among the fresh ones, by name.
  std::size_t rank(BootTime Now) const;

  /// Registered hosts that were silent for GoneAfter.
  std::vector<std::string> gone(BootTime Now) const;

  const std::map<std::string, Host> &hosts() const { return this->Hosts; }

private:
  bool isFresh(const Host &Each, BootTime Now) const;

  const std::string OwnName;
  std::map<std::string, Host> Hosts; ///< Without this one.
};

} // namespace lavenderdale
