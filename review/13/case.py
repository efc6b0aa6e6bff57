"""A database fails part of its requests, and statements run there with the
session values of other callers."""
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from platform3 import TROUBLE, Caller, main, succeeded  # noqa: E402

SHARE = 0.45  # Of the requests of one database.
FAILS_S = 6.5
SESSIONS = 12


def case(fleet):
    loop, record = fleet.loop, fleet.record
    databases = [fleet.database(name, primary=name == "i-1", zone=zone)
                 for name, zone in (("i-1", "z1"), ("i-2", "z2"), ("i-3", "z3"))]
    loop.call(fleet.configure, 1)
    hosts = [fleet.host(f"front-{number}", zone) for number, zone in enumerate(("z1", "z2", "z3"), 1)]
    fleet.wait_ready()
    ended, lock, expected = threading.Event(), threading.Lock(), {}

    def work(index):
        route = ("desk", "stock", "price")[index % 3]
        while not ended.is_set():
            try:
                caller = Caller(fleet, hosts[index % len(hosts)], route, "k-clerks")
                values = {"clerk": f"c{index}"}
                _, lines = caller.query(f"SET clerk {values['clerk']}")
                # Each second one has a further value.
                if index % 2 and succeeded(lines):
                    values["desk"] = f"d{index}"
                    _, lines = caller.query(f"SET desk {values['desk']}")
                while not ended.is_set() and succeeded(lines):
                    number = f"q{next(caller.ids)}"
                    text = "READ item" if route == "stock" or index % 4 else f"WRITE item{index} v"
                    with lock:
                        expected[number] = dict(values)
                    number, lines = caller.query(text, number)
                    record(f"caller {index}: {number} values={values} {text} -> {lines[0]}")
                    time.sleep(0.02)
                    if lines[-1].startswith("READY I"):
                        lines = ["COMPLETE -", lines[-1]]
                caller.close()
            except OSError:
                time.sleep(0.1)
    threads = [threading.Thread(target=work, args=(index,), daemon=True) for index in range(SESSIONS)]
    for each in threads:
        each.start()
    time.sleep(3)

    def fail(share):
        databases[0].failing = share
        record(f"database {databases[0].name}: fails {share} of its requests")
    if TROUBLE:
        loop.call(fail, SHARE)
    time.sleep(FAILS_S)
    loop.call(fail, 0.0)
    time.sleep(2)
    ended.set()
    for each in threads:
        each.join(12)
    wrong, runs = [], 0
    for database in databases:
        for _, number, text, _, values in database.runs:
            if number not in expected:
                continue
            runs += 1
            if values != expected[number]:
                wrong.append(number)
                record(f"run: {database.name} ran {number} {text} with values={values}, acknowledged were "
                       f"{expected[number]}")
    record(f"sum: run={runs} with other values={len(wrong)}")
    return f"PINNED: {len(wrong)} of {runs} statements ran with other session values" if wrong else None


if __name__ == "__main__":
    sys.exit(main(HERE, case))
