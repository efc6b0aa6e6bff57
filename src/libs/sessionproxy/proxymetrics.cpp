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
      RefusedOnArrival(this->Registry.counter(
          "lavenderdale_refused_on_arrival_total",
          "Statements refused because they could not start in time")),
      OpenSessions(this->Registry.gauge("lavenderdale_open_sessions",
                                        "Sessions that are open")),
      CatalogueVersion(this->Registry.gauge("lavenderdale_catalogue_version",
                                            "Version in force")),
      Hosts(this->Registry.gauge("lavenderdale_hosts",
                                 "Hosts of the fleet that may be serving")),
      UpstreamConnections(
          this->Registry.gauge("lavenderdale_upstream_connections",
                               "Connections of this host to upstreams")),
      UpstreamRunning(
          this->Registry.gauge("lavenderdale_upstream_running",
                               "Statements that run over this host")),
      UpstreamWaiting(
          this->Registry.gauge("lavenderdale_upstream_waiting",
                               "Statements that wait at this host")),
      UpstreamLimit(this->Registry.gauge(
          "lavenderdale_upstream_limit",
          "Statements that may run at connected upstreams with slots")),
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

} // namespace lavenderdale
