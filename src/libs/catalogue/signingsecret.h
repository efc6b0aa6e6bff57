#pragma once

#include "base/result.h"

#include <json/value.h>

#include <string>

namespace lavenderdale {

/// A secret that authenticates session tokens.
struct SigningSecret {
  std::string Id;
  std::string Hex; ///< At least 32 bytes as lowercase hex digits.

  static Result<SigningSecret> fromJson(std::string Id,
                                        const Json::Value &Spec);
  Json::Value toJson() const;

  bool operator==(const SigningSecret &) const = default;
};

} // namespace lavenderdale
