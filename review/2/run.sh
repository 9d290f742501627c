#!/usr/bin/env bash
# Case 2. Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../lib.sh"
rm -f "$here/record.txt"
for number in 1 2 3 4 5; do start_registry "$number" 5 2; done
fronts="" readinesses=""
for number in 1 2 3; do
  start_gateway "$number"
  fronts+="${fronts:+,}$net.$((100 + number)):$front"
  readinesses+="${readinesses:+,}$net.$((100 + number)):$readiness"
done
"$standins/parts" "$here/record.txt" "${TROUBLE:-1}" \
  "$net.1:$control,$net.2:$control,$net.3:$control" "$fronts" "$readinesses" \
  "$net.201,$net.202,$net.203,$net.204,$net.205,$net.206,$net.207,$net.208,$net.209" "$worker"
code=$?
for pid in "${pids[@]}"; do kill -0 "$pid" 2> /dev/null || not_run "a process ended by itself"; done
exit "$code"
