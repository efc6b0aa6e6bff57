#pragma once

#include "demandmeter.h"
#include "ratemessages.h"

#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Longest wait of a request for a token.
inline constexpr Duration MaxRateWait = std::chrono::milliseconds(200);

struct RateDrawerTimes {
  /// A request without an answer for this long is given up and its answer is
  /// ignored if it still arrives.
  Duration AnswerTimeout = std::chrono::milliseconds(50);
  /// How long an owner that did not answer or is not ready is avoided.
  Duration OwnerAvoidance = std::chrono::milliseconds(250);
  /// Pause before asking an owner again that granted less than was wanted.
  /// Doubled up to LongestPause while it grants nothing.
  Duration ShortPause = std::chrono::milliseconds(5);
  Duration LongestPause = std::chrono::milliseconds(40);
  /// Spent tokens are reported, and unused ones given back, after this time.
  Duration ReportInterval = std::chrono::milliseconds(300);
  /// Tokens that expire within this time are given back, since those that
  /// expire unspent are lost to the workspace. At most a quarter of their
  /// validity; zero gives nothing back.
  Duration ReturnMargin = std::chrono::milliseconds(100);
  /// Tokens are drawn for the demand of this time, with one draw in about
  /// three quarters of it.
  Duration DrawWindow = std::chrono::milliseconds(300);
  /// The same while owners grant less than is wanted, or for a short time.
  Duration ScarceDrawWindow = std::chrono::milliseconds(100);
  /// How long this lasts after such a grant.
  Duration ScarceTime = std::chrono::milliseconds(500);
  /// Whether expiry is checked. Only tests set it to false, to show that their
  /// checks find the fault.
  bool ExpiryChecked = true;
  auto operator<=>(const RateDrawerTimes &) const = default;
};

enum class SpendKind { Spent, WaitUntil, Refused };

/// The decision about one request.
struct SpendDecision {
  SpendKind Kind = SpendKind::Refused;
  /// For WaitUntil: try again at this time or when an answer was received,
  /// whichever is first. Never after the request's GiveUpAt.
  TimePoint RetryAt{};
};

/// First tells that the request is counted as demand.
enum class SpendAttempt { First, Again };

/// A grant request and the host that it is sent to.
struct DrawRequest {
  std::string Owner;
  GrantRequest Request;
  auto operator<=>(const DrawRequest &) const = default;
};

/// The tokens of one workspace at an entry host.
///
/// The shell calls trySpend() for each request, sends what poll() returns, and
/// passes answers to receive(). It keeps waiting requests in their order and
/// lets them try again before newer ones.
class RateDrawer {
public:
  /// \param Incarnation random number of this process.
  RateDrawer(std::string Workspace, std::string Host, std::uint64_t Incarnation,
             RateDrawerTimes Times = {});

  /// Names the owners: that of the own failure domain first, then those of the
  /// other domains, which are asked while the first one cannot answer. Tokens
  /// of earlier owners stay valid until they expire.
  void setOwners(const std::vector<std::string> &Owners, std::uint64_t Epoch);

  /// Spends a token for one request.
  /// \param GiveUpAt the earlier of arrival + MaxRateWait and the request's
  /// deadline; from then on the decision is Refused instead of WaitUntil.
  SpendDecision trySpend(TimePoint Now, TimePoint GiveUpAt,
                         SpendAttempt Attempt = SpendAttempt::First);

  /// Returns the request to send at \p Now, if any. Called after trySpend(),
  /// after receive(), and at nextPoll().
  std::optional<DrawRequest> poll(TimePoint Now);

  /// Returns when poll() has to be called next; TimePoint::max() if idle.
  TimePoint nextPoll(TimePoint Now) const;

  /// Takes an answer of \p Owner. Late and unexpected ones are ignored. Their
  /// tokens return to the owner with the report of the next request.
  void receive(const std::string &Owner, const GrantAnswer &Answer,
               TimePoint Now);

  /// Returns the tokens that can be spent at \p Now.
  std::uint32_t held(TimePoint Now) const;

  auto operator<=>(const RateDrawer &) const = default;

private:
  /// An owner as the drawer sees it.
  struct Source {
    std::string Owner;
    /// Tokens spent. Begins at the sum over all owners, so that it never goes
    /// back when an owner is named again.
    std::uint64_t Spent = 0;
    TimePoint NotBefore{}; ///< No request that wants tokens before this time.
    Duration Pause{};      ///< After the last answer with too few tokens.
    TimePoint ReportAt = TimePoint::max();
    auto operator<=>(const Source &) const = default;
  };
  struct Lot {
    std::string Owner;
    std::uint32_t Tokens = 0;
    TimePoint Until{};
    TimePoint ReturnAt{}; ///< Given back if not spent by then.
    auto operator<=>(const Lot &) const = default;
  };
  struct PendingDraw {
    std::string Owner;
    std::uint64_t Sequence = 0;
    std::uint32_t Wanted = 0;
    TimePoint SentAt{};
    auto operator<=>(const PendingDraw &) const = default;
  };

  Source *find(const std::string &Owner);
  std::uint32_t wanted(TimePoint Now) const;
  std::optional<DrawRequest> report(TimePoint Now);
  DrawRequest request(Source &From, std::uint32_t Wanted, TimePoint Now);
  void giveUpPending(TimePoint Now);
  void dropExpired(TimePoint Now);
  bool usable(const Lot &Held, TimePoint Now) const;
  bool isReportDue(TimePoint Now) const;
  void giveBack(TimePoint Now);
  SpendDecision withoutToken(TimePoint Now, TimePoint GiveUpAt,
                             SpendAttempt Attempt);

  std::string Workspace;
  std::string Host;
  std::uint64_t Incarnation;
  RateDrawerTimes Times;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t SpentSum = 0;
  std::vector<Source> Sources;
  std::vector<Lot> Lots; ///< In the order of their deadlines.
  std::optional<PendingDraw> Pending;
  DemandMeter Demand;
  DemandMeter ScarceDemand;
  TimePoint ScarceUntil{};
  std::uint32_t Waiting = 0; ///< Requests without a token.
};

} // namespace lavenderdale
