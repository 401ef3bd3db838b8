"""Run the tests except for the known failures listed in KNOWN-RED.txt.

An entry of that file begins with a line ``test: NODE-ID``; its other lines are
ignored. The listed tests are printed and deselected.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
NODE_PREFIX = "test: "


def read_known_failures(path):
    """Return the pytest node identifiers listed in a file, if it exists."""
    if not path.exists():
        return []
    return [
        line.removeprefix(NODE_PREFIX).strip()
        for line in path.read_text().splitlines()
        if line.startswith(NODE_PREFIX)
    ]


def main():
    """Run pytest at the root of the project.

    Returns
    -------
    int
        Exit code of pytest.
    """
    node_ids = read_known_failures(KNOWN_FAILURES_FILE)
    for node_id in node_ids:
        print(f"known failure, deselected: {node_id}")
    command = [sys.executable, "-m", "pytest", *sys.argv[1:]]
    command += [f"--deselect={node_id}" for node_id in node_ids]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
