"""Databases with synchronous replication, for the cases of the second review."""
import asyncio

from casefleet import Database, sessionstandin


class SyncDatabase(Database):
    """A database that acknowledges a commit when one replica has received it.

    The observer of the store hears of accepted promotions and of databases that lead."""

    RECEIVE_S = 0.0005  # One way between zones, imsf-cutline.
    PROMOTE_S = 1.0  # imsf-cutline: 1,000 ms a promote

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
            # What was missed comes from the primary, if it is up.
            if not self.primary and any(each.primary and each.running for each in self.members()):
                self.log.extend(unsent)

    def append(self, item, data):
        entry = (self.term, len(self.log) + 1, item, data)
        self.log.append(entry)
        for each in self.members():
            if each is not self and each.running:
                asyncio.get_running_loop().call_later(self.RECEIVE_S, each.receive, entry)
        return entry

    async def replicated(self, entry):
        """Waits until a replica has received the entry. Returns whether this is still the primary then."""
        while self.primary and self.running and not any(
                entry in each.log for each in self.members() if each is not self and each.running):
            await asyncio.sleep(0.001)
        return self.primary and self.running

    def lead(self):
        """The designated database leads after a while, with what it has received."""
        if not self.primary:
            self.store.observer.ordered(self)
            asyncio.get_running_loop().call_later(self.PROMOTE_S, self.take_over)

    def take_over(self):
        term = 1 + max(each.term for each in self.members())
        self.store.observer.promoted(self)
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
