#!/usr/bin/env bash
# An executor fails all that it starts, and is given several members of a gang; the rule LOST is judged.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../common.sh"
# With TROUBLE=0 the case is played without the disruption. What was sent, answered and run goes into record.txt.
play_case failing-executor 12 "$here/record.txt" "${TROUBLE:-1}"
