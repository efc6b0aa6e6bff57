"""A primary comes back from a short crash before the promotion of another
database takes effect, and acknowledges commits until then."""
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from platform3 import TROUBLE, NotRun, main  # noqa: E402
from writers import Writers, lost_commits  # noqa: E402

SESSIONS = 12  # Of each of two processes.
PROMOTE_S = 1.0
BACK_S = 0.2  # From the order to the return of the primary.


def case(fleet):
    loop, store = fleet.loop, fleet.store
    fleet.regions = {**fleet.regions, "z3": "r2"}
    # i-2 is in another region, 20 ms away; i-3 is in the next failure domain.
    limits = {"slots": 2, "work_s": 0.003, "promote_s": PROMOTE_S}
    databases = [fleet.database("i-1", primary=True, zone="z1", **limits),
                 fleet.database("i-2", zone="z3", replicate_s=0.020, **limits),
                 fleet.database("i-3", zone="z2", replicate_s=0.0005, **limits)]
    for each in databases:
        each.synchronous = 1
    loop.call(fleet.configure, 1, synchronous=1, rate=2000)
    for number, zone in enumerate(("z1", "z2", "z3"), 1):
        fleet.host(f"front-{number}", zone)
    fleet.wait_ready()

    def order_seen(_):
        store.on_promote = None
        loop.loop.call_later(BACK_S, lambda: loop.loop.create_task(databases[0].come_back()))
    store.on_promote = order_seen

    acknowledged, writers = {}, [Writers(fleet, "a", 1, 0.25)]
    try:
        time.sleep(4)
        if TROUBLE:
            loop.call(databases[0].crash)
            fleet.wait_for("the primary is back", lambda: databases[0].running, 15)
        writers += [Writers(fleet, name, SESSIONS, 0.0) for name in ("b", "c")]
        time.sleep(4)
        for each in writers:
            acknowledged.update(each.end())
    finally:
        for each in writers:
            each.kill()
    leader = next(each for each in databases if each.primary)
    lost = lost_commits(acknowledged, leader, fleet.record)
    fleet.record(f"sum: acknowledged={len(acknowledged)} lost={len(lost)} leader={leader.name} "
                 f"promotions={store.promotions}")
    if TROUBLE and leader is databases[0]:
        raise NotRun("no database was promoted")
    if lost:
        return f"LOST: {len(lost)} acknowledged commits are not in the log of the promoted database"
    return None


if __name__ == "__main__":
    sys.exit(main(HERE, case))
