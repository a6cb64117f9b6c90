#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, which the build of the deploy file has created beside the daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target/review
