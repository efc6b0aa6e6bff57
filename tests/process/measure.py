"""Measures a fleet of real processes on loopback against the marks of the design page.

The network delays of section 1.1 are not simulated. Ends by itself: every load
run is bounded, and no step repeats until it succeeds.
"""
import argparse
import json
import os
import re
import statistics
import subprocess
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from cluster import Cluster, GroupPlan, program, wait_until

LOAD_PROGRAM = os.environ.get("LAVENDERDALE_LOAD", "")
DOMAINS = ("d1", "d2", "d3")
GROUPS = ("g1", "g2", "g3")
HOSTS = {f"h{number}": DOMAINS[(number - 1) % 3] for number in range(1, 7)}
DEPLOYMENTS = {
    "irish-metal": {"slots": 2, "connections": 16, "connect_delay_ms": 10},
    "teranga": {"slots": 3, "connections": 35, "connect_delay_ms": 30},
}
SERVICE_TIME_US = 500
REPLAY_LAG_MS = 50
# Rate of the quiet workspaces. They send 70% of it, so that with a burst of one
# second's rate everything they send is inside the rate.
RATE, BURST, INSIDE = 100, 100, 0.7
OVERLOAD = 8
QUIET = ("quiet1", "quiet2", "quiet3", "quiet4")
AMPLE = 20000
TARGET_RATE = 2300
LATENCY_RATE = 1000
READ, WRITE = "SELECT quantity FROM stock", "INSERT INTO writes VALUES ({n}, 'load')"
# The policies that the real ones are measured against.
BASELINE_SETTINGS = ('[experiment]\nqueue = "fifo"\nreads = "round-robin"\n'
                     'suspect_after_ms = 10000\n')
BASELINE_GAP_SECONDS = 15
# Below this number of statements the slowest 1% are fewer than ten.
SAMPLES_FOR_P99 = 1000
INIT_SQL = ("CREATE TABLE writes (id INTEGER, note TEXT);"
            "CREATE TABLE stock (item TEXT PRIMARY KEY, quantity INTEGER);"
            "INSERT INTO stock VALUES ('plate', 40);")


class MeasuredCluster(Cluster):
    """A cluster whose daemons sample few spans, as in production."""

    def start_daemon(self, daemon):
        text = daemon.settings.read_text().replace("sample = 1.0", "sample = 0.01")
        daemon.settings.write_text(text)
        super().start_daemon(daemon)


class Load:
    """One run of lavenderdale-load."""

    def __init__(self, ports, **options):
        command = [LOAD_PROGRAM or program("src/tools/loadtool/lavenderdale-load"), "--json"]
        for port in ports:
            command += ["--target", f"127.0.0.1:{port}"]
        for name, value in options.items():
            command.append("--" + name.replace("_", "-"))
            if value is not True:
                command.append(str(value))
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def result(self) -> dict:
        try:
            text, _ = self.process.communicate(timeout=120)
        except subprocess.TimeoutExpired:
            self.process.kill()
            raise
        if self.process.returncode != 0:
            raise AssertionError(f"{self.process.args} exited {self.process.returncode}")
        return json.loads(text.splitlines()[-1])


class Report:
    """Prints measures as table rows or JSON lines."""

    def __init__(self, as_json: bool):
        self.as_json = as_json
        if not as_json:
            print("| deployment | measure | value | mark | met | notes |\n"
                  "| --- | --- | --- | --- | --- | --- |", flush=True)

    def add(self, deployment, measure, value, unit="", mark="", met=None, notes=""):
        if self.as_json:
            print(json.dumps({"deployment": deployment, "measure": measure, "value": value,
                              "unit": unit, "mark": mark, "met": met, "notes": notes}), flush=True)
            return
        word = {True: "yes", False: "NO", None: ""}[met]
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
        print(f"| {deployment} | {measure} | {text} {unit} | {mark} | {word} | {notes} |",
              flush=True)


def plan(deployment: dict, name: str, service_us=SERVICE_TIME_US, lag_ms=REPLAY_LAG_MS):
    return GroupPlan(name=name, domains=DOMAINS, connections=deployment["connections"],
                     slots=deployment["slots"],
                     options=("--service-time-us", str(service_us), "--connect-delay-ms",
                              str(deployment["connect_delay_ms"]), "--replay-lag-ms", str(lag_ms)))


def workspace(name, rate, burst):
    return ("Workspace", name, {"rate": rate, "burst": burst, "weight": 1})


