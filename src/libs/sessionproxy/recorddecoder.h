#pragma once

#include "base/result.h"
#include "objectstore.h"
#include "sessioncatalogue.h"
#include "upstreamentry.h"

namespace lavenderdale {

/// Reads the objects that operators and upstreams write.
class RecordDecoder {
public:
  virtual ~RecordDecoder() = default;

  /// Errors: InvalidCatalogue.
  virtual Result<SessionCatalogue>
  decodeCatalogue(const Json::Value &Spec) const = 0;

  /// Errors: InvalidCatalogue.
  virtual Result<UpstreamEntry>
  decodeUpstream(const StoredObject &Object) const = 0;
};

} // namespace lavenderdale
