# shellcheck shell=bash
# Steps and checks of the fault scenarios. To be sourced after processes.sh; `dir` is the fleet's
# folder. A check that does not hold ends the scenario with its message.

# note TEXT...: what the table shows of the scenario.
note() { echo "$*" >> "$dir/notes"; }

# require MESSAGE COMMAND...
require() {
  local message=$1
  shift
  "$@" || fail "$message"
}

# require_equal WHAT EXPECTED ACTUAL
require_equal() {
  [ "$2" = "$3" ] || fail "$1: expected $2, got $3"
}

# up [FLAG...]: a small fleet; flags are fleet.sh's.
up() {
  "$root/rehearsal/fleet.sh" up --dir "$dir" --preset small "$@"
  declare_sleeper
}

# A model that no load run asks for.
declare_sleeper() {
  cat > "$dir/sleeper.yaml" << 'END'
kind: modelversion
name: sleeper-v1
spec:
  model: sleeper
  checkpoint: weights/sleeper-v1
  checkpoint_bytes: 8589934592
  accelerator_bytes: 9663676416
---
kind: model
name: sleeper
spec:
  active_version: sleeper-v1
  budget: budget
  max_replicas: 1
END
  printf 'sleeper\tsleeper\tsleeper-v1\t\n' > "$dir/sleeper.tsv"
  ctl apply -f "$dir/sleeper.yaml" > /dev/null
  local name
  for name in $(names_of "$dir" router); do
    require "$name does not know the sleeping model in 3 s" wait_until 3 knows_model "$name" sleeper
  done
}

# knows_model ROUTER MODEL
knows_model() { curl -sf --max-time 5 "$(url_of "$dir" "$1")/v1/models" | grep -q "\"$2\""; }

ctl() { "$bin/walnutctl" --controllers "$(cat "$dir/apis")" "$@"; }

# status_of CONTROLLER: prints its status.
status_of() { curl -sf --max-time 2 "$(url_of "$dir" "$1")/v1/status"; }

# find_leader: prints the controller that says that it leads, if one does now.
find_leader() {
  local name status
  for name in $(names_of "$dir" controller); do
    status=$(status_of "$name") || continue
    if [ "$(json_field server <<< "$status")" = "$(json_field leader <<< "$status")" ]; then
      echo "$name"
      return 0
    fi
  done
  return 1
}

# leader_name: the same, but waits out an election.
leader_name() {
  local tries
  for tries in $(seq 1 50); do
    find_leader && return 0
    sleep 0.2
  done
  echo "$(basename "$0"): no controller leads, after $tries looks" >&2
  return 1
}

# follower_name: prints a controller that does not lead.
follower_name() {
  local leader name
  leader=$(leader_name) || return 1
  for name in $(names_of "$dir" controller); do
    if [ "$name" != "$leader" ] && is_running "$dir" "$name"; then
      echo "$name"
      return 0
    fi
  done
  return 1
}

# other_leads NAME: true once a controller other than NAME leads.
other_leads() {
  local leader
  leader=$(find_leader) && [ "$leader" != "$1" ]
}

applied_index() { status_of "$1" | json_field applied_index; }

# has_applied NAME INDEX
has_applied() { [ "$(applied_index "$1")" -ge "$2" ]; }

# require_caught_up NAME: the controller applies all that the leader had applied when asked.
require_caught_up() {
  local index
  index=$(applied_index "$(leader_name)")
  require "$1 does not catch up to $index" wait_until 20 has_applied "$1" "$index"
}

kill_process() {
  require "$1 is not there to be killed" signal_process "$dir" "$1" KILL
  require "$1 is not gone" wait_gone "$dir" "$1" 5
}

# begin_load SEED RATE MILLIS [FLAG...]: a load run in the background.
begin_load() {
  local seed=$1 rate=$2 millis=$3
  shift 3
  "$bin/walnut-rehearse" call --routers "$(addresses_of "$dir" router)" \
    --engines "$(addresses_of "$dir" engine)" --targets "$dir/targets.tsv" \
    --seed "$seed" --rate "$rate" --duration-ms "$millis" --deadline-ms 60000 "$@" \
    > "$dir/load.json" 2>> "$dir/logs/load.log" &
  load_pid=$!
}

# refusals FIELD: of the last load run, by code.
refusals() { tr -d '\n ' < "$dir/load.json" | grep -o "\"$1\":{[^}]*}" | sed 's/^[^:]*://'; }

# end_load: every answer was whole and right, or refused by a type; nothing else was cut.
end_load() {
  local good=true field
  wait "$load_pid" || good=false
  local text=""
  for field in issued answered refused cut unreachable wrong ran_though_denied ran_twice; do
    text+="$field $(json_field "$field" < "$dir/load.json"), "
  done
  note "load: ${text%, }"
  note "refused by code: repeatable $(refusals refused_by_code), once $(refusals once_refused_by_code)"
  [ "$good" = true ] || fail "load run: $(cat "$dir/load.json")"
}

# write_budget NAME IDLE_SECONDS [FLAG...]
write_budget() {
  local name=$1 seconds=$2
  shift 2
  printf 'kind: budget\nname: %s\nspec:\n  idle_unload_seconds: %s\n' "$name" "$seconds" |
    ctl apply -f - "$@"
}

# begin_writes: writes one resource after the other in the background, and keeps the names of the
# acknowledged ones with the time of each acknowledgement in milliseconds.
begin_writes() {
  rm -f "$dir/writes-end"
  : > "$dir/acknowledged"
  (
    number=0
    while [ ! -f "$dir/writes-end" ]; do
      number=$((number + 1))
      if write_budget "written-$number" 60 >> "$dir/logs/writes.log" 2>&1; then
        printf 'written-%s\t%s\n' "$number" "$(date +%s%3N)" >> "$dir/acknowledged"
      else
        echo "written-$number" >> "$dir/unacknowledged"
      fi
    done
  ) &
  writes_pid=$!
}

