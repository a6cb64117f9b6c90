#!/usr/bin/env bash
# An executor loses power, is back under its id, is given work, and is lost for good; the rule LOST is judged.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../common.sh"
play_case flapping-executor 8
