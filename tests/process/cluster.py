"""Starts a small fleet of real processes on loopback for tests and the demo.

A cluster has one platform stand-in, database groups of stand-ins, and
daemons. Each process is ended by its own handle.
"""
import http.client
import json
import os
import re
import secrets
import shutil
import signal
import subprocess
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from ports import fixed_port

ROOT = Path(__file__).resolve().parents[2]
# Generous, so that no verdict depends on the speed of the machine.
PATIENCE_S = 60.0


def build_dir() -> Path:
    return Path(os.environ.get("LAVENDERDALE_BUILD", ROOT / "build/release"))


def program(relative: str) -> str:
    return str(build_dir() / relative)


def wait_until(what: str, condition, patience_s: float = PATIENCE_S):
    """Waits until condition() is true and returns its value."""
    deadline = time.monotonic() + patience_s
    last_error = None
    while time.monotonic() < deadline:
        try:
            value = condition()
            if value:
                return value
        except (OSError, http.client.HTTPException, ValueError, KeyError) as error:
            last_error = error
        time.sleep(0.02)
    raise AssertionError(f"not seen within {patience_s} s: {what} ({last_error})")


@dataclass
class Answer:
    status: int
    headers: dict
    body: dict

    @property
    def kind(self) -> str:
        return self.body.get("kind", "")


