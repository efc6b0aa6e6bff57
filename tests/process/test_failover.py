"""Acknowledged writes survive the loss of a primary."""
import unittest

from cluster import Cluster, wait_until
from fleet import (INIT_SQL, Writer, catalogue, check_writes, route, start,
                   written_ids)


class FailoverTest(unittest.TestCase):
    def run_fault(self, fault, repair=None):
        """Breaks the primary under load and checks what the callers were told."""
        with Cluster(init_sql=INIT_SQL, hosts={"h1": "d1", "h2": "d2", "h3": "d3"}) as cluster:
            key = start(cluster)
            writers = [Writer(cluster, daemon, key, 1000000 * number)
                       for number, daemon in enumerate(cluster.daemons.values(), 1)]
            for writer in writers:
                writer.wait_for_more(20)
            fault(cluster.databases["orders-1"])
            wait_until("another primary is in force",
                       lambda: cluster.get("groups", "orders")["status"]["primary"] != "orders-1")
            for writer in writers:
                writer.wait_for_more(20)
            if repair:
                repair(cluster.databases["orders-1"])
                for writer in writers:
                    writer.wait_for_more(20)
            for writer in writers:
                writer.stop()
            status = cluster.get("groups", "orders")["status"]
            self.assertGreaterEqual(status["term"], 2)
            ids = written_ids(cluster, cluster.daemons["h2"], key)
            check_writes(self, writers, ids)

    def test_primary_killed(self):
        """Guards against writes that stop, are lost or are doubled with a dead primary."""
        self.run_fault(lambda database: database.process.kill())

    def test_primary_cut_off_and_back(self):
        """Guards against acknowledgements by a primary that was cut off and replaced."""
        self.run_fault(lambda database: database.control("/cut", what="all", on=True),
                       lambda database: database.control("/cut", what="all", on=False))

    def test_primary_silent_on_open_connections(self):
        """Guards against acknowledgements by a frozen primary that resumes after its
        replacement with statements that it had received before."""
        self.run_fault(lambda database: database.control("/freeze", ms=6000))

    def test_primary_paused(self):
        """Guards against a stopped primary process that resumes as a second primary."""
        self.run_fault(lambda database: database.process.pause(),
                       lambda database: database.process.resume())

    def test_leaving_primary_is_replaced(self):
        """Guards against writes that stop or are lost when an operator marks the primary
        as leaving."""
        with Cluster(init_sql=INIT_SQL, hosts={"h1": "d1", "h2": "d2", "h3": "d3"}) as cluster:
            key = start(cluster, catalogue() + [route("plain", acknowledge="primary")])
            writers = [Writer(cluster, cluster.daemons["h1"], key, 1),
                       Writer(cluster, cluster.daemons["h2"], key, 1000000, "plain")]
            for writer in writers:
                writer.wait_for_more(20)
            spec = cluster.get("groups", "orders")["spec"]
            for member in spec["upstreams"]:
                if member["name"] == "orders-1":
                    member["state"] = "leaving"
            cluster.apply([("Group", "orders", spec)])
            wait_until("another primary is in force",
                       lambda: cluster.get("groups", "orders")["status"]["primary"] != "orders-1")
            for writer in writers:
                writer.wait_for_more(20)
            cluster.databases["orders-1"].process.kill()
            for writer in writers:
                writer.wait_for_more(20)
                writer.stop()
            check_writes(self, writers, written_ids(cluster, cluster.daemons["h3"], key))

    def test_replication_cut_while_daemons_reach_the_primary(self):
        """Guards against an acknowledgement on a route that waits for a replica while no
        replica receives the write; the primary dies with these writes."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            key = start(cluster)
            writer = Writer(cluster, cluster.daemons["h1"], key, 1)
            writer.wait_for_more(20)
            primary = cluster.databases["orders-1"]
            primary.control("/cut", what="replication", on=True)
            refused = len(writer.not_run) + len(writer.unknown)
            wait_until("writes are no longer acknowledged",
                       lambda: len(writer.not_run) + len(writer.unknown) > refused + 1)
            primary.process.kill()
            writer.wait_for_more(20)
            writer.stop()
            check_writes(self, [writer],
                         written_ids(cluster, cluster.daemons["h2"], key))


if __name__ == "__main__":
    unittest.main()
