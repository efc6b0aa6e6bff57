"""Measures slopes of the decision libraries and of small fleets on loopback.

Writes docs/slopes/libraries.jsonl, docs/slopes/fleet.jsonl and one SVG plot per slope. Started by
scripts/slopes.
"""
import argparse
import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests/process"))
import cluster  # noqa: E402

OUTPUT = ROOT / "docs/slopes"
DOMAINS = ("d1", "d2", "d3")
SETTLE_S = 6.0
MEASURE_S = 8.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def fitted(name: str, size: str, unit: str, points: list) -> dict:
    """Least squares line through (size, value) pairs."""
    count = len(points)
    x_mean = sum(x for x, _ in points) / count
    y_mean = sum(y for _, y in points) / count
    xx = sum((x - x_mean) ** 2 for x, _ in points)
    yy = sum((y - y_mean) ** 2 for _, y in points)
    xy = sum((x - x_mean) * (y - y_mean) for x, y in points)
    slope = xy / xx if xx else 0.0
    return {"name": name, "size": size, "unit": unit, "slope": slope,
            "intercept": y_mean - slope * x_mean,
            "rSquared": xy * xy / (xx * yy) if xx and yy else 1.0, "points": points}


def plot(series: dict) -> str:
    """A small plain SVG plot: points, fitted line, title, end values."""
    width, height, left, top = 420, 260, 60, 40
    points = series["points"]
    x_most = max(x for x, _ in points) or 1
    y_most = max(max(y for _, y in points), 1e-9) * 1.1

    def place(x, y):
        return (left + x / x_most * (width - left - 20),
                height - 40 - max(0.0, min(y, y_most)) / y_most * (height - top - 40))

    dots = "".join('<circle cx="%.1f" cy="%.1f" r="3"/>' % place(x, y) for x, y in points)
    x_low = min(x for x, _ in points)
    ends = [place(x, series["intercept"] + series["slope"] * x) for x in (x_low, x_most)]
    line = '<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="gray"/>' % (*ends[0], *ends[1])
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
            'font-family="sans-serif" font-size="11">'
            f'<text x="8" y="16">{series["name"]}: {series["unit"]}</text>'
            f'<text x="8" y="30">{series["intercept"]:.4g} + {series["slope"]:.4g} * '
            f'{series["size"]}, r2 {series["rSquared"]:.3f}</text>'
            f'<path d="M{left} {top}V{height - 40}H{width - 20}" fill="none" stroke="black"/>'
            f'<text x="4" y="{top + 8}">{y_most:.4g}</text>'
            f'<text x="{width - 60}" y="{height - 24}">{x_most:.4g}</text>'
            f'<text x="{left}" y="{height - 8}">{series["size"]}</text>{line}{dots}</svg>\n')


def report(series: dict, results: list):
    """Prints a series, plots it and adds it to the results of the libraries or the fleets."""
    results.append(series)
    part = "fleet" if series["name"].startswith(("fleet", "connections")) else "libraries"
    file_name = re.sub(r"[^a-z0-9]+", "-", f'{series["name"]} {series["size"]}'.lower()).strip("-")
    (OUTPUT / f"{file_name}.svg").write_text(plot(series))
    (OUTPUT / f"{part}.jsonl").write_text("".join(json.dumps(each) + "\n" for each in results))
    print(f'{series["name"]} [{series["unit"]}] = {series["intercept"]:.4g} + '
          f'{series["slope"]:.4g} * {series["size"]}, r2 {series["rSquared"]:.3f}  '
          f'{[(x, round(y, 3)) for x, y in series["points"]]}', flush=True)


