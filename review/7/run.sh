#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
