#include "connectionshare.h"

#include <algorithm>
#include <array>

namespace lavenderdale {

ConnectionShare connectionShare(std::size_t Limit, std::size_t Rank) {
  struct Row {
    double Guaranteed; ///< Part of the limit.
    double Most;       ///< Part of the limit.
  };
  // What a first holder that is gone has kept, and what its successor needs,
  // stay within the limit. The others keep nothing: one idle connection of
  // each host would fill the limit of an upstream in a large fleet.
  static constexpr std::array<Row, 3> Rows = {
      {{0.65, 0.95}, {0, 0.35}, {0, 0.2}}};
  const Row &Part = Rows[std::min(Rank, Rows.size() - 1)];
  const auto Whole = static_cast<double>(Limit);
  ConnectionShare Share;
  Share.Guaranteed = static_cast<std::size_t>(Whole * Part.Guaranteed);
  Share.Most =
      std::max<std::size_t>(1, static_cast<std::size_t>(Whole * Part.Most));
  return Share;
}

} // namespace lavenderdale
