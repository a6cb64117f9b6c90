#!/usr/bin/env bash
# An executor loses power, is back under its id, is given work, and is lost for good; the rule LOST is judged.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../common.sh"
# With TROUBLE=0 the case is played without the disruption. What was sent, answered and run goes into record.txt.
play_case flapping-executor 8 "$here/record.txt" "${TROUBLE:-1}"
