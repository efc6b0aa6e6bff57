#pragma once

#include <cstdint>
#include <string_view>

namespace lavenderdale {

/// Checks \p Condition at a module boundary. A violation is counted and
/// reported to the handler; the program goes on.
/// \param What the condition in words.
/// \returns \p Condition, so that the caller can return early.
bool softAssert(bool Condition, std::string_view What);

/// Number of violations since the start of the process.
std::uint64_t softAssertFailures();

/// Called with the text of each violation. The default writes to stderr.
using SoftAssertHandler = void (*)(std::string_view What);
void setSoftAssertHandler(SoftAssertHandler Handler);

} // namespace lavenderdale
