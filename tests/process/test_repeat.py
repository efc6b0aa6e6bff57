"""Requests that are sent again, and requests that must not be."""
import threading
import unittest

from cluster import Cluster, GroupPlan, wait_until
from fleet import INIT_SQL, database_log, session_of, start, written_ids

INSERT = "INSERT INTO writes VALUES ($1, 'keyed')"


class RepeatTest(unittest.TestCase):
    def test_same_key_runs_once(self):
        """Guards against a repeated keyed write that runs twice."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            answers = [cluster.execute(daemon, "cuts", INSERT, [1], key=key,
                                       idempotency_key="order-1")
                       for daemon in cluster.daemons.values() for _ in range(3)]
            self.assertEqual([200] * 6, [each.status for each in answers], answers)
            self.assertEqual([answers[0].body] * 6, [each.body for each in answers])
            self.assertEqual([1], written_ids(cluster, cluster.daemons["h1"], key))

    def test_same_key_at_the_same_time(self):
        """Guards against two copies of a keyed write that run beside each other."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            answers = []
            threads = [threading.Thread(target=lambda d=daemon: answers.append(cluster.execute(
                d, "cuts", INSERT, [1], key=key, idempotency_key="order-1")))
                for daemon in cluster.daemons.values() for _ in range(5)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(10, len(answers))
            self.assertIn(200, [each.status for each in answers])
            self.assertEqual([1], written_ids(cluster, cluster.daemons["h1"], key), answers)

    def test_other_statement_with_the_same_key(self):
        """Guards against an answer of one statement that is given to another."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            other = cluster.grant("other")
            h1, h2 = cluster.daemons.values()
            self.assertEqual(200, cluster.execute(h1, "cuts", INSERT, [1], key=key,
                                                  idempotency_key="order-1").status)
            for sql, params in ((INSERT, [2]), ("DELETE FROM writes", [])):
                answer = cluster.execute(h2, "cuts", sql, params, key=key,
                                         idempotency_key="order-1")
                self.assertEqual((409, "idempotency-conflict"), (answer.status, answer.kind))
            foreign = cluster.execute(h2, "foreign", INSERT, [3], key=other,
                                      idempotency_key="order-1")
            self.assertEqual(200, foreign.status, "keys of two workspaces are separate")
            self.assertEqual([1, 3], sorted(written_ids(cluster, h1, key)))

    def test_keyed_write_survives_failover(self):
        """Guards against a keyed write that runs again at a new primary."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            h1, h2 = cluster.daemons.values()
            self.assertEqual(200, cluster.execute(h1, "cuts", INSERT, [1], key=key,
                                                  idempotency_key="order-1").status)
            cluster.databases["orders-1"].process.kill()
            wait_until("the repeated write is answered", lambda: cluster.execute(
                h2, "cuts", INSERT, [1], key=key, idempotency_key="order-1").status == 200)
            self.assertEqual([1], written_ids(cluster, h2, key))

    def test_never_repeat_with_a_frozen_database(self):
        """Guards against a second attempt of a request that must not be repeated."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            h1 = cluster.daemons["h1"]
            answers = []
            for database in cluster.databases.values():
                database.control("/freeze", ms=4000)
            threads = [threading.Thread(target=lambda n=number: answers.append(cluster.execute(
                h1, "cuts", "INSERT INTO writes VALUES ($1, 'never')", [n], key=key,
                deadline=1500, repeat="never"))) for number in range(3)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            for answer in answers:
                self.assertNotEqual(200, answer.status, answer)
                self.assertIn(answer.body["outcome"], ("unknown", "not-run"), answer)
            self.assertIn("unknown", [each.body["outcome"] for each in answers], answers)
            ids = written_ids(cluster, h1, key)
            self.assertEqual(sorted(set(ids)), sorted(ids))
            for database in cluster.databases.values():
                sent = [entry["params"] for entry in database_log(database)
                        if "'never'" in entry["sql"]]
                for params in sent:
                    self.assertEqual(1, sent.count(params), sent)

    def test_never_repeated_read_runs_once(self):
        """Guards against a read marked never-repeat that runs again while a replica catches up."""
        lagging = GroupPlan(options=("--replay-lag-ms", "100"))
        with Cluster(init_sql=INIT_SQL, groups=[lagging]) as cluster:
            key = start(cluster)
            for daemon in cluster.daemons.values():
                written = cluster.execute(daemon, "cuts", "INSERT INTO writes VALUES (1, 'seen')",
                                          key=key)
                self.assertEqual(200, written.status, written)
                read = cluster.execute(daemon, "cuts", "SELECT 'once' FROM writes", key=key,
                                       read_only=True, repeat="never",
                                       session=session_of(written))
                self.assertEqual(200, read.status, read)
            sent = [entry for database in cluster.databases.values()
                    for entry in database_log(database) if "'once'" in entry["sql"]]
            self.assertEqual(len(cluster.daemons), len(sent), sent)


if __name__ == "__main__":
    unittest.main()