def route(name, owner, group, traffic="standard"):
    return ("Route", name, {"owner": owner, "group": group, "trafficClass": traffic,
                            "acknowledge": "replica" if traffic == "urgent" else "primary"})


def ports_of(cluster, names=None):
    return [cluster.daemons[name].clients for name in names or cluster.daemons]


def prepare(cluster, workspaces, routes) -> dict:
    """Applies the catalogue; returns keys by workspace once all daemons answer 200.

    Rate owners start empty, so the first statements of a new workspace wait.
    """
    cluster.apply(workspaces + routes)
    keys = {name: cluster.grant(name) for _, name, _ in workspaces}
    for daemon in cluster.daemons.values():
        wait_until(f"{daemon.name} sees all hosts", lambda d=daemon: sorted(
            d.status()["liveHosts"]) == sorted(cluster.daemons))
    for _, name, spec in routes:
        for daemon in cluster.daemons.values():
            wait_until(f"{daemon.name} serves {name}", lambda d=daemon, n=name, s=spec:
                       cluster.execute(d, n, "SELECT 1", key=keys[s["owner"]]).status == 200)
    return keys


def share(part, whole):
    return 100.0 * part / whole if whole else 0.0


def refused(result):
    """Statements answered with the refusal of the rate limit."""
    return result["kinds"].get("rate-limited", 0)


def other_failures(result):
    return {kind: count for kind, count in result["kinds"].items() if kind != "rate-limited"}


def primary_read_reasons(cluster):
    reasons = {}
    for daemon in cluster.daemons.values():
        for reason, count in re.findall(
                r'^lavenderdale_primary_reads_total\{reason="([^"]+)"\} (\S+)$',
                daemon.metrics(), re.M):
            reasons[reason] = reasons.get(reason, 0) + int(float(count))
    return reasons


def refused_by_host_shares(arrivals_ms, start_tokens, rate, burst):
    """Share refused by a bucket of the given rate and burst; times in ms."""
    tokens, last, count = start_tokens, 0.0, 0
    for when in arrivals_ms:
        tokens = min(burst, tokens + (when - last) * rate / 1000)
        last = when
        if tokens >= 1:
            tokens -= 1
        else:
            count += 1
    return share(count, len(arrivals_ms))


def load_reads(cluster, keys, seconds):
    return Load(ports_of(cluster), route="main", key=keys["main"], read_sql=READ,
                write_sql=WRITE, read_share=0.8, sessions=True, rate=200,
                duration=seconds, connections=24).result()


def replica_share(result):
    served = result["readsServedBy"]
    return share(served.get("replica", 0), sum(served.values()))


def measure_replica_share(report, name, cluster, keys, seconds, baseline):
    before = primary_read_reasons(cluster)
    result = load_reads(cluster, keys, seconds)
    after = primary_read_reasons(cluster)
    value = replica_share(result)
    reasons = {key: after[key] - before.get(key, 0) for key in after
               if after[key] != before.get(key, 0)}
    report.add(name, "reads served by replicas, replicas 50 ms behind", value, "%", ">= 95",
               value >= 95, f"{sum(result['readsServedBy'].values())} reads, 20% writes, 24 "
               f"sessions; planned for the primary: {reasons}; {latency_notes(result)}")
    report.add(name, "baseline: primary only", 0.0, "%", notes="computed")
    report.add(name, "baseline: round robin with wait", replica_share(baseline), "%",
               notes=f"{sum(baseline['readsServedBy'].values())} reads; "
               f"{latency_notes(baseline)}")


def latency_notes(result):
    return (f"p50 {result['p50Ms']:.2f} ms, p99 {result['p99Ms']:.2f} ms, reads and writes; "
            f"failures: {result['kinds']}")


def start_quiet(cluster, keys, seconds, seed):
    return [Load(ports_of(cluster), route=name, key=keys[name], read_sql=READ, write_sql=WRITE,
                 read_share=0.5, rate=RATE * INSIDE, duration=seconds, connections=12,
                 seed=seed + number) for number, name in enumerate(QUIET)]


@dataclass
class Overload:
    """What the quiet workspaces got alone and beside the overloading one."""
    quiet: list
    beside: list
    flood: dict

    def shares(self):
        return [share(each["answered"], each["sent"]) for each in self.beside]

    def ratios(self):
        return [after["p99Ms"] / before["p99Ms"]
                for before, after in zip(self.quiet, self.beside)]

    def p99_notes(self):
        ratios = self.ratios()
        worst = ratios.index(max(ratios))
        samples = min(each["sent"] for each in self.quiet + self.beside)
        return (f"{self.beside[worst]['p99Ms']:.2f} ms / {self.quiet[worst]['p99Ms']:.2f} ms" +
                (f"; not reliable, {samples} statements" if samples < SAMPLES_FOR_P99 else ""))


