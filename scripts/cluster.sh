# Functions for scripts that run a stand-in and several daemons on loopback. Sourced, not run.
#
# The caller sets `base` (first of 60 ports) before sourcing. Every process that is started here is ended by id on exit.
# Daemons are named with a letter for the data centre and a number: a1, a2 in dc1; b1, b2 in dc2.
build=${LACEWING_BUILD:-build}
work=$(mktemp -d)
pids=()
declare -A daemon_pid
admin="http://127.0.0.1:$base"
store="http://127.0.0.1:$((base + 1))"

cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  if [ "${LACEWING_KEEP:-}" = 1 ]; then echo "logs: $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT

port_of() { # HTTP port of a daemon; its peer port is 10 above
  case $1 in a1) echo $((base + 40)) ;; a2) echo $((base + 41)) ;; b1) echo $((base + 42)) ;; b2) echo $((base + 43)) ;; esac
}
data_centre_of() { case $1 in a*) echo dc1 ;; b*) echo dc2 ;; esac; }
url_of() { echo "http://127.0.0.1:$(port_of "$1")"; }
ctl() { "$build/lacewingctl" --daemon "127.0.0.1:$(port_of a1)" --daemon "127.0.0.1:$(port_of b1)" "$@"; }
ctl_at() { local name=$1; shift; "$build/lacewingctl" --daemon "127.0.0.1:$(port_of "$name")" "$@"; }
counts() { curl -sf --max-time 5 "$admin/standin/counts"; }
faults() { curl -sf --max-time 5 -X POST -d "$1" "$admin/standin/faults" > /dev/null; }
status_of() { curl -sf --max-time 5 "$(url_of "$1")/v1/status"; }

wait_for() { # wait_for SECONDS DESCRIPTION COMMAND...
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" > /dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then echo "timeout: $what"; return 1; fi
    sleep 0.1
  done
}

entry() { echo "{\"id\":\"$1\",\"dataCentre\":\"$(data_centre_of "$1")\",\"port\":$(($(port_of "$1") + 10))}"; }

start_standin() { # start_standin "DAEMON ..." [MORE_JSON]: the named daemons are on the instance list
  local name entries=""
  for name in $1; do entries="$entries${entries:+,}$(entry "$name")"; done
  cat > "$work/standin.json" << JSON
{ "basePort": $base, "dataCentres": ["dc1", "dc2"], "racks": 1, "workers": 6, "endpoints": 6, "serviceMs": 5,
  "entries": [$entries] ${2:+, $2} }
JSON
  "$build/lacewing-standin" --settings "$work/standin.json" > "$work/standin.log" 2>&1 &
  pids+=($!)
  wait_for 20 "stand-in" counts
}

start_daemon() { # start_daemon NAME [MORE_JSON]
  cat > "$work/$1.json" << JSON
{ "daemon": { "name": "$1", "dataCentre": "$(data_centre_of "$1")" },
  "http": { "port": $(port_of "$1") }, "peer": { "port": $(($(port_of "$1") + 10)) },
  "platform": { "storeUrl": "$store", "instancesUrl": "$admin" } ${2:+, $2} }
JSON
  "$build/lacewingd" --settings "$work/$1.json" >> "$work/$1.out" 2>> "$work/$1.log" &
  daemon_pid[$1]=$!
  pids+=($!)
}

is_up() { curl -sf --max-time 2 "$(url_of "$1")/healthz"; }
is_ready() { curl -sf --max-time 2 "$(url_of "$1")/readyz"; }
has_slots() { [ "$(status_of "$1" | jq '.slots.granted')" -gt 0 ]; }
kill_daemon() { kill -KILL "${daemon_pid[$1]}"; wait "${daemon_pid[$1]}" 2> /dev/null || true; }

write_base_config() {
  mkdir -p "$work/config"
  cat > "$work/config/10-base.json" << 'JSON'
{ "dataCentres": { "dc1": { "state": "in" }, "dc2": { "state": "in" } },
  "services": { "quotes": { "deadlineMs": 2000 } },
  "teams": { "counter": { "share": 2 }, "workshop": { "share": 1 } } }
JSON
}
apply_config() { ctl config apply "$work/config" --yes --author "${1:-operator}" --comment "${2:-change}" --wait; }

start_cluster() { # start_cluster "DAEMON ..." [STANDIN_JSON] [DAEMON_JSON]
  local name
  start_standin "$1" "${2:-}"
  for name in $1; do start_daemon "$name" "${3:-}"; done
  for name in $1; do wait_for 20 "daemon $name" is_up "$name"; done
  write_base_config
  wait_for 30 "first configuration" apply_config operator first
  for name in $1; do wait_for 30 "readiness of $name" is_ready "$name"; done
  for name in $1; do wait_for 30 "slots of $name" has_slots "$name"; done
}

# One urgent request; prints HTTP status and body on one line.
urgent() { # urgent DAEMON REQUEST_ID [CURL_OPTION...]
  local name=$1 id=$2
  shift 2
  curl -s --max-time 12 -w ' %{http_code}' -X POST -H "Lacewing-Request-Id: $id" --data "order $id" "$@" \
    "$(url_of "$name")/svc/quotes/price"
}

submit() { # submit DAEMON JOB_ID DURATION_MS
  ctl_at "$1" job submit --id "$2" --team workshop --service assess --cpu-milli 1000 --memory-mb 500 --duration-ms "$3" \
    > /dev/null
}
finished_count() { ctl job list --state finished --json | jq '.jobs | length'; }
all_finished() { [ "$(finished_count)" -eq "$1" ]; }
ran_twice() { counts | jq '[.tasks[] | select(.maxRunning > 1 or .finished > 1)] | length'; }
executed_twice() { counts | jq '[.endpoints[].executedTwice] | add'; }
slots_exceeded() { counts | jq '[.endpoints[] | select(.maxInProgress > 8 or .maxConnections > 64)] | length'; }
