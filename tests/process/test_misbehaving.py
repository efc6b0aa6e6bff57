"""Callers and peers that send too much, too slowly or nothing, or take no answers.

Each test starts one daemon with lowered limits, lets a crowd loose on it, and checks what does not depend on the speed
of the machine: the process runs, its peak memory and its descriptors stay within the limits of its settings, and an
ordinary caller is served afterwards. The bounds follow from the settings.
"""
import contextlib
import os
import socket
import struct
import tempfile
import time
import unittest
from pathlib import Path

from cluster import Cluster, wait_until
from fleet import route, start, workspace
from sessionfleet import Caller, Host, SessionFleet

MEMORY_MB = 64
DESCRIPTORS = 600
FILE_DESCRIPTORS = 200  # Of a host's descriptors, not for connections.
SEND_S = 12  # Longest time for which a crowd tries to send.
QUIET_S = 2
UPSTREAM_DESCRIPTORS = 50  # Three databases accept 16 connections each.
PATIENCE_S = 40  # Until callers that make no progress are disconnected.
LARGE = 1_000_000  # Bytes of a message a little below the limit of 1 MiB.
STATE_BYTES = 32_000
HTTP_HEAD = b"POST /v1/routes/cuts/statements HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n"
HTTP_CATALOGUE = [workspace("steel"), route("cuts")]
LIMITS = f"""
[limits]
memory-mb = {MEMORY_MB}
file-descriptors = {DESCRIPTORS}
"""