def load_overload(cluster, keys, seconds):
    """Both runs start with full buckets: the rates are not used for a second before."""
    quiet = [load.result() for load in start_quiet(cluster, keys, seconds, 10)]
    time.sleep(BURST / RATE)
    loud = Load(ports_of(cluster), route="loud", key=keys["loud"], read_sql=READ,
                write_sql=WRITE, read_share=0.5, rate=RATE * OVERLOAD, duration=seconds + 1,
                connections=200, seed=9)
    time.sleep(0.5)
    beside = [load.result() for load in start_quiet(cluster, keys, seconds, 20)]
    return Overload(quiet, beside, loud.result())


def measure_overload(report, name, cluster, keys, seconds, baseline):
    result = load_overload(cluster, keys, seconds)
    answered, ratio = min(result.shares()), max(result.ratios())
    report.add(name, "worst-served quiet workspace: answered of what it sent inside its rate",
               answered, "%", ">= 99", answered >= 99,
               f"failures: {[each['kinds'] for each in result.beside]}; the other workspace sent "
               f"{result.flood['sent']}, answered {result.flood['answered']}, "
               f"refused {refused(result.flood)}")
    report.add(name, "baseline: one FIFO queue", min(baseline.shares()), "%",
               notes=f"failures: {[each['kinds'] for each in baseline.beside]}")
    report.add(name, "worst-served quiet workspace: p99 / its quiet p99", ratio, "", "<= 2",
               ratio <= 2, result.p99_notes())
    report.add(name, "baseline: one FIFO queue", max(baseline.ratios()),
               notes=baseline.p99_notes())


def measure_one_daemon(report, name, cluster, keys, seconds):
    """All load of a workspace arrives at one daemon, right after it used all."""
    Load(ports_of(cluster), route="quiet1", key=keys["quiet1"], read_sql=READ,
         rate=RATE * INSIDE, duration=1, connections=12, seed=29).result()
    result = Load(ports_of(cluster, ["h1"]), route="quiet1", key=keys["quiet1"], read_sql=READ,
                  rate=RATE * INSIDE, duration=seconds, connections=12, seed=30,
                  arrivals=True).result()
    value = share(refused(result), result["sent"])
    report.add(name, "refused although inside its rate, all load on one daemon", value, "%",
               "< 0.1", value < 0.1,
               f"{refused(result)} of {result['sent']}; other failures: {other_failures(result)}")
    hosts = len(cluster.daemons)
    report.add(name, "baseline: rate divided by host count",
               refused_by_host_shares(result["arrivalsMs"], BURST / hosts, RATE / hosts,
                                      BURST / hosts), "%", notes="computed from the same arrivals")


def measure_daemon_killed(report, name, cluster, keys):
    """Kills the last daemon; the result covers the 10 s after it."""
    kill_after, lead, window = 1.0, 0.3, 10
    loads = [Load(ports_of(cluster), route=each, key=keys[each], read_sql=READ, write_sql=WRITE,
                  read_share=0.5, rate=RATE * INSIDE, duration=kill_after + window,
                  connections=24, seed=40 + number) for number, each in enumerate(QUIET)]
    time.sleep(kill_after + lead)
    cluster.daemons["h6"].process.kill()
    results = [load.result() for load in loads]
    sent, count = sum(each["sent"] for each in results), sum(refused(each) for each in results)
    failures = {}
    for each in results:
        for kind, number in other_failures(each).items():
            failures[kind] = failures.get(kind, 0) + number
    value = share(count, sent)
    report.add(name, "refused although inside its rate, 10 s after one daemon is killed", value,
               "%", "< 0.1", value < 0.1, f"{count} of {sent}, 1 s before the kill included; "
               f"other failures: {failures}")


def gap_of_fault(cluster, key, group, fault, seconds) -> tuple:
    """Breaks the group's primary 1 s into a run of writes.

    Returns the longest time in ms between two acknowledged writes, whether writes were
    acknowledged again before the run ended, and the failures.
    """
    load = Load(ports_of(cluster), route=f"write-{group}", key=key, write_sql=WRITE, read_share=0,
                rate=150, duration=seconds, connections=600, seed=int(group[1:]) + 50)
    breaker = threading.Timer(1.3, fault, [cluster.databases[f"{group}-1"]])
    breaker.start()
    result = load.result()
    breaker.join()
    # The last write acknowledged before the fault is older than half the run.
    recovered = result["lastSuccessMs"] > seconds * 1000 / 2
    return result["longestGapMs"], recovered, result["kinds"]


