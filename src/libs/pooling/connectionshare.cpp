#include "connectionshare.h"

#include <algorithm>
#include <array>

namespace lavenderdale {

ConnectionShare connectionShare(std::size_t Limit, std::size_t Rank) {
  struct Row {
    double Guaranteed; ///< Fraction of the limit.
    double Max;        ///< Fraction of the limit.
  };
  // The idle connections of a failed first holder and the connections of its
  // successor together stay within the limit. The other hosts keep no idle
  // connections: in a large fleet, one per host would exhaust the limit.
  static constexpr std::array<Row, 3> Rows = {
      {{0.65, 0.95}, {0, 0.35}, {0, 0.2}}};
  const Row &Part = Rows[std::min(Rank, Rows.size() - 1)];
  const auto Whole = static_cast<double>(Limit);
  ConnectionShare Share;
  Share.Guaranteed = static_cast<std::size_t>(Whole * Part.Guaranteed);
  Share.Max =
      std::max<std::size_t>(1, static_cast<std::size_t>(Whole * Part.Max));
  return Share;
}

} // namespace lavenderdale
