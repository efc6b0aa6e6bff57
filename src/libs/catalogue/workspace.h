#pragma once

#include "base/result.h"

#include <json/value.h>

#include <string>

namespace lavenderdale {

/// A customer of the fleet. Rate and burst are counted over all hosts.
struct Workspace {
  static constexpr double DefaultWeight = 1.0;

  std::string Name;
  double Rate = 0;  ///< Statements per second.
  double Burst = 0; ///< Statements.
  double Weight = DefaultWeight;

  /// \param Spec the object's "spec" member.
  /// \returns the workspace, or InvalidCatalogue.
  static Result<Workspace> fromJson(std::string Name, const Json::Value &Spec);

  /// \returns the "spec" member.
  Json::Value toJson() const;

  bool operator==(const Workspace &) const = default;
};

} // namespace lavenderdale
