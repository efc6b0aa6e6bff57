#include "proxymetrics.h"

namespace lavenderdale {

ProxyMetrics::ProxyMetrics()
    : Sessions(this->Registry.counter("lavenderdale_sessions_total",
                                      "Sessions that were admitted")),
      Operations(this->Registry.counter(
          "lavenderdale_operations_total",
          "Single statements and transactions inside their rate")),
      StatementsServed(
          this->Registry.counter("lavenderdale_statements_served_total",
                                 "Statements that an upstream completed")),
      Reads(this->Registry.counter("lavenderdale_reads_total",
                                   "Served reads outside of transactions")),
      ReplicaReads(this->Registry.counter("lavenderdale_replica_reads_total",
                                          "Reads that a replica served")),
      Promotions(this->Registry.counter("lavenderdale_promotions_total",
                                        "Promotions ordered by this host")),
      Relayed(this->Registry.counter(
          "lavenderdale_relayed_total",
          "Requests sent to the host that holds the upstream's connections")),
      CarriedOut(this->Registry.counter("lavenderdale_carried_out_total",
                                        "Requests of other hosts")),
      RelaysFailed(this->Registry.counter(
          "lavenderdale_relays_failed_total",
          "Requests that the other host did not answer")),
      StoreCalls(this->Registry.counter("lavenderdale_store_calls_total",
                                        "Calls of the object store")),
      SharedReceived(this->Registry.counter(
          "lavenderdale_shared_received_total",
          "States of the store received from a host that watches it")),
      SharedAnswered(this->Registry.counter(
          "lavenderdale_shared_answered_total",
          "States of the store sent to hosts that follow this one")),
      SharedRefused(this->Registry.counter(
          "lavenderdale_shared_refused_total",
          "Requests for states of the store beyond the limit")),
      WatchesStore(this->Registry.gauge(
          "lavenderdale_watches_store",
          "1 if this host watches the store itself, otherwise 0")),
      OpenSessions(this->Registry.gauge("lavenderdale_open_sessions",
                                        "Sessions that are open")),
      CatalogueVersion(this->Registry.gauge("lavenderdale_catalogue_version",
                                            "Version in force")),
      Hosts(this->Registry.gauge("lavenderdale_hosts",
                                 "Hosts of the fleet that may be serving")),
      UpstreamConnections(
          this->Registry.gauge("lavenderdale_upstream_connections",
                               "Connections of this host to upstreams")),
      StatementTime(
          this->Registry.histogram("lavenderdale_statement_seconds",
                                   "From a caller's statement to its reply")),
      WaitTime(this->Registry.histogram("lavenderdale_wait_seconds",
                                        "Wait for an upstream connection")),
      UpstreamTime(this->Registry.histogram("lavenderdale_upstream_seconds",
                                            "Time at upstreams")) {}

void ProxyMetrics::countRefusal(ErrorKind Kind) {
  this->Registry
      .counter("lavenderdale_refusals_total", "Statements refused, by kind",
               {{"kind", std::string(errorAnswer(Kind).Name)}})
      .add();
}

void ProxyMetrics::countAttempt(const char *Outcome) {
  this->Registry
      .counter("lavenderdale_failed_attempts_total",
               "Attempts at upstreams that failed, by outcome",
               {{"outcome", Outcome}})
      .add();
}

void ProxyMetrics::countWatcherFailure(const char *Reason) {
  this->Registry
      .counter("lavenderdale_watcher_failures_total",
               "Requests to a watcher of the store that failed, by reason",
               {{"reason", Reason}})
      .add();
}

} // namespace lavenderdale
