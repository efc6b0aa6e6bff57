#include "keytext.h"

#include "memberchecks.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>

namespace lavenderdale {
namespace {

constexpr std::string_view Prefix = "ldk_";
constexpr std::size_t IdBytes = 8;
constexpr std::size_t SecretBytes = 32;

std::string toHex(const unsigned char *Bytes, std::size_t Size) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Size * 2);
  for (std::size_t I = 0; I < Size; ++I) {
    Text += Digits[Bytes[I] >> 4U];
    Text += Digits[Bytes[I] & 15U];
  }
  return Text;
}

} // namespace

std::string KeyText::text() const {
  return std::string(Prefix) + this->Id + "_" + this->Secret;
}

Result<KeyText> generateKey() {
  std::array<unsigned char, IdBytes + SecretBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1)
    return failure(ErrorKind::Internal, "the random generator failed");
  KeyText Key{toHex(Bytes.data(), IdBytes),
              toHex(Bytes.data() + IdBytes, SecretBytes)};
  OPENSSL_cleanse(Bytes.data(), Bytes.size());
  return Key;
}

Result<std::string> generateSecret() {
  std::array<unsigned char, SecretBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1)
    return failure(ErrorKind::Internal, "the random generator failed");
  std::string Text = toHex(Bytes.data(), Bytes.size());
  OPENSSL_cleanse(Bytes.data(), Bytes.size());
  return Text;
}

std::optional<KeyText> parseKeyText(std::string_view Text) {
  constexpr std::size_t IdEnd = Prefix.size() + 2 * IdBytes;
  if (Text.size() != IdEnd + 1 + 2 * SecretBytes || !Text.starts_with(Prefix) ||
      Text[IdEnd] != '_')
    return std::nullopt;
  KeyText Key{std::string(Text.substr(Prefix.size(), 2 * IdBytes)),
              std::string(Text.substr(IdEnd + 1))};
  if (!detail::isLowerHex(Key.Id) || !detail::isLowerHex(Key.Secret))
    return std::nullopt;
  return Key;
}

std::string hashSecret(std::string_view Secret) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Secret.data()), Secret.size(),
         Digest.data());
  return toHex(Digest.data(), Digest.size());
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

bool secretMatches(std::string_view Secret, std::string_view Hash) {
  return equalInConstantTime(hashSecret(Secret), Hash);
}

} // namespace lavenderdale
