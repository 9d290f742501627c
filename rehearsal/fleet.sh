#!/usr/bin/env bash
# A whole fleet of real processes on loopback: platform list, weight store, engines, three
# controllers, routers. A preset's routers stand for the application workers of a deployment:
# callers run beside them (rehearsal/README.md).
#
#   fleet.sh up --dir D [--preset small|muistikortti|gallery] [--base-port P]
#               [--engine-flags F] [--router-flags F]
#   fleet.sh status --dir D
#   fleet.sh down --dir D
set -euo pipefail
source "$(dirname "$0")/processes.sh"

controller_count=3
address=127.0.0.1

usage() {
  sed -n '2,9s/^# \{0,1\}//p' "$0" >&2
  exit 2
}

command=${1:-}
[ -n "$command" ] || usage
shift
dir="" preset=small base_port="" engine_flags="" router_flags=""
while [ $# -gt 0 ]; do
  [ $# -ge 2 ] || usage
  case $1 in
    --dir) dir=$2 ;;
    --preset) preset=$2 ;;
    --base-port) base_port=$2 ;;
    --engine-flags) engine_flags=$2 ;;
    --router-flags) router_flags=$2 ;;
    *) usage ;;
  esac
  shift 2
done
[ -n "$dir" ] || usage

# take_ports COUNT: sets `ports`.
take_ports() {
  if [ -n "$base_port" ]; then
    mapfile -t ports < <(seq "$base_port" $((base_port + $1 - 1)))
  else
    mapfile -t ports < <("$bin/walnut-rehearse" free-ports "$1")
  fi
  [ "${#ports[@]}" -eq "$1" ] || fail "no free ports"
}

next_port() {
  port=${ports[0]}
  ports=("${ports[@]:1}")
}

# start NAME ROLE PORT COMMAND...
start() {
  local name=$1 role=$2 at=$3
  shift 3
  start_process "$dir" "$name" "$role" "http://$address:$at" "$@" && return 0
  tail -n 5 "$dir/logs/$name.log" >&2
  fail "$name does not start"
}

read_preset() {
  "$bin/walnut-rehearse" preset --name "$preset" --part resources > "$dir/resources.yaml"
  "$bin/walnut-rehearse" preset --name "$preset" --part targets > "$dir/targets.tsv"
  "$bin/walnut-rehearse" preset --name "$preset" --part fleet > "$dir/preset.tsv"
  mapfile -t zones < <(awk -F '\t' '$1 == "zone" { print $2 }' "$dir/preset.tsv")
  router_count=$(awk -F '\t' '$1 == "routers" { print $2 }' "$dir/preset.tsv")
  engine_count=$(awk -F '\t' '$1 == "engine"' "$dir/preset.tsv" | wc -l)
}

start_platform() {
  next_port
  platform_port=$port
  start platform platform "$port" "$bin/walnut-rehearse" platform --listen "$address:$port"
}

start_store() {
  local rate streams speed
  IFS=$'\t' read -r _ rate streams speed < <(grep '^store' "$dir/preset.tsv")
  next_port
  store_port=$port
  start store store "$port" "$bin/walnut-rehearse" store --listen "$address:$port" \
    --loads-per-second "$rate" --full-speed-streams "$streams" --stream-gib-per-second "$speed"
}

# announce_machine ID PORT ZONE CLASS
announce_machine() {
  local machine
  machine='{"engine":"'$1'","address":"'$address'","port":'$2',"zone":"'$3'"'
  machine+=',"machine_class":"'$4'","leaving":false}'
  curl -sf --max-time 5 -X POST "http://$address:$platform_port/kit/machines" \
    -d '{"as_of_micros":0,"machines":['"$machine"']}' || fail "the platform refuses $1"
}

start_engines() {
  local id zone class memory cached
  while IFS=$'\t' read -r _ id zone class memory cached; do
    next_port
    # shellcheck disable=SC2086 # Flags are words.
    start "$id" engine "$port" "$bin/walnut-rehearse" engine --listen "$address:$port" \
      --store "$address:$store_port" --id "$id" --accelerator-gib "$memory" \
      --cached-on-disk "$cached" $engine_flags
    announce_machine "$id" "$port" "$zone" "$class"
  done < <(grep '^engine' "$dir/preset.tsv")
}

