#include "signingsecret.h"

#include "memberchecks.h"

namespace lavenderdale {
namespace {

constexpr std::size_t MinDigits = 64; // 32 bytes, the output of SHA-256.
constexpr std::size_t MaxDigits = 256;

} // namespace

Result<SigningSecret> SigningSecret::fromJson(std::string Id,
                                              const Json::Value &Spec) {
  ObjectReader Reader(Spec, "spec", ErrorKind::InvalidCatalogue);
  SigningSecret Value;
  Value.Id = std::move(Id);
  Value.Hex = Reader.optionalString("hex");
  // Not through ObjectReader::reject(), which would quote the secret.
  const bool Valid = Value.Hex.size() >= MinDigits &&
                     Value.Hex.size() <= MaxDigits &&
                     Value.Hex.size() % 2 == 0 && detail::isLowerHex(Value.Hex);
  if (!Valid)
    return failure(ErrorKind::InvalidCatalogue,
                   Reader.pathOf("hex") + ": expected " +
                       std::to_string(MinDigits) + " to " +
                       std::to_string(MaxDigits) + " lowercase hex digits");
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Value;
}

Json::Value SigningSecret::toJson() const {
  Json::Value Spec(Json::objectValue);
  Spec["hex"] = this->Hex;
  return Spec;
}

} // namespace lavenderdale
