#!/usr/bin/env bash
# Writes record.txt beside itself. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs the same without the trouble.
cd "$(dirname "$0")" && exec python3 -B scenario.py
