#include "promotionmessages.h"

#include <array>

namespace lavenderdale {
namespace {

constexpr std::array<std::string_view, 10> GiveUpNames = {
    "claim-conflict", "claim-expired",   "platform-failed",
    "no-quorum",      "fence-changed",   "change-conflict",
    "bad-lineage",    "members-changed", "evidence-withdrawn",
    "not-caught-up"};

} // namespace

std::string_view toString(GiveUpReason Reason) {
  return GiveUpNames[static_cast<std::size_t>(Reason)];
}

} // namespace lavenderdale
