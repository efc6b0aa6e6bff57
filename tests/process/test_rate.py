"""A workspace gets its rate and burst once, not once for each daemon."""
import threading
import time
import unittest

from cluster import Cluster, wait_until
from fleet import INIT_SQL, catalogue, settle, workspace


class RateTest(unittest.TestCase):
    def offer(self, cluster, key, seconds: float) -> tuple:
        """Sends as much as the daemons answer; returns the statements run and the time."""
        counts, wrong, lock = [0], [], threading.Lock()
        begin = time.monotonic()
        deadline = begin + seconds

        def send(daemon):
            while time.monotonic() < deadline:
                answer = cluster.execute(daemon, "cuts", "SELECT 1", key=key)
                with lock:
                    if answer.status == 200:
                        counts[0] += 1
                    elif answer.kind != "rate-limited":
                        wrong.append(answer)
        threads = [threading.Thread(target=send, args=(daemon,))
                   for daemon in cluster.daemons.values() for _ in range(12)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([], wrong)
        return counts[0], time.monotonic() - begin

    def test_no_more_than_rate_and_burst(self):
        """Guards against a rate that is counted separately at each daemon."""
        rate, burst = 40, 20
        with Cluster(init_sql=INIT_SQL) as cluster:
            objects = [each for each in catalogue() if each[:2] != ("Workspace", "steel")]
            cluster.apply(objects + [workspace("steel", rate=rate, burst=burst)])
            key = cluster.grant("steel")
            settle(cluster, key)
            ran, elapsed = self.offer(cluster, key, 6)
            self.assertLessEqual(ran, rate * elapsed + burst)
            self.assertGreater(ran, burst, "the workspace gets some of its rate")

    def test_restarted_daemon_gives_no_second_burst(self):
        """Guards against an owner of a rate that starts with a full bucket."""
        rate, burst = 20, 200
        with Cluster(init_sql=INIT_SQL) as cluster:
            objects = [each for each in catalogue() if each[:2] != ("Workspace", "steel")]
            cluster.apply(objects + [workspace("steel", rate=rate, burst=burst)])
            key = cluster.grant("steel")
            settle(cluster, key)
            begin = time.monotonic()
            first, _ = self.offer(cluster, key, 3)
            daemon = cluster.daemons["h1"]
            daemon.process.kill()
            cluster.start_daemon(daemon)
            wait_until("h1 is ready again", daemon.is_ready)
            second, _ = self.offer(cluster, key, 3)
            self.assertLessEqual(first + second, rate * (time.monotonic() - begin) + burst)

    def test_other_workspace_is_not_limited(self):
        """Guards against a busy workspace that uses up the rate of another."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            objects = [each for each in catalogue() if each[:2] != ("Workspace", "steel")]
            cluster.apply(objects + [workspace("steel", rate=20, burst=20)])
            key, other = cluster.grant("steel"), cluster.grant("other")
            settle(cluster, key)
            settle(cluster, other, "foreign")
            load = threading.Thread(target=self.offer, args=(cluster, key, 4))
            load.start()
            kinds = set()
            while load.is_alive():
                for daemon in cluster.daemons.values():
                    kinds.add(cluster.execute(daemon, "foreign", "SELECT 1", key=other).kind)
            load.join()
            self.assertNotIn("rate-limited", kinds)


if __name__ == "__main__":
    unittest.main()
