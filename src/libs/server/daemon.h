#pragma once

#include "base/result.h"
#include "settings/settings.h"

#include <memory>

namespace lavenderdale {

/// One lavenderdale daemon: listeners, services and their threads.
class Daemon {
public:
  explicit Daemon(Settings Config);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Binds the listeners and starts all services.
  /// \returns Unavailable when an address cannot be bound, InvalidSettings when
  /// a file cannot be opened.
  Result<void> start();

  /// Stops as planned: tells peers, lets requests and transactions end. Blocks
  /// until done or until the stop limit of the settings.
  /// \returns whether everything had ended before the limit.
  bool stop();

private:
  class Private;
  std::unique_ptr<Private> P;
};

} // namespace lavenderdale
