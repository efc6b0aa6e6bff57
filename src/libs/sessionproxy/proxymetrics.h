#pragma once

#include "base/errorkind.h"
#include "limits/memorybudget.h"
#include "telemetry/metricsregistry.h"

#include <string>

namespace lavenderdale {

/// Counters, gauges and latency histograms of a session proxy.
class ProxyMetrics {
public:
  ProxyMetrics();

  /// Counts a statement that was answered with an error of the proxy.
  void countRefusal(ErrorKind Kind);
  /// Counts a failed attempt at an upstream.
  void countAttempt(const char *Outcome);
  /// Counts a request to a host that watches the store, which was not answered
  /// with a usable state.
  void countWatcherFailure(const char *Reason);

  /// Counts what the memory budget refused or closed.
  void countLimited(const MemoryBudget::Counts &Counts);
  /// Sets the gauges of the memory budget.
  void setUse(const MemoryBudget &Memory);

  /// Returns all metrics in the text format of Prometheus.
  std::string exposition() const { return this->Registry.exposition(); }

private:
  MetricsRegistry Registry;

public:
  Counter &Sessions;
  Counter &Operations;
  Counter &StatementsServed;
  Counter &Reads;        ///< Reads served outside of transactions.
  Counter &ReplicaReads; ///< Those of Reads that a replica served.
  Counter &Promotions;
  Counter &Relayed;        ///< Requests relayed to the host with connections.
  Counter &CarriedOut;     ///< Relayed requests served for other hosts.
  Counter &RelaysFailed;   ///< Relayed requests without an answer.
  Counter &StoreCalls;     ///< Calls that this host sent to the store.
  Counter &SharedReceived; ///< States of the store that another host sent.
  Counter &SharedAnswered; ///< States of the store sent to other hosts.
  Counter &SharedRefused;  ///< Requests of other hosts beyond the limit.
  Gauge &WatchesStore;     ///< 1 if this host watches the store itself.
  Counter &EvacuationRefusals; ///< Work not sent to evacuated upstreams.
  Counter &ColdRefusals;     ///< Requests beyond the limit of a cold upstream.
  Counter &RefusedOnArrival; ///< Statements that could not start in time.
  Gauge &OpenSessions;
  Gauge &CatalogueVersion;
  Gauge &Hosts;
  Gauge &UpstreamConnections;
  Gauge &Isolated;      ///< 1 while no host of another failure domain answers.
  Gauge &ColdUpstreams; ///< To which requests are limited.
  Gauge &EvacuatedDomains;
  Gauge &EvacuationRevision;   ///< Of the store, at which they were read.
  Gauge &EvacuatedConnections; ///< Of this host to upstreams there.
  Gauge &UpstreamRunning;      ///< Statements that run over this host.
  Gauge &UpstreamWaiting;      ///< Statements that wait at this host.
  /// Statements that may run at the same time at the upstreams to which this
  /// host has connections and that declare slots.
  Gauge &UpstreamLimit;
  LatencyHistogram &StatementTime; ///< From the caller's message to the reply.
  LatencyHistogram &WaitTime;      ///< Wait for an upstream connection.
  LatencyHistogram &UpstreamTime;  ///< Time spent at upstreams.
};

} // namespace lavenderdale
