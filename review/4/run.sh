#!/usr/bin/env bash
# An executor fails all that it starts, and is given several members of a gang; the rule LOST is judged.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../common.sh"
play_case failing-executor 12
