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
  /// Pause before asking an owner again that had no token.
  Duration EmptyPause = std::chrono::milliseconds(5);
  /// Spent tokens are reported, and unused ones given back, after this time.
  Duration ReportInterval = std::chrono::milliseconds(200);
  /// Whether expiry is checked; false only in tests.
  bool ExpiryChecked = true;
  auto operator<=>(const RateDrawerTimes &) const = default;
};

enum class SpendKind { Spent, WaitUntil, Refused };

/// The decision about one request.
struct SpendDecision {
  SpendKind Kind = SpendKind::Refused;
  /// For WaitUntil: try again at this time or when an answer was received,
  /// whichever is first. Not after the request's GiveUpAt.
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
  RateDrawer(std::string Workspace, std::string Host,
             std::uint64_t Incarnation, RateDrawerTimes Times = {});

  /// Names the owners: that of the own failure domain first, then those of the
  /// other domains, which are asked while the first one cannot answer. Tokens
  /// of earlier owners stay valid until they expire.
  void setOwners(const std::vector<std::string> &Owners, std::uint64_t Epoch);

  /// Spends a token for one request.
  /// \param GiveUpAt the earlier of arrival + MaxRateWait and the request's
  /// deadline; from then on the answer is Refused instead of WaitUntil.
  SpendDecision trySpend(TimePoint Now, TimePoint GiveUpAt,
                         SpendAttempt Attempt = SpendAttempt::First);

  /// Returns the request to send at \p Now, if any. Called after trySpend(),
  /// after receive(), and at nextPoll().
  std::optional<DrawRequest> poll(TimePoint Now);

  /// Returns when poll() has to be called next; TimePoint::max() if idle.
  TimePoint nextPoll(TimePoint Now) const;

  /// Takes an answer of \p Owner. Late and unexpected ones are ignored, which
  /// loses their tokens until the owner learns of it by the next request.
  void receive(const std::string &Owner, const GrantAnswer &Answer,
               TimePoint Now);

  /// Returns the tokens that can be spent at \p Now.
  std::uint32_t held(TimePoint Now) const;

  auto operator<=>(const RateDrawer &) const = default;

private:
  /// An owner as the drawer sees it.
  struct Source {
    std::string Owner;
    std::uint64_t Sequence = 0;
    std::uint64_t Spent = 0;
    TimePoint AvoidedUntil{};
    TimePoint NextAt{};         ///< No request before this time.
    TimePoint ReportAt = TimePoint::max();
    auto operator<=>(const Source &) const = default;
  };
  struct Lot {
    std::string Owner;
    std::uint32_t Tokens = 0;
    TimePoint Until{};
    auto operator<=>(const Lot &) const = default;
  };
  struct PendingDraw {
    std::string Owner;
    std::uint64_t Sequence = 0;
    std::uint32_t Wanted = 0;
    TimePoint SentAt{};
    auto operator<=>(const PendingDraw &) const = default;
  };

  Source *sourceOf(const std::string &Owner);
  std::uint32_t heldOf(const std::string &Owner, TimePoint Now) const;
  std::uint32_t wanted(TimePoint Now) const;
  Source *choose(TimePoint Now);
  DrawRequest makeRequest(Source &From, std::uint32_t Wanted, TimePoint Now);
  void giveUpPending(TimePoint Now);
  void dropExpired(TimePoint Now);

  std::string Workspace;
  std::string Host;
  std::uint64_t Incarnation;
  RateDrawerTimes Times;
  std::uint64_t Epoch = 0;
  std::vector<Source> Sources;
  std::vector<Lot> Lots;
  std::optional<PendingDraw> Pending;
  DemandMeter Demand;
  std::uint32_t Unserved = 0; ///< Tries without a token since the last draw.
};

} // namespace lavenderdale
