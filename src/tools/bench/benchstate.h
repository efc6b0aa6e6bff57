#pragma once

#include "benchfleet.h"
#include "sessionproxy/proxystate.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <vector>

namespace lavenderdale::bench {

/// The state of one host, driven without a network: its executor never runs, so
/// what it would send stays unsent.
class BenchState {
public:
  explicit BenchState(const FleetShape &Shape);
  ~BenchState();

  BenchState(const BenchState &) = delete;
  BenchState &operator=(const BenchState &) = delete;

  ProxyState &state() { return this->State; }

  /// Brings the host to the state in which it serves: catalogue, upstreams and
  /// a report of each other host.
  void enterService();

  /// Applies a report of host \p Index, newer than its last one.
  /// \param Leaving whether the host leaves the fleet with it.
  void report(std::size_t Index, bool Proven, bool Leaving = false);

  const std::vector<UpstreamEntry> &entries() const { return this->Entries; }

private:
  class NoProtocol;

  const FleetShape Shape;
  boost::asio::io_context Context;
  std::unique_ptr<UpstreamProtocol> Protocol;
  const std::vector<UpstreamEntry> Entries;
  std::vector<HostReport> Reports; ///< By index of the host, and proven or not.
  std::uint64_t Sequence = 0;
  ProxyState State;
};

} // namespace lavenderdale::bench
