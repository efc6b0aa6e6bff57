#include "redaction.h"

#include <cctype>
#include <string_view>

namespace lavenderdale::detail {
namespace {

constexpr std::string_view KeyPrefix = "ldk_";
constexpr std::string_view Replacement = "[key]";

bool isKeyCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         Character == '_' || Character == '-';
}

} // namespace

std::string redactKeys(std::string Text) {
  std::size_t Start = Text.find(KeyPrefix);
  while (Start != std::string::npos) {
    std::size_t End = Start + KeyPrefix.size();
    while (End < Text.size() && isKeyCharacter(Text[End]))
      ++End;
    Text.replace(Start, End - Start, Replacement);
    Start = Text.find(KeyPrefix, Start + Replacement.size());
  }
  return Text;
}

std::string toLogLine(std::string Text) {
  Text = redactKeys(std::move(Text));
  for (char &Character : Text)
    if (std::iscntrl(static_cast<unsigned char>(Character)) != 0)
      Character = ' ';
  return Text;
}

} // namespace lavenderdale::detail
