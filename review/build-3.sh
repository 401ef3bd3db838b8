#!/bin/sh
# Check the stand-ins of the third review; they are Python and need no build.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 - review/lib-3/*.py review/1[1-5]/*.py <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
print(f"{len(sys.argv) - 1} files checked")
END
