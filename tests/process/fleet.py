"""What the process tests share: a catalogue, warm-up and a writer under load."""
import threading
import time
from dataclasses import dataclass, field

from cluster import Cluster, Daemon, http_json, wait_until

INIT_SQL = ("CREATE TABLE writes (id INTEGER, note TEXT);"
            "CREATE TABLE stock (item TEXT PRIMARY KEY, quantity INTEGER);"
            "INSERT INTO stock VALUES ('plate', 40);")
# High enough that a test that is not about rates never meets it.
AMPLE = {"rate": 5000, "burst": 5000, "weight": 1}


def workspace(name: str, **changes) -> tuple:
    return ("Workspace", name, {**AMPLE, **changes})


def route(name: str, owner: str = "steel", group: str = "orders", **changes) -> tuple:
    return ("Route", name, {"owner": owner, "group": group, "trafficClass": "standard",
                            "acknowledge": "replica", **changes})


def catalogue() -> list:
    return [workspace("steel"), workspace("other"), route("cuts", trafficClass="urgent"),
            route("stock", trafficClass="lookup"), route("foreign", owner="other")]


def settle(cluster: Cluster, key: str, route_name: str = "cuts"):
    """Waits until all daemons know each other and answer the key."""
    names = sorted(cluster.daemons)
    for daemon in cluster.daemons.values():
        wait_until(f"{daemon.name} sees {names}",
                   lambda d=daemon: sorted(d.status()["liveHosts"]) == names)
    for daemon in cluster.daemons.values():
        wait_until(f"{daemon.name} serves {route_name}",
                   lambda d=daemon: cluster.execute(d, route_name, "SELECT 1",
                                                    key=key).status == 200)


def start(cluster: Cluster, objects: list = None) -> str:
    """Applies the catalogue and returns a key of workspace steel."""
    cluster.apply(objects or catalogue())
    key = cluster.grant("steel")
    settle(cluster, key)
    return key


def session_of(answer) -> str:
    return answer.headers["lavenderdale-session"]


def database_log(database) -> list:
    return http_json(database.admin, "GET", "/log?limit=100000").body


@dataclass
class Writer:
    """Inserts numbered rows through one daemon until it is stopped."""
    cluster: Cluster
    daemon: Daemon
    key: str
    first: int
    route_name: str = "cuts"
    acknowledged: list = field(default_factory=list)
    not_run: list = field(default_factory=list)
    unknown: list = field(default_factory=list)
    other: list = field(default_factory=list)
    times: list = field(default_factory=list)

    def __post_init__(self):
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        number = self.first
        while not self.stopping.is_set():
            self.write(number)
            number += 1
            time.sleep(0.01)

    def write(self, number: int):
        try:
            answer = self.cluster.execute(
                self.daemon, self.route_name, "INSERT INTO writes VALUES ($1, 'load')", [number],
                key=self.key, deadline=1000)
        except (OSError, ValueError):
            self.unknown.append(number)
            return
        if answer.status == 200:
            self.acknowledged.append(number)
            self.times.append(time.monotonic())
        elif answer.body.get("outcome") == "not-run":
            self.not_run.append(number)
        elif answer.body.get("outcome") == "unknown":
            self.unknown.append(number)
        else:
            self.other.append(answer)

    def wait_for_more(self, count: int):
        target = len(self.acknowledged) + count
        wait_until(f"{self.daemon.name} acknowledges {count} more writes",
                   lambda: len(self.acknowledged) >= target)

    def stop(self):
        self.stopping.set()
        self.thread.join()


def written_ids(cluster: Cluster, daemon: Daemon, key: str) -> list:
    """Reads all ids at the primary."""
    def rows():
        answer = cluster.execute(daemon, "cuts", "SELECT id FROM writes", key=key)
        return answer if answer.status == 200 else None
    answer = wait_until("the primary answers", rows)
    return [int(row[0]) for row in answer.body["rows"]]


def check_writes(test, writers: list, ids: list):
    """Checks that the answers of the writers were true."""
    present = {}
    for number in ids:
        present[number] = present.get(number, 0) + 1
    for writer in writers:
        test.assertEqual([], writer.other)
        missing = [each for each in writer.acknowledged if present.get(each, 0) != 1]
        test.assertEqual([], missing, "acknowledged writes that are not there exactly once")
        ran = [each for each in writer.not_run if each in present]
        test.assertEqual([], ran, "writes that were answered with not-run and did run")
        doubled = [each for each in writer.unknown if present.get(each, 0) > 1]
        test.assertEqual([], doubled, "writes that ran twice")