end_writes() {
  touch "$dir/writes-end"
  wait "$writes_pid"
  note "writes: $(wc -l < "$dir/acknowledged") acknowledged, longest gap $(awk -F '\t' '
    NR > 1 && $2 - last > gap { gap = $2 - last } { last = $2 } END { print gap + 0 }' \
    "$dir/acknowledged") ms"
}

# require_acknowledged: each running controller has every acknowledged write.
require_acknowledged() {
  local name resource
  [ -s "$dir/acknowledged" ] || fail "no write was acknowledged"
  for name in $(names_of "$dir" controller); do
    is_running "$dir" "$name" || continue
    require_caught_up "$name"
    "$bin/walnutctl" --controllers "$(address_of "$dir" "$name")" get budget --output json \
      > "$dir/budgets-$name.json"
    while IFS=$'\t' read -r resource _; do
      grep -q "\"$resource\"" "$dir/budgets-$name.json" || fail "$name has lost $resource"
    done < "$dir/acknowledged"
  done
}

# require_sleeper_answered: a request for a sleeping model is answered.
require_sleeper_answered() {
  local answer
  answer=$("$bin/walnut-rehearse" call --routers "$(addresses_of "$dir" router | cut -d, -f 1)" \
    --targets "$dir/sleeper.tsv" --target sleeper --prompt "wake up $RANDOM" --stream false \
    --deadline-ms 60000) || fail "the sleeping model: $answer"
  note "sleeping model answered in $(json_field total_ms <<< "$answer") ms, cold: $(json_field cold <<< "$answer")"
}

# require_no_violation: no engine has seen one.
require_no_violation() {
  local name state
  for name in $(names_of "$dir" engine); do
    is_running "$dir" "$name" || continue
    state=$(curl -sf --max-time 5 "$(url_of "$dir" "$name")/kit/state")
    grep -q '"violations":\[\]' <<< "$state" || fail "$name: $state"
  done
}

# engine_sum METRIC: over all running engines.
engine_sum() {
  local name sum=0
  for name in $(names_of "$dir" engine); do
    is_running "$dir" "$name" || continue
    sum=$((sum + $(metric "$(url_of "$dir" "$name")" "$1")))
  done
  echo "$sum"
}

# busiest_engine: prints the engine with the most open streams, if any has one.
busiest_engine() {
  local name streams
  for name in $(names_of "$dir" engine); do
    streams=$(metric "$(url_of "$dir" "$name")" standin_engine_open_streams)
    [ "$streams" -eq 0 ] || echo "$streams $name"
  done | sort -rn | head -n 1 | cut -d ' ' -f 2 | grep .
}

# engine_loading MODEL: prints the engine on which the cell has reserved a replica of the model.
engine_loading() {
  status_of "$(leader_name)" | grep -o "\"model\":\"$1\"[^}]*\"state\":\"reserved\"" |
    json_field engine | grep .
}

# require_refused_start NAME EXIT_CODE ERROR: the controller refuses its data folder.
require_refused_start() {
  local code=0
  if restart_process "$dir" "$1"; then
    fail "$1 started"
  fi
  wait "$(pid_of "$dir" "$1")" || code=$?
  require_equal "exit code of $1" "$2" "$code"
  tail -n 5 "$dir/logs/$1.log" | grep -q "$3" || fail "$1: $(tail -n 3 "$dir/logs/$1.log")"
  note "$1 refused to start: $3, exit code $code"
}

# adopt NAME: starts the process again as a child of this script, to learn its exit code.
adopt() {
  require "$1 does not end" stop_process "$dir" "$1"
  require "$1 does not start again" restart_process "$dir" "$1"
  wait_until 20 curl -sf "$(url_of "$dir" "$1")/readyz" || fail "$1 is not ready again"
}

# require_stopped NAME SECONDS: an adopted process ends after SIGTERM, with exit code 0.
require_stopped() {
  local code=0
  require "$1 takes no signal" signal_process "$dir" "$1" TERM
  require "$1 does not end in $2 s" wait_gone "$dir" "$1" "$2"
  wait "$(pid_of "$dir" "$1")" || code=$?
  require_equal "exit code of $1" 0 "$code"
}

# require_answer ROUTER TARGETS_FILE TARGET: a call is answered as the file says.
require_answer() {
  local answer
  answer=$("$bin/walnut-rehearse" call --routers "$(address_of "$dir" "$1")" --targets "$2" \
    --target "$3" --prompt "answer $RANDOM$RANDOM" --deadline-ms 60000) || fail "$1, $3: $answer"
}

# call_sleeper ROUTER NAME DEADLINE_MS: its answer goes to DIR/sleeper-NAME.json.
call_sleeper() {
  "$bin/walnut-rehearse" call --routers "$(address_of "$dir" "$1")" --targets "$dir/sleeper.tsv" \
    --target sleeper --prompt "wake $2" --max-tokens 16 --deadline-ms "$3" \
    > "$dir/sleeper-$2.json" || true
}

# require_refused NAME LIMIT_MS: the call was refused by a type as not run, and in time.
require_refused() {
  local answer
  answer=$(cat "$dir/sleeper-$1.json")
  note "$1: $(json_field code <<< "$answer") after $(json_field total_ms <<< "$answer") ms"
  require_equal "$1" refused "$(json_field verdict <<< "$answer")"
  require_equal "$1 executed" no "$(json_field executed <<< "$answer")"
  [ "$(json_field total_ms <<< "$answer" | cut -d. -f 1)" -le "$2" ] || fail "$1 is late: $answer"
}
