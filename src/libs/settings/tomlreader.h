#pragma once

#include "base/result.h"
#include "ipendpoint.h"

#include <chrono>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavenderdale {

/// Reads sections and keys of a TOML text into typed variables and collects
/// every problem. A variable keeps its value if its key is absent or wrong.
class TomlReader {
public:
  TomlReader(const std::string &Text, std::string FileName);
  ~TomlReader();

  TomlReader(const TomlReader &) = delete;
  TomlReader &operator=(const TomlReader &) = delete;

  /// Selects the section that the following calls read from.
  void enter(const char *Section, bool Required);

  /// A non-empty string without blanks.
  void requiredName(const char *Key, std::string &Target);
  void requiredEndpoint(const char *Key, IpEndpoint &Target);
  /// Reads an endpoint that others connect to, so its port is not 0.
  void optionalEndpoint(const char *Key, std::optional<IpEndpoint> &Target);
  /// A non-empty array.
  void requiredEndpoints(const char *Key, std::vector<IpEndpoint> &Target);

  void optionalString(const char *Key, std::string &Target);
  void optionalChoice(const char *Key,
                      std::initializer_list<const char *> Choices,
                      std::string &Target);
  /// Bounds are inclusive.
  void optionalUnsigned(const char *Key, std::uint64_t Min, std::uint64_t Max,
                        std::uint64_t &Target);
  void optionalMilliseconds(const char *Key, std::chrono::milliseconds Min,
                            std::chrono::milliseconds Max,
                            std::chrono::milliseconds &Target);
  void optionalNumber(const char *Key, double Min, double Max, double &Target);

  /// \returns success, or InvalidSettings with one line for each problem,
  ///          in the order of the lines of the file. Sections and keys that
  ///          nobody read are problems.
  Result<void> finish();

private:
  struct Private;
  std::unique_ptr<Private> D;
};

} // namespace lavenderdale
