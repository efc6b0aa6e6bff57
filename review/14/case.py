"""The store comes back from a copy, and a second daemon promotes with the
fencing token of the first."""
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from platform3 import TROUBLE, Caller, NotRun, main, succeeded  # noqa: E402

AWAY_S = 1.0
SETTLE_S = 5.0  # More than settle-window-ms.


def case(fleet):
    loop, store, record = fleet.loop, fleet.store, fleet.record
    databases = {name: fleet.database(name, primary=name == "i-1", zone=zone)
                 for name, zone in (("i-1", "z1"), ("i-2", "z2"), ("i-3", "z3"))}
    loop.call(fleet.configure, 1)
    for number, zone in enumerate(("z1", "z2", "z3"), 1):
        fleet.host(f"front-{number}", zone)
    fleet.wait_ready()
    ended = threading.Event()

    def write():
        while not ended.is_set():
            for host in [each for each in fleet.hosts if each.running()]:
                try:
                    caller = Caller(fleet, host, "desk", "k-clerks")
                    number, lines = caller.query("WRITE item v")
                    record(f"caller: {number} at {host.name} WRITE -> {lines[0]}")
                    caller.close()
                    if not succeeded(lines):
                        time.sleep(0.05)
                except OSError:
                    pass
            time.sleep(0.05)
    writer = threading.Thread(target=write, daemon=True)
    writer.start()
    time.sleep(2)

    copy = loop.call(store.snapshot)
    # A machine is replaced as planned: the new one comes first.
    leaver = fleet.hosts[2]
    fleet.host("front-4", "z3")
    fleet.wait_for("front-4 has registered", lambda: "front-4" in store.objects["lavenderdale-hosts"], 5)
    fleet.wait_for("front-4 is ready", fleet.hosts[3].ready, 5)
    leaver.signal(signal.SIGTERM)
    fleet.wait_for("front-3 has left", lambda: "front-3" not in store.objects["lavenderdale-hosts"], 5)

    def fail_primary():
        """The primary crashes, and comes back when another one leads."""
        failed = next(each for each in databases.values() if each.primary)
        before = len(store.promotions)
        loop.call(failed.crash)
        fleet.wait_for("another database leads", lambda: any(
            each.primary and each is not failed for each in databases.values()), 20)
        if len(store.promotions) == before:
            raise NotRun("no promotion was ordered")
        loop.run(failed.come_back())
        time.sleep(0.5)
    fail_primary()

    if TROUBLE:
        loop.call(store.go_away)
        time.sleep(AWAY_S)

        def come_back():
            store.come_back(copy)
            # What the databases wrote is written again.
            for each in databases.values():
                each.announce()
        loop.call(come_back)
    else:
        time.sleep(AWAY_S)
    time.sleep(SETTLE_S)

    first = next(each for each in store.promotions if each[4] == 200)
    holder = next(each for each in fleet.hosts if each.name == first[2])
    holder.signal(signal.SIGKILL)
    holder.process.wait(10)
    fail_primary()
    time.sleep(1)
    ended.set()
    writer.join(5)

    holders = {}
    for service, _, name, token, status in store.promotions:
        if status == 200:
            holders.setdefault((service, token), set()).add(name)
    record(f"sum: promotions={store.promotions}")
    for (service, token), names in holders.items():
        if len(names) > 1:
            return f"ONE: {' and '.join(sorted(names))} promoted for {service} with the fencing token {token}"
    return None


if __name__ == "__main__":
    sys.exit(main(HERE, case))
