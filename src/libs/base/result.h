#pragma once

#include "errorkind.h"

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace lavenderdale {

/// A failure: its kind and what was wrong, in words for the reader of the
/// answer or of the log. The detail never contains a key.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
};

/// A value or an Error. Reading the value of a failed result is undefined, as
/// with an empty std::optional; check has_value() or use BOOST_OUTCOME_TRY.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

/// Returned by functions without a value: `return success();`.
inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

/// Builds the failure of \p Kind with \p Detail.
inline Error failure(ErrorKind Kind, std::string Detail) {
  return Error{Kind, std::move(Detail)};
}

} // namespace lavenderdale
