#pragma once

#include "base/timepoint.h"
#include "catalogue/cataloguesnapshot.h"

namespace lavenderdale {

/// Gives request handling access to the configuration in force.
class ConfigurationSource {
public:
  virtual ~ConfigurationSource() = default;

  /// \returns the configuration in force, or nullptr if there is none yet.
  virtual SnapshotPointer snapshot() const = 0;

  /// Whether requests with API keys may be served at \p Now: false if this host
  /// has been unable for too long to confirm that its configuration is current.
  virtual bool mayAcceptKeys(TimePoint Now) const = 0;
};

} // namespace lavenderdale
