"""Evacuation of a failure domain: nothing more is sent to its databases."""
import contextlib
import json
import subprocess
import tempfile
import threading
import time
import unittest
import urllib.request
from pathlib import Path

from cluster import program, wait_until
from sessionfleet import SessionFleet
from test_relays import metric

BOUND_S = 5.0
BOUNDS = "evacuation-ms = 5000"
ZONES = ("z1", "z2", "z3")


def evacuated_domains(host):
    with urllib.request.urlopen(f"http://127.0.0.1:{host.internal}/evacuated-domains", timeout=30) as answer:
        return json.load(answer)


class Traffic:
    """Callers that read and write at all hosts until they are stopped."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stopped = threading.Event()
        self.answers = []  # (time, host, text, first line)
        self.threads = []

    def add(self, host):
        for database, text in (("desk", "WRITE item x"), ("desk", "READ item"), ("stock", "READ item"),
                               ("price", "READ item")):
            self.threads.append(threading.Thread(target=self._run, args=(host, database, text)))
            self.threads[-1].start()

    def _run(self, host, database, text):
        while not self.stopped.wait(0.02):
            with contextlib.suppress(OSError):
                caller = self.fleet.caller(database, host=host)
                while not self.stopped.wait(0.02):
                    lines = caller.query(text)
                    if not lines[-1]:
                        break
                    self.answers.append((time.monotonic(), host, text, lines[0]))

    def served(self, host, word, since):
        return any(at > since and each == host and text.startswith(word) and line.startswith(("ROW", "COMPLETE"))
                   for at, each, text, line in list(self.answers))

    def stop(self):
        self.stopped.set()
        for each in self.threads:
            each.join(10)


def slow_down_others(fleet, zone):
    """Lets reads choose the database of a zone: one without recent answers
    counts as slower than the others, which answer at once."""
    for each in fleet.databases:
        each.hold = 0.0 if each.zone == zone else 0.05


class EvacuationCase(unittest.TestCase):
    HOSTS = 2

    def start(self, bounds=BOUNDS, **options):
        self.fleet = SessionFleet(hosts=self.HOSTS, zones=ZONES, bounds=bounds, **options)
        self.addCleanup(self.fleet.close)
        self.traffic = Traffic(self.fleet)
        self.addCleanup(self.traffic.stop)

    def start_with_traffic(self):
        self.start()
        for host in range(self.HOSTS):
            self.traffic.add(host)
        self.await_service(0)

    def await_service(self, since, hosts=None):
        for host in range(self.HOSTS) if hosts is None else hosts:
            for word in ("WRITE", "READ"):
                wait_until(f"host {host} serves {word}", lambda: self.traffic.served(host, word, since), 20)

    def database(self, zone):
        return next(each for each in self.fleet.databases if each.zone == zone)

    def received_since(self, zone, since):
        return [line for at, line in list(self.database(zone).received) if at > since]

    def check_silent(self, zone, ordered, seconds=2.0):
        """Nothing reaches the database after the bound, for some seconds."""
        time.sleep(max(0.0, ordered + BOUND_S + seconds - time.monotonic()))
        self.assertEqual(self.received_since(zone, ordered + BOUND_S), [])
        self.assertEqual(len(self.database(zone).connections), 0)


class Evacuations(EvacuationCase):
    def test_nothing_reaches_an_evacuated_domain(self):
        """Guards against statements, probes, STATUS queries, rollbacks and new
        connections to databases of a domain that an operator evacuated, also
        from a host that starts later; against writes that stay without a
        primary; and against a domain that is never used again."""
        self.start_with_traffic()
        ordered = self.fleet.order("z1")
        self.await_service(ordered + BOUND_S)
        self.check_silent("z1", ordered)
        self.assertFalse(self.database("z1").primary)
        self.fleet.start_host()
        later = self.fleet.hosts[-1]
        wait_until("the later host is ready", lambda: self.fleet.ready(later))
        self.traffic.add(self.HOSTS)
        self.await_service(time.monotonic(), hosts=[self.HOSTS])
        self.check_silent("z1", ordered, time.monotonic() + 2 - ordered - BOUND_S)
        self.assertEqual(metric(later, "lavenderdale_evacuated_domains"), 1)
        self.assertEqual(metric(later, "lavenderdale_evacuated_connections"), 0)
        shown = evacuated_domains(later)
        self.assertTrue(shown["enabled"])
        self.assertGreaterEqual(shown["revision"], shown["domains"][0]["since-revision"])
        self.assertEqual([(each["name"], each["upstreams"], each["connections"]) for each in shown["domains"]],
                         [("z1", 1, 0)])
        self.fleet.withdraw("z1")
        slow_down_others(self.fleet, "z1")
        wait_until("the domain is used again", lambda: self.received_since("z1", ordered + BOUND_S))
        self.assertEqual(metric(later, "lavenderdale_evacuated_domains"), 0)

    def test_a_host_that_the_store_refuses_obeys_and_hears_of_the_end(self):
        """Guards against an order that only hosts with the store obey."""
        self.start_with_traffic()
        self.fleet.loop.call(self.fleet.store.refuse, self.fleet.hosts[1].store_port)
        ordered = self.fleet.order("z2")
        self.await_service(ordered + BOUND_S)
        self.check_silent("z2", ordered)
        self.assertIn("event=evacuation_ordered domain=z2", self.fleet.hosts[1].text())
        self.fleet.withdraw("z2")
        wait_until("host 1 hears of the end",
                   lambda: "event=evacuation_withdrawn domain=z2" in self.fleet.hosts[1].text())

    def test_an_order_stays_in_force_without_the_store(self):
        """Guards against an outage of the store that ends an evacuation."""
        self.start_with_traffic()
        ordered = self.fleet.order("z2")
        for each in self.fleet.hosts:
            wait_until("the order is known", lambda: "event=evacuation_ordered domain=z2" in each.text())
        self.fleet.loop.call(self.fleet.store.set_away, True)
        self.check_silent("z2", ordered)
        self.await_service(time.monotonic())
        self.fleet.withdraw("z2")
        self.fleet.loop.call(self.fleet.store.set_away, False)
        slow_down_others(self.fleet, "z2")
        wait_until("the domain is used again", lambda: self.received_since("z2", ordered + BOUND_S))

    def test_an_order_that_is_given_while_the_store_is_away_takes_effect_after(self):
        """Guards against a change that is missed during an outage."""
        self.start_with_traffic()
        self.fleet.loop.call(self.fleet.store.set_away, True)
        time.sleep(1)
        self.fleet.order("z1")
        self.fleet.loop.call(self.fleet.store.set_away, False)
        ordered = time.monotonic()
        self.await_service(ordered + BOUND_S)
        self.check_silent("z1", ordered)

    def test_an_order_from_before_the_start(self):
        """Guards against hosts that use the databases before they have read the
        orders."""
        self.start(orders=["z1"])
        for host in range(self.HOSTS):
            self.traffic.add(host)
        self.await_service(0)
        time.sleep(1)
        self.assertEqual(self.received_since("z1", 0), [])

    def test_an_open_transaction_ends_after_half_of_the_bound(self):
        """Guards against transactions that are cut at once, and against ones
        that go on: neither a statement nor a rollback may be sent then."""
        self.start()
        caller = self.fleet.caller("price")
        wait_until("a write", lambda: caller.query("WRITE item x")[0].startswith("COMPLETE"))
        self.assertTrue(caller.query("BEGIN READ")[0].startswith("COMPLETE"))
        self.assertTrue(caller.query("READ item")[0].startswith("ROW"))
        holder = next(each for each in self.fleet.databases if any(s.state == "T" for s in each.sessions))
        ordered = self.fleet.order(holder.zone)
        while time.monotonic() < ordered + BOUND_S * 0.4:
            self.assertTrue(caller.query("READ item")[0].startswith("ROW"))
            time.sleep(0.05)
        wait_until("its connection is closed", lambda: not holder.connections, 10)
        self.assertLess(time.monotonic() - ordered, BOUND_S)
        self.assertTrue(caller.query("READ item")[0].startswith("ERROR"))
        caller.query("ROLLBACK")
        self.assertNotIn("ROLLBACK", " ".join(line for _, line in holder.received))
        self.assertTrue(caller.query("READ item")[0].startswith("ROW"))
        self.assertEqual(self.received_since(holder.zone, ordered + BOUND_S / 2 + 0.5), [])

    def test_a_commit_that_was_sent_is_awaited_and_all_domains_can_be_evacuated(self):
        """Guards against a commit that becomes unknown although its answer
        comes in time; and against statements that wait for a primary that
        cannot exist while all domains are evacuated."""
        self.start(bounds="evacuation-ms = 2000")
        caller = self.fleet.caller("desk")
        wait_until("a write", lambda: caller.query("WRITE item x")[0].startswith("COMPLETE"))
        caller.query("BEGIN")
        self.assertTrue(caller.query("WRITE kept y")[0].startswith("COMPLETE"))
        self.fleet.order("z2")
        self.fleet.order("z3")
        # Answered after half of the bound, when idle transactions have ended.
        for each in self.fleet.databases:
            each.hold = 1.5
        answers = []
        committing = threading.Thread(target=lambda: answers.append(caller.query("COMMIT")))
        committing.start()
        time.sleep(0.2)
        ordered = self.fleet.order("z1")
        committing.join(20)
        self.assertTrue(answers[0][0].startswith("COMPLETE"), answers)
        other = self.fleet.caller("desk")
        begun = time.monotonic()
        lines = other.query("WRITE item z")
        self.assertTrue(lines[0].startswith("ERROR"), lines)
        self.assertLess(time.monotonic() - begun, 1.5)
        for zone in ZONES:
            self.check_silent(zone, ordered)
        self.assertEqual(self.fleet.store.promotions, [])
        for each in self.fleet.databases:
            each.hold = 0
        for zone in ZONES:
            self.fleet.withdraw(zone)
        wait_until("writes work again", lambda: other.query("WRITE item z")[0].startswith("COMPLETE"))

    def test_a_write_that_does_not_end_in_time_is_in_doubt(self):
        """Guards against a statement that runs on after the bound, and against
        one that is called not run although the database may run it."""
        self.start(bounds="evacuation-ms = 2000")
        caller = self.fleet.caller("desk")
        wait_until("a write", lambda: caller.query("WRITE item x")[0].startswith("COMPLETE"))
        self.fleet.order("z2")
        self.fleet.order("z3")
        for each in self.fleet.databases:
            each.hold = 2.9
        answers = []
        writing = threading.Thread(target=lambda: answers.append(caller.query("WRITE item y")))
        writing.start()
        time.sleep(0.2)
        ordered = self.fleet.order("z1")
        writing.join(20)
        self.assertLess(time.monotonic() - ordered, 2.5)
        self.assertTrue(answers[0][0].startswith("ERROR INDOUBT"), answers)
        self.assertEqual(sum(metric(each, "lavenderdale_evacuated_connections") for each in self.fleet.hosts), 0)

    def test_two_of_three_domains(self):
        """Guards against a promotion in the other evacuated domain."""
        self.start_with_traffic()
        self.fleet.order("z2")
        ordered = self.fleet.order("z1")
        self.await_service(ordered + BOUND_S)
        for zone in ("z1", "z2"):
            self.check_silent(zone, ordered)
        self.assertTrue(self.database("z3").primary)

    def test_an_order_that_is_withdrawn_during_its_promotion(self):
        """Guards against a group without a primary, or with a second promotion
        back, when the order ends while the primary is being replaced."""
        self.start_with_traffic()
        for each in self.fleet.databases:
            each.status_delay = 0.2
        ordered = self.fleet.order("z1")
        time.sleep(0.15)
        self.fleet.withdraw("z1")
        time.sleep(3)
        self.await_service(time.monotonic())
        self.assertLessEqual(len(self.fleet.store.promotions), 1)
        slow_down_others(self.fleet, "z1")
        wait_until("the domain is used", lambda: self.received_since("z1", ordered + 3))

    def test_orders_that_name_no_domain_or_cannot_be_read(self):
        """Guards against an order for an unknown domain that has an effect, and
        against one that is ignored because its contents cannot be read."""
        self.start_with_traffic()
        self.fleet.order("z9")
        wait_until("it is logged", lambda: "event=evacuation_without_upstreams domain=z9" in
                   self.fleet.hosts[0].text())
        self.await_service(time.monotonic())
        self.assertEqual(self.fleet.store.promotions, [])
        self.fleet.store.raw["unreadable"] = b"1e999"
        ordered = self.fleet.order("z2", {"reason": "unreadable"})
        self.check_silent("z2", ordered)
        self.await_service(time.monotonic())


class LargeFleet(EvacuationCase):
    """Beyond 12 hosts, reports are less frequent, in parts, and rates have an
    owner."""
    HOSTS = 14

    def test_half_of_the_hosts_without_the_store_obey(self):
        """Guards against orders that reach the hosts without the store too late
        in a fleet that reports seldom."""
        self.start()
        without = range(self.HOSTS // 2, self.HOSTS)
        used = [0, self.HOSTS // 2, self.HOSTS - 1]
        for host in used:
            self.traffic.add(host)
        self.await_service(0, hosts=used)
        for host in without:
            self.fleet.loop.call(self.fleet.store.refuse, self.fleet.hosts[host].store_port)
        ordered = self.fleet.order("z1")
        for host in without:
            wait_until(f"host {host} knows the order",
                       lambda: metric(self.fleet.hosts[host], "lavenderdale_evacuated_domains") == 1)
        self.assertLess(time.monotonic() - ordered, BOUND_S / 2)
        self.await_service(ordered + BOUND_S, hosts=used)
        self.check_silent("z1", ordered)


class ColdDatabases(unittest.TestCase):
    PER_S = 10

    def test_a_cold_database_gets_a_limited_rate(self):
        """Guards against the usual load on a database that is cold after an
        evacuation, from its holder or over other hosts."""
        fleet = SessionFleet(hosts=2, zones=ZONES, bounds=BOUNDS)
        self.addCleanup(fleet.close)
        fleet.configure(2, service={"cold-per-s": self.PER_S})
        traffic = Traffic(fleet)
        self.addCleanup(traffic.stop)
        for host in range(2):
            traffic.add(host)
        for host in range(2):
            wait_until("reads are served", lambda: traffic.served(host, "READ", 0))
        fleet.order("z2")
        wait_until("the domain is left", lambda: not fleet.databases[1].connections)
        fleet.databases[1].cold_ms = 30000
        fleet.loop.call(fleet.databases[1].announce)
        time.sleep(1)
        slow_down_others(fleet, "z2")
        fleet.withdraw("z2")
        begun = time.monotonic()
        time.sleep(5)
        sent = [at for at, line in list(fleet.databases[1].received)
                if at > begun and line.startswith("QUERY q")]
        most = max((sum(first <= at < first + 1 for at in sent) for first in sent), default=0)
        self.assertGreater(len(sent), 0)
        self.assertLessEqual(most, self.PER_S * 1.5 + 5)
        fleet.databases[1].cold_ms = 0
        fleet.loop.call(fleet.databases[1].announce)
        wait_until("it is no longer limited", lambda: metric(fleet.hosts[0], "lavenderdale_cold_upstreams") == 0)


class WithoutTheSetting(unittest.TestCase):
    def test_the_collection_is_not_read(self):
        """Guards against store calls, and against an effect of orders, in
        deployments without evacuations."""
        fleet = SessionFleet(zones=ZONES, orders=["z1"])
        self.addCleanup(fleet.close)
        caller = fleet.caller("desk")
        wait_until("a write", lambda: caller.query("WRITE item x")[0].startswith("COMPLETE"))
        time.sleep(1)
        self.assertEqual(fleet.store.calls["evacuations"], 0)
        self.assertTrue(fleet.databases[0].primary)


class Settings(unittest.TestCase):
    def check(self, bounds):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "host.toml"
            path.write_text(f"""