FAULTS = {"killed": lambda database: database.process.kill(),
          "frozen": lambda database: database.control("/freeze", ms=60000)}


def write_routes():
    return [route(f"write-{group}", "main", group, "urgent") for group in GROUPS]


def load_baseline_gaps(cluster, key):
    """The fault of each kind in a group of its own, at the same time."""
    with ThreadPoolExecutor() as pool:
        runs = {fault: pool.submit(gap_of_fault, cluster, key, group, FAULTS[fault],
                                   BASELINE_GAP_SECONDS)
                for group, fault in zip(GROUPS[1:], FAULTS)}
    return {fault: run.result() for fault, run in runs.items()}


def report_baseline_gap(report, name, baseline):
    gap, recovered, failed = baseline
    report.add(name, "baseline: fixed 10 s timeout", gap, "ms",
               notes=f"1 run{'' if recovered else ', no write was acknowledged again'}; "
               f"failures: {failed}")


def measure_gaps(report, name, deployment, runs, seconds, baseline):
    """One group per run, since a group with a dead member has no second majority."""
    gaps = {fault: [] for fault in runs}
    kinds = {fault: [] for fault in runs}
    unfinished = {fault: 0 for fault in runs}
    pending = [fault for fault, count in runs.items() for _ in range(count)]
    while pending:
        now, pending = pending[:len(GROUPS)], pending[len(GROUPS):]
        with MeasuredCluster(hosts=dict(HOSTS), init_sql=INIT_SQL,
                             groups=[plan(deployment, group) for group in GROUPS]) as cluster:
            keys = prepare(cluster, [workspace("main", AMPLE, AMPLE)],
                           write_routes())
            for group, fault in zip(GROUPS, now):
                gap, recovered, failed = gap_of_fault(cluster, keys["main"], group,
                                                      FAULTS[fault], seconds[fault])
                gaps[fault].append(gap)
                unfinished[fault] += not recovered
                kinds[fault].append(failed)
    for fault, values in gaps.items():
        notes = (f"{len(values)} runs: {[round(value) for value in values]} ms; "
                 f"{unfinished[fault]} of them without a write acknowledged again before the run "
                 f"ended; failures: {kinds[fault]}")
        median = statistics.median(values)
        report.add(name, f"write gap, primary {fault}, median", median, "ms", "< 2000",
                   median < 2000 and not unfinished[fault], notes)
        report.add(name, f"write gap, primary {fault}, max", max(values), "ms", "< 5000",
                   max(values) < 5000 and not unfinished[fault])
        if baseline:
            report_baseline_gap(report, name, baseline[fault])


def deployment_cluster(deployment, settings=""):
    return MeasuredCluster(hosts=dict(HOSTS), init_sql=INIT_SQL, settings=settings,
                           groups=[plan(deployment, group) for group in GROUPS])


def prepare_deployment(cluster):
    rated = [*QUIET, "loud"]
    return prepare(cluster, [workspace("main", AMPLE, AMPLE)] +
                   [workspace(each, RATE, BURST) for each in rated],
                   [route("main", "main", "g1")] + [route(each, each, "g2") for each in rated] +
                   write_routes())


def load_baselines(deployment, quick, seconds, overload_seconds):
    """The same load under the other policies: reads, overload and write gaps.

    The quick form has no time for the write gaps.
    """
    with deployment_cluster(deployment, BASELINE_SETTINGS) as cluster:
        keys = prepare_deployment(cluster)
        return (load_reads(cluster, keys, seconds),
                load_overload(cluster, keys, overload_seconds),
                None if quick else load_baseline_gaps(cluster, keys["main"]))


def measure_deployment(report, name, deployment, quick):
    seconds = 2 if quick else 8
    overload_seconds = 2 if quick else SAMPLES_FOR_P99 / (RATE * INSIDE) * 1.15
    reads, overload, gaps = load_baselines(deployment, quick, seconds, overload_seconds)
    with deployment_cluster(deployment) as cluster:
        keys = prepare_deployment(cluster)
        measure_replica_share(report, name, cluster, keys, seconds, reads)
        measure_overload(report, name, cluster, keys, overload_seconds, overload)
        measure_one_daemon(report, name, cluster, keys, seconds)
        measure_daemon_killed(report, name, cluster, keys)
    runs = {"killed": 2, "frozen": 1} if quick else {"killed": 3, "frozen": 3}
    # Longer for a frozen primary, so that a gap of over 5 s is seen as one.
    seconds = {"killed": 3.5, "frozen": 6.5} if quick else {"killed": 5, "frozen": 8}
    measure_gaps(report, name, deployment, runs, seconds, gaps)


