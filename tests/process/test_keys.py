"""Keys work only for their workspace, stop when withdrawn and are never written down."""
import http.client
import json
import unittest

from cluster import Cluster
from fleet import INIT_SQL, database_log, start


class KeysTest(unittest.TestCase):
    def test_withdrawn_key_stops_on_open_connections(self):
        """Guards against daemons that check a key only when a connection opens."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            kept = cluster.grant("steel")
            open_connections = [http.client.HTTPConnection("127.0.0.1", daemon.clients, timeout=60)
                                for daemon in cluster.daemons.values()]

            def send(connection, text):
                connection.request("POST", "/v1/routes/cuts/statements",
                                   json.dumps({"sql": "SELECT 1"}),
                                   {"Authorization": f"Bearer {text}"})
                response = connection.getresponse()
                return response.status, json.loads(response.read()).get("kind", "")
            for connection in open_connections:
                self.assertEqual(200, send(connection, key)[0])
            sockets = [connection.sock for connection in open_connections]
            cluster.ctl("keys", "withdraw", key.split("_")[1], "--wait")
            for connection, socket in zip(open_connections, sockets):
                self.assertEqual((401, "key-withdrawn"), send(connection, key))
                self.assertIs(socket, connection.sock, "the connection was kept open")
                self.assertEqual(200, send(connection, kept)[0])
                connection.close()

    def test_wrong_keys(self):
        """Guards against requests that run for a workspace without its key."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            other = cluster.grant("other")
            sql = "INSERT INTO writes VALUES (1, 'refused')"
            wrong = key[:-1] + ("0" if key[-1] != "0" else "1")
            for daemon in cluster.daemons.values():
                for text, status, kind in ((other, 403, "forbidden"), (None, 401, "missing-key"),
                                           (wrong, 401, "bad-key"), ("x", 401, "bad-key")):
                    answer = cluster.execute(daemon, "cuts", sql, key=text)
                    self.assertEqual((status, kind), (answer.status, answer.kind))
                    self.assertEqual("not-run", answer.body["outcome"])
            rows = cluster.execute(cluster.daemons["h1"], "cuts", "SELECT * FROM writes", key=key)
            self.assertEqual([], rows.body["rows"])

    def test_keys_are_not_written_down(self):
        """Guards against key text in logs, span files, metrics or statements."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            other = cluster.grant("other")
            wrong = "ldk_0123456789abcdef_" + "5a" * 32
            for daemon in cluster.daemons.values():
                for text in (key, other, wrong):
                    for route_name in ("cuts", "foreign", "none"):
                        cluster.execute(daemon, route_name, "SELECT 1", key=text)
                        cluster.execute(daemon, route_name, "SELECT 1", key=text, read_only=True)
            cluster.ctl("keys", "withdraw", other.split("_")[1], "--wait")
            cluster.execute(cluster.daemons["h1"], "foreign", "SELECT 1", key=other)
            places = {f"metrics {daemon.name}": daemon.metrics()
                      for daemon in cluster.daemons.values()}
            places.update({f"log of {database.name}": json.dumps(database_log(database))
                           for database in cluster.databases.values()})
            places["listing"] = cluster.ctl("keys", "list").stdout
            for daemon in cluster.daemons.values():
                daemon.process.stop()
            for pattern in ("*.log", "*.spans"):
                found = list(cluster.dir.glob(pattern))
                self.assertTrue(found, pattern)
                places.update({file.name: file.read_text(errors="replace") for file in found})
            for text in (key, other, wrong):
                secret = text.split("_")[2]
                for place, content in places.items():
                    self.assertNotIn(secret, content, place)


if __name__ == "__main__":
    unittest.main()
