#include "proxymetrics.h"

#include <array>

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
      EvacuationRefusals(this->Registry.counter(
          "lavenderdale_evacuation_refusals_total",
          "Work that was not sent to an upstream in an evacuated domain")),
      ColdRefusals(this->Registry.counter(
          "lavenderdale_cold_refusals_total",
          "Requests that exceeded the limit of a cold upstream")),
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
      Isolated(this->Registry.gauge(
          "lavenderdale_domain_isolated",
          "1 while no host of another failure domain answers")),
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

void ProxyMetrics::countWatcherFailure(const char *Reason) {
  this->Registry
      .counter("lavenderdale_watcher_failures_total",
               "Requests to a watcher of the store that failed, by reason",
               {{"reason", Reason}})
      .add();
}

void ProxyMetrics::countLimited(const MemoryBudget::Counts &Counts) {
  const auto Count = [this](const char *What, std::uint64_t Events) {
    this->Registry
        .counter("lavenderdale_connections_limited_total",
                 "Refusals and closed connections because of the limits of "
                 "memory and connections",
                 {{"what", What}})
        .add(Events);
  };
  Count("memory_refused", Counts.Refused);
  Count("closed_for_memory", Counts.Closed);
  Count("connection_refused", Counts.ConnectionsRefused);
  Count("idle_closed", Counts.ConnectionsClosed);
  Count("too_slow", Counts.TooSlow);
}

void ProxyMetrics::setUse(const MemoryBudget &Memory) {
  struct Row {
    const char *Name;
    MemoryBudget::Use Use;
  };
  static constexpr std::array<Row, MemoryBudget::UseCount> Table = {{
      {"receiving", MemoryBudget::Use::Receiving},
      {"session_state", MemoryBudget::Use::SessionState},
      {"answers", MemoryBudget::Use::Answers},
      {"relayed", MemoryBudget::Use::Relayed},
  }};
  const auto Set = [this](const char *Name, const char *Help, const Row &Each,
                          std::size_t Bytes) {
    this->Registry.gauge(Name, Help, {{"use", Each.Name}})
        .set(static_cast<std::int64_t>(Bytes));
  };
  for (const Row &Each : Table) {
    Set("lavenderdale_limited_memory_bytes",
        "Memory counted for callers and other hosts, by use", Each,
        Memory.used(Each.Use));
    Set("lavenderdale_limited_memory_limit_bytes", "Limit of the memory by use",
        Each, Memory.limit(Each.Use));
  }
  this->Registry
      .gauge("lavenderdale_open_sessions_limit", "Sessions that may be open")
      .set(static_cast<std::int64_t>(
          Memory.limits().Connections[static_cast<std::size_t>(
              MemoryBudget::Role::Caller)]));
}

} // namespace lavenderdale
