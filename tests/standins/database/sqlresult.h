#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale::standin {

/// Type identifiers of PostgreSQL.
namespace typeoid {
inline constexpr std::uint32_t Bool = 16;
inline constexpr std::uint32_t Bytea = 17;
inline constexpr std::uint32_t Int8 = 20;
inline constexpr std::uint32_t Text = 25;
inline constexpr std::uint32_t Float8 = 701;
} // namespace typeoid

struct SqlFailure {
  std::string SqlState;
  std::string Message;
};

struct ResultColumn {
  std::string Name;
  std::uint32_t Type = typeoid::Text;
};

/// What one statement gave.
struct SqlResult {
  std::vector<ResultColumn> Columns;
  std::vector<std::vector<std::optional<std::string>>> Rows;
  std::string Tag;
  bool IsEmpty = false;   ///< There was no statement in the text.
  bool IsCopyOut = false; ///< COPY TO STDOUT; no rows are sent.
  std::optional<SqlFailure> Failure;
};

} // namespace lavenderdale::standin
