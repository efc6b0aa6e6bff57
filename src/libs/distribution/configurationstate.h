#pragma once

#include "configurationstore.h"
#include "freshness.h"
#include "placement/placement.h"

#include <random>

namespace lavenderdale {

/// Decides where a host gets its configuration from, and whether it may trust
/// it. Two relays per failure domain watch the platform; the others keep one
/// pending pull at a relay. The caller ticks it about every 100 ms and carries
/// out the actions. Not synchronized; the caller has one lock for it.
class ConfigurationState {
public:
  static constexpr std::chrono::seconds PullWait{20};
  /// A gap between ticks from which on the process counts as paused. Ten ticks
  /// are not lost on a busy machine, and a shorter pause is a small part of
  /// Freshness::KeysValid.
  static constexpr std::chrono::milliseconds PauseSuspectedAfter{1000};

  ConfigurationState(std::string Host, std::string FailureDomain,
                     std::mt19937_64 Random);

  /// \param Live the hosts that can be asked, this one included if it is a
  ///             member.
  /// \param Domains all failure domains of the fleet.
  void setHosts(std::vector<PlacementHost> Live, std::set<std::string> Domains);

  /// \returns what has to be done now.
  std::vector<ConfigurationAction> tick(TimePoint Now);

  /// The platform's list or a change from its watch; older ones are ignored.
  void onPlatformList(std::uint64_t Version,
                      std::vector<ConfigurationObject> Objects);
  void onPlatformChange(ConfigurationObject Change);
  /// The watch has delivered all changes up to \p Version.
  void onPlatformBookmark(std::uint64_t Version);
  /// The answer to CheckPlatform. It confirms the configuration in force once
  /// the watch has reached this version, which may take a bookmark.
  /// \param SentAt when the check was sent.
  void onPlatformVersion(std::uint64_t Version, TimePoint SentAt,
                         TimePoint Now);

  /// A version that a peer was seen with, for example in a heartbeat.
  void onPeerVersion(const std::string &Host, std::uint64_t Version);
  /// \param SentAt when the query was sent.
  void onVersionReport(const VersionReport &Report, TimePoint SentAt,
                       TimePoint Now);
  void onPullAnswer(const std::string &From, const PullAnswer &Answer,
                    TimePoint Now);
  void onPullFailed(const std::string &From, TimePoint Now);

  /// The answer to a peer's version query.
  /// \param AskerDomain hosts of other domains are told about this domain only.
  VersionReport report(const std::string &AskerDomain, TimePoint Now) const;
  /// The answer to a peer's pull; nothing if it has to wait for a change.
  std::optional<PullAnswer> answerPull(const PullRequest &Request) const;

  bool isRelay() const { return this->Relay; }
  std::uint64_t version() const { return this->Store.version(); }
  const ConfigurationStore &store() const { return this->Store; }
  /// Versions of the hosts, as last seen.
  const std::map<std::string, std::uint64_t> &peerVersions() const {
    return this->PeerVersions;
  }

  /// Whether this host has a configuration that it may use. A host that
  /// starts waits until it has the newest version that it has seen anywhere;
  /// afterwards it stays usable while it catches up.
  bool isUsable() const { return this->Usable; }
  bool isFresh(TimePoint Now) const { return this->Fresh.isFresh(Now); }
  /// Whether keys may be accepted, on routes without `serveWhenCutOff`. A
  /// host that wakes from a pause first has to hear which version the others
  /// have: a key may have been withdrawn meanwhile.
  bool mayServeKeyed(TimePoint Now) const;

private:
  struct Pull {
    std::string From;
    TimePoint Until;
    bool IsPending = false; ///< Waits at a relay for the next change.
  };

  void noticePause(TimePoint Now);
  void hearVersion(std::uint64_t Version, TimePoint SentAt);
  bool isAwake(TimePoint Now) const;
  void versionMayHaveChanged();
  bool isUpToDate() const;
  bool platformAnswers(TimePoint Now) const;
  void updateRole(std::vector<ConfigurationAction> &Actions);
  void checkPlatform(TimePoint Now, std::vector<ConfigurationAction> &Actions);
  void queryVersions(TimePoint Now, std::vector<ConfigurationAction> &Actions);
  std::set<std::string> hostsToQuery(TimePoint Now);
  void pull(TimePoint Now, std::vector<ConfigurationAction> &Actions);
  void startPull(const std::string &From, bool IsPending, TimePoint Now,
                 std::vector<ConfigurationAction> &Actions);
  std::string newestPeer() const;
  std::string nextRelay();
  std::string anyPeer();

  const std::string Host;
  const std::string FailureDomain;
  std::mt19937_64 Random;
  std::vector<PlacementHost> Live;
  std::vector<std::string> Relays;
  bool Relay = false;
  bool WatchStarted = false;
  bool Usable = false;

  ConfigurationStore Store;
  Freshness Fresh;
  std::map<std::string, std::uint64_t> PeerVersions;
  /// The newest version that this host or a peer had in force.
  std::uint64_t NewestSeen = 0;

  std::map<std::string, Pull> Pulls; ///< By host that is asked.
  std::size_t RelayTurn = 0;
  TimePoint NextPull;
  TimePoint NextCatchUp;
  TimePoint NextCheck;
  TimePoint NextQuery;
  std::optional<TimePoint> LastTick;
  /// Set from a pause until a question sent later is answered.
  std::optional<TimePoint> WokeAt;
  /// The version of that answer, which has to be in force.
  std::uint64_t VersionAtWake = 0;
  std::optional<TimePoint> RelaySince;
  std::optional<TimePoint> PlatformAnsweredAt;
};

} // namespace lavenderdale