# Identities first, since each controller is told all initial members.
init_controllers() {
  members="" peers="" apis=""
  local index id zone
  for index in $(seq 1 "$controller_count"); do
    mkdir -p "$dir/data" "$dir/ids"
    id=$("$bin/walnut-controller" --init --data-dir "$dir/data/controller-$index" |
      awk '$1 == "server-id" { print $2 }')
    [ -n "$id" ] || fail "controller-$index gets no identity"
    echo "$id" > "$dir/ids/controller-$index"
    zone=${zones[$(((index - 1) % ${#zones[@]}))]}
    next_port
    peer_ports[index]=$port
    next_port
    api_ports[index]=$port
    members+="${members:+,}$id@$address:${peer_ports[index]}@$address:$port@$zone"
    peers+="${peers:+,}$address:${peer_ports[index]}"
    apis+="${apis:+,}$address:$port"
  done
  echo "$members" > "$dir/members"
  echo "$peers" > "$dir/peers"
  echo "$apis" > "$dir/apis"
}

start_controllers() {
  local index zone
  for index in $(seq 1 "$controller_count"); do
    zone=${zones[$(((index - 1) % ${#zones[@]}))]}
    start "controller-$index" controller "${api_ports[index]}" "$bin/walnut-controller" \
      --data-dir "$dir/data/controller-$index" --initial-members "$members" \
      --listen-peer "$address:${peer_ports[index]}" --listen-api "$address:${api_ports[index]}" \
      --platform-url "http://$address:$platform_port" --zone "$zone"
  done
}

start_routers() {
  local index zone
  for index in $(seq 1 "$router_count"); do
    zone=${zones[$(((index - 1) % ${#zones[@]}))]}
    next_port
    # shellcheck disable=SC2086 # Flags are words.
    start "router-$index" router "$port" "$bin/walnut-router" --controllers "$peers" \
      --zone "$zone" --listen "$address:$port" $router_flags
  done
}

declare_resources() {
  "$bin/walnutctl" --controllers "$apis" apply -f "$dir/resources.yaml" > "$dir/logs/apply.log" ||
    fail "the declarations are refused: $(tail -n 2 "$dir/logs/apply.log")"
}

# knows_last_target ROUTER
knows_last_target() {
  curl -sf --max-time 5 "$(url_of "$dir" "$1")/v1/models" | grep -q "\"$last_target\""
}

wait_for_routers() {
  local name
  last_target=$(tail -n 1 "$dir/targets.tsv" | cut -f 1)
  for name in $(names_of "$dir" router); do
    wait_until 30 knows_last_target "$name" || fail "$name does not know $last_target"
    wait_until 30 curl -sf "$(url_of "$dir" "$name")/readyz" || fail "$name is not ready"
  done
}

up() {
  [ ! -f "$dir/processes.tsv" ] || fail "$dir has a fleet already: fleet.sh down --dir $dir"
  mkdir -p "$dir"
  dir=$(cd "$dir" && pwd)
  read_preset
  take_ports $((2 + engine_count + 2 * controller_count + router_count))
  start_platform
  start_store
  start_engines
  init_controllers
  start_controllers
  start_routers
  declare_resources
  wait_for_routers
  echo "up: $(wc -l < "$dir/processes.tsv") processes, preset $preset, in $dir"
}

status() {
  local name role pid url
  while IFS=$'\t' read -r name role pid url _; do
    local state=gone ready=-
    if is_running "$dir" "$name"; then
      state=$(process_state "$pid")
      curl -sf --max-time 2 "$url/readyz" > /dev/null && ready=ready || ready="not ready"
    fi
    printf '%-16s %-10s %8s %-5s %-9s %s\n' "$name" "$role" "$pid" "$state" "$ready" "$url"
  done < "$dir/processes.tsv"
}

# Callers' side first, so that nothing is sent to what has gone.
down() {
  local role name left=0
  for role in router controller engine store platform; do
    for name in $(names_of "$dir" "$role"); do
      # A stopped process takes no SIGTERM.
      signal_process "$dir" "$name" CONT || continue
      signal_process "$dir" "$name" TERM || true
    done
    for name in $(names_of "$dir" "$role"); do
      stop_process "$dir" "$name" || left=$((left + 1))
    done
  done
  [ "$left" -eq 0 ] || fail "$left processes are left"
  mv "$dir/processes.tsv" "$dir/processes.ended.tsv"
  echo "down: all recorded processes have ended"
}

declare -a peer_ports api_ports ports zones
case $command in
  up) up ;;
  status | down)
    [ -f "$dir/processes.tsv" ] || fail "$dir has no fleet"
    "$command"
    ;;
  *) usage ;;
esac
