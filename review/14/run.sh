#!/bin/sh
# Requests whose route and tenant have homes without a common region.
cd "$(dirname "$0")" || exit 2
exec env PYTHONPATH=../lib-3 python3 case.py
