#include "host.h"

#include "memberchecks.h"

namespace lavenderdale {

Result<Host> Host::fromJson(std::string Name, const Json::Value &Spec) {
  ObjectReader Reader(Spec, "spec", ErrorKind::InvalidCatalogue);
  Host Value;
  Value.Name = std::move(Name);
  // The platform may repeat the object's name in the spec.
  if (Reader.optionalString("name", Value.Name) != Value.Name)
    Reader.reject("name", "the object's name \"" + Value.Name + "\"");
  Value.FailureDomain = detail::requiredName(Reader, "failureDomain");
  Value.PeerAddress = detail::requiredAddress(Reader, "peerAddress");
  Value.PeerPort = detail::requiredPort(Reader, "peerPort");
  if (Reader.has("adminAddress") || Reader.has("adminPort")) {
    Value.AdminAddress = detail::requiredAddress(Reader, "adminAddress");
    Value.AdminPort = detail::requiredPort(Reader, "adminPort");
  }
  Value.Leaving = Reader.optionalBool("leaving", false);
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Value;
}

Json::Value Host::toJson() const {
  Json::Value Spec(Json::objectValue);
  Spec["name"] = this->Name;
  Spec["failureDomain"] = this->FailureDomain;
  Spec["peerAddress"] = this->PeerAddress;
  Spec["peerPort"] = static_cast<Json::Int64>(this->PeerPort);
  if (!this->AdminAddress.empty()) {
    Spec["adminAddress"] = this->AdminAddress;
    Spec["adminPort"] = static_cast<Json::Int64>(this->AdminPort);
  }
  Spec["leaving"] = this->Leaving;
  return Spec;
}

} // namespace lavenderdale
