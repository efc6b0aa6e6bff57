#include "commandline.h"

#include <getopt.h>

#include <charconv>
#include <iostream>

namespace lavenderdale::standins {

std::optional<OptionValues>
parseOptions(int Count, char **Arguments,
             const std::vector<std::string> &Names) {
  std::vector<option> Options;
  Options.reserve(Names.size() + 1);
  for (const std::string &Name : Names)
    Options.push_back({Name.c_str(), required_argument, nullptr, 0});
  Options.push_back({nullptr, 0, nullptr, 0});
  OptionValues Values;
  int Index = 0;
  int Code = 0;
  while ((Code = getopt_long(Count, Arguments, "", Options.data(), &Index)) !=
         -1) {
    if (Code != 0)
      return std::nullopt;
    Values.emplace_back(Names[static_cast<std::size_t>(Index)], optarg);
  }
  if (optind < Count) {
    std::cerr << Arguments[0] << ": unexpected argument " << Arguments[optind]
              << '\n';
    return std::nullopt;
  }
  return Values;
}

std::string lastValue(const OptionValues &Values, const std::string &Name,
                      const std::string &Default) {
  std::string Found = Default;
  for (const auto &[Given, Value] : Values)
    if (Given == Name)
      Found = Value;
  return Found;
}

std::optional<std::uint64_t> parseNumber(const std::string &Text,
                                         std::uint64_t Max) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End ||
      Number > Max)
    return std::nullopt;
  return Number;
}

} // namespace lavenderdale::standins
