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
      EvacuationRefusals(this->Registry.counter(
          "lavenderdale_evacuation_refusals_total",
          "Work that was not sent to an upstream in an evacuated domain")),
      ColdRefusals(this->Registry.counter(
          "lavenderdale_cold_refusals_total",
          "Requests that exceeded the limit of a cold upstream")),
      OpenSessions(this->Registry.gauge("lavenderdale_open_sessions",
                                        "Sessions that are open")),
      CatalogueVersion(this->Registry.gauge("lavenderdale_catalogue_version",
                                            "Version in force")),
      Hosts(this->Registry.gauge("lavenderdale_hosts",
                                 "Hosts of the fleet that may be serving")),
      UpstreamConnections(
          this->Registry.gauge("lavenderdale_upstream_connections",
                               "Connections of this host to upstreams")),
      ColdUpstreams(
          this->Registry.gauge("lavenderdale_cold_upstreams",
                               "Cold upstreams to which requests are limited")),
      EvacuatedDomains(
          this->Registry.gauge("lavenderdale_evacuated_domains",
                               "Failure domains that are evacuated")),
      EvacuationRevision(this->Registry.gauge(
          "lavenderdale_evacuation_revision",
          "Revision of the store at which the evacuated domains were read")),
      EvacuatedConnections(this->Registry.gauge(
          "lavenderdale_evacuated_connections",
          "Connections of this host to upstreams in evacuated domains")),
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
