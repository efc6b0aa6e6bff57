#include "troublenotices.h"

namespace lavenderdale {

bool TroubleNotices::due(const std::string &Host, TimePoint Now) {
  const auto [Found, First] = this->SentAt.try_emplace(Host, Now);
  if (!First && Now - Found->second < RepeatInterval)
    return false;
  Found->second = Now;
  // Hosts that are not told any more may have left for good.
  std::erase_if(this->SentAt, [Now](const auto &Each) {
    return Now - Each.second >= RepeatInterval * 2;
  });
  return true;
}

} // namespace lavenderdale
