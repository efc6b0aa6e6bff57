#pragma once

#include "base/result.h"
#include "settings/settings.h"

#include <memory>

namespace lavenderdale {

/// A lavenderdale daemon: its listeners, services and threads.
class Daemon {
public:
  explicit Daemon(Settings Config);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Binds the listeners and starts all services.
  /// \returns Unavailable if an address cannot be bound, InvalidSettings if a
  /// file cannot be opened.
  Result<void> start();

  /// Shuts down gracefully: notifies peers and lets requests and transactions
  /// end. Blocks until they have ended or stop_limit_ms has passed.
  /// \returns whether all of them ended before the limit.
  bool stop();

private:
  class Private;
  std::unique_ptr<Private> P;
};

} // namespace lavenderdale
