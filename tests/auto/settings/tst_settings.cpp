#include "settings/settings.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace lavenderdale;

namespace {

const std::string Minimal = R"([host]
name = "entry-1"
failure_domain = "dakar-a"
[listen]
clients = "127.0.0.1:8080"
peers = "[::1]:8081"
admin = "127.0.0.1:8082"
[platform]
endpoints = ["10.0.0.1:80", "10.0.0.2:80"]
)";

std::string problemsOf(const std::string &Text) {
  const Result<Settings> Read = parseSettings(Text, "f.toml");
  return Read ? std::string() : Read.error().Detail;
}

} // namespace

TEST_CASE("the required sections are enough") {
  const Result<Settings> Read = parseSettings(Minimal, "f.toml");
  REQUIRE(Read.has_value());
  CHECK(Read.value().Host.FailureDomain == "dakar-a");
  CHECK(Read.value().Listen.Peers == IpEndpoint{"::1", 8081});
  CHECK(toString(Read.value().Listen.Peers) == "[::1]:8081");
  CHECK(Read.value().Platform.Endpoints.size() == 2);
  CHECK(Read.value().Timeouts.StopLimit == std::chrono::seconds(30));
}

// Guards against settings that are ignored or corrected in silence, and
// against an operator who has to find several mistakes one at a time.
TEST_CASE("all problems are reported with file, line, key and value") {
  CHECK(
      problemsOf(Minimal + R"([limits]
max_connections = "many"
max_request_bytes = 1
max_conections = 5
[timeouts]
stop_grace_ms = -1
stop_limit_ms = 700000
peer_ms = 100
[traces]
sample = 1.5
[log]
level = "loud"
[tracing]
)") ==
      R"(f.toml:11: limits.max_connections: found "many", expected a whole number from 1 to 1000000
f.toml:12: limits.max_request_bytes: found 1, expected a whole number from 1024 to 1073741824
f.toml:13: limits.max_conections: found 5, expected no such key
f.toml:15: timeouts.stop_grace_ms: found -1, expected a whole number from 0 to 600000
f.toml:16: timeouts.stop_limit_ms: found 700000, expected a whole number from 0 to 600000
f.toml:17: timeouts.peer_ms: found 100, expected no such key
f.toml:19: traces.sample: found 1.5, expected a number from 0 to 1
f.toml:21: log.level: found "loud", expected one of "debug", "info", "warn", "error"
f.toml:22: tracing: found a table, expected no such section or key)");
}

// Guards against policies for measurements that are in use by mistake.
TEST_CASE("the section for experiments is checked") {
  const Result<Settings> Plain = parseSettings(Minimal, "f.toml");
  REQUIRE(Plain.has_value());
  CHECK(Plain.value().Experiment == ExperimentSettings());
  const Result<Settings> Read =
      parseSettings(Minimal + "[experiment]\nqueue = \"fifo\"\n"
                              "reads = \"round-robin\"\n"
                              "suspect_after_ms = 10000\n",
                    "f.toml");
  REQUIRE(Read.has_value());
  CHECK(Read.value().Experiment ==
        ExperimentSettings{"fifo", "round-robin", std::chrono::seconds(10)});
  CHECK(
      problemsOf(Minimal + "[experiment]\nqueue = \"lifo\"\nreads = 1\n"
                           "suspect_after_ms = 1000\n") ==
      R"(f.toml:11: experiment.queue: found "lifo", expected one of "fair", "fifo"
f.toml:12: experiment.reads: found 1, expected one of "freshest", "round-robin"
f.toml:13: experiment.suspect_after_ms: found 1000, expected a whole number from 1200 to 60000)");
}

// Guards against one of two contradicting values being taken.
TEST_CASE("doubled keys are reported together with later problems") {
  CHECK(problemsOf(Minimal + "[threads]\nworkers = 2\nworkers = 3\n"
                             "[log]\nlevel = 1\nlevel = 2\n") ==
        R"(f.toml:12: workers: found a doubled key, expected each key once
f.toml:14: log.level: found 1, expected one of "debug", "info", "warn", "error"
f.toml:15: level: found a doubled key, expected each key once)");
  CHECK(problemsOf(Minimal + "[host]\nname = \"b\"\n") ==
        "f.toml:10: host: found a doubled table, expected each table once");
}

// Guards against a name that needs resolving, and against missing sections.
TEST_CASE("addresses are numeric and required keys are there") {
  const std::string Problems = problemsOf(R"([listen]
clients = "localhost:80"
peers = "10.0.0.1"
advertised_peers = "10.0.0.1:0"
[platform]
endpoints = []
)");
  CHECK(Problems ==
        R"(f.toml:1: host: found nothing, expected a section
f.toml:1: listen.admin: found nothing, expected "IP:PORT" with a numeric IP
f.toml:2: listen.clients: found "localhost:80", expected "IP:PORT" with a numeric IP
f.toml:3: listen.peers: found "10.0.0.1", expected "IP:PORT" with a numeric IP
f.toml:4: listen.advertised_peers: found "10.0.0.1:0", expected "IP:PORT" with a numeric IP and a port from 1
f.toml:6: platform.endpoints: found an array of 0, expected a non-empty array of "IP:PORT" with numeric IPs)");
  CHECK(problemsOf("[host\n").find("f.toml:1: host: found ") == 0);
  CHECK_FALSE(parseIpEndpoint("10.0.0.1:65536").has_value());
  CHECK_FALSE(parseIpEndpoint("::1:80").has_value());
  CHECK_FALSE(loadSettings("/nonexistent/f.toml").has_value());
}
