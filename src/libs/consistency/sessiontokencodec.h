#pragma once

#include "base/result.h"
#include "sessiontoken.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderdale {

/// Encodes and signs session tokens, verifies and decodes them. The text of a
/// token is the unpadded base64url encoding of a body and its HMAC-SHA256.
class SessionTokenCodec {
public:
  /// Maximum length of an encoded token in bytes, so that it fits in one
  /// header.
  static constexpr std::size_t MaxEncodedBytes = 4096;
  static constexpr std::size_t MinSecretBytes = 16;

  /// \param Secret the session signing key, at least MinSecretBytes long.
  /// \returns the codec, or InvalidSettings for a short secret.
  static Result<SessionTokenCodec> create(std::vector<std::uint8_t> Secret);

  /// \returns the text, or PayloadTooLarge if it exceeds MaxEncodedBytes.
  Result<std::string> encode(const SessionToken &Token) const;

  /// \param Workspace the workspace of the caller's key.
  /// \returns the token, or BadSession if the text is malformed, not signed
  /// with the secret, or issued to another workspace.
  Result<SessionToken> decode(std::string_view Text,
                              std::string_view Workspace) const;

private:
  explicit SessionTokenCodec(std::vector<std::uint8_t> Secret)
      : Secret(std::move(Secret)) {}

  std::vector<std::uint8_t> Secret;
};

} // namespace lavenderdale
