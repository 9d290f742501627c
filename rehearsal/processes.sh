# shellcheck shell=bash
# Functions for scripts that start and end real processes. To be sourced.
#
# A fleet lives in one folder, DIR:
#   processes.tsv      name, role, pid, url and start time (field 22 of /proc/PID/stat), by tabs
#   commands/NAME      the command line, one argument a line, to start the process again
#   logs/NAME.log      what it wrote
#   ready/NAME         its ready line
#   data/NAME          data folder of a controller
# A process is only ever ended if its pid still has the recorded start time.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${WALNUT_BIN:-$root/build/bin}

fail() {
  echo "$(basename "$0"): $*" >&2
  exit 1
}

# start_time PID: prints when the process was started, in clock ticks since boot.
start_time() {
  local line
  line=$(cat "/proc/$1/stat" 2> /dev/null) || return 1
  # The name, in parentheses, may hold spaces: the 20th field after it is the start time.
  set -- ${line##*) }
  echo "${20}"
}

# process_state PID: prints R, S, T, Z...
process_state() {
  local line
  line=$(cat "/proc/$1/stat" 2> /dev/null) || return 1
  line=${line##*) }
  echo "${line%% *}"
}

# record_field DIR NAME COLUMN: prints a column of a process's record.
record_field() {
  awk -F '\t' -v name="$2" -v column="$3" '$1 == name { print $column }' "$1/processes.tsv"
}

pid_of() { record_field "$1" "$2" 3; }
url_of() { record_field "$1" "$2" 4; }
address_of() { url_of "$1" "$2" | sed 's#^http://##'; }

# names_of DIR ROLE: prints the names of the processes of a role.
names_of() {
  awk -F '\t' -v role="$2" '$2 == role { print $1 }' "$1/processes.tsv"
}

# addresses_of DIR ROLE: prints ADDRESS:PORT,... of all processes of a role.
addresses_of() {
  awk -F '\t' -v role="$2" '$2 == role { sub("http://", "", $4); print $4 }' \
    "$1/processes.tsv" | paste -sd, -
}

# is_running DIR NAME: true if the recorded process is there and not a zombie.
is_running() {
  local pid started
  pid=$(pid_of "$1" "$2")
  [ -n "$pid" ] || return 1
  started=$(start_time "$pid") || return 1
  [ "$started" = "$(record_field "$1" "$2" 5)" ] && [ "$(process_state "$pid")" != Z ]
}

# signal_process DIR NAME SIGNAL: only if it is still the recorded process.
signal_process() {
  is_running "$1" "$2" || return 1
  kill -s "$3" "$(pid_of "$1" "$2")"
}

# wait_gone DIR NAME SECONDS: true once the process has ended.
wait_gone() {
  local tries=$(($3 * 20))
  while is_running "$1" "$2"; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.05
  done
}

# stop_process DIR NAME [SECONDS]: SIGTERM, wait, then SIGKILL.
stop_process() {
  signal_process "$1" "$2" TERM || return 0
  wait_gone "$1" "$2" "${3:-15}" && return 0
  signal_process "$1" "$2" KILL || return 0
  wait_gone "$1" "$2" 5
}

# record_process DIR NAME ROLE PID URL: adds the record, or replaces it in its place.
record_process() {
  local record
  record=$(printf '%s\t%s\t%s\t%s\t%s' "$2" "$3" "$4" "$5" "$(start_time "$4")")
  touch "$1/processes.tsv"
  awk -F '\t' -v name="$2" -v record="$record" '
    $1 == name { print record; replaced = 1; next }
    { print }
    END { if (!replaced) print record }' "$1/processes.tsv" > "$1/processes.tsv.new"
  mv "$1/processes.tsv.new" "$1/processes.tsv"
}

# start_process DIR NAME ROLE URL COMMAND...: starts, records, and waits for its ready line.
start_process() {
  local dir=$1 name=$2 role=$3 url=$4
  shift 4
  mkdir -p "$dir/logs" "$dir/ready" "$dir/commands"
  printf '%s\n' "$@" > "$dir/commands/$name"
  rm -f "$dir/ready/$name"
  "$@" --ready-file "$dir/ready/$name" < /dev/null >> "$dir/logs/$name.log" 2>&1 &
  local pid=$!
  record_process "$dir" "$name" "$role" "$pid" "$url"
  local tries=400
  while [ ! -f "$dir/ready/$name" ]; do
    is_running "$dir" "$name" || return 1
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.05
  done
}

# restart_process DIR NAME: starts a process again with the command line that it had.
restart_process() {
  local dir=$1 name=$2 role url
  role=$(record_field "$dir" "$name" 2)
  url=$(url_of "$dir" "$name")
  local command=()
  mapfile -t command < "$dir/commands/$name"
  start_process "$dir" "$name" "$role" "$url" "${command[@]}"
}

# wait_until SECONDS COMMAND...: true once the command succeeds.
wait_until() {
  local tries=$(($1 * 10))
  shift
  until "$@" > /dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.1
  done
}

# json_field NAME: prints the value of a field of the JSON on standard input; its first occurrence.
# Prints nothing if there is none.
json_field() {
  { grep -o "\"$1\" *: *[^,}]*" || true; } | head -n 1 | sed 's/^[^:]*: *//; s/"//g; s/ *$//'
}

# metric URL NAME: prints the sum over a metric's samples.
metric() {
  curl -s --max-time 5 "$1/metrics" |
    awk -v name="$2" '$1 == name || index($1, name "{") == 1 { sum += $NF } END { printf "%.0f\n", sum }'
}
