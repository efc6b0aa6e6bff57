"""A planned replacement of a primary loses commits that synchronous replication had secured.

One service with sync-replicas 1: a commit is acknowledged when one replica has received it. The primary i-1 is to be
replaced: i-4 starts as a replica, then i-1 reports draining and serves on for drain-ms. With trouble, the replica that
the system designates receives nothing for DEAF_S (replica_lag, deaf), from DEAF_AFTER_S after the accepted order. The
order takes effect after a second, as on the sheet of the site.
"""
import asyncio
import itertools
import sys
import tempfile
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from casefleet import Caller, Case, Fleet, configuration, wait_until  # noqa: E402
from syncdatabase import SyncDatabase  # noqa: E402

CLIENTS = 4
PAUSE_S = 0.04  # Between the writes of a client.
WARM_UP_S = 3.0
DEAF_AFTER_S = 0.3
DEAF_S = 6.5  # imsf-cutline.toml, replica_lag deaf: for_s 6.5, count 1
NUMBERS = itertools.count(1)


class LostCase(Case):
    """What was acknowledged when, and what the promoted database had."""

    def __init__(self, folder):
        super().__init__(folder)
        self.acknowledged = []  # (time, data)
        self.orders, self.takeovers = [], []  # (time, database), (time, database, data of its log)
        self.loop = None

    def ordered(self, database):
        self.orders.append((time.monotonic(), database))
        self.write(f"the platform accepts the promotion of {database.name} at {database.position()}")
        if self.trouble and len(self.orders) == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(DEAF_AFTER_S, self.deafen, database, True)
            loop.call_later(DEAF_AFTER_S + DEAF_S, self.deafen, database, False)

    def deafen(self, database, deaf):
        database.set_deaf(deaf)
        self.write(f"{database.name} {'receives nothing' if deaf else 'receives again'}")

    def promoted(self, database):
        self.takeovers.append((time.monotonic(), database, {data for _, _, _, data in database.log}))
        self.write(f"{database.name} leads, its log ends at {database.position()}; the others had "
                   + ", ".join(f"{each.name} {each.position()}" for each in database.members() if each is not database))


def write_items(case, host, until):
    while time.monotonic() < until[0]:
        try:
            caller = Caller(host.front, "desk", "k-clerks")
            while time.monotonic() < until[0]:
                data = f"d{next(NUMBERS)}"
                sent = time.monotonic()
                lines = caller.query(f"WRITE item-{data} {data}")
                case.note(f"{host.name}: WRITE item-{data} {data} sent {1000 * (time.monotonic() - sent):.0f} ms ago, "
                          f"answered {lines[0] or 'with a close'}")
                if not lines[-1]:
                    break
                if lines[0].startswith("COMPLETE"):
                    case.acknowledged.append((time.monotonic(), data))
                time.sleep(PAUSE_S)
            caller.close()
        except OSError:
            time.sleep(0.1)


def main():
    case = LostCase(HERE)
    with tempfile.TemporaryDirectory() as directory:
        spec = configuration(1, synchronous=1)
        for route in spec["routes"]:
            route["timeout-ms"] = 800
        fleet = Fleet(directory, ["lein-dub1", "lein-dub2", "lein-kild"], ["lein-dub1", "lein-dub2", "lein-kild"],
                      first_configuration=spec, database_type=SyncDatabase)
        fleet.store.observer = case
        try:
            until = [time.monotonic() + 60]
            clients = [threading.Thread(target=write_items, args=(case, fleet.hosts[n % 3], until), daemon=True)
                       for n in range(CLIENTS)]
            for each in clients:
                each.start()
            time.sleep(WARM_UP_S)
            old = fleet.databases[0]
            new = SyncDatabase(fleet.loop, fleet.store, "orders", "i-4", False, "lein-dub1")
            new.log = list(old.log)
            fleet.databases.append(new)
            time.sleep(1)
            old.draining = True
            fleet.loop.call(old.announce, "draining")
            case.write("i-4 has started; i-1 reports draining")
            wait_until("another database leads", lambda: case.takeovers, 30)
            time.sleep(2)
            until[0] = 0
            for each in clients:
                each.join(5)
        finally:
            fleet.close()
    for each in fleet.databases:
        case.note(f"{each.name} ran: {' '.join(run.text.split(' ')[-1] for run in each.runs)}")
    moment, database, log = case.takeovers[0]
    before = [data for at, data in case.acknowledged if at < moment]
    lost = [data for data in before if data not in log]
    case.write(f"{len(case.acknowledged)} writes acknowledged to clients, {len(before)} of them before {database.name} led")
    case.write(f"of these, {len(lost)} are not in the log of {database.name}: {' '.join(lost[:40])}")
    if len(before) < 50:
        case.write("result: could not run, hardly anything was acknowledged")
        return case.NOT_RUN
    case.write("result: broken" if lost else "result: held")
    return case.BROKEN if lost else case.HELD


sys.exit(main())
