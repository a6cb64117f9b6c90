#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python programs of the standard library (python3 is in
# scripts/packages.txt), so that nothing is compiled: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin-2/world.py [0-9]*/case.py << 'CHECK'
import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)
CHECK
echo "stand-ins are ready"
