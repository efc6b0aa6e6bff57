#pragma once

#include "demandmeter.h"
#include "ratemessages.h"

#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Maximum time that a request waits for a token.
inline constexpr Duration MaxRateWait = std::chrono::milliseconds(200);

/// Durations used by RateClient.
struct RateClientTimes {
  /// Time-out of a grant request. An answer that arrives later is ignored.
  Duration AnswerTimeout = std::chrono::milliseconds(50);
  /// How long an owner that did not answer, or answered with a status other
  /// than Granted, receives no further requests.
  Duration OwnerAvoidance = std::chrono::milliseconds(250);
  /// Back-off before the next request to an owner that granted fewer tokens
  /// than requested. Doubles up to MaxBackoff while it grants none.
  Duration InitialBackoff = std::chrono::milliseconds(5);
  Duration MaxBackoff = std::chrono::milliseconds(40);
  /// Interval at which spent tokens are reported and, without demand, unused
  /// tokens are returned.
  Duration ReportInterval = std::chrono::milliseconds(300);
  /// Tokens are returned to the owner this long before they expire, because
  /// tokens that expire unspent are lost to the workspace. Limited to a
  /// quarter of their validity. Zero disables the return.
  Duration ReturnMargin = std::chrono::milliseconds(100);
  /// Each grant request covers the demand of this period, which results in
  /// about one request per three quarters of it.
  Duration DemandWindow = std::chrono::milliseconds(300);
  /// Replaces DemandWindow while tokens are scarce: an owner granted fewer than
  /// requested, or with a validity shorter than DemandWindow.
  Duration ShortageDemandWindow = std::chrono::milliseconds(100);
  /// How long tokens count as scarce after such a grant.
  Duration ShortageHoldTime = std::chrono::milliseconds(500);
  /// Whether expired tokens are rejected. Only tests set it to false, to show
  /// that they detect the resulting violation.
  bool ExpiryChecked = true;
  auto operator<=>(const RateClientTimes &) const = default;
};

enum class SpendKind {
  Spent,     ///< A token was spent; the request may run.
  WaitUntil, ///< No token is available yet.
  Refused,   ///< No token became available in time.
};

/// The result of RateClient::trySpend() for one request.
struct SpendDecision {
  SpendKind Kind = SpendKind::Refused;
  /// For WaitUntil: retry at this time or when an answer has been received,
  /// whichever comes first. Never later than the request's GiveUpAt.
  TimePoint RetryAt{};
};

/// Whether a request tries for the first time. Only the first attempt counts
/// as demand.
enum class SpendAttempt { First, Retry };

/// A grant request and the owner to send it to.
struct AddressedGrantRequest {
  std::string Owner;
  GrantRequest Request;
  auto operator<=>(const AddressedGrantRequest &) const = default;
};

/// The tokens that an entry host holds for one workspace, obtained from the
/// rate owners. Performs no I/O.
///
/// The caller calls trySpend() for each request, sends what poll() returns and
/// passes the answers to receive(). It keeps waiting requests in order of
/// arrival and lets them retry before newer requests.
class RateClient {
public:
  /// \param Incarnation random number that identifies this process.
  RateClient(std::string Workspace, std::string Host, std::uint64_t Incarnation,
             RateClientTimes Times = {});

  /// Sets the owners in order of preference: the owner in this host's failure
  /// domain first, then those in the other domains, which are used while the
  /// first one does not answer. Tokens of previous owners stay valid until they
  /// expire.
  /// \param Epoch host set epoch from which the owners were derived.
  void setOwners(const std::vector<std::string> &Owners, std::uint64_t Epoch);

  /// Tries to spend a token for one request.
  /// \param GiveUpAt the earlier of arrival + MaxRateWait and the request's
  /// deadline; from this time on the result is Refused instead of WaitUntil.
  SpendDecision trySpend(TimePoint Now, TimePoint GiveUpAt,
                         SpendAttempt Attempt = SpendAttempt::First);

  /// Returns the grant request to send at \p Now, if any. Call it after
  /// trySpend(), after receive() and at nextPoll().
  std::optional<AddressedGrantRequest> poll(TimePoint Now);

  /// Returns when poll() must be called next; TimePoint::max() if idle.
  TimePoint nextPoll(TimePoint Now) const;

  /// Processes an answer of \p Owner. Late and unexpected answers are ignored;
  /// their tokens return to the owner with the report in the next request.
  void receive(const std::string &Owner, const GrantAnswer &Answer,
               TimePoint Now);

  /// Returns the number of tokens that can be spent at \p Now.
  std::uint32_t held(TimePoint Now) const;

  auto operator<=>(const RateClient &) const = default;

private:
  /// State kept for one owner.
  struct OwnerState {
    std::string Owner;
    /// Cumulative count of spent tokens reported to the owner. Starts at the
    /// total over all owners, so that it never decreases when an owner is
    /// removed and later added again.
    std::uint64_t Spent = 0;
    TimePoint NotBefore{}; ///< No request is sent before this time.
    Duration Backoff{};    ///< Current back-off after too few tokens.
    TimePoint ReportAt = TimePoint::max(); ///< When the next report is due.
    auto operator<=>(const OwnerState &) const = default;
  };
  /// Tokens of one grant that are not spent yet.
  struct HeldGrant {
    std::string Owner;
    std::uint32_t Tokens = 0;
    TimePoint ExpiresAt{};
    TimePoint ReturnAt{}; ///< When unspent tokens are returned.
    auto operator<=>(const HeldGrant &) const = default;
  };
  /// The request that awaits an answer.
  struct PendingRequest {
    std::string Owner;
    std::uint64_t Sequence = 0;
    std::uint32_t Wanted = 0;
    TimePoint SentAt{};
    auto operator<=>(const PendingRequest &) const = default;
  };

  OwnerState *find(const std::string &Owner);
  std::uint32_t tokensToRequest(TimePoint Now) const;
  std::optional<AddressedGrantRequest> dueReport(TimePoint Now);
  AddressedGrantRequest makeRequest(OwnerState &From, std::uint32_t Wanted,
                                    TimePoint Now);
  void expirePending(TimePoint Now);
  void dropExpired(TimePoint Now);
  bool usable(const HeldGrant &Held, TimePoint Now) const;
  bool isReportDue(TimePoint Now) const;
  void returnExpiring(TimePoint Now);
  SpendDecision waitOrRefuse(TimePoint Now, TimePoint GiveUpAt,
                             SpendAttempt Attempt);

  std::string Workspace;
  std::string Host;
  std::uint64_t Incarnation;
  RateClientTimes Times;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t TotalSpent = 0;
  std::vector<OwnerState> OwnerStates;
  std::vector<HeldGrant> HeldGrants; ///< Ordered by expiry time.
  std::optional<PendingRequest> Pending;
  DemandMeter Demand;
  DemandMeter ShortageDemand;
  TimePoint ShortageUntil{};
  std::uint32_t WaitingRequests = 0; ///< Requests that wait for a token.
};

} // namespace lavenderdale