def processor_s(pid: int) -> float:
    """User and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def sent_bytes(fleet) -> dict:
    """Bytes that each daemon's sockets have sent, by connection, as the kernel counts them.

    Empty if the program ss is not installed.
    """
    try:
        text = subprocess.run(["ss", "-tniHpO", "state", "established"], capture_output=True,
                              text=True, check=True).stdout
    except (OSError, subprocess.CalledProcessError):
        return {}
    owners = {daemon.process.handle.pid for daemon in fleet.daemons.values()}
    found = {}
    for line in text.splitlines():
        pid = re.search(r"pid=(\d+)", line)
        sent = re.search(r"bytes_sent:(\d+)", line)
        if pid and sent and int(pid.group(1)) in owners:
            words = line.split()
            found[(words[2], words[3])] = int(sent.group(1))
    return found


def calls(fleet) -> tuple:
    counters = cluster.http_json(fleet.platform_admin, "GET", "/counters").body
    return counters["reads"], counters["writes"]


def measure_fleet(count: int, groups: int) -> dict:
    """One idle fleet; figures per daemon and second."""
    hosts = {f"h{i}": DOMAINS[i % len(DOMAINS)] for i in range(count)}
    plans = [cluster.GroupPlan(name=f"g{i}") for i in range(groups)]
    with cluster.Cluster(hosts=hosts, groups=plans) as fleet:
        time.sleep(SETTLE_S)
        pids = [daemon.process.handle.pid for daemon in fleet.daemons.values()]
        used, sent, called = [processor_s(pid) for pid in pids], sent_bytes(fleet), calls(fleet)
        started = time.monotonic()
        time.sleep(MEASURE_S)
        span = time.monotonic() - started
        used_after, sent_after = [processor_s(pid) for pid in pids], sent_bytes(fleet)
        reads, writes = (b - a for a, b in zip(called, calls(fleet)))
        databases = {f"127.0.0.1:{each.port}" for each in fleet.databases.values()}
        peers = {f"127.0.0.1:{each.peers}" for each in fleet.daemons.values()}
        moved = {"database": 0, "peer": 0, "other": 0}
        for pair, total in sent_after.items():
            kind = ("database" if pair[1] in databases else
                    "peer" if pair[0] in peers or pair[1] in peers else "other")
            moved[kind] += total - sent.get(pair, 0)
        share = count * span
        core = [(b - a) / span * 100 for a, b in zip(used, used_after)]
        return {"core": sum(core) / count, "coreMost": max(core),
                "memory": sum(resident_bytes(pid) for pid in pids) / count,
                "reads": reads / span, "writes": writes / span,
                "counted": bool(sent_after),
                **{kind: total / share for kind, total in moved.items()}}


def fleet_series(size: str, measured: list, results: list):
    prefix = "fleet" if size == "daemons" else "fleet.groups"
    for key, unit in (("core", "% of a core per daemon"),
                      ("coreMost", "% of a core, busiest daemon"),
                      ("memory", "resident bytes per daemon"),
                      ("reads", "platform reads/s of the fleet"),
                      ("writes", "platform writes/s of the fleet"),
                      ("database", "bytes/s sent to databases per daemon"),
                      ("peer", "bytes/s sent to peers per daemon"),
                      ("other", "bytes/s sent to others per daemon")):
        if key in ("database", "peer", "other") and not all(m["counted"] for _, m in measured):
            continue
        report(fitted(f"{prefix}.{key}", size, unit, [(n, m[key]) for n, m in measured]), results)


def measure_foreign(groups: int) -> dict:
    """Cost of groups for a daemon that holds and watches none of them, and for their holders.

    All groups name the same three databases, which are in a domain of their own.
    """
    with cluster.Cluster(hosts={"h0": "d1", "h1": "d1", "h2": "d2"},
                         groups=[cluster.GroupPlan(domains=("d1", "d1", "d1"),
                                                   connections=4000)]) as fleet:
        for i in range(1, groups):
            members = [{"name": f"g{i}-{each.name}", "address": "127.0.0.1", "port": each.port,
                        "failureDomain": "d1", "connections": 7, "slots": 2, "state": "serving"}
                       for each in fleet.databases.values()]
            fleet.put("groups", f"g{i}", "Group",
                      {"database": "app", "user": "app", "upstreams": members},
                      {"term": 1, "primary": members[0]["name"],
                       "lineage": [{"term": 1, "startPosition": "0/0"}]})
        time.sleep(SETTLE_S)
        pids = {name: each.process.handle.pid for name, each in fleet.daemons.items()}
        used, started = {name: processor_s(pid) for name, pid in pids.items()}, time.monotonic()
        time.sleep(MEASURE_S)
        span = time.monotonic() - started
        core = {name: (processor_s(pid) - used[name]) / span * 100 for name, pid in pids.items()}
        return {"foreign": core["h2"], "held": (core["h0"] + core["h1"]) / 2,
                "memory": resident_bytes(pids["h2"])}


def foreign_series(measured: list, results: list):
    for key, unit in (("foreign", "% of a core, daemon without duties"),
                      ("held", "% of a core, holder of all groups"),
                      ("memory", "resident bytes, daemon without duties")):
        report(fitted(f"fleet.foreign.{key}", "groups", unit,
                      [(n, m[key]) for n, m in measured]), results)


def measure_connections(results: list):
    """Memory of one daemon against idle client connections."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    points, opened = [], []
    try:
        with cluster.Cluster(hosts={"h0": "d1"}, groups=[]) as fleet:
            daemon = fleet.daemons["h0"]
            time.sleep(2)
            for goal in (0, 2000, 4000, 6000, 8400):
                while len(opened) < goal:
                    opened.append(socket.create_connection(("127.0.0.1", daemon.clients), 5))
                time.sleep(2)
                points.append((goal, resident_bytes(daemon.process.handle.pid)))
            sample = opened[0]
            sample.sendall(b"GET /none HTTP/1.1\r\nHost: h0\r\n\r\n")
            print("a connection still answers:", sample.recv(64)[:12], flush=True)
    except OSError as error:
        print(f"stopped at {len(opened)} connections: {error}", flush=True)
    finally:
        for each in opened:
            each.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if len(points) > 1:
        report(fitted("connections.memory", "idle connections", "resident bytes", points), results)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--skip-fleet", action="store_true", help="measure the libraries only")
    parser.add_argument("--skip-libraries", action="store_true", help="measure the fleets only")
    parser.add_argument("--output", type=Path, default=OUTPUT, help="folder of plots and results")
    arguments = parser.parse_args()
    globals()["OUTPUT"] = arguments.output
    OUTPUT.mkdir(parents=True, exist_ok=True)
    # Ends like an error, so that the processes of the fleet are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("stopped by SIGTERM"))
    results = []
    tool = [cluster.program("src/tools/slopes/lavenderdale-slopes"), "--json"]
    if not arguments.skip_libraries:
        with subprocess.Popen(tool, stdout=subprocess.PIPE, text=True) as running:
            for line in running.stdout:
                report(json.loads(line), results)
        if running.returncode != 0:
            sys.exit("lavenderdale-slopes failed")
    if arguments.skip_fleet:
        return
    results = []
    measure_connections(results)
    fleet_series("daemons", [(n, measure_fleet(n, 1)) for n in (2, 4, 8, 16)], results)
    fleet_series("groups", [(n, measure_fleet(3, n)) for n in (1, 3, 6)], results)
    foreign_series([(n, measure_foreign(n)) for n in (1, 20, 40)], results)


if __name__ == "__main__":
    main()
