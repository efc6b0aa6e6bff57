"""A planned replacement of a primary loses commits that synchronous replication had secured.

One service with sync-replicas 1: a commit is acknowledged when one replica has received it. The primary i-1 is to be
replaced: i-4 starts as a replica, then i-1 reports draining and serves on for drain-ms. With trouble, the replica that
the system designates receives nothing for DEAF_S (replica_lag, deaf), from DEAF_AFTER_S after the accepted order. The
order takes effect after PROMOTE_S, as on the sheet of the site.
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

from casefleet import Caller, Case, Database, Fleet, configuration, sessionstandin, wait_until  # noqa: E402

CLIENTS = 4
PAUSE_S = 0.04  # Between the writes of a client.
WARM_UP_S = 3.0
RECEIVE_S = 0.0005  # One way between zones.
PROMOTE_S = 1.0  # imsf-cutline: 1,000 ms a promote
DRAIN_S = 7.0  # imsf-cutline: drain-ms 7,000
DEAF_AFTER_S = 0.3
DEAF_S = 6.5  # imsf-cutline.toml, replica_lag deaf: for_s 6.5, count 1
NUMBERS = itertools.count(1)


class SyncDatabase(Database):
    """A database that acknowledges a commit when one replica has received it."""

    draining = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.deaf = False
        self.unsent = []  # What a deaf replica has not received.

    def receive(self, entry):
        if self.deaf:
            self.unsent.append(entry)
            return
        self.log.append(entry)

    def set_deaf(self, deaf):
        self.deaf = deaf
        if not deaf:
            unsent, self.unsent = self.unsent, []
            if not self.primary:
                self.log.extend(unsent)

    def append(self, item, data):
        entry = (self.term, len(self.log) + 1, item, data)
        self.log.append(entry)
        for each in self.members():
            if each is not self and each.running:
                asyncio.get_running_loop().call_later(RECEIVE_S, each.receive, entry)
        return entry

    async def replicated(self, entry):
        """Waits until a replica has received the entry. Returns whether this is still the primary then."""
        while self.primary and not any(entry in each.log for each in self.members() if each is not self and each.running):
            await asyncio.sleep(0.001)
        return self.primary

    def lead(self):
        """The designated database leads after a while, with what it has received."""
        if not self.primary:
            self.store.case.ordered(self)
            asyncio.get_running_loop().call_later(PROMOTE_S, self.take_over)

    def take_over(self):
        term = 1 + max(each.term for each in self.members())
        self.store.case.promoted(self)
        for each in self.members():
            each.primary, each.term = each is self, term
            each.unsent = []
            if each is not self:
                each.log = list(self.log)  # What it has more is rolled back.
            if each.running:
                each.announce("draining" if each.draining else "ready")

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        session = SyncSession(self, reader, writer)
        self.sessions.append(session)
        try:
            await session.run()
        except sessionstandin.CLOSED:
            pass
        finally:
            self.connections.discard(writer)
            self.sessions.remove(session)
            writer.close()


class SyncSession(sessionstandin.Session):
    async def _query(self, statement, text):
        if self.state != "I" or not text.startswith("WRITE "):
            await super()._query(statement, text)
            return
        database = self.database
        if not database.primary:
            self._fail("READONLY")
            return
        _, item, data = text.split(" ", 2)
        database.runs.append(sessionstandin.Run(statement, text, self.workspace, dict(self.values), self.number))
        entry = database.append(item, data)
        if await database.replicated(entry):
            self._done(statement)
        else:
            self.writer.transport.abort()  # The lead was lost meanwhile: no answer.
            raise ConnectionError


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
        fleet.store.case = case
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