def measure_latency(report, cluster, key, seconds):
    ports = ports_of(cluster)
    direct = Load([cluster.databases["g1-1"].port], mode="direct", read_sql=READ,
                  rate=LATENCY_RATE, duration=seconds, connections=4).result()
    through = Load(ports, route="main", key=key, read_sql=READ, rate=LATENCY_RATE,
                   duration=seconds, connections=16).result()
    for quantile, mark in (("p50Ms", 0.3), ("p99Ms", 1.0)):
        added, ratio = through[quantile] - direct[quantile], through[quantile] / direct[quantile]
        report.add("one daemon", f"latency added at {quantile[:3]}, {LATENCY_RATE} statements/s",
                   added, "ms", f"< {mark}", added < mark,
                   f"{through[quantile]:.3f} ms / {direct[quantile]:.3f} ms direct = "
                   f"{ratio:.2f}; failures: {through['kinds']} / {direct['kinds']}")


def measure_throughput(report, cluster, key, seconds):
    ports = ports_of(cluster)
    held = Load(ports, route="main", key=key, read_sql=READ, rate=TARGET_RATE,
                duration=seconds, connections=64).result()
    # Arrivals are random, so the mark is 99% of what was sent. Late answers count as time.
    value = held["answered"] / max(seconds, held["lastSuccessMs"] / 1000)
    report.add("one daemon", f"statements/s answered of {TARGET_RATE} sent at random", value, "/s",
               ">= 99% of sent", value >= 0.99 * held["sent"] / seconds,
               f"{held['sent']} sent in {seconds} s; p99 {held['p99Ms']:.2f} ms; failures: {held['kinds']}")
    closed = Load(ports, route="main", key=key, read_sql=READ, duration=seconds,
                  connections=32).result()
    report.add("one daemon", "statements/s, closed loop, 32 connections",
               closed["answered"] / seconds, "/s",
               notes=f"p99 {closed['p99Ms']:.2f} ms; failures: {closed['kinds']}")


def resident_bytes(process) -> int:
    text = Path(f"/proc/{process.handle.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", text).group(1)) * 1024


def measure_idle(report, cluster):
    daemon = cluster.daemons["h1"]
    for count in (2000, 8400):
        before = resident_bytes(daemon.process)
        load = Load([daemon.clients], mode="idle", connections=count, duration=4)
        time.sleep(3)
        during = resident_bytes(daemon.process)
        result = load.result()
        each = (during - before) / max(result["held"], 1)
        report.add("one daemon", f"memory per idle connection, {count} connections",
                   each / 1000, "KB", "< 8", each < 8000 and result["held"] == count,
                   f"resident memory {before // 1000} to {during // 1000} KB; held "
                   f"{result['held']}, failed {result['failed']}; no statement was sent on them")
        time.sleep(0.5)


def measure_one(report, quick):
    """Cost of one daemon. Replicas do not lag and statements take 100 us."""
    seconds = 2 if quick else 8
    deployment = DEPLOYMENTS["teranga"]
    with MeasuredCluster(hosts={"h1": "d1"}, init_sql=INIT_SQL,
                         groups=[plan(deployment, "g1", 100, 0)]) as cluster:
        keys = prepare(cluster, [workspace("main", AMPLE, AMPLE)], [route("main", "main", "g1")])
        # First, before other load grows the daemon's heap.
        measure_idle(report, cluster)
        measure_latency(report, cluster, keys["main"], seconds)
        measure_throughput(report, cluster, keys["main"], seconds)


def main():
    parser = argparse.ArgumentParser(description="Prints the measures of the design page.")
    parser.add_argument("--quick", action="store_true", help="under 3 minutes instead of 9")
    parser.add_argument("--json", action="store_true", help="one JSON object a line")
    arguments = parser.parse_args()
    began = time.monotonic()
    report = Report(arguments.json)
    measure_one(report, arguments.quick)
    for name, deployment in DEPLOYMENTS.items():
        measure_deployment(report, name, deployment, arguments.quick)
    report.add("all", "duration of this run", time.monotonic() - began, "s")


if __name__ == "__main__":
    main()
