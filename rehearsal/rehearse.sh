#!/usr/bin/env bash
# Faults against real processes, one fleet each. Prints a table, and fails if any scenario does.
#   rehearse.sh [NAME...]     all of them without names; scenarios.sh list prints them
set -euo pipefail
source "$(dirname "$0")/processes.sh"

scenarios="$root/rehearsal/scenarios.sh"
if [ $# -eq 0 ]; then
  mapfile -t names < <("$scenarios" list | cut -f 1)
else
  names=("$@")
fi

work=$(mktemp -d)
failed=0
printf '%-26s %-7s %6s  %s\n' scenario result time "what was seen"
for name in "${names[@]}"; do
  begun=$SECONDS
  result=passed
  "$scenarios" "$name" "$work/$name" > "$work/$name.log" 2>&1 || result=FAILED
  printf '%-26s %-7s %4d s\n' "$name" "$result" $((SECONDS - begun))
  sed 's/^/    /' "$work/$name/notes" 2> /dev/null || true
  if [ "$result" = FAILED ]; then
    failed=$((failed + 1))
    tail -n 5 "$work/$name.log" | sed 's/^/    | /'
  fi
done
echo "$((${#names[@]} - failed)) of ${#names[@]} scenarios passed"
if [ "$failed" -gt 0 ]; then
  echo "logs are in $work"
  exit 1
fi
rm -rf "$work"
