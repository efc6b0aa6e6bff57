"""LOST: a replica that lacks acknowledged commits is promoted, although one that
has them all is up. See claim.txt."""
import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from fleet import CannotRun, Fleet, ZONES, configuration, main
from standins import Database, Store
from traffic import Traffic, work

SERVICE = "huvo11a"
DEAF_AT, CRASH_AT, END_AT = 8.0, 10.0, 15.0
ROUNDS = 4  # Each with new databases and daemons; the first broken one ends the case.
DEAF_FOR = 6.0
SLOW_AT, SLOW_FOR, SLOW_X = 9.4, 6.5, 5.0


async def play(trouble, record):
    store = Store()
    await store.start()
    databases = [Database(store, SERVICE, f"i-{n}a{n}c{n}", ZONES[n], n == 0, sync=1, work=work) for n in range(3)]
    for each in databases:
        await each.start()
    store.put("config", "main", configuration(7, SERVICE, sync=1))
    fleet = Fleet(store)
    traffic, lost = Traffic(fleet.hosts, record), []
    acknowledged, counts = traffic.acknowledged, traffic.counts
    primary, whole, deaf = databases[0], databases[1], databases[2]

    def promoted(target):
        present = {data for _, _, _, data in target.received}
        missing = sorted(data for data in acknowledged if data not in present)
        record.say(f"promoted {target.name} with {target.newest()}; {whole.name} has {whole.newest()}, up and reachable;"
                   f" acknowledged commits that it lacks: {len(missing)}")
        for data in missing:
            record.add(f"lost {data}, acknowledged to {acknowledged[data]}")
        lost.extend(missing)
    store.on_promote = promoted
    tasks = []
    try:
        fleet.start()
        if not await fleet.wait_ready():
            raise CannotRun("the daemons did not become ready")
        tasks = [asyncio.create_task(traffic.run())]
        await asyncio.sleep(DEAF_AT)
        if trouble:
            deaf.deaf = True
            record.say(f"{deaf.name} receives nothing from now on")
            asyncio.get_running_loop().call_later(DEAF_FOR, deaf.hear_again)
        await asyncio.sleep(SLOW_AT - DEAF_AT)
        if trouble:
            whole.slow = SLOW_X
            record.say(f"{whole.name} turns slow, {SLOW_X} times")
            asyncio.get_running_loop().call_later(SLOW_FOR, setattr, whole, "slow", 1.0)
        await asyncio.sleep(CRASH_AT - SLOW_AT)
        record.say(f"acknowledged so far: {len(acknowledged)} commits; answers {counts}")
        if trouble:
            record.say(f"primary {primary.name} crashes at {primary.newest()}; {whole.name} has {whole.newest()}, "
                       f"{deaf.name} has {deaf.newest()}")
            primary.crash()
        await asyncio.sleep(END_AT - CRASH_AT)
        tasks[0].cancel()
        for holder, token, _, name, status in store.promotions:
            record.say(f"order: {holder} token {token} promotes {name}: {status}")
        record.say(f"STATUS answered BUSY by {whole.name}: {whole.status_busy} times, with a row: {whole.status_answers}")
        record.say(f"answers {counts}")
        if counts.get("ROW or COMPLETE", 0) < 300 or not acknowledged:
            raise CannotRun(f"too little was served: {counts}")
        for host in fleet.hosts:
            for line in host.text().splitlines():
                if "promotion" in line or "suspected" in line:
                    record.add(line)
        return not lost
    finally:
        for each in tasks:
            each.cancel()
        fleet.close()
        for each in databases + [store]:
            each.stop()


async def case(trouble, record):
    for number in range(1, ROUNDS + 1):
        record.say(f"round {number}")
        if not await play(trouble, record):
            return False
    return True


main(Path(__file__).parent, case, trouble=os.environ.get("TROUBLE", "1") != "0")
