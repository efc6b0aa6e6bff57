#pragma once

#include "base/result.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace lavenderdale {

enum class KeyState { Granted, Withdrawn };

/// Wire names: "granted", "withdrawn".
std::string_view toString(KeyState State);

/// A workspace's key as stored: only the hash of its secret part.
struct Key {
  std::string Id;
  std::string Workspace;
  std::string Hash; ///< SHA-256 of the secret, 64 lowercase hex digits.
  KeyState State = KeyState::Granted;

  static Result<Key> fromJson(std::string Id, const Json::Value &Spec);
  Json::Value toJson() const;

  bool operator==(const Key &) const = default;
};

} // namespace lavenderdale
