"""Run the tests, passing over exactly those listed in KNOWN-RED.txt.

An entry of that file starts with a line ``test: NODE-ID``; its further lines
are for the reader. Listed tests are printed, not run.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PREFIX = "test: "


def read_known_red(path):
    """Return the node identifiers listed in a file, if it exists."""
    if not path.exists():
        return []
    return [
        line.removeprefix(PREFIX).strip()
        for line in path.read_text().splitlines()
        if line.startswith(PREFIX)
    ]


def main():
    """Run pytest from the root of the project."""
    known = read_known_red(KNOWN_RED)
    for node in known:
        print(f"known red, passed over: {node}")
    command = [sys.executable, "-m", "pytest", *sys.argv[1:]]
    command += [f"--deselect={node}" for node in known]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
