#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale::standins {

/// The value of each option in the order given; options may repeat.
using OptionValues = std::vector<std::pair<std::string, std::string>>;

/// Parses options with a value, for example "--port 0".
/// \param Names option names without dashes.
/// \returns the values; after an unknown option or a stray argument nothing,
/// with a message on stderr.
std::optional<OptionValues> parseOptions(int Count, char **Arguments,
                                         const std::vector<std::string> &Names);

/// \returns the last value of the option, or \p Default.
std::string lastValue(const OptionValues &Values, const std::string &Name,
                      const std::string &Default);

/// \returns the whole number, or nothing when \p Text is not one up to \p Max.
std::optional<std::uint64_t> parseNumber(const std::string &Text,
                                         std::uint64_t Max);

} // namespace lavenderdale::standins
