#include "key.h"

#include "memberchecks.h"

namespace lavenderdale {
namespace {

constexpr std::array<std::string_view, 2> StateNames = {"granted", "withdrawn"};
constexpr std::size_t HashDigits = 64;

} // namespace

std::string_view toString(KeyState State) {
  return StateNames[static_cast<std::size_t>(State)];
}

Result<Key> Key::fromJson(std::string Id, const Json::Value &Spec) {
  ObjectReader Reader(Spec, "spec", ErrorKind::InvalidCatalogue);
  Key Value;
  Value.Id = std::move(Id);
  Value.Workspace = detail::requiredName(Reader, "workspace");
  Value.Hash = detail::requiredHex(Reader, "hash", HashDigits, HashDigits);
  Value.State = detail::requiredEnum<KeyState>(Reader, "state", StateNames);
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Value;
}

Json::Value Key::toJson() const {
  Json::Value Spec(Json::objectValue);
  Spec["workspace"] = this->Workspace;
  Spec["hash"] = this->Hash;
  Spec["state"] = std::string(toString(this->State));
  return Spec;
}

} // namespace lavenderdale
