#pragma once

#include "base/result.h"
#include "objectstore.h"
#include "sessioncatalogue.h"
#include "upstreamentry.h"

namespace lavenderdale {

/// Decodes the stored objects that operators and upstreams write.
class RecordDecoder {
public:
  virtual ~RecordDecoder() = default;

  /// Whether \p Object, of the collection of catalogues, is the one in force.
  virtual bool isCatalogue(const StoredObject &Object) const = 0;

  /// Decodes the contents of a catalogue object. Errors: InvalidCatalogue.
  virtual Result<SessionCatalogue>
  decodeCatalogue(const Json::Value &Spec) const = 0;

  /// Decodes the object of an upstream. Errors: InvalidCatalogue.
  virtual Result<UpstreamEntry>
  decodeUpstream(const StoredObject &Object) const = 0;
};

} // namespace lavenderdale
