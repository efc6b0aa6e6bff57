#pragma once

#include "base/timepoint.h"
#include "catalogue/cataloguesnapshot.h"

namespace lavenderdale {

/// The configuration in force, as request handling sees it.
class ConfigurationSource {
public:
  virtual ~ConfigurationSource() = default;

  virtual SnapshotPointer snapshot() const = 0;

  /// Whether keys may still be honoured: false when the host could not confirm
  /// for too long that its configuration is current.
  virtual bool mayServeKeyed(TimePoint Now) const = 0;
};

} // namespace lavenderdale
