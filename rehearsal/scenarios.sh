#!/usr/bin/env bash
# One fault scenario against real processes: scenarios.sh NAME DIR. Its fleet is in DIR and has
# ended afterwards. `scenarios.sh list` prints the names and what each shows.
set -euo pipefail
source "$(dirname "$0")/processes.sh"
source "$(dirname "$0")/checks.sh"
for file in "$root"/rehearsal/scenarios/*.sh; do
  # shellcheck disable=SC1090 # All of them.
  source "$file"
done

list() {
  cat << 'END'
leader-killed	leading controller killed during writes: no acknowledged write lost, fleet goes on
router-killed	router killed under load: the others answer
engine-killed-mid-stream	engine killed with open streams: resumed or refused by a type
engine-killed-mid-load	engine killed while it loads: the request is still answered
leader-frozen	leader stopped for longer than every lease: its orders are refused
log-tail-torn	log ends in a half-written record: the controller recovers
log-tail-truncated	end of the last log file cut off: the controller recovers and catches up
log-bit-flipped	bit flipped in the middle of the log: refused as corrupt_file
data-folder-deleted	data folder deleted: refused as identity_lost; replaced; a second loss survived
router-stopped	planned stop of a router under load cuts nothing
leader-stopped	planned stop of the leader under load and writes cuts nothing
machine-reclaimed	machine taken away under long streams: no new work, streams move, none is cut
engine-drained	drained engine gets no new work and is emptied, under load
configuration-in-force	accepted change is in force everywhere in 3 s; a thawed router never reverts
router-restarted	router restarted after hundreds of changes serves the newest
burst	burst at all routers for a sleeping model: one replica, one load, all answered
store-slow	weight store slowed down and failing: refused in time, as not run; then answered
majority-disks-lost	all disks of the cell lost: a new one from saved declarations; no claim is granted twice
quorum-lost	two of three controllers killed: refused as not run; goes on once one is back
racing-operators	equal expected versions: one wins; a resend gets the first answer
not-repeatable-resent	request that may not be repeated, sent again elsewhere: runs once
planted-faults	the checks report faults that are planted in the engines
END
}

name=${1:-}
if [ "$name" = list ]; then
  list
  exit 0
fi
if [ $# -ne 2 ] || ! list | cut -f 1 | grep -qx -- "$name"; then
  fail "usage: scenarios.sh list | NAME DIR"
fi
mkdir -p "$2"
dir=$(cd "$2" && pwd)

finish() {
  local code=$?
  touch "$dir/writes-end"
  [ ! -f "$dir/processes.tsv" ] || "$root/rehearsal/fleet.sh" down --dir "$dir" || code=1
  wait
  exit "$code"
}
trap finish EXIT
set -E
trap 'echo "scenarios.sh: failed at line $LINENO: $BASH_COMMAND" >&2' ERR
"${name//-/_}"
[ "$name" = planted-faults ] || require_no_violation