node-name = "h"
ip-address = "127.0.0.1"
zone = "z1"
internal-port-range = [7001,7002]
[listen]
front = "127.0.0.1:7003"
readiness = "127.0.0.1:7004"
[bounds]
grace-period-s = 6
{bounds}
[platform]
address = "127.0.0.1:7005"
[cloud]
address = "127.0.0.1:7005"
""")
            checked = subprocess.run([program("platform/lavenderdaled-platform"), "-s", path, "--check"],
                                     capture_output=True, text=True, timeout=30)
        self.assertEqual(checked.returncode, 0, checked.stderr)
        return checked.stdout

    def test_bounds_that_cannot_be_used_are_reported(self):
        """Guards against a mistake in the settings that silently ignores the
        orders, or keeps the host from starting."""
        for name, bad in (("evacuation-ms", ("0", "-5000", '"5000"', "nan", "1e300")),
                          ("cold-overage", ("0.5", '"1.5"', "inf")), ("cold-slack", ("-1", "[5]"))):
            for value in bad:
                self.assertIn(f"warning: bounds.{name}", self.check(f"{name} = {value}"))
        self.assertNotIn("warning", self.check("evacuation-ms = 5000\ncold-overage = 1.5\ncold-slack = 5"))


if __name__ == "__main__":
    unittest.main()
