# shellcheck shell=bash
# Fault scenarios of controllers. To be sourced by scenarios.sh.

# Longer than any lease, election time-out and freshness limit (docs/DESIGN.md, Timing).
freeze_seconds=15

leader_killed() {
  up
  begin_load 11 5 14000
  begin_writes
  sleep 3
  local leader
  leader=$(leader_name)
  kill_process "$leader"
  sleep 6
  end_writes
  end_load
  require_acknowledged
  require_sleeper_answered
  require "$leader does not start again" restart_process "$dir" "$leader"
  require_acknowledged
}

# An order as the frozen leader would send it.
stale_order() {
  echo '{"token":{"term":'"$1"',"sequence":1000000000},"incarnation":'"$2"',"action":"load",' \
    '"servable":{"model":"sleeper","version":"sleeper-v1","adapter":""},"accelerator":0,' \
    '"checkpoint":"weights/sleeper-v1","checkpoint_bytes":1,"accelerator_bytes":1}'
}

require_stale_orders_refused() {
  local name url incarnation answer
  for name in $(names_of "$dir" engine); do
    url=$(url_of "$dir" "$name")
    incarnation=$(curl -sf "$url/kit/state" | json_field incarnation)
    answer=$(curl -s -X POST "$url/v1/orders" -d "$(stale_order "$1" "$incarnation")")
    grep -q '"stale_order"' <<< "$answer" || fail "$name to an order of term $1: $answer"
  done
}

leader_frozen() {
  up
  begin_load 15 5 $(((freeze_seconds + 8) * 1000))
  begin_writes
  sleep 3
  local leader term
  leader=$(leader_name)
  term=$(status_of "$leader" | json_field term)
  signal_process "$dir" "$leader" STOP
  require "no other controller leads" wait_until 10 other_leads "$leader"
  sleep "$freeze_seconds"
  signal_process "$dir" "$leader" CONT
  sleep 3
  end_writes
  end_load
  require_stale_orders_refused "$term"
  note "calls refused as stale: $(engine_sum standin_engine_stale_calls_total)"
  require "the thawed controller still leads" other_leads "$leader"
  require_acknowledged
}

last_segment() { find "$dir/data/$1" -name 'log-*' | sort | tail -n 1; }

write_some() {
  local number
  for number in $(seq 1 20); do
    write_budget "some-$number" 60 > /dev/null
  done
}

log_tail_truncated() {
  up
  write_some
  local follower file
  follower=$(follower_name)
  kill_process "$follower"
  file=$(last_segment "$follower")
  truncate -s -7 "$file"
  note "$follower: 7 bytes cut off $(basename "$file") of $(stat -c %s "$file")"
  require "$follower does not recover" restart_process "$dir" "$follower"
  require_caught_up "$follower"
}

# flip_bit FILE OFFSET
flip_bit() {
  local byte
  byte=$(od -An -tu1 -j "$2" -N 1 "$1")
  # shellcheck disable=SC2059 # The format is the byte itself.
  printf "\\x$(printf '%02x' $((byte ^ 16)))" | dd of="$1" bs=1 seek="$2" conv=notrunc status=none
}

log_tail_torn() {
  up
  write_some
  local follower file
  follower=$(follower_name)
  kill_process "$follower"
  file=$(last_segment "$follower")
  tail -c 40 "$file" | head -c 20 > "$dir/half-record"
  cat "$dir/half-record" >> "$file"
  note "$follower: 20 bytes of a record appended to $(basename "$file")"
  require "$follower does not recover" restart_process "$dir" "$follower"
  require_caught_up "$follower"
}

log_bit_flipped() {
  up
  write_some
  local follower file size
  follower=$(follower_name)
  kill_process "$follower"
  file=$(last_segment "$follower")
  size=$(stat -c %s "$file")
  flip_bit "$file" $((size / 2))
  require_refused_start "$follower" 7 corrupt_file
  write_budget after-the-flip 60 > /dev/null
  require_sleeper_answered
}

voters() { status_of "$(leader_name)" | grep -o '"role":"voter"' | wc -l; }

has_voters() { [ "$(voters)" -eq "$1" ]; }

# start_replacement NAME: a controller with a new identity that waits to be added.
start_replacement() {
  local ports id zone
  mapfile -t ports < <("$bin/walnut-rehearse" free-ports 2)
  id=$("$bin/walnut-controller" --init --data-dir "$dir/data/$1" | awk '{ print $2 }')
  zone=$(awk -F '\t' '$1 == "zone" { print $2; exit }' "$dir/preset.tsv")
  require "$1 does not start" start_process "$dir" "$1" controller "http://127.0.0.1:${ports[1]}" \
    "$bin/walnut-controller" --data-dir "$dir/data/$1" --join true \
    --listen-peer "127.0.0.1:${ports[0]}" --listen-api "127.0.0.1:${ports[1]}" \
    --platform-url "$(url_of "$dir" platform)" --zone "$zone"
  replacement="$id@127.0.0.1:${ports[0]}@127.0.0.1:${ports[1]}@$zone"
  echo "$(cat "$dir/apis"),127.0.0.1:${ports[1]}" > "$dir/apis"
}

