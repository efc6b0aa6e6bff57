"""Traffic as the site file of imsf-cutline describes it for one service."""
import asyncio
import itertools
import random

from fleet import Caller
from standins import CLOSED

# Kinds of the site: share of the operations, share of writes among them, and
# mean and largest work in milliseconds.
MIX = {"cutorder": (0.15, 0.35, 3.0, 22.0), "stockcheck": (0.15, 0.0, 15.0, 110.0),
       "priceupdate": (0.7, 0.12, 9.0, 22.0)}
SESSIONS = 97  # A third of the 292 of the site, which has three services.
# The scale days of the site send 397 operations a second to three services, in a
# wave of 15 %. This is its peak, at one of them.
ARRIVALS_PER_S = 397 / 3 * 1.15


def work(text):
    """Time that a statement takes, by the route that its item belongs to."""
    kind = next((kind for kind in MIX if kind in text), "cutorder")
    _, _, mean, largest = MIX[kind]
    tail = 5 if random.random() < 0.01 else 1
    return min(largest, mean * tail * random.lognormvariate(-0.245, 0.7)) / 1000


class Traffic:
    """Operations that arrive at random, each in an idle session of its kind."""

    def __init__(self, hosts, record):
        self.hosts, self.record = hosts, record
        self.idle = {kind: [] for kind in MIX}
        self.acknowledged, self.counts = {}, {}
        self.numbers = itertools.count(1)
        self.tasks = set()
        self.open = 0

    async def run(self):
        while True:
            await asyncio.sleep(random.expovariate(ARRIVALS_PER_S))
            kind = random.choices(list(MIX), [each[0] for each in MIX.values()])[0]
            task = asyncio.create_task(self.operation(kind))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def session(self, kind):
        if self.idle[kind]:
            return self.idle[kind].pop(0)
        if self.open >= SESSIONS:
            return None
        self.open += 1
        session = Caller(self.hosts[self.open % len(self.hosts)], kind, "key-of-shop")
        try:
            if await session.open():
                return session
        except (*CLOSED, OSError, asyncio.TimeoutError):
            pass
        self.open -= 1
        return None

    async def operation(self, kind):
        session = await self.session(kind)
        if not session:
            self.count("no session")
            return
        item = f"{kind}-{random.randrange(2000)}"
        if random.random() >= MIX[kind][1]:
            lines = await session.query(f"READ {item}")
        else:
            data = f"d{next(self.numbers)}"
            lines = await session.query(f"WRITE {item} {data}")
            self.record.add(f"write {session.last_id} {item} {data} -> {lines[0]} {lines[-1]}")
            if lines[0].startswith("COMPLETE"):
                self.acknowledged[data] = session.last_id
        self.count("ROW or COMPLETE" if lines[0].startswith(("ROW", "COMPLETE")) else " ".join(lines[0].split(" ")[:2]))
        if lines[-1] == "" or not lines[-1].startswith("READY I"):
            session.close()
            self.open -= 1
        else:
            self.idle[kind].append(session)

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1
