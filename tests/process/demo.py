"""Shows the main properties on a small cluster, one line for each step."""
import sys
import threading
import time

from cluster import Cluster, wait_until
from fleet import INIT_SQL, route, session_of, settle, workspace

INSERT = "INSERT INTO writes VALUES ($1, 'demo')"
BUSY_RATE = 40
BUSY_BURST = 20
BUSY_SECONDS = 4.0
BUSY_CALLERS = 16


class StepFailed(Exception):
    """A step did not show what it should."""


def require(holds: bool, seen):
    if not holds:
        raise StepFailed(str(seen))


class Progress:
    """Shows the elapsed time of a step on a terminal only."""

    def __init__(self, title: str):
        self.title = title
        self.ended = threading.Event()

    def __enter__(self):
        self.thread = threading.Thread(target=self.show, daemon=True)
        self.thread.start()

    def __exit__(self, *_):
        self.ended.set()
        self.thread.join()
        if sys.stderr.isatty():
            print("\r\033[K", end="", file=sys.stderr, flush=True)

    def show(self):
        begin = time.monotonic()
        while not self.ended.wait(0.5):
            if sys.stderr.isatty():
                print(f"\r{self.title}: {time.monotonic() - begin:.0f} s", end="",
                      file=sys.stderr, flush=True)


class Demo:
    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.h1, self.h2 = cluster.daemons.values()
        self.key = self.session = None

    def grant_keys(self) -> str:
        self.cluster.apply([
            workspace("steel"), workspace("busy", rate=BUSY_RATE, burst=BUSY_BURST),
            route("cuts", trafficClass="urgent"), route("stock", trafficClass="lookup"),
            route("busy", owner="busy")])
        self.key = self.cluster.grant("steel")
        settle(self.cluster, self.key)
        return "2 workspaces, 3 routes and a key are in force on h1 and h2"

    def write(self) -> str:
        done = self.cluster.execute(self.h1, "cuts", INSERT, [1], key=self.key)
        require(done.status == 200, done)
        self.session = session_of(done)
        return f"h1 acknowledged a write; served by {done.headers['lavenderdale-served-by']}"

    def roam(self) -> str:
        seen = []

        def replica_read():
            read = self.cluster.execute(self.h2, "cuts", "SELECT id FROM writes", key=self.key,
                                        session=self.session, read_only=True)
            require(read.status == 200 and [int(row[0]) for row in read.body["rows"]] == [1], read)
            seen.append(read.headers["lavenderdale-served-by"])
            return seen[-1] == "replica"
        wait_until("a replica serves the session", replica_read)
        return f"h2 showed the write to the same session; served by {seen[-1]}"

    def look_up(self) -> str:
        read = self.cluster.execute(
            self.h2, "stock", "SELECT quantity FROM stock WHERE item = $1", ["plate"],
            key=self.key, read_only=True, max_age=10000)
        require(read.status == 200 and read.headers["lavenderdale-served-by"] == "replica", read)
        return f"stock of plate is {read.body['rows'][0][0]}, up to 10 s old; served by replica"

    def lose_primary(self) -> str:
        require(self.cluster.execute(self.h1, "cuts", INSERT, [2], key=self.key).status == 200,
                "write before the loss")
        begin = time.monotonic()
        self.cluster.databases["orders-1"].process.kill()
        number, acknowledged = 3, [1, 2]
        while time.monotonic() - begin < 60:
            done = self.cluster.execute(self.h1, "cuts", INSERT, [number], key=self.key,
                                        deadline=1000)
            if done.status == 200:
                acknowledged.append(number)
                break
            number += 1
        gap = (time.monotonic() - begin) * 1000
        require(done.status == 200, done)
        rows = self.cluster.execute(self.h2, "cuts", "SELECT id FROM writes", key=self.key)
        ids = [int(row[0]) for row in rows.body["rows"]]
        require(all(ids.count(each) == 1 for each in acknowledged), ids)
        primary = self.cluster.get("groups", "orders")["status"]["primary"]
        require(primary != "orders-1", primary)
        return (f"primary orders-1 killed; writes went on at {primary} after {gap:.0f} ms; "
                f"{len(acknowledged)} acknowledged writes are there once")

    def withdraw(self) -> str:
        self.cluster.ctl("keys", "withdraw", self.key.split("_")[1], "--wait")
        answers = [self.cluster.execute(daemon, "cuts", "SELECT 1", key=self.key)
                   for daemon in (self.h1, self.h2)]
        require(all(each.kind == "key-withdrawn" for each in answers), answers)
        return "lavenderctl withdrew the key; h1 and h2 answered 401 key-withdrawn"

    def exceed_rate(self) -> str:
        key = self.cluster.grant("busy")
        counts = {"run": 0, "refused": 0}
        lock = threading.Lock()
        begin = time.monotonic()

        def send(daemon):
            while time.monotonic() - begin < BUSY_SECONDS:
                done = self.cluster.execute(daemon, "busy", "SELECT 1", key=key)
                with lock:
                    counts["run" if done.status == 200 else "refused"] += 1
        threads = [threading.Thread(target=send, args=(daemon,))
                   for daemon in (self.h1, self.h2) for _ in range(BUSY_CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed = time.monotonic() - begin
        allowed = BUSY_RATE * elapsed + BUSY_BURST
        require(0 < counts["run"] <= allowed and counts["refused"] > 0, counts)
        offered = sum(counts.values()) / elapsed
        return (f"busy offered {offered:.0f}/s against a rate of {BUSY_RATE}/s and a burst of "
                f"{BUSY_BURST}; ran {counts['run']} of at most {allowed:.0f} in {elapsed:.1f} s")


STEPS = (("configuration", Demo.grant_keys), ("write", Demo.write), ("roam", Demo.roam),
         ("lookup", Demo.look_up), ("failover", Demo.lose_primary),
         ("withdrawal", Demo.withdraw), ("rate", Demo.exceed_rate))


def main() -> int:
    with Cluster(init_sql=INIT_SQL) as cluster:
        demo = Demo(cluster)
        for name, step in STEPS:
            try:
                with Progress(name):
                    seen = step(demo)
            except (StepFailed, AssertionError) as failure:
                print(f"{name:<14} FAILED: {failure}", flush=True)
                return 1
            print(f"{name:<14} {seen}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
