"""Stand-ins for the review cases: the platform's store, the promotion call, and
databases that speak the line protocol. Written from the pages PROTOCOL.md,
SYSTEM.md and DEPLOY.md only.

All run on one asyncio loop, which the case runs as well.
"""
import asyncio
import json
import random
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

CLOSED = (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)
MAX_LINE = 1 << 20
HEARTBEAT_S = 1.2
NETWORK_S = 0.0005  # Between zones, SYSTEM.md.


class Store:
    """The platform's metadata store, and the promotion call."""

    def __init__(self, requires_fencing=True, promote_s=1.0):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.databases = {}
        self.promotions = []  # What was ordered: (holder, token, service, id, status)
        self.tokens = {}
        self.requires_fencing = requires_fencing
        self.promote_s = promote_s
        self.on_promote = lambda target: None
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def put(self, kind, name, spec, silent=False):
        """Creates or replaces an object. A silent change leaves the revision,
        as one of the sequence only does."""
        old = self.objects.setdefault(kind, {}).get(name)
        if old and old["spec"] == spec:
            return old
        if old and silent:
            old["spec"] = spec
            return old
        self.revision += 1
        stored = {"meta": {"name": name, "revision": self.revision,
                           "created-revision": old["meta"]["created-revision"] if old else self.revision,
                           "finalizers": [], "deletion-pending": False},
                  "spec": spec, "status": None}
        self.objects[kind][name] = stored
        self._publish(kind, stored, False)
        return stored

    def remove(self, kind, name):
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored:
            self.revision += 1
            self._publish(kind, stored, True)
        return stored

    def _publish(self, kind, stored, removed):
        self.events.append((self.revision, kind, {"removed": removed, "object": json.loads(json.dumps(stored))}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in lines[1:] if x)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self._answer(method, target, headers, json.loads(body) if body else None)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except CLOSED:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/promote":
            return self._promote(headers, body)
        path = [unquote(each) for each in parts.path.removeprefix("/-/objects/").split("/")]
        kind = self.objects.setdefault(path[0], {})
        if method == "GET" and len(path) == 1:
            if "watch" in query:
                return await self._watch(path[0], int(query["watch"]), int(query["wait-ms"]) / 1000)
            return 200, {"items": [kind[name] for name in sorted(kind) if name > query.get("after", "")],
                         "more": False, "at-revision": self.revision}
        if method == "POST":
            name = body["meta"]["name"]
            return (409, kind[name]) if name in kind else (200, self.put(path[0], name, body["spec"]))
        stored = kind.get(path[1])
        if not stored:
            return 404, {}
        if method == "GET":
            return 200, stored
        if method == "DELETE":
            return 200, self.remove(path[0], path[1])
        if body["meta"].get("revision") not in (None, stored["meta"]["revision"]):
            return 409, stored
        return 200, self.put(path[0], path[1], body["spec"])

    async def _watch(self, kind, since, wait):
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            found = [event for revision, each, event in self.events if revision > since and each == kind]
            left = deadline - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, {"events": found, "at-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _promote(self, headers, body):
        token = int(headers["lavenderdale-fencing-token"])
        holder = headers["lavenderdale-duty-holder"]
        service, target = body["service"], self.databases.get(body["id"])
        status = 200
        if not target or not target.running or (self.requires_fencing and token < self.tokens.get(service, 0)):
            status = 409
        self.tokens[service] = max(token, self.tokens.get(service, 0))
        self.promotions.append((holder, token, service, body["id"], status))
        if status == 200 and not target.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, target)
        return status, {}

    def _lead(self, target):
        if target.running and not target.primary:
            self.on_promote(target)
            target.lead()


@dataclass
class Run:
    """A statement that a database ran."""
    id: str
    text: str
    workspace: str
    database: str
    at: float


class Database:
    """A database of a service. A commit gets the next number, is sent to the
    replicas, and is applied there after a lag."""

    def __init__(self, store, service, name, zone, primary, slots=2, queue=16, limit=16, sync=0,
                 handshake_s=0.012, lag_s=0.06, work=lambda text: 0.01):
        self.store, self.service, self.name, self.zone, self.primary = store, service, name, zone, primary
        self.free, self.queue, self.limit, self.sync = slots, queue, limit, sync
        self.slots = slots
        self.waiting = []
        self.handshake_s, self.lag_s, self.work = handshake_s, lag_s, work
        self.running, self.deaf = True, False
        self.slow = 1.0  # All that takes a slot takes so many times as long.
        self.term = 3
        self.received = []  # (term, number, item, data)
        self.applied = 0  # Number of entries that reads see.
        self.arrived = asyncio.Event()
        self.runs, self.status_busy, self.status_answers = [], 0, []
        self.sessions = set()
        self.sequence = 0
        self.state = "ready"
        self.server = None
        self.port = 0
        self.tasks = set()
        store.databases[name] = self

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=MAX_LINE + 64)
        self.port = self.server.sockets[0].getsockname()[1]
        self._task(self._beat())

    def _task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self):
        self.running = False
        self.server.close()
        for each in list(self.tasks):
            each.cancel()
        for each in list(self.sessions):
            each.writer.transport.abort()

    def crash(self):
        """Ends without a word. Its entry lapses after three heartbeats."""
        self.stop()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self._lapse)

    def _lapse(self):
        if not self.running:
            self.store.remove("servers", self.name)

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold-remaining-ms": 0,
                "database-role": "primary" if self.primary else "replica", "sequence": self.sequence, "born": 1}

    def announce(self):
        self.store.put("servers", self.name, self.entry())

    async def _beat(self):
        self.announce()
        while self.running:
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1
            self.store.put("servers", self.name, self.entry(), silent=True)

    def members(self):
        return [each for each in self.store.databases.values() if each.service == self.service]

    @staticmethod
    def _text(entry, term):
        return f"{entry[0]}.{entry[1]}" if entry else f"{term}.0"

    def position(self):
        return self._text(self.received[self.applied - 1] if self.applied else None, self.term)

    def newest(self):
        return self._text(self.received[-1] if self.received else None, self.term)

    def includes(self, after):
        term, number = map(int, after.split("."))
        if number == 0:
            return True
        last = self.received[self.applied - 1] if self.applied else (0, 0)
        return last[:2] >= (term, number)

    async def acquire(self):
        """Takes a slot; false when the queue is full."""
        if self.free:
            self.free -= 1
            return True
        if len(self.waiting) >= self.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def release(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.free += 1

    async def append(self, writes):
        """Commits; acknowledged when sync replicas have received it."""
        number = 1 + (self.received[-1][1] if self.received else 0)
        entries = [(self.term, number, item, data) for item, data in writes]
        self.received += entries
        self.applied = len(self.received)
        for each in self.members():
            if each is not self:
                asyncio.get_running_loop().call_later(NETWORK_S, each.receive, self)
        if self.sync:
            wanted = entries[-1]
            while not any(wanted in each.received[-64:] for each in self.members() if each is not self):
                event = self.arrived
                await event.wait()
        return entries[-1]

    def receive(self, source):
        """Receives what the primary has, unless deaf."""
        if not self.running or self.deaf or not source.running or not source.primary or self.primary:
            return
        new = len(source.received)
        if new <= len(self.received):
            return
        self.received = list(source.received)
        self.term = source.term
        source.arrived.set()
        source.arrived = asyncio.Event()
        lag = self.lag_s * random.lognormvariate(0, 0.6)
        asyncio.get_running_loop().call_later(lag, self._apply, new)

    def _apply(self, count):
        self.applied = max(self.applied, min(count, len(self.received)))

    def hear_again(self):
        self.deaf = False
        for each in self.members():
            if each.primary and each.running:
                self.receive(each)

    def lead(self):
        """Leads the next term with what it has received, and nothing more."""
        term = 1 + max(each.term for each in self.members())
        for each in self.members():
            each.primary = each is self
            if each is not self:
                shared = 0
                while (shared < min(len(each.received), len(self.received))
                       and each.received[shared] == self.received[shared]):
                    shared += 1
                each.received = each.received[:shared]
                each.applied = min(each.applied, shared)
            each.term = term
        self.applied = len(self.received)
        for each in self.members():
            if each.running:
                each.announce()
                if each is not self:
                    each.receive(self)

    def read(self, item):
        return [data for _, _, key, data in self.received[:self.applied] if key == item][-1:]

    async def _serve(self, reader, writer):
        session = Session(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.run()
        except CLOSED:
            pass
        finally:
            self.sessions.discard(session)
            writer.close()


@dataclass(eq=False)
class Session:
    """One connection to a database."""
    database: Database
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    workspace: str = ""
    state: str = "I"
    plain: bool = False
    values: dict = field(default_factory=dict)
    prepared: dict = field(default_factory=dict)
    pending: list = field(default_factory=list)

    async def run(self):
        database = self.database
        word, service, self.workspace, *name = (await self._line()).split(" ")
        if word != "START" or service != database.service or name not in ([], [database.name]):
            self._send("ERROR MISROUTED " + database.name)
            return
        if len(database.sessions) > database.limit:
            self._send("ERROR OVERLOADED " + database.name)
            return
        await self._occupy(database.handshake_s, always=True)
        self._ready()
        while True:
            word, _, rest = (await self._line()).partition(" ")
            if word != "QUERY":
                return
            statement, _, text = rest.partition(" ")
            await self._query(statement, text)
            await self.writer.drain()

    async def _line(self):
        return (await self.reader.readuntil(b"\r\n")).decode(errors="surrogateescape").removesuffix("\r\n")

    async def _occupy(self, seconds, always=False):
        """Holds a slot for a time; false when there is none."""
        while not await self.database.acquire():
            if not always:
                return False
            await asyncio.sleep(0.005)
        try:
            await asyncio.sleep(seconds * self.database.slow)
        finally:
            self.database.release()
        return True

    def _send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode(errors="surrogateescape"))

    def _ready(self):
        self._send(f"READY {self.state} {self.database.position()}")

    def _fail(self, code, ends=True):
        self._send(f"ERROR {code} {self.database.name}")
        if self.state == "T" and ends:
            self.state = "E"
        self._ready()

    def _done(self, statement, rows=(), signed=True):
        signature = f"{self.database.name}.{statement}" if signed else "-"
        self._send(*[f"ROW {row}" for row in rows], f"COMPLETE {signature}")
        self._ready()

    async def _query(self, statement, text):
        database = self.database
        sent = text
        word, _, rest = text.partition(" ")
        after = None
        if word == "AFTER":
            after, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
            sent = text
        if self.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return self._fail("MALFORMED")
        if after and not database.includes(after):
            return self._fail("LAGGING")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self._fail("UNPREPARED")
            word = self.prepared[name][0]
        if word in ("READ", "WRITE", "COMMIT"):
            lost_lead = self.plain and not database.primary and (self.pending or word != "COMMIT")
            if self.state == "T" and lost_lead or self.state == "I" and word == "WRITE" and not database.primary:
                return self._fail("READONLY")
            if not await self._occupy(database.work(text)):
                return self._fail("BUSY", ends=False)
            if (self.state == "T" and self.plain or word == "WRITE") and not database.primary and (
                    self.pending or word != "COMMIT"):
                return self._fail("READONLY")
            database.runs.append(Run(statement, sent, self.workspace, database.name,
                                     asyncio.get_running_loop().time()))
        rows, signed = [], True
        if word == "BEGIN":
            self.plain = rest != "READ"
            if self.plain and not database.primary:
                return self._fail("READONLY")
            self.state, self.pending, signed = "T", [], False
        elif word in ("COMMIT", "ROLLBACK"):
            if word == "COMMIT" and self.pending and self.state == "T":
                await database.append(self.pending)
            self.state, self.pending, signed = "I", [], word == "COMMIT"
        elif word == "READ":
            rows = [data for item, data in self.pending if item == rest][-1:] or database.read(rest)
        elif word == "WRITE":
            item, _, data = rest.partition(" ")
            if self.state == "T":
                self.pending.append((item, data))
            else:
                await database.append([(item, data)])
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name], signed = value, False
        elif word == "PREPARE":
            name, _, rest = rest.partition(" ")
            self.prepared[name], signed = rest.split(" "), False
        elif word == "DEALLOCATE":
            self.prepared.pop(rest, None)
            signed = False
        elif word == "RESET":
            self.values, self.prepared, signed = {}, {}, False
        elif word == "STATUS":
            if not await self._occupy(0.0005):
                database.status_busy += 1
                return self._fail("BUSY", ends=False)
            signed = False
            role = "primary" if database.primary else "replica"
            rows = [f"{role} {database.term} {database.newest()} {database.term} 0 "
                    f"{database.slots - database.free} {len(database.sessions)}"]
            database.status_answers.append(rows[0])
        else:
            return self._fail("MALFORMED")
        self._done(statement, rows, signed)
