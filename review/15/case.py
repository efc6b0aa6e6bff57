"""The store comes back from a copy, and a configuration that is written then is
never followed, because its revision was given out before."""
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from platform3 import TROUBLE, Caller, main  # noqa: E402

AWAY_S = 1.0
QUIET_S = 2.5  # Before it; the copy is some seconds old then.
# config-apply-ms, outer-bound-ms and settle-window-ms, one after the other.
BOUND_S = 3 + 12 + 4
ASK_S = 10.0


def case(fleet):
    loop, store, record = fleet.loop, fleet.store, fleet.record
    databases = [fleet.database(name, primary=name == "i-1", zone=zone)
                 for name, zone in (("i-1", "z1"), ("i-2", "z2"), ("i-3", "z3"))]
    loop.call(fleet.configure, 1, keys=("k-clerks", "k-old"))
    for number, zone in enumerate(("z1", "z2", "z3"), 1):
        fleet.host(f"front-{number}", zone)
    fleet.wait_ready()
    fleet.wait_for("all daemons have registered", lambda: len(store.objects["lavenderdale-hosts"]) == 3, 5)
    time.sleep(1)

    copy = loop.call(store.snapshot)
    # A machine is replaced as planned: the new one comes first.
    fleet.host("front-4", "z3")
    fleet.wait_for("front-4 has registered", lambda: "front-4" in store.objects["lavenderdale-hosts"], 5)
    fleet.wait_for("front-4 is ready", fleet.hosts[3].ready, 5)
    fleet.hosts[2].signal(signal.SIGTERM)
    fleet.wait_for("front-3 has left", lambda: "front-3" not in store.objects["lavenderdale-hosts"], 5)
    fleet.wait_for("front-3 has ended", lambda: not fleet.hosts[2].running(), 10)

    time.sleep(QUIET_S)
    if TROUBLE:
        loop.call(store.go_away)
        time.sleep(AWAY_S)
    # While the store is away, the new replica cannot write its entry.
    databases.append(fleet.database("i-4", zone="z2"))
    added = {}

    def come_back():
        if TROUBLE:
            store.come_back(copy)
        # The operator's next version was waiting, as was a new replica's entry. Nothing else was written since
        # the copy but by daemons.
        fleet.configure(2, keys=("k-clerks",))
        databases[-1].announce()
        added["at"] = time.monotonic()
    loop.call(come_back)

    time.sleep(BOUND_S)
    served = []
    end = time.monotonic() + ASK_S
    while time.monotonic() < end:
        for host in fleet.hosts:
            if not host.running():
                continue
            caller = Caller(fleet, host, "desk", "k-old")
            sent = time.monotonic()
            if caller.greeting.startswith("READY"):
                number, lines = caller.query("READ item")
                record(f"caller: {number} at {host.name} key=k-old sent {sent - added['at']:.3f} s after the "
                       f"acknowledgement READ -> {lines[0]}")
                served += [(number, host.name) for database in databases for run in database.runs if run[1] == number]
            else:
                record(f"caller: at {host.name} key=k-old -> {caller.greeting}")
            caller.close()
        time.sleep(0.5)
    for number, name in served:
        record(f"run: {number} of the removed key, taken by {name}")
    record(f"sum: run={len(served)} daemons={sorted({name for _, name in served})}")
    if served:
        return (f"CONFIG: {len(served)} requests with the removed key were run, sent later than {BOUND_S} s after the "
                "acknowledgement")
    return None


if __name__ == "__main__":
    sys.exit(main(HERE, case))
