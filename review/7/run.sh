#!/usr/bin/env bash
# Plays the case and writes to record.txt what was sent, answered and run. TROUBLE=0 leaves the disruption out. Exit codes: 1 the
# rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")"
exec python3 -B case.py record.txt
