#!/usr/bin/env bash
# A small fleet: a model is declared, called while it sleeps, called warm, and streamed. Prints the
# latencies and what each process did. Ends well only if all answers are whole and right.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

dir=$(mktemp -d)
finish() {
  local code=$?
  [ ! -f "$dir/processes.tsv" ] || "$root/rehearsal/fleet.sh" down --dir "$dir" || code=1
  if [ "$code" -eq 0 ]; then
    rm -rf "$dir"
  else
    echo "demo: failed; logs are in $dir/logs" >&2
  fi
  exit "$code"
}
trap finish EXIT

declare_model() {
  cat > "$dir/demo.yaml" << 'END'
kind: modelversion
name: demo-v1
spec:
  model: demo
  checkpoint: weights/demo-v1
  checkpoint_bytes: 4294967296
  accelerator_bytes: 6442450944
---
kind: model
name: demo
spec:
  active_version: demo-v1
  pool: pool-standard
  budget: budget
  max_replicas: 1
END
  "$bin/walnutctl" --controllers "$(cat "$dir/apis")" apply -f "$dir/demo.yaml"
  printf 'demo\tdemo\tdemo-v1\t\n' >> "$dir/targets.tsv"
}

# call NAME ROUTER STREAM: one checked call; prints its latencies.
call() {
  local answer="$dir/call-$1.json"
  "$bin/walnut-rehearse" call --routers "$(address_of "$dir" "$2")" --targets "$dir/targets.tsv" \
    --target demo --prompt "three words on $1" --max-tokens 24 --stream "$3" \
    --deadline-ms 60000 > "$answer" || {
    cat "$answer" >&2
    return 1
  }
  printf '%-8s %-10s first token %10s ms, total %10s ms, cold: %s\n' "$1" \
    "$(json_field verdict < "$answer")" "$(json_field first_token_ms < "$answer")" \
    "$(json_field total_ms < "$answer")" "$(json_field cold < "$answer")"
}

show_metrics() {
  local name
  for name in $(cut -f 1 "$dir/processes.tsv"); do
    echo "$name:"
    curl -s --max-time 5 "$(url_of "$dir" "$name")/metrics" |
      awk '!/^#/ && !/_bucket/ && $NF != 0 { print "  " $0 }' | head -n 12
  done
}

knows_demo() {
  curl -sf "$(url_of "$dir" "$1")/v1/models" | grep -q '"demo"'
}

"$root/rehearsal/fleet.sh" up --dir "$dir" --preset small
declare_model
for router in router-1 router-2; do
  wait_until 10 knows_demo "$router" || fail "$router does not know the model"
done
call cold router-1 false
call warm router-2 false
call stream router-1 true
[ "$(json_field cold < "$dir/call-cold.json")" = true ] || fail "the first call was not cold"
[ "$(json_field cold < "$dir/call-warm.json")" = false ] || fail "the second call was cold"
echo
show_metrics
