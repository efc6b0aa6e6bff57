"""Hosts of the session proxy as real processes, and callers that speak to
them."""
import contextlib
import itertools
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from cluster import PATIENCE_S, program, wait_until
from ports import fixed_port
from sessionstandin import Database, Loop, Store

IDS = itertools.count(1)
CLOSED_PORT = 1  # Nothing listens there on loopback.


class Caller:
    """A caller's session."""

    def __init__(self, port, database, key):
        self.socket = socket.create_connection(("127.0.0.1", port), PATIENCE_S)
        self.stream = self.socket.makefile("rwb")
        self.send(f"START {database} {key}")
        self.greeting = self.line()

    def send(self, line):
        self.stream.write(line.encode() + b"\r\n")
        self.stream.flush()

    def line(self):
        """The next line; empty at the end of the session."""
        return self.stream.readline().decode().rstrip("\r\n")

    def query(self, text):
        """Returns the lines of the answer up to the one that ends it."""
        self.last_id = f"q{next(IDS)}"
        self.send(f"QUERY {self.last_id} {text}")
        lines = []
        while True:
            lines.append(self.line())
            if not lines[-1] or lines[-1].startswith("READY"):
                return lines

    def close(self):
        # What could not be sent to a daemon that has ended is dropped.
        with contextlib.suppress(OSError):
            self.stream.close()
        self.socket.close()


class Host:
    """One daemon."""

    def __init__(self, name, store_port, directory, zone="z1", bounds="", more_settings=""):
        self.name = name
        self.front, self.readiness = fixed_port(), fixed_port()
        first = fixed_port()
        while (second := fixed_port()) != first + 1:
            first = second
        settings = Path(directory) / f"{name}.toml"
        settings.write_text(f"""
node-name = "{name}"
ip-address = "127.0.0.1"
zone = "{zone}"
a-field-of-tomorrow = true
internal-port-range = [{first},{second}]
[listen]
front = "127.0.0.1:{self.front}"
readiness = "127.0.0.1:{self.readiness}"
[bounds]
grace-period-s = 6
{bounds}
[platform]
address = "127.0.0.1:{store_port}"
[cloud]
address = "127.0.0.1:{store_port}"
{more_settings}""")
        self.reports, self.internal = first, second
        self.settings = settings
        self.log = open(Path(directory) / f"{name}.log", "wb+")
        self.start()

    def start(self):
        self.process = subprocess.Popen([program("platform/lavenderdaled-platform"), "-s", str(self.settings)],
                                        stdout=self.log, stderr=subprocess.STDOUT)

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(PATIENCE_S)

    def close(self):
        self.kill()
        self.log.close()

    def check_runs(self):
        """Raises if the process has ended, with what it wrote."""
        if self.process.poll() is not None:
            raise AssertionError(f"{self.name} ended with {self.process.returncode}: {self.text()}")

    def text(self):
        return Path(self.log.name).read_text(errors="replace")


def configuration(version, keys=("k-clerks", "k-second"), synchronous=0, service=None):
    def route(name, kind):
        return {"name": name, "host": name, "path-prefix": "/", "kind": kind, "timeout-ms": 3000,
                "target-latency-ms": 1000, "priority": 1, "service": "orders", "max-attempts": 2,
                "max-staleness-ms": 1500, "public": False}
    return {"version": version,
            "routes": [route("desk", "primary"), route("stock", "bounded"), route("price", "read_your_writes")],
            "services": [{"name": "orders", "health-path": "/health", "connection-limit": 16, "protocol": "h1",
                          "tls": False, "sync-replicas": synchronous, **(service or {})}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "transaction-idle-ms": 3000},
            "tenants": [{"name": "clerks", "api-keys": list(keys), "priority": 1, "requests-per-s": 500,
                         "burst": 500}]}


class SessionFleet:
    """Store, one group of three databases, and hosts.

    zones are those of the databases, the first one of which is the primary, and
    bounds further lines of the settings of the hosts. Each host has a port of
    the store of its own, so that the store can refuse single hosts."""

    def __init__(self, hosts=1, zones=("z1", "z1", "z1"), bounds="", orders=(), host_type=Host):
        self.directory = tempfile.TemporaryDirectory()
        self.callers = []
        self.loop = Loop()
        self.store = Store(self.loop)
        self.databases = [Database(self.loop, self.store, "orders", f"i-{n}", n == 1, zone)
                          for n, zone in enumerate(zones, 1)]
        self.configure(1)
        self.bounds = bounds
        self.host_type = host_type
        for each in orders:
            self.loop.call(self.store.put, "evacuations", each, {})
        self.hosts = []
        for _ in range(hosts):
            self.start_host()
        for each in self.hosts:
            wait_until(f"{each.name} is ready", lambda: self.ready(each))

    def start_host(self, zone="z1"):
        port = self.loop.run(self.store.listen()) if self.hosts else self.store.port
        self.hosts.append(self.host_type(f"host-{len(self.hosts)}", port, self.directory.name, zone, self.bounds))
        self.hosts[-1].store_port = port
        return self.hosts[-1]

    def order(self, zone, spec=None):
        """Orders the evacuation of a failure domain; returns when."""
        self.loop.call(self.store.put, "evacuations", zone, {} if spec is None else spec)
        return time.monotonic()

    def withdraw(self, zone):
        self.loop.call(self.store.remove, "evacuations", zone)

    def configure(self, version, **changes):
        self.loop.call(self.store.put, "config", "main", configuration(version, **changes))

    @staticmethod
    def ready(host, path="/-/readiness"):
        host.check_runs()
        with socket.create_connection(("127.0.0.1", host.readiness), 5) as probe:
            probe.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            return probe.recv(64).startswith(b"HTTP/1.1 200")

    def caller(self, database, key="k-clerks", host=0):
        self.callers.append(Caller(self.hosts[host].front, database, key))
        return self.callers[-1]

    def runs(self):
        return [run for each in self.databases for run in each.runs]

    def terminate(self, host=0):
        self.hosts[host].process.send_signal(signal.SIGTERM)

    def close(self):
        for each in self.callers + self.hosts:
            each.close()
        for each in self.databases + [self.store]:
            self.loop.call(each.server.close)
        for each in self.store.servers:
            self.loop.call(each.close)
        self.loop.stop()
        self.directory.cleanup()
