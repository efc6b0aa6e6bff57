"""The examples of docs/callers.md work as written."""
import json
import os
import re
import subprocess
import unittest

from cluster import ROOT, Cluster
from fleet import route, settle, workspace

INIT_SQL = ("CREATE TABLE cuts (id INTEGER PRIMARY KEY, note TEXT);"
            "CREATE TABLE stock (item TEXT PRIMARY KEY, quantity INTEGER);"
            "INSERT INTO stock VALUES ('plate', 40);")
# Reports the status of each call without changing what the example prints.
PREAMBLE = "curl() { command curl -sS -w '%{stderr}status %{http_code}\\n' \"$@\"; }\n"


def examples() -> dict:
    """Returns the commands of section Examples by their comment line."""
    text = (ROOT / "docs/callers.md").read_text()
    section = text.split("## Examples\n")[1].split("\n## ")[0]
    block = "\n".join(line[4:] for line in section.splitlines() if line.startswith("    ")
                      or not line.strip())
    found = {}
    for part in re.split(r"\n\s*\n", block):
        if part.strip().startswith("# "):
            title, commands = part.strip().split("\n", 1)
            found[title] = commands
    return found


class CallersTest(unittest.TestCase):
    def run_example(self, commands: str, variables: dict) -> str:
        done = subprocess.run(["bash", "-euo", "pipefail", "-c", PREAMBLE + commands],
                              env={**os.environ, **variables}, capture_output=True, text=True,
                              timeout=60, check=False)
        self.assertEqual(0, done.returncode, done.stderr)
        statuses = re.findall(r"^status (\d+)$", done.stderr, re.M)
        self.assertEqual(commands.count("curl "), len(statuses), done.stderr)
        self.assertTrue(all(status.startswith("2") for status in statuses),
                        (commands, done.stdout, done.stderr))
        return done.stdout

    def test_examples(self):
        """Guards against examples that no longer fit the interface."""
        with Cluster(init_sql=INIT_SQL) as cluster:
            cluster.apply([workspace("dock"), route("orders", owner="dock")])
            key = cluster.grant("dock")
            settle(cluster, key, "orders")
            h1, h2 = cluster.daemons.values()
            parts = list(examples().values())
            self.assertEqual(4, len(parts), "a write, two reads and a transaction")
            variables = {"KEY": key, "HOST": f"http://127.0.0.1:{h1.clients}"}
            written = self.run_example(parts[0], variables)
            token = re.search(r"^lavenderdale-session: (\S+)", written, re.M | re.I).group(1)
            variables.update(TOKEN=token, HOST=f"http://127.0.0.1:{h2.clients}")
            self.assertIn('"4711"', self.run_example(parts[1], variables))
            self.assertIn("40", self.run_example(parts[2], variables))
            self.run_example(parts[3], variables)
            after = cluster.execute(h1, "orders", "SELECT quantity FROM stock", key=key)
            self.assertEqual([["39"]], [[str(cell) for cell in row] for row in after.body["rows"]],
                             json.dumps(after.body))


if __name__ == "__main__":
    unittest.main()
