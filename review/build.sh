#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile; they are Python and use the
# packages that the build of deploy/system.toml has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 - review/lib/*.py <<'CHECK'
import pathlib
import sys

import aiohttp  # noqa: F401 - must have been built

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_bytes(), name, "exec")
print(f"{len(sys.argv) - 1} stand-ins compile")
CHECK
