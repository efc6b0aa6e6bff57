"""Callers that write without a pause, in a process of their own, so that they
do not take the time of the stand-ins."""
import itertools
import subprocess
import sys
import threading
import time
import types

from platform3 import Caller, succeeded


class Writers:
    """Sessions of one process; they write until they are ended."""

    def __init__(self, fleet, name, sessions, pause_s):
        self.fleet = fleet
        arguments = [name, str(sessions), str(pause_s), str(fleet.front), *(each.address for each in fleet.hosts)]
        self.process = subprocess.Popen([sys.executable, __file__, *arguments], stdin=subprocess.PIPE,
                                        stdout=subprocess.PIPE, text=True)

    def end(self):
        """Returns when each write that succeeded was acknowledged, by its id."""
        acknowledged = {}
        answers, _ = self.process.communicate(timeout=20)  # Closes its standard input.
        for line in answers.splitlines():
            at, number, answer = line.split(" ", 2)
            at = float(at) - self.fleet.record.start
            self.fleet.record(f"caller: at {at:.4f} {number} WRITE -> {answer}")
            if answer.startswith("COMPLETE"):
                acknowledged[number] = at
        return acknowledged

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10)


def lost_commits(acknowledged, database, record):
    """Which acknowledged writes are not in the log of the database that leads now. Its log continues the one with
    which it was promoted."""
    log = {each.statement for each in database.log}
    lost = [number for number in sorted(acknowledged, key=acknowledged.get) if number not in log]
    for number in lost:
        record(f"lost: {number} acknowledged={acknowledged[number]:.4f} is not in the log of {database.name}")
    return lost


def write(name, sessions, pause_s, front, *addresses):
    ended, answers, numbers = threading.Event(), [], itertools.count(1)

    def work(index):
        place = types.SimpleNamespace(address=addresses[index % len(addresses)], front=int(front))
        while not ended.is_set():
            try:
                caller = Caller(place, place, "desk", "k-clerks")
                lines = [caller.greeting]
                while lines[-1].startswith("READY I") and not ended.is_set():
                    number, lines = caller.query(f"WRITE item{index} v", f"{name}{next(numbers)}")
                    answer = lines[0] if lines[0] and (lines[0].startswith("ERROR") or succeeded(lines)) else "cut"
                    answers.append(f"{time.monotonic()} {number} {answer}")
                    time.sleep(float(pause_s))
                caller.close()
            except OSError:
                pass
            time.sleep(0.1)
    threads = [threading.Thread(target=work, args=(index,), daemon=True) for index in range(int(sessions))]
    for each in threads:
        each.start()
    sys.stdin.read()
    ended.set()
    for each in threads:
        each.join(5)
    print("\n".join(answers))


if __name__ == "__main__":
    write(*sys.argv[1:])
