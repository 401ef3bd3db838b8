"""Pin the requirements with hashes, for the platform that this runs on."""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent / "requirements"


def resolve(source):
    """Return pip's installation report for a requirements file."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "pip", "install", "--quiet"]
        command += ["--ignore-installed", "--dry-run"]
        command += ["--report", str(report), "-r", str(source)]
        subprocess.run(command, check=True)
        return json.loads(report.read_text())


def lock(name):
    """Write ``NAME.lock`` from ``NAME.in``."""
    lines = []
    for item in resolve(ROOT / f"{name}.in")["install"]:
        package = item["metadata"]
        digest = item["download_info"]["archive_info"]["hashes"]["sha256"]
        pin = f"{package['name'].lower()}=={package['version']}"
        lines.append(f"{pin} \\\n    --hash=sha256:{digest}\n")
    (ROOT / f"{name}.lock").write_text("".join(sorted(lines)))


if __name__ == "__main__":
    for requirement in ("runtime", "dev"):
        lock(requirement)
