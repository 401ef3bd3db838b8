#!/bin/sh
# Two core machines are replaced, and two more nine seconds later.
cd "$(dirname "$0")" || exit 2
exec env PYTHONPATH=../lib-3 python3 case.py
