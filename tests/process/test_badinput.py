"""Bad input gets an error and harms nobody else."""
import http.client
import json
import socket
import subprocess
import unittest

from cluster import Cluster, program
from ports import fixed_port
from fleet import INIT_SQL, start

PATH = "/v1/routes/cuts/statements"


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster(init_sql=INIT_SQL, settings="[limits]\nheader_timeout_ms = 500\n")
        cls.cluster.__enter__()
        cls.addClassCleanup(cls.cluster.close)
        cls.key = start(cls.cluster)
        cls.daemon = cls.cluster.daemons["h1"]

    def tearDown(self):
        answer = self.cluster.execute(self.daemon, "cuts", "SELECT 1", key=self.key)
        self.assertEqual(200, answer.status, answer)
        for daemon in self.cluster.daemons.values():
            self.assertIsNone(daemon.process.handle.poll())

    def send(self, body, fields=None, method="POST", path=PATH):
        connection = http.client.HTTPConnection("127.0.0.1", self.daemon.clients, timeout=60)
        try:
            connection.request(method, path, body,
                               {"Authorization": f"Bearer {self.key}", **(fields or {})})
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        finally:
            connection.close()

    def refused(self, status, *arguments, **named):
        found, body = self.send(*arguments, **named)
        self.assertEqual(status, found, (arguments, body))
        self.assertEqual("not-run", body["outcome"])
        return body

    def test_bad_bodies(self):
        """Guards against malformed bodies that are run, guessed at or crash the daemon."""
        for body in ("", "{", "[]", "null", "1", '"x"', '{"sql":1}', "{}", '{"sql":null}',
                     '{"sql":"SELECT 1","sql":"SELECT 2"}', '{"sql":"SELECT 1"} x',
                     '{"sql":"SELECT 1","readOnly":"true"}', '{"sql":"SELECT 1","params":{}}',
                     '{"sql":"SELECT 1","params":[[1]]}', '{"sql":"SELECT 1","params":[{}]}',
                     "{'sql':'SELECT 1'}", '{"sql":"SELECT 1",}', "[" * 20000,
                     '{"sql":"SELECT 1","params":' + "[" * 5000, b"\xff\xfe{}",
                     '{"sql":"SELECT 1" /* */}'):
            self.assertEqual("bad-request", self.refused(400, body)["kind"])

    def test_unknown_member_is_named(self):
        """Guards against a misspelt member that is silently ignored."""
        body = self.refused(400, '{"sql":"SELECT 1","readonly":true}')
        self.assertIn("readonly", body["detail"])

    def test_oversized_body(self):
        """Guards against bodies that use up the memory of the daemon."""
        text = json.dumps({"sql": "SELECT '" + "x" * (3 << 20) + "'"})
        try:
            body = self.refused(413, text)
            self.assertEqual("payload-too-large", body["kind"])
        except (BrokenPipeError, ConnectionResetError):
            pass  # The daemon may close before it has read all.
        status = self.declare_length(1 << 40)
        self.assertIn(b" 413 ", status)

    def declare_length(self, length: int) -> bytes:
        return self.raw(f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n"
                        f"Authorization: Bearer {self.key}\r\n\r\n{{".encode())

    def raw(self, data: bytes) -> bytes:
        """Sends bytes and returns the first line of the answer, empty if closed."""
        with socket.create_connection(("127.0.0.1", self.daemon.clients), timeout=60) as link:
            link.sendall(data)
            try:
                return link.makefile("rb").readline()
            except ConnectionResetError:
                return b""

    def test_bad_headers(self):
        """Guards against header values that are accepted in part."""
        good = '{"sql":"SELECT 1"}'
        for name, values in {
                "Lavenderdale-Deadline": ("0", "-1", "1e3", "99999999999999999999", "5s", ""),
                "Lavenderdale-Max-Age": ("-1", "x", "18446744073709551616", "1.5"),
                "Lavenderdale-Repeat": ("always", "Never", ""),
                "Idempotency-Key": ("", "k" * 5000)}.items():
            for value in values:
                body = self.refused(400, good, {name: value})
                self.assertIn(name, body["detail"])
        self.refused(401, good, {"Authorization": "Basic eDp5"})
        self.refused(400, good, method="GET")
        self.refused(404, good, path="/v1/routes/none/statements")
        self.refused(404, good, path="/v1/routes/../../etc/passwd")

    def test_doubled_header(self):
        """Guards against a second key that a proxy in between did not see."""
        line = f"Authorization: Bearer {self.key}\r\n"
        text = (f"POST {PATH} HTTP/1.1\r\nHost: x\r\n{line}{line}"
                "Content-Length: 18\r\n\r\n" + '{"sql":"SELECT 1"}')
        self.assertIn(b" 400 ", self.raw(text.encode()))

    def test_not_http(self):
        """Guards against daemons that crash or hang on other protocols."""
        for data in (b"\x16\x03\x01\x02\x00\x01", b"\x00" * 4096, b"GET\r\n\r\n",
                     b"POST / HTTP/9.9\r\n\r\n", b"A" * 100000,
                     b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                     b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"):
            line = self.raw(data + b"\r\n\r\n")
            self.assertNotIn(b" 200 ", line)

    def test_slow_senders(self):
        """Guards against slow senders that keep others from being served."""
        slow = [socket.create_connection(("127.0.0.1", self.daemon.clients), timeout=60)
                for _ in range(40)]
        for link in slow:
            link.sendall(b"POST /v1/routes/cuts/statements HTTP/1.1\r\nHo")
        for _ in range(20):
            answer = self.cluster.execute(self.daemon, "cuts", "SELECT 1", key=self.key)
            self.assertEqual(200, answer.status, answer)
        for link in slow:
            try:
                line = link.recv(4096)
            except ConnectionResetError:
                line = b""
            self.assertNotIn(b" 200 ", line)
            link.close()

    def test_huge_deadline(self):
        """Guards against a deadline that overflows."""
        for value in ("3600000", "9223372036854775807"):
            status, _ = self.send('{"sql":"SELECT 1"}', {"Lavenderdale-Deadline": value})
            self.assertEqual(200 if value == "3600000" else 400, status)

    def test_statement_that_fails(self):
        """Guards against a faulty statement that leaves its connection unusable."""
        for sql in ("SELEC", "SELECT * FROM missing", "INSERT INTO stock VALUES (1)"):
            for _ in range(4):
                answer = self.cluster.execute(self.daemon, "cuts", sql, key=self.key)
                self.assertNotEqual(200, answer.status, sql)

    def test_several_statements_in_one(self):
        """Guards against a text of two statements of which only one runs."""
        answer = self.cluster.execute(self.daemon, "cuts", "SELECT 1; SELECT 2", key=self.key)
        self.assertEqual("statement-failed", answer.kind)

    def test_transaction_without_the_transaction_call(self):
        """Guards against a BEGIN that leaves an open transaction to the next request on
        its connection, whose write would then be rolled back."""
        for number in range(8):
            self.cluster.execute(self.daemon, "cuts", "BEGIN", key=self.key)
            done = self.cluster.execute(self.daemon, "cuts", "INSERT INTO writes VALUES ($1, 'b')",
                                        [number], key=self.key)
            self.assertEqual(200, done.status, done)
        rows = self.cluster.execute(self.cluster.daemons["h2"], "cuts", "SELECT id FROM writes "
                                    "WHERE note = 'b' ORDER BY id", key=self.key).body["rows"]
        self.assertEqual(list(range(8)), [int(row[0]) for row in rows])

    def settings_exit(self, text: str) -> subprocess.CompletedProcess:
        path = self.cluster.dir / "bad.toml"
        path.write_text(text)
        return subprocess.run([program("src/app/lavenderdaled/lavenderdaled"), "--settings",
                               str(path)], capture_output=True, text=True, timeout=60, check=False)

    def test_bad_settings(self):
        """Guards against a daemon that starts with settings it did not understand."""
        good = self.daemon.settings.read_text()
        unknown = self.settings_exit(good.replace("[host]\n", "[host]\nnaem = \"h1\"\n"))
        self.assertEqual(2, unknown.returncode, unknown)
        self.assertIn("naem", unknown.stderr + unknown.stdout)
        wrong = self.settings_exit(good.replace(f'"127.0.0.1:{self.daemon.clients}"',
                                                f"{fixed_port()}"))
        self.assertEqual(2, wrong.returncode, wrong)
        self.assertIn("clients", wrong.stderr + wrong.stdout)
        doubled = self.settings_exit(good.replace("[host]\n", "[host]\nname = \"h9\"\n"))
        self.assertEqual(2, doubled.returncode, doubled)
        self.assertEqual(2, self.settings_exit("[host\n").returncode)


if __name__ == "__main__":
    unittest.main()
