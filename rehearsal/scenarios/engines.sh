# shellcheck shell=bash
# Fault scenarios of engines and of the weight store. To be sourced by scenarios.sh.

engine_killed_mid_stream() {
  up
  begin_load 13 4 16000 --stream-share 1 --max-tokens 220
  local engine
  sleep 6
  engine=$(busiest_engine) || fail "no stream is open"
  kill_process "$engine"
  note "$engine killed"
  sleep 3
  require "$engine does not start again" restart_process "$dir" "$engine"
  end_load
}

engine_killed_mid_load() {
  up
  require_sleeper_answered > "$dir/sleeper.log" 2>&1 &
  local call_pid=$! engine
  wait_until 10 engine_loading sleeper || fail "the load does not begin"
  engine=$(engine_loading sleeper)
  sleep 1
  kill_process "$engine"
  note "$engine killed while it loads"
  sleep 2
  require "$engine does not start again" restart_process "$dir" "$engine"
  wait "$call_pid" || fail "$(cat "$dir/sleeper.log")"
}

runs_at() { metric "$(url_of "$dir" "$1")" standin_engine_runs_total; }

# Tokens come slowly enough that the longest answers outlast the grace. The machine is killed when
# its grace ends.
machine_reclaimed() {
  up --engine-flags "--token-interval-ms 100"
  begin_load 20 3 20000 --stream-share 1 --max-tokens 220 --once-share 0
  local engine runs open
  sleep 8
  engine=$(busiest_engine) || fail "no stream is open"
  open=$(metric "$(url_of "$dir" "$engine")" standin_engine_open_streams)
  curl -sf -X POST "$(url_of "$dir" platform)/kit/machines/$engine/leaving?reclaim_in_ms=9000"
  sleep 4
  runs=$(runs_at "$engine")
  sleep 4.5
  require_equal "new runs at $engine once 4 s have passed" "$runs" "$(runs_at "$engine")"
  note "$engine had $open streams when it was reclaimed; at the end of its grace" \
    "$(metric "$(url_of "$dir" "$engine")" standin_engine_open_streams) were open"
  kill_process "$engine"
  end_load
  require_equal "refusals" "{}" "$(refusals refused_by_code)"
}

holds_nothing() {
  [ "$(metric "$(url_of "$dir" "$1")" standin_engine_held_bytes)" -eq 0 ]
}

engine_drained() {
  up
  begin_load 21 5 14000
  local engine runs
  sleep 4
  engine=$(busiest_engine) || fail "no stream is open"
  ctl drain "$engine" > /dev/null
  sleep 3
  runs=$(runs_at "$engine")
  require "$engine is not emptied" wait_until 20 holds_nothing "$engine"
  end_load
  require_equal "new runs at $engine once 3 s have passed" "$runs" "$(runs_at "$engine")"
  ctl drain "$engine" --undo > /dev/null
}

store_slow() {
  up
  local store
  store=$(url_of "$dir" store)
  curl -sf -X POST "$store/kit/slowdown?factor=100"
  call_sleeper router-1 slow 5000
  require_refused slow 5500
  curl -sf -X POST "$store/kit/slowdown?factor=1"
  curl -sf -X POST "$store/kit/failing?value=true"
  call_sleeper router-2 failing 8000
  require_refused failing 8500
  curl -sf -X POST "$store/kit/failing?value=false"
  require_sleeper_answered
}

# load_field FIELD: of the last load run.
load_field() { json_field "$1" < "$dir/load.json"; }

# with_planted_fault SWITCH: a short load over engines with the fault; its checks may fail.
with_planted_fault() {
  [ ! -f "$dir/processes.tsv" ] || "$root/rehearsal/fleet.sh" down --dir "$dir"
  rm -rf "${dir:?}/data" "$dir/ids"
  "$root/rehearsal/fleet.sh" up --dir "$dir" --preset small --engine-flags "--sabotage $1"
  begin_load 23 8 6000 --max-tokens 24 --once-share 0.5
  wait "$load_pid" || true
}

planted_faults() {
  local switch
  for switch in drop-last-token cross-streams; do
    with_planted_fault "$switch"
    [ "$(load_field wrong)" -gt 0 ] || fail "$switch is not seen: $(cat "$dir/load.json")"
    note "$switch: $(load_field wrong) of $(load_field issued) answers reported as wrong"
  done
  with_planted_fault deny-execution
  [ "$(load_field ran_twice)" -gt 0 ] || fail "deny-execution is not seen"
  note "deny-execution: $(load_field ran_twice) requests reported as run twice, that must run once"
  with_planted_fault obey-stale-orders
  if (require_stale_orders_refused 1) > "$dir/logs/stale.log" 2>&1; then
    fail "obey-stale-orders is not seen"
  fi
  note "obey-stale-orders: $(tail -n 1 "$dir/logs/stale.log" | cut -c 1-70)"
  "$root/rehearsal/fleet.sh" down --dir "$dir"
}
