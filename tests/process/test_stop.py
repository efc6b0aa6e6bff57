"""A planned stop cuts no request."""
import http.client
import json
import threading
import time
import unittest

from cluster import Cluster, wait_until
from fleet import INIT_SQL, start


class Client:
    """Sends requests until the daemon refuses new connections."""

    def __init__(self, daemon, key: str, keep_open: bool):
        self.daemon, self.key, self.keep_open = daemon, key, keep_open
        self.answered, self.cut, self.wrong = 0, [], []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection = None
        while True:
            if connection is None:
                connection = http.client.HTTPConnection("127.0.0.1", self.daemon.clients,
                                                        timeout=60)
                try:
                    connection.connect()
                except OSError:
                    return
            if not self.exchange(connection):
                connection.close()
                connection = None
            time.sleep(0.002)

    def exchange(self, connection) -> bool:
        """Returns whether the connection may be used again."""
        try:
            connection.request("POST", "/v1/routes/cuts/statements",
                               json.dumps({"sql": "INSERT INTO writes VALUES (1, 'stop')"}),
                               {"Authorization": f"Bearer {self.key}"})
            response = connection.getresponse()
            body = json.loads(response.read())
        except (OSError, ValueError, http.client.HTTPException) as error:
            # A connection that was idle may be closed just as it is used
            # again; a request on a new one may not be cut.
            self.cut.append(repr(error))
            return False
        self.answered += 1
        if response.status != 200 and body.get("kind") != "stopping":
            self.wrong.append(body)
        closing = response.getheader("Connection", "").lower() == "close"
        return self.keep_open and not closing


class StopTest(unittest.TestCase):
    def test_stop_under_load(self):
        """Guards against a stop that cuts requests which the daemon still accepted."""
        with Cluster(init_sql=INIT_SQL, settings="[timeouts]\nstop_grace_ms = 1500\n") as cluster:
            key = start(cluster)
            h1, h2 = cluster.daemons.values()
            clients = [Client(h1, key, keep_open) for keep_open in (True, True, False, False)]
            wait_until("load runs", lambda: all(each.answered > 10 for each in clients))
            self.assertEqual(0, h1.process.stop())
            for client in clients:
                client.thread.join()
                self.assertEqual([], client.cut)
                self.assertEqual([], client.wrong)
            done = cluster.execute(h2, "cuts", "SELECT 1", key=key)
            wait_until("the other daemon serves", lambda: cluster.execute(
                h2, "cuts", "SELECT 1", key=key).status == 200)
            self.assertIn(done.status, (200, 503))

    def test_stop_announces_itself(self):
        """Guards against a balancer that is not told about a stop before it happens."""
        with Cluster(init_sql=INIT_SQL, settings="[timeouts]\nstop_grace_ms = 3000\n") as cluster:
            key = start(cluster)
            daemon = cluster.daemons["h1"]
            ending = threading.Thread(target=daemon.process.stop)
            ending.start()
            wait_until("readyz is 503", lambda: not daemon.is_ready())
            answer = cluster.execute(daemon, "cuts", "SELECT 1", key=key)
            self.assertEqual(200, answer.status, answer)
            self.assertEqual("close", answer.headers.get("connection", "").lower())
            ending.join()
            self.assertEqual(0, daemon.process.handle.returncode)


if __name__ == "__main__":
    unittest.main()
