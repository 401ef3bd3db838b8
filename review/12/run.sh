#!/bin/sh
# A target answers at once with a large text of short lines.
cd "$(dirname "$0")" || exit 2
exec env PYTHONPATH=../lib-3 python3 case.py
