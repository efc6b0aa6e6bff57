#pragma once

#include "configurationstore.h"
#include "freshness.h"
#include "placement/placement.h"

#include <random>

namespace lavenderdale {

/// Determines from where a host gets its configuration, and whether the host
/// may use it. Two relays per failure domain watch the platform; each other
/// host keeps one pending pull at a relay. The caller calls tick() about every
/// 100 ms and executes the actions. Not thread-safe; the caller must serialize
/// all calls.
class ConfigurationState {
public:
  /// How long a relay may hold a pending pull.
  static constexpr std::chrono::seconds PullWait{20};
  /// Shortest interval between two ticks that counts as a pause of the process.
  /// A busy system does not delay ticks by ten intervals. Shorter pauses are
  /// not handled; they are short compared with Freshness::KeysValid.
  static constexpr std::chrono::milliseconds PauseThreshold{1000};

  ConfigurationState(std::string Host, std::string FailureDomain,
                     std::mt19937_64 Random);

  /// Replaces the known hosts and determines the relays.
  /// \param Live the live hosts, including this one if it is a member.
  /// \param Domains all failure domains of the fleet.
  void setHosts(std::vector<PlacementHost> Live, std::set<std::string> Domains);

  /// \returns the actions to execute now.
  std::vector<ConfigurationAction> tick(TimePoint Now);

  /// Applies the platform's list of objects, unless it is older.
  void onPlatformList(std::uint64_t Version,
                      std::vector<ConfigurationObject> Objects);
  /// Applies a change from the platform's watch, unless it is older.
  void onPlatformChange(ConfigurationObject Change);
  /// Records that the watch has delivered all changes up to \p Version.
  void onPlatformBookmark(std::uint64_t Version);
  /// Processes the answer to CheckPlatform. It confirms the current
  /// configuration when the watch has reached this version; this may need a
  /// bookmark. \param SentAt time at which the check was sent.
  void onPlatformVersion(std::uint64_t Version, TimePoint SentAt,
                         TimePoint Now);

  /// Records a version that a peer has reported, for example in a heartbeat.
  void onPeerVersion(const std::string &Host, std::uint64_t Version);
  /// Processes the answer to QueryVersion.
  /// \param SentAt time at which the query was sent.
  void onVersionReport(const VersionReport &Report, TimePoint SentAt,
                       TimePoint Now);
  /// Processes the answer to PullConfiguration.
  void onPullAnswer(const std::string &From, const PullAnswer &Answer,
                    TimePoint Now);
  /// Processes a failure of PullConfiguration. Another peer is asked next.
  void onPullFailed(const std::string &From, TimePoint Now);

  /// \returns the answer to a peer's version query.
  /// \param AskerDomain failure domain of the peer. Peers of other domains get
  ///                    information about this domain only.
  VersionReport report(const std::string &AskerDomain, TimePoint Now) const;
  /// Answers a peer's pull.
  /// \returns the answer, or nothing if there is no change yet and the pull
  ///          must wait for one.
  std::optional<PullAnswer> answerPull(const PullRequest &Request) const;

  bool isRelay() const { return this->Relay; }
  std::uint64_t version() const { return this->Store.version(); }
  const ConfigurationStore &store() const { return this->Store; }
  /// \returns the last reported version of each peer, by host name.
  const std::map<std::string, std::uint64_t> &peerVersions() const {
    return this->PeerVersions;
  }

  /// Whether this host has a configuration that it may use. After a start, this
  /// is the case when the host has the newest version that any peer has
  /// reported. From then on, the configuration stays usable while the host
  /// catches up with newer versions.
  bool isUsable() const { return this->Usable; }
  bool isFresh(TimePoint Now) const { return this->Fresh.isFresh(Now); }
  /// Whether keys may be accepted on routes without `serveWhenCutOff`. When a
  /// host resumes after a pause, it must first learn the current version from
  /// the platform or a peer, because a key may have been withdrawn during the
  /// pause.
  bool mayAcceptKeys(TimePoint Now) const;

private:
  struct Pull {
    std::string From;
    TimePoint Until;
    bool IsPending = false; ///< Whether a relay holds it until the next change.
  };

  void detectPause(TimePoint Now);
  void learnVersionAfterPause(std::uint64_t Version, TimePoint SentAt);
  bool isAwake(TimePoint Now) const;
  void updateAfterVersionChange();
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
  /// The newest version that this host or a peer is known to have.
  std::uint64_t NewestSeen = 0;

  std::map<std::string, Pull> Pulls; ///< By the name of the host asked.
  std::size_t RelayTurn = 0;         ///< Selects the relay to ask.
  TimePoint NextPull;
  TimePoint NextCatchUp;
  TimePoint NextCheck;
  TimePoint NextQuery;
  std::optional<TimePoint> LastTick;
  /// End of the last pause, until a query that was sent later is answered.
  std::optional<TimePoint> ResumedAt;
  /// Version learnt after the pause; keys are refused until this host has it.
  std::uint64_t VersionAfterPause = 0;
  /// Time of the first check of the platform as a relay.
  std::optional<TimePoint> RelaySince;
  std::optional<TimePoint> PlatformAnsweredAt;
};

} // namespace lavenderdale
