"""Checks that each fault of fault-proxy does to a connection what it says.

Guards against fault tests that pass because the fault was never there.
Usage: test_faultproxy.py PATH_OF_FAULT_PROXY
"""

import http.client
import json
import re
import socket
import subprocess
import sys
import threading
import time
import unittest

# Time after which a byte that has not arrived counts as not carried, seconds.
SILENCE = 0.5
# Longest wait for a byte that has to arrive, seconds; ends the test, not more.
PATIENCE = 30


def echo(listener):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=echo_one, args=(connection,), daemon=True).start()


def echo_one(connection):
    try:
        while data := connection.recv(65536):
            connection.sendall(data)
        connection.sendall(b"end")
        connection.close()
    except OSError:
        pass


class FaultProxyTest(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=echo, args=(self.listener,), daemon=True).start()
        port = self.listener.getsockname()[1]
        self.proxy = subprocess.Popen(
            [PROXY, "--link", f"a=0:127.0.0.1:{port}"], stdout=subprocess.PIPE, text=True
        )
        ready = self.proxy.stdout.readline()
        self.admin = int(re.search(r"admin=(\d+)", ready)[1])
        self.port = int(re.search(r" a=(\d+)", ready)[1])
        self.sockets = []

    def tearDown(self):
        for item in self.sockets:
            item.close()
        self.listener.close()
        self.proxy.terminate()
        self.assertEqual(self.proxy.wait(10), 0)
        self.proxy.stdout.close()

    def fault(self, **call):
        connection = http.client.HTTPConnection("127.0.0.1", self.admin, timeout=PATIENCE)
        connection.request("POST", "/fault", json.dumps({"link": "a", **call}))
        status = connection.getresponse().status
        connection.close()
        return status

    def connect(self):
        item = socket.create_connection(("127.0.0.1", self.port), timeout=PATIENCE)
        self.sockets.append(item)
        return item

    def send(self, item, data=b"x"):
        """Sends and returns as many bytes of the echo, or what came before its end."""
        item.settimeout(PATIENCE)
        item.sendall(data)
        received = b""
        while len(received) < len(data) and (part := item.recv(65536)):
            received += part
        return received

    def assert_silent(self, item):
        item.sendall(b"x")
        item.settimeout(SILENCE)
        with self.assertRaises(socket.timeout):
            item.recv(1)

    def test_wrong_calls_are_refused(self):
        self.assertEqual(self.fault(fault="delya"), 400)
        self.assertEqual(self.fault(fault="delay", ms=-1), 400)
        self.assertEqual(self.fault(fault="cut", link="b"), 404)

    def test_blackhole_old_spares_new_connections(self):
        old = self.connect()
        self.assertEqual(self.send(old), b"x")
        self.assertEqual(self.fault(fault="blackhole-old"), 200)
        self.assert_silent(old)
        self.assertEqual(self.send(self.connect()), b"x")
        self.fault(fault="clear")
        self.assert_silent(old)

    def test_blackhole_accepts_and_carries_nothing(self):
        old = self.connect()
        self.assertEqual(self.send(old), b"x")
        self.fault(fault="blackhole")
        self.assert_silent(old)
        self.assert_silent(self.connect())
        self.fault(fault="clear")
        self.assertEqual(self.send(self.connect()), b"x")

    def test_blackhole_of_one_direction(self):
        item = self.connect()
        self.fault(fault="blackhole", direction="down")
        self.assert_silent(item)

    def test_cut_resets_old_and_new(self):
        old = self.connect()
        self.assertEqual(self.send(old), b"x")
        self.fault(fault="cut")
        with self.assertRaises(ConnectionResetError):
            old.recv(1)
        with self.assertRaises(OSError):
            if self.send(self.connect()) == b"":
                raise ConnectionResetError
        self.fault(fault="clear")
        self.assertEqual(self.send(self.connect()), b"x")

    def test_half_close_ends_one_direction(self):
        item = self.connect()
        self.assertEqual(self.send(item), b"x")
        self.fault(fault="half-close", direction="up")
        item.settimeout(PATIENCE)
        self.assertEqual(item.recv(16), b"end")

    def test_delay_and_throttle_take_their_time(self):
        item = self.connect()
        self.fault(fault="delay", direction="up", ms=200)
        start = time.monotonic()
        self.assertEqual(self.send(item), b"x")
        self.assertGreaterEqual(time.monotonic() - start, 0.2)
        self.fault(fault="clear")
        self.fault(fault="throttle", direction="up", rate=1000)
        start = time.monotonic()
        self.assertEqual(self.send(item, b"y" * 300), b"y" * 300)
        self.assertGreaterEqual(time.monotonic() - start, 0.3)

    def test_reorder_delays_every_other_connection(self):
        first, second = self.connect(), self.connect()
        self.assertEqual(self.send(first), b"x")
        self.assertEqual(self.send(second), b"x")
        self.fault(fault="reorder", direction="up", ms=60000)
        self.assert_silent(first)
        self.assertEqual(self.send(second), b"x")


if __name__ == "__main__":
    PROXY = sys.argv.pop(1)
    unittest.main()
