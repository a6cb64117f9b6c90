# Sourced by run.sh of a case: starts three daemons with the command of the deploy file and settings like those of a
# small deployment, and plays a case of the stand-ins against them.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
standin=$root/target/review/review-standin
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$work"
}
trap finish EXIT

# play_case CASE EXECUTORS RECORD TROUBLE: writes RECORD; exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE 0: without the disruption.
play_case() {
  [ -x "$standin" ] && [ -x "$root/target/lacewingd" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
  # The store; readiness and callers of each daemon; the executors; the advice service; admin and peers of each daemon.
  mapfile -t ports < <("$standin" ports $((1 + 6 + $2 + 1 + 6)))
  [ ${#ports[@]} -eq $((14 + $2)) ] || exit 2
  cd "$root"
  local zones=(zone-a zone-b zone-c) n
  for n in 0 1 2; do
    cat > "$work/d$n.json" << SETTINGS
{ "daemon": { "name": "edge-${zones[$n]}-1", "dataCentre": "${zones[$n]}", "processorShare": 0.1, "linkMbps": 1000 },
  "listen": { "callers": "127.0.0.1:${ports[$((2 + 2 * n))]}", "readiness": "127.0.0.1:${ports[$((1 + 2 * n))]}",
              "admin": "127.0.0.1:${ports[$((8 + $2 + 2 * n))]}", "peers": "127.0.0.1:${ports[$((9 + $2 + 2 * n))]}" },
  "store": { "address": "127.0.0.1:${ports[0]}" },
  "advice": { "address": "127.0.0.1:${ports[$((7 + $2))]}" },
  "bounds": { "maxHoldMs": 6000, "stopTimeoutMs": 900, "impactMs": 4000, "statusSeconds": 120, "configurationMs": 2000,
              "graceSeconds": 6 } }
SETTINGS
  done
  local list
  list=$(IFS=,; echo "${ports[*]:0:$((8 + $2))}")
  TROUBLE=$4 "$standin" "$1" "$3" "$list" &
  local case_pid=$!
  pids+=("$case_pid")
  for n in 0 1 2; do
    LACEWINGLOFT_SETTINGS=$work/d$n.json target/lacewingd > "${LOGS:-$work}/d$n.log" 2>&1 &
    pids+=($!)
  done
  local code=0
  wait "$case_pid" || code=$?
  [ $code -le 1 ] || code=2
  exit $code
}
