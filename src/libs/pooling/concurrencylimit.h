#pragma once

#include "base/timepoint.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace lavenderdale {

/// Learns how many statements one upstream handles well at the same time, from
/// the answers over the connections of one host. Performs no I/O.
///
/// The upstream declares its execution slots. The limit stays between 1 and the
/// slots plus an allowance for the time on the wire. Refusals and lost answers
/// lower it by a factor, answers raise it by one for each round. Response times
/// far above the best recent ones take away the allowance, but no more: short
/// and long statements are mixed, so a response time alone does not tell work
/// from waiting.
///
/// Load pattern: an upstream of 4 slots gets a burst, becomes several times
/// slower, stops to answer or is restarted, while statements of 3 ms and of
/// 19 ms are mixed.
class ConcurrencyLimit {
public:
  /// How a statement or handshake ended.
  enum class Outcome {
    Answered, ///< Completed.
    Failed,   ///< Answered with an error; says nothing about the capacity.
    Busy,     ///< Refused because the queue of the upstream was full.
    Lost,     ///< No answer arrived.
  };

  /// What one host learned, for a host that has no answers yet.
  struct Estimate {
    double Limit = 0;       ///< Concurrent statements; 0 if not told.
    Duration ServiceTime{}; ///< Smoothed response time; 0 if not told.
  };

  /// Slots above this are taken for a wrong entry.
  static constexpr std::size_t MaxSlots = 1024;
  /// An estimate is used for this long after the last answer or refusal.
  static constexpr std::chrono::seconds EstimateLifetime{10};
  /// The best recent response time is that of this and the previous window.
  static constexpr std::chrono::seconds ReferenceWindow{5};
  /// Answers older than this support no expected wait, and an upstream that
  /// gave none for this long may be reduced to one statement.
  static constexpr std::chrono::seconds RecentAnswerTime{2};
  /// Smoothed response times up to this multiple of the best recent one are
  /// good. With 6 statements at 4 slots, each takes 1.5 times as long.
  static constexpr double ResponseTolerance = 1.4;
  static constexpr double BusyDecrease = 0.7;
  static constexpr double LostDecrease = 0.5;
  /// Minimum time between two decreases: refusals of one burst are one event.
  static constexpr std::chrono::milliseconds MinDecreaseInterval{20};
  /// Weights of the newest response time. The fast average follows a change
  /// within 10 answers. The slow one varies by a tenth or less when statements
  /// of 3 ms and 19 ms are mixed.
  static constexpr double FastWeight = 0.1;
  static constexpr double SlowWeight = 0.02;
  /// Answers without which no wait is estimated.
  static constexpr std::size_t MinAnswers = 10;

  /// \param Slots declared by the upstream, at least 1.
  explicit ConcurrencyLimit(std::size_t Slots);

  /// Changes the declared slots and keeps what was learned within them.
  void setSlots(std::size_t Slots);
  /// Forgets what was learned: the upstream was restarted or moved.
  void reset();
  /// Begins from the estimate of another host, unless this host had answers in
  /// the last EstimateLifetime. A newer estimate replaces it.
  void adopt(const Estimate &Other, TimePoint Now);

  /// Records how a statement or handshake ended.
  /// \param Occupied time from sending it to its end.
  /// \param Running statements and handshakes that ran then, this one included.
  void record(Outcome Ended, Duration Occupied, std::size_t Running,
              TimePoint Now);

  /// Number of statements and handshakes that may run at the same time.
  std::size_t limit(TimePoint Now) const;
  std::size_t slots() const { return this->Slots; }
  /// The declared slots and the allowance for the wire.
  std::size_t maximum() const { return this->Slots + (this->Slots + 1) / 2; }
  /// What this host learned; zeros if nothing recently.
  Estimate estimate(TimePoint Now) const;

  /// Smoothed response time of the last answers.
  /// \returns nothing without enough answers in the last RecentAnswerTime.
  std::optional<Duration> serviceTime(TimePoint Now) const;
  /// Time until a statement can start, if \p Limit statements run at the same
  /// time and each takes \p Each.
  static Duration waitFor(std::size_t Ahead, std::size_t Running,
                          std::size_t Limit, Duration Each);
  /// Time until a statement that arrives now can start. A low estimate: the
  /// lower of two averages is used, so that work is not refused because of a
  /// few slow answers.
  /// \param Ahead statements that wait and go before it.
  /// \param Running statements and handshakes that run now.
  /// \returns nothing without enough answers in the last RecentAnswerTime.
  std::optional<Duration> expectedWait(std::size_t Ahead, std::size_t Running,
                                       TimePoint Now) const;

private:
  bool expired(TimePoint Now) const;
  void recordAnswer(double Seconds, std::size_t Running, TimePoint Now);
  void decrease(double Factor, double Floor, TimePoint Now);
  double reference() const;

  std::size_t Slots;
  double Limit;
  std::optional<TimePoint> LastSampleAt;
  std::optional<TimePoint> LastAnswerAt;
  std::optional<TimePoint> DecreasedAt;
  bool Adopted = false;    ///< Limit is the estimate of another host.
  std::size_t Answers = 0; ///< Since the last pause of RecentAnswerTime.
  double FastSeconds = 0;
  double SlowSeconds = 0;
  TimePoint WindowStart{};
  double LowestSeconds = 0;         ///< Of this window; 0 if none.
  double PreviousLowestSeconds = 0; ///< Of the previous window; 0 if none.
};

} // namespace lavenderdale
