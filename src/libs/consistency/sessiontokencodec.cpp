#include "sessiontokencodec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace lavenderdale {
namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr std::size_t MacBytes = 32;
constexpr std::uint8_t FormatVersion = 1;
constexpr std::size_t MaxTextBytes = 0xFFFF;

Error invalidToken() {
  return failure(ErrorKind::BadSession, "the session token is not valid");
}

void appendNumber(Bytes &Out, std::uint64_t Value, unsigned Size) {
  for (unsigned I = Size; I-- > 0;)
    Out.push_back(static_cast<std::uint8_t>(Value >> (8 * I)));
}

void appendText(Bytes &Out, std::string_view Text) {
  appendNumber(Out, Text.size(), 2);
  Out.insert(Out.end(), Text.begin(), Text.end());
}

/// Reads the body of a token. After a failed read, all reads return zero or an
/// empty text.
class BodyReader {
public:
  BodyReader(const std::uint8_t *Begin, const std::uint8_t *End)
      : Next(Begin), End(End) {}

  std::uint64_t number(unsigned Size) {
    if (!this->require(Size))
      return 0;
    std::uint64_t Value = 0;
    for (unsigned I = 0; I < Size; ++I)
      Value = (Value << 8) | *this->Next++;
    return Value;
  }

  std::string text() {
    const auto Size = static_cast<std::size_t>(this->number(2));
    if (!this->require(Size))
      return {};
    std::string Text(this->Next, this->Next + Size);
    this->Next += Size;
    return Text;
  }

  bool isValid() const { return !this->Failed; }
  bool isComplete() const { return !this->Failed && this->Next == this->End; }

private:
  bool require(std::size_t Size) {
    if (static_cast<std::size_t>(this->End - this->Next) < Size)
      this->Failed = true;
    return !this->Failed;
  }

  const std::uint8_t *Next;
  const std::uint8_t *End;
  bool Failed = false;
};

std::array<std::uint8_t, MacBytes>
sign(const Bytes &Secret, const std::uint8_t *Body, std::size_t Size) {
  std::array<std::uint8_t, MacBytes> Mac{};
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()), Body, Size,
       Mac.data(), nullptr);
  return Mac;
}

std::string toBase64Url(const Bytes &Data) {
  std::string Text(4 * ((Data.size() + 2) / 3) + 1, '\0');
  const int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      Data.data(), static_cast<int>(Data.size()));
  Text.resize(static_cast<std::size_t>(Size));
  while (!Text.empty() && Text.back() == '=')
    Text.pop_back();
  std::replace(Text.begin(), Text.end(), '+', '-');
  std::replace(Text.begin(), Text.end(), '/', '_');
  return Text;
}

/// \returns the bytes, or nothing unless toBase64Url() encodes them as \p Text.
Bytes fromBase64Url(std::string_view Text) {
  std::string Plain(Text);
  std::replace(Plain.begin(), Plain.end(), '-', '+');
  std::replace(Plain.begin(), Plain.end(), '_', '/');
  const std::size_t Padding = (4 - Plain.size() % 4) % 4;
  Plain.append(Padding, '=');
  Bytes Data(Plain.size() / 4 * 3);
  const int Size = EVP_DecodeBlock(
      Data.data(), reinterpret_cast<const unsigned char *>(Plain.data()),
      static_cast<int>(Plain.size()));
  if (Size < 0 || Padding > 2)
    return {};
  Data.resize(static_cast<std::size_t>(Size) - Padding);
  if (toBase64Url(Data) != Text)
    return {};
  return Data;
}

Result<SessionToken> readBody(BodyReader Reader) {
  if (Reader.number(1) != FormatVersion)
    return invalidToken();
  SessionToken Token(Reader.text());
  const std::uint64_t Count = Reader.number(2);
  for (std::uint64_t I = 0; I < Count && Reader.isValid(); ++I) {
    const std::string Group = Reader.text();
    const Term InTerm{Reader.number(8)};
    const LogPosition Log{Reader.number(8)};
    Token.advance(Group, {InTerm, Log});
  }
  if (!Reader.isComplete() || Token.positions().size() != Count)
    return invalidToken();
  return Token;
}

} // namespace

Result<SessionTokenCodec> SessionTokenCodec::create(Bytes Secret) {
  if (Secret.size() < MinSecretBytes)
    return failure(ErrorKind::InvalidSettings,
                   "the session signing key is shorter than " +
                       std::to_string(MinSecretBytes) + " bytes");
  return SessionTokenCodec(std::move(Secret));
}

Result<std::string> SessionTokenCodec::encode(const SessionToken &Token) const {
  Bytes Data;
  bool Fits = Token.workspace().size() <= MaxTextBytes &&
              Token.positions().size() <= MaxTextBytes;
  appendNumber(Data, FormatVersion, 1);
  appendText(Data, Token.workspace());
  appendNumber(Data, Token.positions().size(), 2);
  for (const auto &[Group, Seen] : Token.positions()) {
    Fits = Fits && Group.size() <= MaxTextBytes;
    appendText(Data, Group);
    appendNumber(Data, Seen.InTerm.Value, 8);
    appendNumber(Data, Seen.Log.Value, 8);
  }
  const auto Mac = sign(this->Secret, Data.data(), Data.size());
  Data.insert(Data.end(), Mac.begin(), Mac.end());
  std::string Text = toBase64Url(Data);
  if (!Fits || Text.size() > MaxEncodedBytes)
    return failure(ErrorKind::PayloadTooLarge,
                   "the session token exceeds " +
                       std::to_string(MaxEncodedBytes) + " bytes");
  return Text;
}

Result<SessionToken>
SessionTokenCodec::decode(std::string_view Text,
                          std::string_view Workspace) const {
  if (Text.size() > MaxEncodedBytes)
    return invalidToken();
  const Bytes Data = fromBase64Url(Text);
  if (Data.size() <= MacBytes)
    return invalidToken();
  const std::size_t BodySize = Data.size() - MacBytes;
  const auto Mac = sign(this->Secret, Data.data(), BodySize);
  // Compares in constant time, so that the time does not reveal how many bytes
  // of a forged MAC match.
  if (CRYPTO_memcmp(Mac.data(), Data.data() + BodySize, MacBytes) != 0)
    return invalidToken();
  Result<SessionToken> Token =
      readBody(BodyReader(Data.data(), Data.data() + BodySize));
  if (Token && Token.value().workspace() != Workspace)
    return failure(ErrorKind::BadSession,
                   "the session token belongs to another workspace");
  return Token;
}

} // namespace lavenderdale
