"""UNASKED: a line feed inside a client's text ends the statement at the daemon,
and the rest of the text is run as statements of its own. See claim.txt."""
import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from fleet import CannotRun, Caller, Fleet, ZONES, configuration, main
from standins import Database, Store

SERVICE = "huvo11a"
ROUNDS = 20


async def case(trouble, record):
    separator = "\n" if trouble else " "
    store = Store()
    await store.start()
    databases = [Database(store, SERVICE, f"i-{n}a{n}c{n}", ZONES[n], n == 0) for n in range(3)]
    for each in databases:
        await each.start()
    store.put("config", "main", configuration(7, SERVICE))
    fleet = Fleet(store)
    sent, answered = {}, 0
    try:
        fleet.start()
        if not await fleet.wait_ready():
            raise CannotRun("the daemons did not become ready")
        for number in range(ROUNDS):
            # A note of two lines, and one whose second line looks like a statement.
            for text in (f"WRITE priceupdate-{number} two plates of 6 mm{separator}and one of 8 mm",
                         f"WRITE priceupdate-n{number} as ordered{separator}"
                         f"QUERY 77{number:04x} WRITE cutorder-{number} cut again"):
                session = Caller(fleet.hosts[number % 6], "priceupdate", "key-of-shop")
                if not await session.open():
                    raise CannotRun("no session")
                identity = f"5c0e{len(sent):06x}"
                sent[identity] = text
                lines = await session.query(text, identity=identity, timeout=2)
                record.add(f"sent {identity} {text!r} -> {lines}")
                answered += lines[0].startswith("COMPLETE")
                # Whatever else comes, until the daemon ends the session.
                try:
                    while more := await session.line(0.1):
                        record.add(f"     then {more!r}")
                except (asyncio.TimeoutError, OSError):
                    pass
                session.close()
        wrong = []
        for each in databases:
            for run in each.runs:
                record.add(f"{run.database} ran {run.id} {run.text!r}")
                if run.id not in sent:
                    wrong.append(f"{run.id} {run.text!r}, an id that no client sent")
                elif run.text != sent[run.id]:
                    wrong.append(f"{run.id} {run.text!r} in place of {sent[run.id]!r}")
        record.say(f"{len(sent)} statements sent, {answered} answered with success; "
                   f"run with changed text or unasked: {len(wrong)}")
        for each in wrong[:2]:
            record.say("  " + each)
        if not trouble and answered < len(sent):
            raise CannotRun("statements were not served")
        return not wrong
    finally:
        fleet.close()
        for each in databases + [store]:
            each.stop()


main(Path(__file__).parent, case, trouble=os.environ.get("TROUBLE", "1") != "0")
