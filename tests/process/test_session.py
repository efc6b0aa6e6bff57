"""Sessions keep read-your-writes when they move between daemons."""
import base64
import unittest

from cluster import Cluster, GroupPlan, wait_until
from fleet import INIT_SQL, session_of, start


def tampered(token: str, index: int) -> str:
    raw = bytearray(base64.urlsafe_b64decode(token + "=" * (-len(token) % 4)))
    raw[index] ^= 1
    return base64.urlsafe_b64encode(bytes(raw)).decode().rstrip("=")


class SessionTest(unittest.TestCase):
    def roam(self, cluster: Cluster, key: str, rounds: int):
        """Writes through one daemon and reads through the other with the token."""
        h1, h2 = cluster.daemons.values()
        session, roles = None, []
        for number in range(rounds):
            writer, reader = (h1, h2) if number % 2 else (h2, h1)
            done = cluster.execute(writer, "cuts", "INSERT INTO writes VALUES ($1, 'a')",
                                   [number], key=key, session=session)
            self.assertEqual(200, done.status, done)
            session = session_of(done)
            read = cluster.execute(reader, "cuts", "SELECT count(*) FROM writes", key=key,
                                   session=session, read_only=True)
            self.assertEqual(200, read.status, read)
            self.assertEqual(number + 1, int(read.body["rows"][0][0]), read)
            session = session_of(read)
            roles.append(read.headers["lavenderdale-served-by"])
        return roles

    def test_roaming_session_reads_its_writes(self):
        """Guards against a daemon that serves a session data older than its writes."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            self.roam(cluster, key, 30)
            h1, h2 = cluster.daemons.values()
            token = session_of(cluster.execute(h1, "cuts", "SELECT 1", key=key))

            def replica_read():
                read = cluster.execute(h2, "cuts", "SELECT 1", key=key, session=token,
                                       read_only=True)
                return read.headers.get("lavenderdale-served-by") == "replica"
            wait_until("a replica serves the session", replica_read)

    def test_reads_without_a_session(self):
        """Guards against a first read without a token, and against the loss of a read's error."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            h1, _ = cluster.daemons.values()

            def replica_read():
                read = cluster.execute(h1, "cuts", "SELECT 1", key=key, read_only=True)
                self.assertTrue(session_of(read), read)
                return read.headers.get("lavenderdale-served-by") == "replica"
            wait_until("a replica serves the read", replica_read)
            failed = cluster.execute(h1, "cuts", "SELECT * FROM absent", key=key, read_only=True)
            self.assertEqual("statement-failed", failed.kind, failed)
            self.assertIn("42P01", str(failed.body))

    def test_roaming_session_with_lagging_replicas(self):
        """Guards against stale reads at replicas that receive and replay late."""
        plan = GroupPlan(options=("--receive-lag-ms", 50, "--replay-lag-ms", 50))
        with Cluster(init_sql=INIT_SQL, groups=[plan]) as cluster:
            key = start(cluster)
            roles = self.roam(cluster, key, 20)
            self.assertIn("replica", roles)

    def test_policies_for_measurements(self):
        """Guards against a policy of [experiment] that serves a session data older than its
        writes, or that is in use without a line in the log."""
        plan = GroupPlan(options=("--receive-lag-ms", 50, "--replay-lag-ms", 50))
        settings = '[experiment]\nqueue = "fifo"\nreads = "round-robin"\n'
        with Cluster(init_sql=INIT_SQL, groups=[plan], settings=settings) as cluster:
            key = start(cluster)
            self.assertIn("replica", self.roam(cluster, key, 20))
            for daemon in cluster.daemons.values():
                line = "policies for measurements are in use: queue fifo, reads round-robin"
                self.assertEqual(1, daemon.process.log.read_text().count(line))

    def test_reads_never_go_back(self):
        """Guards against a read that shows less than an earlier read of its session."""
        plan = GroupPlan(options=("--replay-lag-ms", 50))
        with Cluster(init_sql=INIT_SQL, groups=[plan]) as cluster:
            key = start(cluster)
            h1, h2 = cluster.daemons.values()
            session, seen = None, 0
            for number in range(30):
                cluster.execute(h1, "cuts", "INSERT INTO writes VALUES ($1, 'a')", [number],
                                key=key)
                read = cluster.execute(h2, "cuts", "SELECT count(*) FROM writes", key=key,
                                       session=session, read_only=True)
                self.assertEqual(200, read.status, read)
                count = int(read.body["rows"][0][0])
                self.assertGreaterEqual(count, seen)
                seen, session = count, session_of(read)

    def test_forged_and_foreign_tokens_are_refused(self):
        """Guards against sessions of another workspace or with changed positions."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            other = cluster.grant("other")
            h1, h2 = cluster.daemons.values()
            token = session_of(cluster.execute(h1, "cuts", "SELECT 1", key=key))
            bad = [tampered(token, index) for index in (0, 3, 12, 24, -1)]
            bad += ["", "x", "AAAA", token[:-8], token + "AAAA", "%00", "A" * 4000]
            for text in bad:
                answer = cluster.execute(h2, "cuts", "SELECT 1", key=key, session=text,
                                         read_only=True)
                self.assertEqual((400, "bad-session"), (answer.status, answer.kind), text)
                self.assertEqual("not-run", answer.body["outcome"])
            foreign = cluster.execute(h2, "foreign", "SELECT 1", key=other, session=token)
            self.assertEqual("bad-session", foreign.kind)
            self.assertEqual(200, cluster.execute(h2, "cuts", "SELECT 1", key=key,
                                                  session=token).status)


if __name__ == "__main__":
    unittest.main()
