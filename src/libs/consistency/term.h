#pragma once

#include <compare>
#include <cstdint>

namespace lavenderdale {

/// The number of a primary's period of office: a PostgreSQL timeline. Zero
/// means unknown.
struct Term {
  std::uint64_t Value = 0;

  Term next() const { return Term{this->Value + 1}; }
  auto operator<=>(const Term &) const = default;
};

} // namespace lavenderdale
