"""The store comes back from an older copy: its revisions go back and are given out again."""
import unittest

from cluster import wait_until
from sessionfleet import SessionFleet


class StoreRestoreTest(unittest.TestCase):
    def setUp(self):
        self.fleet = SessionFleet(hosts=2)
        self.addCleanup(self.fleet.close)
        self.store = self.fleet.store

    def on_loop(self, function, *arguments):
        return self.fleet.loop.call(function, *arguments)

    def restore(self, earlier, cut=True):
        """What the databases wrote is written again."""
        def restore():
            self.store.restore(earlier, cut)
            for database in self.fleet.databases:
                if database.running:
                    database.announce()
        self.on_loop(restore)

    def use_revisions(self, last):
        """Writes what the hosts don't read, up to a revision."""
        def write():
            while self.store.revision < last:
                self.store.put("others", "other", {"number": self.store.revision})
        self.on_loop(write)

    def write(self, host):
        return self.fleet.caller("desk", host=host).query("WRITE item v")[0].startswith("COMPLETE")

    def promote(self, hosts):
        """Crashes the primary and waits until another database serves writes; returns the fencing token."""
        failed = next(each for each in self.fleet.databases if each.primary)
        before = len(self.store.promotions)
        self.on_loop(failed.crash)
        wait_until("writes are served again", lambda: any(self.write(host) for host in hosts))
        self.fleet.loop.run(failed.come_back())
        return next(token for _, _, token, status in self.store.promotions[before:] if status == 200)

    def test_a_fencing_token_is_never_used_again(self):
        """Guards against two hosts that promote with the same fencing token, because the revision of the claim has
        been given out again."""
        self.assertTrue(self.write(0) and self.write(1))
        earlier = self.on_loop(self.store.snapshot)
        self.use_revisions(earlier[0] + 20)
        first = self.promote([0, 1])
        orderer = 0 if "event=promotion_ordered" in self.fleet.hosts[0].text() else 1
        own = self.on_loop(lambda: self.store.objects["lavenderdale-promotions"]["orders"]["meta"]["revision"])
        self.restore(earlier)
        self.use_revisions(own - 1)
        self.fleet.hosts[orderer].kill()
        self.assertGreater(self.promote([1 - orderer]), first)

    def follow(self, cut):
        # The hosts have seen the revision that the next version gets once more.
        earlier = self.on_loop(self.store.snapshot)
        self.fleet.configure(2)
        for host in self.fleet.hosts:
            wait_until(f"{host.name} follows", lambda: "event=catalogue_in_force version=2" in host.text())

        def restore():
            self.store.restore(earlier, cut)
            self.store.put("config", "main", configuration_without_second_key)
        configuration_without_second_key = self.on_loop(
            lambda: {**self.store.objects["config"]["main"]["spec"], "version": 3})
        configuration_without_second_key["tenants"] = [
            {**each, "api-keys": ["k-clerks"]} for each in configuration_without_second_key["tenants"]]
        self.on_loop(restore)
        for number, host in enumerate(self.fleet.hosts):
            wait_until(f"{host.name} refuses the removed key",
                       lambda: self.fleet.caller("desk", "k-second", number).greeting.startswith("ERROR DENIED"))
            self.assertTrue(self.write(number))

    def test_a_configuration_written_at_the_return_is_followed(self):
        """Guards against hosts that wait for changes after a revision which has been given out again, and so miss a
        withdrawn key for good."""
        self.follow(cut=True)

    def test_the_same_if_no_connection_is_cut(self):
        """Guards against the same where a watch goes on over the return of the store."""
        self.follow(cut=False)

    def test_upstreams_missing_in_the_copy_stay_in_use(self):
        """Guards against the loss of all databases whose entries the copy does not hold for a moment."""
        empty = self.on_loop(self.store.snapshot)
        empty[1]["servers"] = {}

        def restore():
            self.store.restore(empty, False)
            # Ends the watches of the hosts, which list a store without databases then.
            self.store.put("servers", "other", {})
        self.on_loop(restore)
        for number, host in enumerate(self.fleet.hosts):
            wait_until(f"{host.name} lists again", lambda: "event=history_gone collection=upstreams" in host.text())
            self.assertTrue(self.write(number))


if __name__ == "__main__":
    unittest.main()
