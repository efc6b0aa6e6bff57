"""Which replica is promoted, and what callers were told before, in groups with and without synchronous replicas."""
import contextlib
import functools
import threading
import time
import unittest

from cluster import wait_until
from sessionfleet import Caller, SessionFleet


class Writers:
    """Callers that write one item after the other, until they are stopped."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stopped = threading.Event()
        self.acknowledged = []  # (time, data)
        self.threads = [threading.Thread(target=self._run, args=(n, host)) for n, host in enumerate(fleet.hosts)]
        for each in self.threads:
            each.start()

    def _run(self, number, host):
        written = 0
        while not self.stopped.is_set():
            with contextlib.suppress(OSError):
                caller = Caller(host.front, "desk", "k-clerks")
                while not self.stopped.wait(0.02):
                    written += 1
                    lines = caller.query(f"WRITE item d{number}-{written}")
                    if not lines[-1]:
                        break
                    if lines[0].startswith("COMPLETE"):
                        self.acknowledged.append((time.monotonic(), f"d{number}-{written}"))
                caller.close()
            self.stopped.wait(0.05)

    def wait_for_more(self, count):
        target = len(self.acknowledged) + count
        wait_until(f"{count} writes are acknowledged", lambda: len(self.acknowledged) >= target)

    def stop(self):
        self.stopped.set()
        for each in self.threads:
            each.join(20)


class ReplicasTest(unittest.TestCase):
    def start(self, synchronous, hosts=2):
        self.fleet = SessionFleet(hosts=hosts)
        self.addCleanup(self.fleet.close)
        self.fleet.configure(2, synchronous=synchronous)
        for database in self.fleet.databases:
            database.synchronous, database.promote_s = synchronous, 1.0
        for host in self.fleet.hosts:
            wait_until("the guarantee is known", lambda: "version=2" in host.text())
        self.writers = Writers(self.fleet)
        self.addCleanup(self.writers.stop)
        self.writers.wait_for_more(20)

    def set(self, database, name, value):
        self.fleet.loop.call(setattr, database, name, value)

    def lose(self, database):
        self.fleet.loop.call(database.crash)
        self.fleet.loop.call(self.fleet.store.remove, "servers", database.name)

    def restart_hosts(self):
        for host in self.fleet.hosts:
            host.kill()
        self.before = [len(host.text()) for host in self.fleet.hosts]
        for host in self.fleet.hosts:
            host.start()
        for host in self.fleet.hosts:
            wait_until(f"{host.name} is ready", lambda: self.answers(host))

    def answers(self, host):
        with contextlib.suppress(OSError):
            return self.fleet.ready(host)
        return False

    def new_text(self):
        return "".join(host.text()[length:] for host, length in zip(self.fleet.hosts, self.before))

    def assert_nothing_lost(self, leader, until=None):
        kept = {data for _, _, _, data in list(leader.log)}
        lost = [data for at, data in list(self.writers.acknowledged) if data not in kept and (not until or at < until)]
        self.assertEqual([], lost)

    def test_hosts_that_start_remember_a_lost_replica(self):
        """Guards against the promotion of a replica without acknowledged commits by hosts that started after the
        replica that had received them was lost."""
        self.start(synchronous=1)
        primary, deaf, gone = self.fleet.databases
        self.set(deaf, "deaf", True)
        self.writers.wait_for_more(20)
        self.lose(gone)
        self.restart_hosts()
        self.fleet.loop.call(primary.crash)
        wait_until("promotions are put off", lambda: self.fleet.store.promotions
                   or self.new_text().count("event=promotion_no_candidate") >= 4)
        self.assertEqual([], self.fleet.store.promotions)
        self.set(deaf, "deaf", False)
        self.set(deaf, "log", list(primary.log))
        self.fleet.loop.run(primary.come_back())
        self.writers.wait_for_more(20)
        self.assertEqual([], self.fleet.store.promotions, "the primary is back")
        self.assert_nothing_lost(primary)

    def test_hosts_that_start_promote_a_complete_replica(self):
        """Guards against a group that has no primary after a restart of all hosts, although the replica that is left
        has all acknowledged commits."""
        self.start(synchronous=1)
        primary, complete, gone = self.fleet.databases
        self.lose(gone)
        self.restart_hosts()
        wait_until("the lost replica is accounted for", lambda: "required=" in self.new_text())
        self.lose(primary)
        self.set(complete, "synchronous", 0)  # No replica is left.
        self.writers.wait_for_more(20)
        self.assertTrue(complete.primary)
        self.assert_nothing_lost(complete)

    def test_hosts_that_start_after_the_loss_of_the_primary_replace_it(self):
        """Guards against a primary that is taken for a departed replica by hosts that never saw it."""
        self.start(synchronous=1)
        primary = self.fleet.databases[0]
        for host in self.fleet.hosts:
            host.kill()
        self.lose(primary)
        self.restart_hosts()
        self.writers.wait_for_more(20)
        self.assert_nothing_lost(next(each for each in self.fleet.databases if each.primary))

    def keep_only_a_former_primary(self):
        """Leaves a primary of the second term, which crashes, and one of the first term that has heard of none of its
        commits."""
        self.start(synchronous=0)
        former, successor, other = self.fleet.databases
        self.set(former, "deaf", True)
        for each in self.fleet.databases:
            self.set(each, "promote_s", 0)
        self.fleet.loop.call(successor.lead)
        self.writers.wait_for_more(20)
        for host in self.fleet.hosts:
            wait_until("the second term is known", lambda: "upstream=i-2 term=2" in host.text())
        self.lose(other)
        self.fleet.loop.call(successor.crash)
        return former, successor

    def test_a_primary_of_an_older_term_does_not_replace_one_that_comes_back(self):
        """Guards against the promotion of a former primary, whose commits were rolled back, while the primary of the
        newer term restarts."""
        former, successor = self.keep_only_a_former_primary()
        wait_until("promotions are put off", lambda: self.fleet.store.promotions
                   or any("no member has commits of the newest term" in host.text() for host in self.fleet.hosts))
        self.fleet.loop.run(successor.come_back())
        self.writers.wait_for_more(20)
        self.assertEqual([], self.fleet.store.promotions)
        self.assertTrue(successor.primary)

    def test_a_primary_of_an_older_term_leads_if_no_one_comes_back(self):
        """Guards against a group that stays without a primary because none of its members has the newest term."""
        former, _ = self.keep_only_a_former_primary()
        wait_until("it leads", lambda: former.primary)
        self.writers.wait_for_more(20)

    def replace_with_a_successor_that_goes_deaf(self, synchronous):
        self.start(synchronous)
        old = self.fleet.databases[0]
        took_over = []

        def order(database):
            # Accepted; the database leads after a while, with what it has received until then.
            asyncio_loop = self.fleet.loop.loop
            asyncio_loop.call_later(0.2, setattr, database, "deaf", True)
            asyncio_loop.call_later(database.promote_s, lead, database)

        def lead(database):
            took_over.append((time.monotonic(), database, list(database.log)))
            database.take_over()

        for each in self.fleet.databases:
            self.set(each, "lead", lambda database=each: None if database.primary or took_over else order(database))
        self.fleet.loop.call(old.announce, "draining")
        wait_until("another member leads", lambda: took_over)
        at, leader, log = took_over[0]
        self.assertIsNot(old, leader)
        kept = {data for _, _, _, data in log}
        self.assertEqual([], [data for when, data in self.writers.acknowledged if when < at and data not in kept])
        self.set(leader, "deaf", False)
        self.writers.wait_for_more(20)

    def test_a_leaving_primary_acknowledges_nothing_that_its_successor_lacks(self):
        """Guards against commits that a leaving primary acknowledges with the receipt of other replicas, after the
        promotion of a replica that receives nothing any more was ordered."""
        self.replace_with_a_successor_that_goes_deaf(synchronous=1)

    def test_the_same_without_synchronous_replicas(self):
        """Guards against the same commits where the primary alone acknowledges them."""
        self.replace_with_a_successor_that_goes_deaf(synchronous=0)

    def order_while_the_primary_returns(self, back_s, unanswered=(), restart=None):
        """The primary crashes and is back soon after the first order to replace it. The ordered member is slow to
        receive, another one receives at once; what is lost is counted when a member leads."""
        self.start(synchronous=1, hosts=3)
        primary, ordered, fast = self.fleet.databases
        self.set(ordered, "lag", 0.02)
        self.set(fast, "lag", 0.0)
        took_over = []

        def take_over(database, original):
            if database.running and not database.primary:
                took_over.append((database, list(database.log), list(self.writers.acknowledged)))
                original()
        for each in self.fleet.databases:
            self.set(each, "take_over", functools.partial(take_over, each, each.take_over))

        def order_seen():
            self.fleet.store.on_promote = None
            loop = self.fleet.loop.loop
            loop.call_later(back_s, lambda: loop.create_task(primary.come_back()))
        self.fleet.store.on_promote = order_seen
        self.fleet.store.unanswered = list(unanswered)
        self.fleet.loop.call(primary.crash)
        wait_until("the primary is back", lambda: primary.running)
        if restart:
            restart()
        wait_until("another member leads", lambda: took_over)
        leader, log, acknowledged = took_over[0]
        self.assertIsNot(primary, leader)
        kept = {data for _, _, _, data in log}
        self.assertEqual([], [data for _, data in acknowledged if data not in kept])
        self.writers.wait_for_more(20)
        return leader

    def test_a_primary_that_is_back_before_its_successor_leads_acknowledges_nothing(self):
        """Guards against commits that a crashed primary acknowledges when it is back between an accepted order to
        replace it and the moment in which that takes effect (review/12)."""
        self.order_while_the_primary_returns(back_s=0.2)

    def test_an_order_without_an_answer_counts_until_its_outcome_is_known(self):
        """Guards against the same if the order gets no answer and is carried out seconds later (review/11)."""
        leader = self.order_while_the_primary_returns(back_s=0.0, unanswered=[5.0])
        self.assertEqual([409], self.late_statuses())
        self.assertTrue(leader.primary)

    def late_statuses(self):
        """Statuses of calls that were carried out after ones with higher tokens."""
        def late():
            calls = self.fleet.store.promotions
            return [status for n, (_, _, token, status) in enumerate(calls)
                    if any(other > token for _, _, other, _ in calls[:n])]
        wait_until("the late order is carried out", late)
        return late()

    def test_an_order_counts_when_its_host_dies(self):
        """Guards against an order that is forgotten with the host that sent it."""
        def kill():
            holder = self.fleet.store.objects["lavenderdale-promotions"]["orders"]["spec"]["holder"]
            next(host for host in self.fleet.hosts if host.name == holder).kill()
        self.order_while_the_primary_returns(back_s=0.0, unanswered=[6.0], restart=kill)

    def test_an_order_counts_when_all_hosts_restart(self):
        """Guards against an order that hosts which started after it do not know."""
        self.order_while_the_primary_returns(back_s=0.0, unanswered=[6.0], restart=self.restart_hosts)

    def test_an_order_for_a_member_that_is_gone_is_made_invalid(self):
        """Guards against a group that stays without a primary, or loses commits, because a member crashes after the order
        to promote it got no answer."""
        self.start(synchronous=1, hosts=3)
        primary, ordered, _ = self.fleet.databases

        def order_seen():
            self.fleet.store.on_promote = None
            ordered.crash()
            self.fleet.loop.loop.create_task(primary.come_back())
        self.fleet.store.on_promote = order_seen
        self.fleet.store.unanswered = [5.0]
        self.fleet.loop.call(primary.crash)
        wait_until("the primary is back", lambda: primary.running)
        self.writers.wait_for_more(20)
        self.fleet.loop.run(ordered.come_back())
        self.assertEqual([409], self.late_statuses())
        self.writers.wait_for_more(20)
        self.assertTrue(primary.primary)
        self.assert_nothing_lost(primary)

    def test_a_refused_order_holds_up_nothing(self):
        """Guards against a group without a primary because an order that was refused still counts."""
        self.start(synchronous=1)
        primary = self.fleet.databases[0]
        self.fleet.loop.call(self.fleet.store.tokens.__setitem__, "orders", 1 << 60)
        self.fleet.loop.call(primary.crash)
        wait_until("an order is refused", lambda: self.fleet.store.promotions)
        self.fleet.loop.run(primary.come_back())
        self.writers.wait_for_more(20)
        self.assertTrue(primary.primary)
        self.assert_nothing_lost(primary)


if __name__ == "__main__":
    unittest.main()
