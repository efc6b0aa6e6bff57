"""Transactions stay whole and separate."""
import threading
import unittest

from cluster import Cluster, http_json, wait_until
from fleet import INIT_SQL, start


def begin(cluster, daemon, key):
    answer = http_json(daemon.clients, "POST", "/v1/routes/cuts/transactions", None,
                       {"Authorization": f"Bearer {key}"})
    assert answer.status == 201, answer
    return answer.body["transaction"]


def end(daemon, key, transaction, how):
    return http_json(daemon.clients, "POST", f"/v1/routes/cuts/transactions/{transaction}/{how}",
                     None, {"Authorization": f"Bearer {key}"})


class TransactionTest(unittest.TestCase):
    def test_daemon_killed_in_a_transaction(self):
        """Guards against effects of a transaction whose daemon died before the commit."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            h1, h2 = cluster.daemons.values()
            transaction = begin(cluster, h1, key)
            done = cluster.execute(h1, "cuts", "INSERT INTO writes VALUES (1, 'open')", key=key,
                                   transaction=transaction)
            self.assertEqual(200, done.status, done)
            holder = cluster.daemons[transaction.split("~")[0]]
            survivor = h2 if holder is h1 else h1
            holder.process.kill()
            wait_until("the other daemon takes writes", lambda: cluster.execute(
                survivor, "cuts", "INSERT INTO writes VALUES (2, 'after')",
                key=key).status == 200)
            answer = cluster.execute(survivor, "cuts", "INSERT INTO writes VALUES (3, 'lost')",
                                     key=key, transaction=transaction)
            self.assertNotEqual(200, answer.status, answer)
            rows = cluster.execute(survivor, "cuts", "SELECT DISTINCT id FROM writes", key=key)
            self.assertEqual([2], [int(row[0]) for row in rows.body["rows"]])

    def test_transactions_are_not_mixed(self):
        """Guards against statements of one transaction that run on the connection of
        another, and against commits that end the wrong one."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            daemons = list(cluster.daemons.values())
            failures, committed = [], []

            def run(worker):
                for number in range(6):
                    daemon = daemons[(worker + number) % 2]
                    try:
                        self.one_transaction(cluster, daemons, daemon, key, worker, number,
                                             committed)
                    except (AssertionError, OSError, KeyError, ValueError) as error:
                        failures.append(f"{worker}/{number}: {error!r}")
            threads = [threading.Thread(target=run, args=(worker,)) for worker in range(4)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual([], failures)
            rows = cluster.execute(daemons[0], "cuts", "SELECT note, count(*) FROM writes "
                                   "GROUP BY note", key=key).body["rows"]
            self.assertEqual({note: 3 for note in committed},
                             {row[0]: int(row[1]) for row in rows})

    def one_transaction(self, cluster, daemons, daemon, key, worker, number, committed):
        note = f"{worker}-{number}"
        transaction = begin(cluster, daemon, key)
        for part in range(3):
            via = daemons[(worker + part) % 2]
            done = cluster.execute(via, "cuts", "INSERT INTO writes VALUES ($1, $2)",
                                   [part, note], key=key, transaction=transaction)
            self.assertEqual(200, done.status, done)
        keep = number % 2 == 0
        answer = end(daemons[worker % 2], key, transaction, "commit" if keep else "rollback")
        self.assertEqual(200, answer.status, answer)
        if keep:
            committed.append(note)

    def test_transactions_of_other_workspaces(self):
        """Guards against a caller that uses the transaction of another workspace."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            other = cluster.grant("other")
            daemon = cluster.daemons["h1"]
            transaction = begin(cluster, daemon, key)
            answer = cluster.execute(daemon, "foreign", "INSERT INTO writes VALUES (1, 'other')",
                                     key=other, transaction=transaction)
            self.assertNotEqual(200, answer.status, answer)
            self.assertEqual(200, end(daemon, key, transaction, "commit").status)
            rows = cluster.execute(daemon, "cuts", "SELECT * FROM writes", key=key)
            self.assertEqual([], rows.body["rows"])


if __name__ == "__main__":
    unittest.main()
