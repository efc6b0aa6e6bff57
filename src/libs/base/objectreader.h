#pragma once

#include "result.h"

#include <json/value.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace lavenderdale {

/// Reads the members of a JSON object into typed values. The first fault is
/// kept; finish() returns it, and reports members that nobody read.
class ObjectReader {
public:
  /// \param Object the value to read; it has to outlive the reader.
  /// \param Path prefix of member names in errors, for example "spec".
  /// \param Kind error kind of all faults.
  ObjectReader(const Json::Value &Object, std::string Path,
               ErrorKind Kind = ErrorKind::BadRequest);

  /// Each returns the member's value, or a default after noting a fault.
  std::string requiredString(const char *Name);
  std::string optionalString(const char *Name, std::string Default = {});
  std::uint64_t requiredUnsigned(const char *Name, std::uint64_t Min,
                                 std::uint64_t Max);
  std::uint64_t optionalUnsigned(const char *Name, std::uint64_t Min,
                                 std::uint64_t Max, std::uint64_t Default);
  double requiredNumber(const char *Name, double Min, double Max);
  double optionalNumber(const char *Name, double Min, double Max,
                        double Default);
  bool optionalBool(const char *Name, bool Default);

  /// Returns the member as an array or an object, or an empty one.
  const Json::Value &optionalArray(const char *Name);
  const Json::Value &optionalObject(const char *Name);

  /// Returns the member whatever its type, or null.
  const Json::Value &optionalAny(const char *Name);

  /// Whether the member is there.
  bool has(const char *Name) const;

  /// Notes a fault of the member: what was found and what was expected.
  void reject(const char *Name, const std::string &Expected);

  /// The full name of a member, for example "spec.rate".
  std::string pathOf(const std::string &Name) const;

  /// \returns success, or the first fault, or an unknown member.
  Result<void> finish() const;

private:
  const Json::Value &take(const char *Name);
  bool requirePresent(const char *Name);

  const Json::Value &Object;
  std::string Path;
  ErrorKind Kind;
  std::set<std::string> Known;
  std::string Fault;
};

} // namespace lavenderdale
