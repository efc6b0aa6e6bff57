"""After a restart, the daemons promote a replica that lacks commits which synchronous replication had secured.

One service with sync-replicas 1 and three databases. With trouble, the replica i-2 receives nothing for DEAF_S; i-3, which
alone has received the commits since, is lost for good, and its entry lapses after three heartbeat intervals; all daemons
are killed and start again; the primary i-1 crashes, and comes back with its log after CRASH_S.
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
TIMEOUT_MS = 800  # imsf-cutline, cutorder
WARM_UP_S = 3.0
DEAF_S = 6.5  # imsf-cutline.toml, replica_lag "deaf crash": for_s up to 7.0, count 1
GONE_AFTER_S = 1.0  # From the beginning of the deafness.
LAPSE_S = 3 * 1.2  # Three heartbeat intervals of silence.
DOWN_S = 0.5  # Of the daemons; herd_kill has for_s up to 2.0.
CRASH_S = 7.0  # srv_crash primary: for_s 7.0
NUMBERS = itertools.count(1)


class LostCase(Case):
    """What was acknowledged when, and what the promoted database had."""

    def __init__(self, folder):
        super().__init__(folder)
        self.acknowledged = []  # (time, data)
        self.takeovers = []  # (time, database, data of its log)

    def ordered(self, database):
        self.write(f"the platform accepts the promotion of {database.name} at {database.position()}")

    def promoted(self, database):
        self.takeovers.append((time.monotonic(), database, {data for _, _, _, data in database.log}))
        self.write(f"{database.name} leads, its log ends at {database.position()}")


def write_items(case, host, until):
    while time.monotonic() < until[0]:
        try:
            caller = Caller(host.front, "desk", "k-clerks")
            while time.monotonic() < until[0]:
                data = f"d{next(NUMBERS)}"
                lines = caller.query(f"WRITE item-{data} {data}")
                case.note(f"{host.name}: WRITE item-{data} {data} answered {lines[0] or 'with a close'}")
                if not lines[-1]:
                    break
                if lines[0].startswith("COMPLETE"):
                    case.acknowledged.append((time.monotonic(), data))
                time.sleep(PAUSE_S)
            caller.close()
        except OSError:
            time.sleep(0.1)


def crash(fleet, database):
    fleet.loop.call(database.crash)


def come_back(fleet, database):
    """A crashed database listens again at its port, with its log."""
    async def listen():
        database.server = await asyncio.start_server(database._serve, "127.0.0.1", database.port)
        database.running = True
        database.announce()
    fleet.loop.run(listen())


def make_trouble(case, fleet):
    primary, deaf, gone = fleet.databases
    fleet.loop.call(deaf.set_deaf, True)
    begin = time.monotonic()
    case.write("i-2 receives nothing")
    time.sleep(GONE_AFTER_S)
    crash(fleet, gone)
    case.write(f"i-3 is lost for good; i-1 stands at {primary.position()}, i-2 at {deaf.position()}")
    time.sleep(LAPSE_S)
    fleet.loop.call(fleet.store.remove, "servers", "i-3")
    case.write("the entry of i-3 has lapsed")
    for host in fleet.hosts:
        host.kill()
    time.sleep(DOWN_S)
    for host in fleet.hosts:
        host.start()
    case.write("all daemons were killed and started again")
    for host in fleet.hosts:
        wait_until(f"{host.name} is ready", lambda: answers(host), 10)
    crash(fleet, primary)
    case.write(f"the daemons are ready; i-1 crashes {time.monotonic() - begin:.1f} s after i-2 became deaf")
    crashed = time.monotonic()
    while time.monotonic() < begin + DEAF_S:
        time.sleep(0.05)
    fleet.loop.call(deaf.set_deaf, False)
    case.write("i-2 would receive again, but its primary is down")
    while time.monotonic() < crashed + CRASH_S and not case.takeovers:
        time.sleep(0.05)
    if not case.takeovers:
        come_back(fleet, primary)
        case.write("i-1 is back with its log")


def answers(host):
    try:
        return host.ready()
    except OSError:
        return False


def main():
    case = LostCase(HERE)
    with tempfile.TemporaryDirectory() as directory:
        spec = configuration(1, synchronous=1)
        for route in spec["routes"]:
            route["timeout-ms"] = TIMEOUT_MS
        fleet = Fleet(directory, ["lein-dub1", "lein-dub2", "lein-kild"], ["lein-dub1", "lein-dub2", "lein-kild"],
                      first_configuration=spec, database_type=SyncDatabase)
        fleet.store.observer = case
        try:
            until = [time.monotonic() + 80]
            clients = [threading.Thread(target=write_items, args=(case, fleet.hosts[n % 3], until), daemon=True)
                       for n in range(CLIENTS)]
            for each in clients:
                each.start()
            time.sleep(WARM_UP_S)
            if case.trouble:
                make_trouble(case, fleet)
            else:
                time.sleep(15)
            time.sleep(3)
            until[0] = 0
            for each in clients:
                each.join(5)
        finally:
            fleet.close()
    for each in fleet.databases:
        case.note(f"{each.name} ran: {' '.join(run.text.split(' ')[-1] for run in each.runs)}")
    case.write(f"{len(case.acknowledged)} writes acknowledged to clients")
    if len(case.acknowledged) < 50:
        case.write("result: could not run, hardly anything was acknowledged")
        return case.NOT_RUN
    lost = []
    for moment, database, log in case.takeovers:
        lost = [data for at, data in case.acknowledged if at < moment and data not in log]
        case.write(f"{len(lost)} acknowledged ones are not in the log of {database.name} when it leads: {' '.join(lost[:40])}")
        if lost:
            break
    case.write("result: broken" if lost else "result: held")
    return case.BROKEN if lost else case.HELD


sys.exit(main())
