#pragma once

#include <chrono>
#include <string>

namespace lavenderdale::standins {

/// How the stand-in behaves during an outage.
enum class OutageMode {
  Off,
  Closed, ///< Connections are closed at once.
  Silent, ///< Connections are accepted, but nothing is answered.
};

/// Faults that the admin interface sets.
struct Faults {
  OutageMode Outage = OutageMode::Off;
  std::chrono::milliseconds Delay{0}; ///< Before each answer and watch event.
  unsigned LostAnswers =
      0;                ///< Changes take effect, then the connection closes.
  std::string LostVerb; ///< Empty for every verb.

  /// Whether the answer to this call is to be lost. Counts down.
  bool takeLostAnswer(const std::string &Verb) {
    if (this->LostAnswers == 0)
      return false;
    if (!this->LostVerb.empty() && this->LostVerb != Verb)
      return false;
    --this->LostAnswers;
    return true;
  }
};

} // namespace lavenderdale::standins
