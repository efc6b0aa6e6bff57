#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale::standin {

/// Splits a simple query into its statements, without empty ones.
std::vector<std::string> splitStatements(const std::string &Sql);

/// Removes comments and trailing semicolons and spaces.
std::string stripped(const std::string &Sql);

/// The words and symbols of a statement: words in upper case, string literals
/// with their opening quote kept and their escapes resolved.
/// \param MaxCount ends the list early.
std::vector<std::string> tokenize(std::string_view Sql, std::size_t MaxCount);

/// Whether the tokens start with the given words.
bool startsWith(const std::vector<std::string> &Tokens,
                std::initializer_list<std::string_view> Words);

/// Whether the tokens contain the given words in sequence.
bool contains(const std::vector<std::string> &Tokens,
              std::initializer_list<std::string_view> Words);

} // namespace lavenderdale::standin
