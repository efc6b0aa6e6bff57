"""Faults between the processes, behind the fault proxy, and paused daemons."""
import threading
import unittest

from cluster import Cluster, GroupPlan, http_json, wait_until
from fleet import INIT_SQL, Writer, catalogue, check_writes, route, start, written_ids


def links_of_host(cluster: Cluster, name: str) -> list:
    """With two hosts these are all links between a host, its peer and the platform."""
    return [link for link_name, link in cluster.links.items()
            if link_name.endswith("-peers") or link_name == f"{name}-platform"]


class NetworkTest(unittest.TestCase):
    def expect(self, cluster, daemon, route_name, key, status, kind=""):
        def answered():
            answer = cluster.execute(daemon, route_name, "SELECT 1", key=key)
            return (answer.status, answer.kind) == (status, kind)
        wait_until(f"{daemon.name} answers {status} {kind} on {route_name}", answered)

    def test_domain_cut_off(self):
        """Guards against a withdrawn key that goes on working where the withdrawal cannot
        be learned, and against a cut that stops what may be served without it."""
        with Cluster(init_sql=INIT_SQL, proxied=True) as cluster:
            key = start(cluster, [*catalogue(), route("board", serveWhenCutOff=True)])
            kept = cluster.grant("steel")
            h1, h2 = cluster.daemons.values()
            for link in links_of_host(cluster, "h2"):
                link.fault("cut")
            cluster.ctl("keys", "withdraw", key.split("_")[1])
            self.expect(cluster, h1, "cuts", key, 401, "key-withdrawn")
            self.expect(cluster, h2, "cuts", key, 503, "configuration-stale")
            self.expect(cluster, h2, "board", kept, 200)
            self.expect(cluster, h1, "cuts", kept, 200)
            for link in links_of_host(cluster, "h2"):
                link.fault("clear")
            self.expect(cluster, h2, "cuts", key, 401, "key-withdrawn")
            self.expect(cluster, h2, "cuts", kept, 200)

    def test_paused_daemon(self):
        """Guards against a daemon that wakes with expired leases and still acknowledges
        writes of the old primary, or takes a key that was withdrawn meanwhile."""
        hosts = {"h1": "d1", "h2": "d2", "h3": "d3"}
        with Cluster(init_sql=INIT_SQL, hosts=hosts) as cluster:
            key = start(cluster)
            withdrawn = cluster.grant("steel")
            h1, h2, h3 = cluster.daemons.values()
            writers = [Writer(cluster, h1, key, 1000000), Writer(cluster, h2, key, 2000000)]
            for writer in writers:
                writer.wait_for_more(20)
            h1.process.pause()
            cluster.ctl("keys", "withdraw", withdrawn.split("_")[1])
            self.expect(cluster, h3, "cuts", withdrawn, 401, "key-withdrawn")
            cluster.databases["orders-1"].process.kill()
            wait_until("another primary is in force",
                       lambda: cluster.get("groups", "orders")["status"]["primary"] != "orders-1")
            writers[1].wait_for_more(20)
            h1.process.resume()
            answer = cluster.execute(h1, "cuts", "SELECT 1", key=withdrawn)
            self.assertNotEqual(200, answer.status, "the key was withdrawn before the daemon woke")
            for writer in writers:
                writer.wait_for_more(20)
            for writer in writers:
                writer.stop()
            check_writes(self, writers, written_ids(cluster, h3, key))

    def test_lost_platform_answers(self):
        """Guards against a promotion or an operator's change that takes its own stored
        update for a lost race."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            writer = Writer(cluster, cluster.daemons["h1"], key, 1)
            writer.wait_for_more(20)
            http_json(cluster.platform_admin, "POST", "/lose-answers",
                      {"count": 4, "verb": "update"})
            cluster.databases["orders-1"].process.kill()
            writer.wait_for_more(20)
            self.assertEqual(2, cluster.get("groups", "orders")["status"]["term"])
            http_json(cluster.platform_admin, "POST", "/lose-answers",
                      {"count": 1, "verb": "update"})
            cluster.apply([("Workspace", "other", {"rate": 70, "burst": 70, "weight": 1})])
            self.assertEqual(70, cluster.get("workspaces", "other")["spec"]["rate"])
            writer.stop()
            check_writes(self, [writer], written_ids(cluster, cluster.daemons["h2"], key))

    def test_silent_connections(self):
        """Guards against requests that wait on connections which went silent for good
        while new ones work."""
        # The replication connections go silent too; the databases find that themselves.
        groups = [GroupPlan(options=("--receiver-timeout-ms", 2000))]
        with Cluster(init_sql=INIT_SQL, groups=groups, proxied=True) as cluster:
            key = start(cluster)
            writers = [Writer(cluster, daemon, key, 1000000 * number)
                       for number, daemon in enumerate(cluster.daemons.values(), 1)]
            for name in ("orders-1", "h1-peers", "h2-peers", "h1-platform"):
                for writer in writers:
                    writer.wait_for_more(20)
                cluster.links[name].fault("blackhole-old")
            for writer in writers:
                writer.wait_for_more(50)
                writer.stop()
            check_writes(self, writers, written_ids(cluster, cluster.daemons["h2"], key))

    def test_reordered_answers(self):
        """Guards against an answer that reaches another request when connections overtake
        each other or end in the middle."""
        with Cluster(init_sql=INIT_SQL, proxied=True) as cluster:
            key = start(cluster)
            databases = [cluster.links[name] for name in cluster.databases]
            for link in databases:
                link.fault("reorder", ms=20, direction="down")
            wrong, answered = [], []

            def ask(daemon, first):
                for number in range(first, first + 40):
                    answer = cluster.execute(daemon, "stock", "SELECT $1", [number], key=key,
                                             read_only=True, max_age=60000)
                    if answer.status == 200:
                        answered.append(number)
                        if [[str(cell) for cell in row] for row in answer.body["rows"]] != [
                                [str(number)]]:
                            wrong.append((number, answer.body))
            threads = [threading.Thread(target=ask, args=(daemon, 1000 * number + 100 * turn))
                       for number, daemon in enumerate(cluster.daemons.values(), 1)
                       for turn in range(4)]
            for thread in threads:
                thread.start()
            wait_until("some are answered", lambda: len(answered) > 50)
            databases[1].fault("half-close")
            for thread in threads:
                thread.join()
            self.assertEqual([], wrong)
            databases[1].fault("clear")
            self.expect(cluster, cluster.daemons["h1"], "cuts", key, 200)


if __name__ == "__main__":
    unittest.main()
