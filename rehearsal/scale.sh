#!/usr/bin/env bash
# Measures what each role takes, over sweeps of sizes: the logic alone, a whole cell in virtual time,
# then real controllers and a real router with hollow routers and engines around them. Writes
# docs/measurements/NAME.json and NAME.md, a table of each run, and durations.md.
#
#   scale.sh [--only PART,...] [--output FOLDER]
#
# Parts: message-sizes router-memory router-logic router-control controller-logic control-traffic
#   cell-traffic fleet-engines fleet-routers fleet-changes fleet-load fleet-region fleet-whole
#   data-path
# docs/measurements/durations.md has the time that each took in the last run of all parts. One
# measurement runs at a time, with three controllers, one router and one process of hollow ones.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

address=127.0.0.1
controllers=3
output=docs/measurements
only=""
# No measurement takes a third of it; one that hangs must not hold up the others for ever.
limit_seconds=1200
while [ $# -gt 0 ]; do
  case $1 in
    --only) only=$2 ;;
    --output) output=$(realpath -m "$2") ;;
    --help) sed -n '2,13s/^# \{0,1\}//p' "$0"; exit 0 ;;
    *) sed -n '2,13s/^# \{0,1\}//p' "$0" >&2; exit 2 ;;
  esac
  shift 2
done
cd "$root"  # So that the commands in the tables name no folder of this machine.
mkdir -p "$output"
dir=""

# Ends the processes that were started here, and removes their folder.
end_fleet() {
  [ -n "$dir" ] || return 0
  local name
  if [ -f "$dir/processes.tsv" ]; then
    for name in $(cut -f 1 "$dir/processes.tsv"); do
      stop_process "$dir" "$name" || echo "scale.sh: $name is left" >&2
    done
  fi
  rm -rf "$dir"
  dir=""
}
trap end_fleet EXIT

wanted() {
  [ -z "$only" ] || [[ ",$only," == *",$1,"* ]]
}

durations=""

# measure NAME FLAGS...: one run of walnut-rehearse scale.
measure() {
  local name=$1 started=$SECONDS
  shift
  echo "scale.sh: $name" >&2
  timeout "$limit_seconds" "$bin/walnut-rehearse" scale --output "$output/$name.json" \
    --table "$output/$name.md" "$@" || fail "$name failed"
  durations+="| $name | $((SECONDS - started)) |"$'\n'
}

# Of a run of all parts only: one of some parts leaves the table as it is.
write_durations() {
  [ -z "$only" ] || return 0
  {
    echo "### Time of each measurement of \`make scale\`"
    echo
    echo "$(date -u +%FT%TZ), $(nproc) cores, load $(cut -d ' ' -f 1 /proc/loadavg)"
    echo
    echo "| measurement | seconds |"
    echo "| --- | --- |"
    printf '%s' "$durations"
    echo "| all, with starts and stops | $SECONDS |"
  } > "$output/durations.md"
}

# new_fleet FILL_FLAGS...: three controllers and a router; the flags, if any, fill the folders.
new_fleet() {
  local index id port members=""
  dir=$(mktemp -d)
  mapfile -t ports < <("$bin/walnut-rehearse" free-ports $((2 * controllers + 2)))
  platform_port=${ports[0]}
  router_port=${ports[1]}
  peers="" apis="" pids=""
  for index in $(seq 1 "$controllers"); do
    id=$("$bin/walnut-controller" --init --data-dir "$dir/data/controller-$index" |
      awk '$1 == "server-id" { print $2 }')
    [ -n "$id" ] || fail "controller-$index gets no identity"
    local peer=$address:${ports[$((2 * index))]} api=$address:${ports[$((2 * index + 1))]}
    members+="${members:+,}$id@$peer@$api@region-1-zone-$((index - 1))"
    peers+="${peers:+,}$peer"
    apis+="${apis:+,}$api"
  done
  for index in $(seq 1 "$controllers"); do
    [ $# -eq 0 ] || "$bin/walnut-rehearse" scale --experiment fill-data-folder \
      --data-folder "$dir/data/controller-$index" --members "$members" "$@" > /dev/null
    start_process "$dir" "controller-$index" controller \
      "http://$address:${ports[$((2 * index + 1))]}" "$bin/walnut-controller" \
      --data-dir "$dir/data/controller-$index" --initial-members "$members" \
      --listen-peer "$address:${ports[$((2 * index))]}" \
      --listen-api "$address:${ports[$((2 * index + 1))]}" \
      --platform-url "http://$address:$platform_port" --region 1 --cell 1 \
      --zone "region-1-zone-$((index - 1))" || fail "controller-$index does not start"
    pids+="${pids:+,}$(pid_of "$dir" "controller-$index")"
  done
  start_process "$dir" router router "http://$address:$router_port" "$bin/walnut-router" \
    --controllers "$peers" --listen "$address:$router_port" --region 1 --cell 1 \
    --zone region-1-zone-0 --max-running-per-replica 1000 || fail "the router does not start"
}

# measure_fleet NAME EXPERIMENT FLAGS...: against the present fleet.
measure_fleet() {
  local name=$1 experiment=$2
  shift 2
  measure "$name" --experiment "$experiment" --apis "$apis" --peers "$peers" \
    --controller-processes "$pids" --routers "$address:$router_port" \
    --router-processes "$(pid_of "$dir" router)" --platform-port "$platform_port" "$@"
}

for name in message-sizes router-memory router-logic router-control controller-logic \
  control-traffic; do
  ! wanted "$name" || measure "$name" --experiment "$name"
done

# The state of one region's cell, and of a cell for both regions.
region=(--models 230 --adapters 7700 --engines 1500 --replicas 15850)
whole=(--models 230 --adapters 7700 --engines 3000 --replicas 31700)

# The whole size, 400, did not end within 12 minutes of one core, at 4 GB: slopes are of smaller
# cells.
! wanted cell-traffic || measure cell-traffic --experiment cell-traffic --sweep 20,40,80

today=(--models 230 --adapters 770)

if wanted fleet-engines; then
  new_fleet
  measure_fleet fleet-engines fleet-engines "${today[@]}" --engines 800 --sweep 0,100,200,400,800
  end_fleet
fi
if wanted fleet-routers; then
  new_fleet
  measure_fleet fleet-routers fleet-routers "${today[@]}" --sweep 0,50,100,200,400
  end_fleet
fi
if wanted fleet-changes; then
  new_fleet
  measure_fleet fleet-changes fleet-changes "${today[@]}" --hollow-routers 400 --sweep 0,2,5,10
  end_fleet
fi
if wanted fleet-load; then
  new_fleet
  measure_fleet fleet-load fleet-load --models 230 --engines 60 --hollow-routers 100 \
    --sweep 0,5,10,20
  end_fleet
fi
# measure_state NAME SIZE...: routers that start together, then changes.
measure_state() {
  local name=$1
  shift
  new_fleet "$@"
  measure_fleet "$name-restart" fleet-restart "$@" --preloaded true --sweep 25,50,100,200
  measure_fleet "$name-changes" fleet-changes "$@" --preloaded true --hollow-routers 50 \
    --sweep 0,2,5,10
  end_fleet
}
! wanted fleet-region || measure_state fleet-region "${region[@]}"
! wanted fleet-whole || measure_state fleet-whole "${whole[@]}"

if wanted data-path; then
  new_fleet
  measure_fleet data-path data-path --models 4 --engines 4 --sweep 50,100,200,400,500 \
    --settle-ms 12000 --measured-ms 15000
  end_fleet
fi
write_durations
