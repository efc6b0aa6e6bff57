#pragma once

#include "base/result.h"

#include <optional>
#include <string>
#include <string_view>

namespace lavenderdale {

/// A key as its owner presents it: ldk_<id>_<secret>. The id is 16 and the
/// secret 64 lowercase hex digits.
struct KeyText {
  std::string Id;
  std::string Secret;

  std::string text() const;
};

/// Draws an id of 64 and a secret of 256 random bits from OpenSSL.
/// \returns the key, or Internal when the random generator fails.
Result<KeyText> generateKey();

/// Draws 256 random bits from OpenSSL.
/// \returns 64 lowercase hex digits, or Internal when the generator fails.
Result<std::string> generateSecret();

/// \returns the parts of \p Text, or nothing when it is not a key. The text is
/// never part of an error.
std::optional<KeyText> parseKeyText(std::string_view Text);

/// \returns SHA-256 of the secret's hex digits as 64 lowercase hex digits.
std::string hashSecret(std::string_view Secret);

/// Compares without stopping at the first difference, so that the time taken
/// says nothing about the place of a difference.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

/// Whether \p Secret is the one whose hash is \p Hash.
bool secretMatches(std::string_view Secret, std::string_view Hash);

} // namespace lavenderdale
