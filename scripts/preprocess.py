"""Prints the preprocessed text of one file, using its entry in compile_commands.json."""
import json
import shlex
import subprocess
import sys
from pathlib import Path


def main() -> int:
    database, source = Path(sys.argv[1]), Path(sys.argv[2]).resolve()
    for entry in json.loads(database.read_text()):
        if Path(entry["file"]).resolve() != source:
            continue
        words = [w for w in shlex.split(entry["command"]) if not w.endswith("ccache")]
        if "-o" in words:
            at = words.index("-o")
            del words[at:at + 2]
        words = [w for w in words if w != "-c"] + ["-E", "-P"]
        return subprocess.run(words, cwd=entry["directory"]).returncode
    print(f"{source} is not in {database}", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