def http_json(port: int, method: str, path: str, body=None, headers=None,
              timeout_s: float = 30.0) -> Answer:
    """Sends one request on a connection of its own."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        raw = response.read()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, fields, json.loads(raw) if raw else {})
    finally:
        connection.close()


class Process:
    """A started program whose output goes to a file."""

    def __init__(self, arguments: list, log: Path):
        self.arguments = arguments
        self.log = log
        self.output = log.open("wb")
        self.handle = subprocess.Popen(arguments, stdout=self.output, stderr=subprocess.STDOUT)

    def ready(self) -> dict:
        """Reads the line 'ready name=value ...' that stand-ins print."""
        def line():
            found = re.search(r"^ready (.*)$", self.log.read_text(), re.M)
            if not found and self.handle.poll() is not None:
                raise AssertionError(f"{self.arguments[0]} ended: {self.log.read_text()}")
            return found
        words = wait_until(f"{self.arguments[0]} is ready", line).group(1).split()
        return dict(word.split("=", 1) for word in words)

    def send(self, number: int):
        if self.handle.poll() is None:
            self.handle.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.handle.wait()

    def stop(self, patience_s: float = PATIENCE_S) -> int:
        self.send(signal.SIGTERM)
        try:
            return self.handle.wait(patience_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -1

    def pause(self):
        self.send(signal.SIGSTOP)

    def resume(self):
        self.send(signal.SIGCONT)


@dataclass
class Database:
    name: str
    domain: str
    process: Process
    port: int
    admin: int

    def state(self) -> dict:
        return http_json(self.admin, "GET", "/state").body

    def control(self, path: str, **body) -> dict:
        return http_json(self.admin, "POST", path, body).body


@dataclass
class Link:
    """A port of the fault proxy, which carries bytes to one target."""
    process: Process
    port: int
    admin: int

    def fault(self, name: str, **options):
        answer = http_json(self.admin, "POST", "/fault", {"fault": name, **options})
        if answer.status != 200:
            raise AssertionError(f"fault {name} {options}: {answer.body}")


@dataclass
class Daemon:
    name: str
    domain: str
    clients: int
    peers: int
    admin: int
    settings: Path
    log: Path
    process: Process = None

    def status(self) -> dict:
        return http_json(self.admin, "GET", "/status").body

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", self.admin, timeout=5)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        finally:
            connection.close()

    def metrics(self) -> str:
        connection = http.client.HTTPConnection("127.0.0.1", self.admin, timeout=5)
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()


@dataclass
class GroupPlan:
    """How one database group is set up."""
    name: str = "orders"
    domains: tuple = ("d1", "d2", "d3")
    connections: int = 16
    slots: int = 2
    options: tuple = ()


@dataclass
class Cluster:
    """Use as a context manager; everything ends with the block."""
    hosts: dict = field(default_factory=lambda: {"h1": "d1", "h2": "d2"})
    groups: list = field(default_factory=lambda: [GroupPlan()])
    init_sql: str = ("CREATE TABLE cuts (id INTEGER PRIMARY KEY, note TEXT);"
                     "CREATE TABLE stock (item TEXT PRIMARY KEY, quantity INTEGER);"
                     "INSERT INTO stock VALUES ('plate', 40);")
    settings: str = ""
    # Put the fault proxy before each database, before the peer port of each
    # daemon, and between each daemon and the platform.
    proxied: bool = False
    links: dict = field(default_factory=dict)
    databases: dict = field(default_factory=dict)
    daemons: dict = field(default_factory=dict)

    def __enter__(self):
        self.dir = Path(tempfile.mkdtemp(prefix="lavenderdale-"))
        self.processes = []
        try:
            self.start()
        except BaseException:
            self.dump_logs()
            self.close()
            raise
        return self

    def __exit__(self, failure, *_):
        if failure is not None:
            self.dump_logs()
        self.close()

    def close(self):
        for process in reversed(self.processes):
            process.resume()
            process.send(signal.SIGKILL)
        for process in self.processes:
            process.handle.wait()
            process.output.close()
        shutil.rmtree(self.dir, ignore_errors=True)

    def dump_logs(self):
        for log in sorted(self.dir.glob("*.log")):
            print(f"--- {log.name}\n{log.read_text()[-4000:]}", flush=True)

    def launch(self, name: str, *arguments) -> Process:
        process = Process([str(each) for each in arguments], self.dir / f"{name}.log")
        self.processes.append(process)
        return process

    def carried(self, name: str, port: int) -> int:
        """Returns the port under which others reach the given one."""
        if not self.proxied:
            return port
        process = self.launch(f"link-{name}",
                              program("tests/standins/faultproxy/fault-proxy"),
                              "--listen", 0, "--target", f"127.0.0.1:{port}")
        ports = process.ready()
        self.links[name] = Link(process, int(ports["default"]), int(ports["admin"]))
        return self.links[name].port

    def start(self):
        process = self.launch("platform", program("tests/standins/platform/platform-standin"))
        ports = process.ready()
        self.platform = process
        self.platform_port, self.platform_admin = int(ports["port"]), int(ports["admin"])
        (self.dir / "init.sql").write_text(self.init_sql)
        for group in self.groups:
            self.start_group(group)
        self.put("secrets", "first", "Secret", {"hex": secrets.token_hex(32)})
        for name, domain in self.hosts.items():
            self.add_daemon(name, domain)
        for daemon in self.daemons.values():
            wait_until(f"{daemon.name} is ready", daemon.is_ready)

    def start_database(self, group: GroupPlan, name: str, domain: str, conninfo: str) -> Database:
        process = self.launch(
            name, program("tests/standins/database/database-standin"),
            "--name", name, "--init-sql", self.dir / "init.sql",
            "--connections", group.connections, "--slots", group.slots,
            "--primary-conninfo", conninfo, *group.options)
        ports = process.ready()
        return Database(name, domain, process, self.carried(name, int(ports["port"])),
                        int(ports["admin"]))

    def start_group(self, group: GroupPlan):
        conninfo, members = "", []
        for number, domain in enumerate(group.domains, 1):
            name = f"{group.name}-{number}"
            database = self.start_database(group, name, domain, conninfo)
            conninfo = conninfo or f"host=127.0.0.1 port={database.port}"
            self.databases[name] = database
            members.append({
                "name": name, "address": "127.0.0.1", "port": database.port,
                "failureDomain": domain, "connections": group.connections,
                "slots": group.slots, "state": "serving"})
        self.put("groups", group.name, "Group",
                 {"database": "app", "user": "app", "upstreams": members},
                 {"term": 1, "primary": f"{group.name}-1",
                  "lineage": [{"term": 1, "startPosition": "0/0"}]})

    def put(self, plural: str, name: str, kind: str, spec: dict, status: dict = None) -> Answer:
        """Creates an object on the platform."""
        return http_json(self.platform_port, "POST", f"/apis/lavenderdale.example/v1/{plural}",
                         {"kind": kind, "metadata": {"name": name}, "spec": spec,
                          "status": status or {}})

    def get(self, plural: str, name: str) -> dict:
        return http_json(self.platform_port, "GET",
                         f"/apis/lavenderdale.example/v1/{plural}/{name}").body

    def add_daemon(self, name: str, domain: str) -> Daemon:
        daemon = Daemon(name, domain, fixed_port(), fixed_port(), fixed_port(),
                        self.dir / f"{name}.toml", self.dir / f"{name}.log")
        platform_port = self.carried(f"{name}-platform", self.platform_port)
        peer_port = self.carried(f"{name}-peers", daemon.peers)
        daemon.settings.write_text(
            f'[host]\nname = "{name}"\nfailure_domain = "{domain}"\n'
            f'[listen]\nclients = "127.0.0.1:{daemon.clients}"\n'
            f'peers = "127.0.0.1:{daemon.peers}"\n'
            f'advertised_peers = "127.0.0.1:{peer_port}"\nadmin = "127.0.0.1:{daemon.admin}"\n'
            f'[platform]\nendpoints = ["127.0.0.1:{platform_port}"]\n'
            f'[traces]\nfile = "{self.dir / (name + ".spans")}"\nsample = 1.0\n{self.settings}')
        self.daemons[name] = daemon
        self.put("hosts", name, "Host", {
            "failureDomain": domain, "peerAddress": "127.0.0.1", "peerPort": peer_port,
            "adminAddress": "127.0.0.1", "adminPort": daemon.admin})
        self.start_daemon(daemon)
        return daemon

    def start_daemon(self, daemon: Daemon):
        daemon.process = self.launch(daemon.name, program("src/app/lavenderdaled/lavenderdaled"),
                                     "--settings", daemon.settings)

    def ctl(self, *arguments, check: bool = True) -> subprocess.CompletedProcess:
        """Runs lavenderctl."""
        done = subprocess.run(
            [program("src/app/lavenderctl/lavenderctl"), "--platform",
             f"127.0.0.1:{self.platform_port}", *[str(each) for each in arguments]],
            capture_output=True, text=True, timeout=PATIENCE_S, check=False)
        if check and done.returncode != 0:
            raise AssertionError(f"lavenderctl {arguments} exited {done.returncode}: "
                                 f"{done.stdout} {done.stderr}")
        return done

    def apply(self, objects: list, *options) -> subprocess.CompletedProcess:
        """Applies catalogue objects, each (kind, name, spec), and waits."""
        path = self.dir / f"catalogue-{secrets.token_hex(4)}.json"
        path.write_text(json.dumps([
            {"kind": kind, "name": name, "spec": spec} for kind, name, spec in objects]))
        return self.ctl("apply", path, "--wait", *options)

    def grant(self, workspace: str) -> str:
        """Grants a key and waits until all daemons have it."""
        text = self.ctl("keys", "grant", workspace).stdout
        key = re.search(r"ldk_[0-9a-f]+_[0-9a-f]+", text).group(0)
        key_id = key.split("_")[1]
        version = int(self.get("keys", key_id)["metadata"]["resourceVersion"])
        for daemon in self.daemons.values():
            if daemon.process.handle.poll() is None:
                wait_until(f"{daemon.name} has key {key_id}",
                           lambda d=daemon: d.status()["configurationVersion"] >= version)
        return key

    def execute(self, daemon: Daemon, route: str, sql: str, params=(), key: str = None,
                read_only: bool = False, timeout_s: float = 60.0, **headers) -> Answer:
        """Sends a statement. Header names: session, max_age, deadline, ..."""
        names = {"session": "Lavenderdale-Session", "max_age": "Lavenderdale-Max-Age",
                 "deadline": "Lavenderdale-Deadline", "idempotency_key": "Idempotency-Key",
                 "repeat": "Lavenderdale-Repeat", "transaction": "Lavenderdale-Transaction",
                 "traceparent": "traceparent"}
        fields = {names[name]: str(value) for name, value in headers.items() if value is not None}
        if key:
            fields["Authorization"] = f"Bearer {key}"
        return http_json(daemon.clients, "POST", f"/v1/routes/{route}/statements",
                         {"sql": sql, "params": list(params), "readOnly": read_only}, fields,
                         timeout_s)
