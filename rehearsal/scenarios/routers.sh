# shellcheck shell=bash
# Fault scenarios of routers. To be sourced by scenarios.sh.

router_killed() {
  up
  begin_load 12 8 12000 --killed-router 1
  sleep 4
  kill_process router-2
  end_load
}

router_stopped() {
  up
  adopt router-2
  begin_load 18 8 12000 --stopped-router 1 --max-tokens 120
  sleep 4
  require_stopped router-2 60
  end_load
}

# activate MODEL VERSION: declares the active version, as the preset has the rest.
activate() {
  grep "\"kind\":\"model\",\"name\":\"$1\"" "$dir/resources.yaml" |
    sed "s/\"active_version\":\"[^\"]*\"/\"active_version\":\"$2\"/" > "$dir/activate.yaml"
  ctl apply -f "$dir/activate.yaml" > /dev/null
  printf '%s\t%s\t%s\t\n' "$1" "$1" "$2" > "$dir/active.tsv"
}

configuration_in_force() {
  up
  local name answer
  for name in $(names_of "$dir" router); do
    require_answer "$name" "$dir/targets.tsv" model-00
  done
  signal_process "$dir" router-3 STOP
  activate model-00 model-00-v2
  sleep 3
  for name in router-1 router-2; do
    require_answer "$name" "$dir/active.tsv" model-00
  done
  sleep 9
  signal_process "$dir" router-3 CONT
  answer=$("$bin/walnut-rehearse" call --routers "$(address_of "$dir" router-3)" \
    --targets "$dir/active.tsv" --target model-00 --prompt "after the thaw" --max-tokens 20) || true
  note "the thawed router's first word: $(json_field verdict <<< "$answer") $(json_field code <<< "$answer")"
  [ "$(json_field verdict <<< "$answer")" != wrong ] || fail "router-3 reverted: $answer"
  sleep 3
  require_answer router-3 "$dir/active.tsv" model-00
}

router_restarted() {
  up
  local number
  kill_process router-1
  for number in $(seq 1 300); do
    write_budget "changed-$((number % 7))" "$number" > /dev/null
  done
  activate model-01 model-01-v2
  require "router-1 does not start again" restart_process "$dir" router-1
  wait_until 20 curl -sf "$(url_of "$dir" router-1)/readyz" || fail "router-1 is not ready again"
  require_answer router-1 "$dir/active.tsv" model-01
  note "301 changes while router-1 was away"
}

burst() {
  up
  local number name pids=()
  for number in $(seq 1 10); do
    for name in $(names_of "$dir" router); do
      call_sleeper "$name" "$name-$number" 60000 &
      pids+=($!)
    done
  done
  wait "${pids[@]}"
  note "$(cat "$dir"/sleeper-*.json | grep -c '"answered"') of ${#pids[@]} answered," \
    "$(engine_sum standin_engine_load_orders_total) load orders accepted," \
    "$(metric "$(url_of "$dir" store)" standin_store_reads_total) reads from the store"
  require_equal "answered" "${#pids[@]}" "$(cat "$dir"/sleeper-*.json | grep -c '"answered"')"
  require_equal "reads from the store" 1 "$(metric "$(url_of "$dir" store)" standin_store_reads_total)"
  require_equal "bytes held" 9663676416 "$(engine_sum standin_engine_held_bytes)"
}