data_folder_deleted() {
  up
  begin_writes
  sleep 2
  local follower second
  follower=$(follower_name)
  kill_process "$follower"
  rm -rf "${dir:?}/data/$follower"
  require_refused_start "$follower" 7 identity_lost
  ctl member remove "$(cat "$dir/ids/$follower")" > /dev/null
  start_replacement controller-4
  ctl member add "$replacement" > /dev/null
  require "controller-4 does not become a voter" wait_until 20 has_voters 3
  second=$(leader_name)
  kill_process "$second"
  note "replaced by controller-4; then $second killed"
  require "nobody leads after the second loss" wait_until 10 other_leads "$second"
  sleep 2
  end_writes
  require_acknowledged
  require_sleeper_answered
}

leader_stopped() {
  up
  local name leader
  for name in $(names_of "$dir" controller); do
    adopt "$name"
  done
  begin_load 19 5 12000
  begin_writes
  sleep 4
  leader=$(leader_name)
  require_stopped "$leader" 30
  require "nobody leads" wait_until 10 other_leads "$leader"
  sleep 3
  end_writes
  end_load
  require_acknowledged
}

# found_cell_anew: the controllers, all of them down, begin a new cell at their addresses.
found_cell_anew() {
  local name old fresh members
  members=$(cat "$dir/members")
  for name in $(names_of "$dir" controller); do
    rm -rf "${dir:?}/data/$name"
    old=$(cat "$dir/ids/$name")
    fresh=$("$bin/walnut-controller" --init --data-dir "$dir/data/$name" | awk '{ print $2 }')
    echo "$fresh" > "$dir/ids/$name"
    members=${members/$old/$fresh}
  done
  for name in $(names_of "$dir" controller); do
    sed -i "s/^$(sed 's/[.]/[.]/g' "$dir/members")\$/$members/" "$dir/commands/$name"
    require "$name does not start" restart_process "$dir" "$name"
  done
  echo "$members" > "$dir/members"
}

# restart_role ROLE: planned stop and new start of all its processes.
restart_role() {
  local name
  for name in $(names_of "$dir" "$1"); do
    require "$name does not end" stop_process "$dir" "$name"
    require "$name does not start again" restart_process "$dir" "$name"
  done
}

majority_disks_lost() {
  up
  issued_at=$(date +%s%3N)
  local first resend name
  first=$(call_once router-1 streak-1 "count the streak")
  require_equal "first call" answered "$(json_field verdict <<< "$first")"
  write_budget kept 60 > /dev/null
  ctl get --output json > "$dir/saved.json"
  for name in $(names_of "$dir" controller); do
    kill_process "$name"
  done
  found_cell_anew
  restart_role engine
  restart_role router
  ctl apply --any-version -f "$dir/saved.json" > /dev/null
  for name in $(names_of "$dir" router); do
    wait_until 20 curl -sf "$(url_of "$dir" "$name")/readyz" || fail "$name does not become ready"
  done
  require "the saved budget is not there" ctl get budget kept > /dev/null
  require_sleeper_answered
  resend=$(call_once router-2 streak-1 "count the streak")
  require_equal "resend of what the lost cell granted" claim_expired "$(json_field code <<< "$resend")"
  require_equal "executed" no "$(json_field executed <<< "$resend")"
  issued_at=$(date +%s%3N)
  resend=$(call_once router-2 streak-2 "count another")
  require_equal "a new request" answered "$(json_field verdict <<< "$resend")"
  note "resend of a claim of the lost cell refused as claim_expired; saved declarations in force"
}

quorum_lost() {
  up
  local first second
  require_answer router-1 "$dir/targets.tsv" model-00
  first=$(leader_name)
  second=$(follower_name)
  kill_process "$first"
  kill_process "$second"
  sleep 5
  call_sleeper router-1 without-quorum 20000
  require_refused without-quorum 1000
  require "$first does not start again" restart_process "$dir" "$first"
  wait_until 20 curl -sf "$(url_of "$dir" router-1)/readyz" || fail "router-1 does not become ready"
  require_sleeper_answered
  require "$second does not start again" restart_process "$dir" "$second"
  require_caught_up "$second"
}