class LimitedHost(Host):
    """A daemon whose settings have lowered limits."""

    def __init__(self, name, store_port, directory, zone="z1", bounds=""):
        super().__init__(name, store_port, directory, zone, bounds, LIMITS)

    def peak_mb(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1024

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


class Crowd:
    """Connections that send without reading."""

    def __init__(self, port, count, start):
        """:param start: what each connection sends first; empty for nothing."""
        self.sockets = []
        for _ in range(count):
            each = socket.socket()
            each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            each.settimeout(1)
            with contextlib.suppress(OSError):
                each.connect(("127.0.0.1", port))
                if start:
                    each.sendall(start)
                    each.recv(256)
            each.setblocking(False)
            self.sockets.append(each)

    def send(self, data, seconds=SEND_S):
        """Sends data on all connections at the same time, until all is sent, none is open, or the time is over."""
        left = {each: memoryview(data) for each in self.sockets}
        end = time.monotonic() + seconds
        while left and time.monotonic() < end:
            sent = 0
            for each in list(left):
                try:
                    count = each.send(left[each][:65536])
                    sent += count
                    left[each] = left[each][count:]
                    if not left[each]:
                        del left[each]
                except BlockingIOError:
                    pass
                except OSError:
                    del left[each]
            if not sent:
                time.sleep(0.02)

    def read_a_little(self):
        for each in self.sockets:
            with contextlib.suppress(OSError):
                each.recv(1024)

    def close(self):
        for each in self.sockets:
            each.close()


def repeated(text, count):
    """The messages of count statements, whose texts contain their number."""
    return b"".join(b"QUERY m%d " % n + text.replace(b"#", b"%d" % n) + b"\r\n" for n in range(count))


class LimitedFleet(unittest.TestCase):
    """One daemon with lowered limits, and the checks after a crowd."""

    START = b"START desk k-clerks\r\n"

    def setUp(self):
        self.fleet = SessionFleet(host_type=LimitedHost)
        self.addCleanup(self.fleet.close)
        self.host = self.fleet.hosts[0]
        self.check_served()
        self.before = self.host.descriptors()

    def crowd(self, count, start=START, port=None):
        crowd = Crowd(port or self.host.front, count, start)
        self.addCleanup(crowd.close)
        return crowd

    def served(self):
        with contextlib.suppress(OSError):
            caller = Caller(self.host.front, "desk", "k-clerks")
            try:
                return caller.query("WRITE item x")[0].startswith("COMPLETE")
            finally:
                caller.close()
        return False

    def check_served(self):
        # An ordinary caller may be refused while the crowd is there, and tries again.
        wait_until("an ordinary caller is served", self.served, PATIENCE_S)

    def wait_for_peak(self):
        """Waits until the daemon has taken what the crowd sent: its peak has not grown for QUIET_S."""
        peak, end = 0, time.monotonic() + SEND_S
        while self.host.process.poll() is None and self.host.peak_mb() > peak and time.monotonic() < end:
            peak = self.host.peak_mb()
            time.sleep(QUIET_S)

    def check_bounds(self):
        self.wait_for_peak()
        self.host.check_runs()
        peak, open_now = self.host.peak_mb(), self.host.descriptors()
        print(f"{self.id().rpartition('.')[2]}: peak {peak:.0f} MB, descriptors {open_now}", flush=True)
        self.assertLessEqual(peak, MEMORY_MB)
        self.assertLessEqual(open_now, DESCRIPTORS - FILE_DESCRIPTORS)
        self.check_served()
        self.host.check_runs()
        self.assertLessEqual(self.host.peak_mb(), MEMORY_MB)

    def disconnected(self):
        return self.host.descriptors() <= self.before + UPSTREAM_DESCRIPTORS

    def check_disconnected(self):
        wait_until("callers without progress are disconnected", self.disconnected, PATIENCE_S)


class MisbehavingCallers(LimitedFleet):
    def test_unfinished_start_messages(self):
        """Guards against memory that callers without a key fill with messages that never end."""
        self.crowd(200, b"").send(b"START desk " + b"x" * LARGE)
        self.check_bounds()

    def test_unfinished_statements(self):
        """Guards against memory that open sessions fill with messages that never end."""
        self.crowd(200).send(b"QUERY a WRITE item " + b"x" * LARGE)
        self.check_bounds()

    def test_whole_large_messages(self):
        """Guards against copies of many large messages that are run at once."""
        self.crowd(200).send(b"QUERY a WRITE item " + b"x" * LARGE + b"\r\n")
        self.check_bounds()

    def test_one_large_message_is_served(self):
        """Guards against limits that refuse a message of legal size while nothing else needs the memory."""
        caller = self.fleet.caller("desk")
        self.assertTrue(caller.query("WRITE item " + "x" * LARGE)[0].startswith("COMPLETE"))
        self.check_bounds()

    def test_prepared_statements(self):
        """Guards against sessions that fill the memory with prepared statements."""
        self.crowd(20).send(repeated(b"PREPARE n# READ " + b"x" * STATE_BYTES, 300))
        self.check_bounds()

    def test_session_values(self):
        """Guards against sessions that fill the memory with values."""
        self.crowd(20).send(repeated(b"SET n# " + b"x" * STATE_BYTES, 300))
        self.check_bounds()

    def test_pipelined_statements_without_a_reader(self):
        """Guards against sessions whose answers are never taken and that stay forever."""
        self.crowd(100).send(repeated(b"SET n x", 20_000))
        self.check_bounds()
        self.check_disconnected()

    def test_messages_far_over_the_limit(self):
        """Guards against memory that grows with what a caller sends."""
        self.crowd(200).send(b"QUERY a WRITE item " + b"x" * (8 << 20))
        self.check_bounds()

    def test_idle_sessions_up_to_the_descriptors(self):
        """Guards against idle sessions that leave no descriptors for databases, other hosts and other callers."""
        self.crowd(500)
        self.check_bounds()

    def test_a_byte_at_a_time(self):
        """Guards against sessions that hold a message unfinished forever by sending a byte now and then."""
        crowd = self.crowd(100)

        def disconnected():
            crowd.send(b"x", 1)
            return self.disconnected()
        wait_until("callers of a byte at a time are disconnected", disconnected, PATIENCE_S)
        self.check_bounds()

    def test_slow_readers_of_rows(self):
        """Guards against answers that are kept forever for callers that do not take them."""
        self.assertTrue(self.fleet.caller("desk").query("WRITE wide " + "x" * 60_000)[0].startswith("COMPLETE"))
        self.fleet.callers.pop().close()
        crowd = self.crowd(100)
        crowd.send(repeated(b"READ wide", 100))

        def disconnected():
            # An answer takes half a minute, but the reader is never quite still.
            crowd.read_a_little()
            time.sleep(0.5)
            return self.disconnected()
        wait_until("slow readers are disconnected", disconnected, PATIENCE_S)
        self.check_bounds()


class MisbehavingPeers(LimitedFleet):
    """The same for the listener between hosts."""

    def test_unfinished_requests(self):
        """Guards against memory that a faulty peer fills with announced lengths that it never sends."""
        self.crowd(200, b"", self.host.reports).send(struct.pack(">I", LARGE) + b"x" * (LARGE - 1))
        self.check_bounds()

    def test_many_requests_without_a_reader(self):
        """Guards against answers that pile up for a faulty peer that takes none."""
        # A RelayRequest of Kind::Ping in CBOR, with work that has no commands.
        ping = b"\x8c\x03\x01\x60\x60" + b"\x00" * 6 + b"\xf4" + b"\x86\xa0\xf6\xf4\xf6\x80\x00"
        with socket.create_connection(("127.0.0.1", self.host.reports), 5) as peer:
            peer.sendall(struct.pack(">I", len(ping)) + ping)
            self.assertTrue(peer.recv(4096))
        self.crowd(20, b"", self.host.reports).send((struct.pack(">I", len(ping)) + ping) * 200_000)
        self.check_bounds()

    def test_idle_connections_for_readiness(self):
        """Guards against idle connections that keep the balancer from learning that the host is ready."""
        self.crowd(300, b"", self.host.readiness).send(b"GET ", 1)
        self.assertTrue(SessionFleet.ready(self.host))
        not_for_callers = (DESCRIPTORS - FILE_DESCRIPTORS) // 4
        self.assertLessEqual(self.host.descriptors(), self.before + not_for_callers)
        self.check_bounds()


class MisbehavingHttpCallers(unittest.TestCase):
    """The same for callers and administration of the HTTP program."""

    RECEIVING_MB = 16
    MEMORY_MB = 80  # Those, as much for the administration and for copies, and the program itself.

    def setUp(self):
        self.cluster = Cluster(hosts={"h1": "d1"}, settings=f"[limits]\nmax_receiving_bytes = {self.RECEIVING_MB << 20}\n")
        self.cluster.__enter__()
        self.addCleanup(self.cluster.close)
        self.key = start(self.cluster, HTTP_CATALOGUE)
        self.daemon = self.cluster.daemons["h1"]

    def check_bounds(self, port, head):
        crowd = Crowd(port, 200, b"")
        self.addCleanup(crowd.close)
        crowd.send(head + b"x" * (LARGE - 1), 3)
        time.sleep(QUIET_S)
        pid = self.daemon.process.handle.pid
        peak = int(Path(f"/proc/{pid}/status").read_text().partition("VmHWM:")[2].split()[0]) / 1024
        print(f"{self.id().rpartition('.')[2]}: peak {peak:.0f} MB", flush=True)
        self.assertLessEqual(peak, self.MEMORY_MB)
        self.assertIsNone(self.daemon.process.handle.poll())
        answer = self.cluster.execute(self.daemon, "cuts", "SELECT 1", key=self.key)
        self.assertEqual(200, answer.status, answer)

    def test_unfinished_bodies_of_callers(self):
        """Guards against memory that callers fill with bodies that never end."""
        self.check_bounds(self.daemon.clients, HTTP_HEAD % (b"Content-Length: %d" % LARGE))

    def test_unfinished_bodies_at_the_administration(self):
        """Guards against the same at the administration's listener."""
        self.check_bounds(self.daemon.admin, HTTP_HEAD % (b"Content-Length: %d" % LARGE))


if __name__ == "__main__":
    unittest.main()
