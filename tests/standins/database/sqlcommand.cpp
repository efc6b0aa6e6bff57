#include "sqlcommand.h"

#include <algorithm>
#include <cctype>

namespace lavenderdale::standin {
namespace {

bool isWordCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         Character == '_' || Character == '.' || Character == '$';
}

bool isSpace(char Character) {
  return std::isspace(static_cast<unsigned char>(Character)) != 0;
}

std::size_t endOfQuoted(std::string_view Sql, std::size_t Start) {
  for (std::size_t I = Start + 1; I < Sql.size(); ++I) {
    if (Sql[I] != Sql[Start])
      continue;
    if (I + 1 == Sql.size() || Sql[I + 1] != Sql[Start])
      return I + 1;
    ++I; // A doubled quote is part of the text.
  }
  return Sql.size();
}

// The end of the quoted text or comment at a position, or the position itself.
std::size_t endOfComment(std::string_view Sql, std::size_t Start) {
  const auto EndOf = [&](std::string_view Mark) {
    const std::size_t End = Sql.find(Mark, Start + 2);
    return End == std::string_view::npos ? Sql.size() : End + Mark.size();
  };
  if (Sql.substr(Start, 2) == "--")
    return EndOf("\n");
  if (Sql.substr(Start, 2) == "/*")
    return EndOf("*/");
  return Start;
}

std::string literal(std::string_view Quoted) {
  std::string Text(1, Quoted.front());
  for (std::size_t I = 1; I + 1 < Quoted.size(); ++I) {
    Text.push_back(Quoted[I]);
    if (Quoted[I] == Quoted.front())
      ++I;
  }
  return Text;
}

std::string upperCase(std::string_view Text) {
  std::string Upper(Text);
  std::transform(Upper.begin(), Upper.end(), Upper.begin(),
                 [](unsigned char Character) {
                   return static_cast<char>(std::toupper(Character));
                 });
  return Upper;
}

} // namespace

std::vector<std::string> splitStatements(const std::string &Sql) {
  std::vector<std::string> Statements;
  std::size_t Start = 0;
  const auto Add = [&](std::size_t End) {
    const std::string Statement = stripped(Sql.substr(Start, End - Start));
    if (!Statement.empty())
      Statements.push_back(Statement);
  };
  for (std::size_t I = 0; I < Sql.size();) {
    if (Sql[I] == '\'' || Sql[I] == '"') {
      I = endOfQuoted(Sql, I);
    } else if (const std::size_t End = endOfComment(Sql, I); End != I) {
      I = End;
    } else {
      if (Sql[I] == ';') {
        Add(I);
        Start = I + 1;
      }
      ++I;
    }
  }
  Add(Sql.size());
  return Statements;
}

std::string stripped(const std::string &Sql) {
  std::string Text;
  for (std::size_t I = 0; I < Sql.size();) {
    if (Sql[I] == '\'' || Sql[I] == '"') {
      const std::size_t End = endOfQuoted(Sql, I);
      Text.append(Sql, I, End - I);
      I = End;
    } else if (const std::size_t End = endOfComment(Sql, I); End != I) {
      Text.push_back(' ');
      I = End;
    } else {
      Text.push_back(Sql[I++]);
    }
  }
  while (!Text.empty() && (Text.back() == ';' || isSpace(Text.back())))
    Text.pop_back();
  const auto First = std::find_if_not(Text.begin(), Text.end(), isSpace);
  return {First, Text.end()};
}

std::vector<std::string> tokenize(std::string_view Sql, std::size_t MaxCount) {
  std::vector<std::string> Tokens;
  for (std::size_t I = 0; I < Sql.size() && Tokens.size() < MaxCount;) {
    if (isSpace(Sql[I])) {
      ++I;
    } else if (Sql[I] == '\'' || Sql[I] == '"') {
      const std::size_t End = endOfQuoted(Sql, I);
      Tokens.push_back(literal(Sql.substr(I, End - I)));
      I = End;
    } else if (isWordCharacter(Sql[I])) {
      const std::size_t Start = I;
      while (I < Sql.size() && isWordCharacter(Sql[I]))
        ++I;
      Tokens.push_back(upperCase(Sql.substr(Start, I - Start)));
    } else {
      Tokens.emplace_back(1, Sql[I++]);
    }
  }
  return Tokens;
}

bool startsWith(const std::vector<std::string> &Tokens,
                std::initializer_list<std::string_view> Words) {
  return Tokens.size() >= Words.size() &&
         std::equal(Words.begin(), Words.end(), Tokens.begin());
}

bool contains(const std::vector<std::string> &Tokens,
              std::initializer_list<std::string_view> Words) {
  return std::search(Tokens.begin(), Tokens.end(), Words.begin(),
                     Words.end()) != Tokens.end();
}

} // namespace lavenderdale::standin
