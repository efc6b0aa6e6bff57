"""The platform may be away or changed by several operators."""
import json
import subprocess
import time
import unittest

from cluster import Cluster, http_json, program, wait_until
from fleet import INIT_SQL, session_of, start


def outage(cluster: Cluster, on: bool, mode: str = "closed"):
    http_json(cluster.platform_admin, "POST", "/outage", {"on": on, "mode": mode})


class PlatformTest(unittest.TestCase):
    def serve_through_outage(self, mode: str):
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            outage(cluster, True, mode)
            # Longer than the 10 s after which an isolated host stops taking keys.
            wait_until("12 s of outage", self.served_for(cluster, key, 12), 120)
            outage(cluster, False)
            granted = cluster.grant("steel")
            for daemon in cluster.daemons.values():
                answer = cluster.execute(daemon, "cuts", "SELECT 1", key=granted)
                self.assertEqual(200, answer.status, answer)

    def served_for(self, cluster, key, seconds):
        end = time.monotonic() + seconds

        def check():
            for daemon in cluster.daemons.values():
                done = cluster.execute(daemon, "cuts", "INSERT INTO writes VALUES (1, 'a')",
                                       key=key)
                self.assertEqual(200, done.status, done)
                read = cluster.execute(daemon, "cuts", "SELECT count(*) FROM writes", key=key,
                                       session=session_of(done), read_only=True)
                self.assertEqual(200, read.status, read)
            return time.monotonic() > end
        return check

    def test_platform_refuses_connections(self):
        """Guards against reads and writes that depend on a reachable platform."""
        self.serve_through_outage("closed")

    def test_platform_is_silent(self):
        """Guards against requests that wait for a platform that does not answer."""
        self.serve_through_outage("silent")

    def test_operators_race(self):
        """Guards against an operator's change that silently overwrites another one."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            start(cluster)
            version = cluster.get("workspaces", "steel")["metadata"]["resourceVersion"]
            files = []
            for number in range(4):
                path = cluster.dir / f"operator-{number}.json"
                path.write_text(json.dumps([{
                    "kind": "Workspace", "metadata": {"name": "steel", "resourceVersion": version},
                    "spec": {"rate": 100 + number, "burst": 100, "weight": 1}}]))
                files.append(path)
            running = [subprocess.Popen(
                [program("src/app/lavenderctl/lavenderctl"), "--platform",
                 f"127.0.0.1:{cluster.platform_port}", "apply", str(path)],
                stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True) for path in files]
            outputs = [each.communicate(timeout=60)[0] for each in running]
            codes = [each.returncode for each in running]
            self.assertEqual([0, 3, 3, 3], sorted(codes), outputs)
            spec = cluster.get("workspaces", "steel")["spec"]
            self.assertEqual(100 + codes.index(0), spec["rate"])
            loser = outputs[codes.index(3)]
            self.assertIn(str(version), loser, "the loser sees the version that it expected")

    def test_invalid_catalogue_changes_nothing(self):
        """Guards against a file that is written in part before its fault is found."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            start(cluster)
            before = cluster.get("workspaces", "steel")
            path = cluster.dir / "bad.json"
            path.write_text(json.dumps([
                {"kind": "Workspace", "name": "steel", "spec": {"rate": 7, "burst": 7}},
                {"kind": "Route", "name": "cuts", "spec": {"owner": "nobody", "group": "orders",
                                                           "trafficClass": "urgent"}}]))
            done = cluster.ctl("apply", path, check=False)
            self.assertEqual(2, done.returncode, done)
            self.assertEqual(before, cluster.get("workspaces", "steel"))


if __name__ == "__main__":
    unittest.main()
