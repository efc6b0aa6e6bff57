#pragma once

#include "base/errorkind.h"
#include "telemetry/metricsregistry.h"

#include <string>

namespace lavenderdale {

/// Counters and latency histograms of a session proxy.
class ProxyMetrics {
public:
  ProxyMetrics();

  void countRefusal(ErrorKind Kind);
  void countAttempt(const char *Outcome);

  std::string exposition() const { return this->Registry.exposition(); }

private:
  MetricsRegistry Registry;

public:
  Counter &Sessions;
  Counter &Operations;
  Counter &StatementsServed;
  Counter &Reads;        ///< Served reads outside of transactions.
  Counter &ReplicaReads; ///< Those of them that a replica served.
  Counter &Promotions;
  Counter &Relayed;      ///< Requests sent to the host that has connections.
  Counter &CarriedOut;   ///< Requests carried out for other hosts.
  Counter &RelaysFailed; ///< Requests that the other host did not answer.
  Gauge &OpenSessions;
  Gauge &CatalogueVersion;
  Gauge &Hosts;
  Gauge &UpstreamConnections;
  LatencyHistogram &StatementTime; ///< From the caller's line to the reply.
  LatencyHistogram &WaitTime;      ///< For a connection.
  LatencyHistogram &UpstreamTime;  ///< At upstreams.
};

} // namespace lavenderdale
