# shellcheck shell=bash
# Scenarios of operators and callers who send things twice. To be sourced by scenarios.sh.

current_version() { ctl get budget "$1" --output json | json_field version; }

race_once() {
  local version first=0 second=0 pid
  version=$(current_version raced)
  write_budget raced "$((100 + $1))" --expected-version "$version" > /dev/null 2>&1 &
  pid=$!
  write_budget raced "$((200 + $1))" --expected-version "$version" > /dev/null 2>&1 || second=$?
  wait "$pid" || first=$?
  case "$first $second" in
    "0 5" | "5 0") ;;
    *) fail "race $1 at version $version ended with exit codes $first and $second" ;;
  esac
}

# put_raced EXPECTED_VERSION SECONDS: writes under one request id; prints the answer.
put_raced() {
  local name url
  for name in $(names_of "$dir" controller); do
    url=$(url_of "$dir" "$name")
    curl -sf --max-time 10 -X PUT -H "Walnut-Request-Id: operator-1" \
      "$url/v1/resources/budget/raced?expected_version=$1" \
      -d '{"spec":{"idle_unload_seconds":'"$2"'}}' && return 0
  done
  fail "no controller takes the write"
}

racing_operators() {
  up
  write_budget raced 60 > /dev/null
  local round before after leader version version_after
  for round in $(seq 1 20); do
    race_once "$round"
  done
  note "20 races: one winner each, the other got the conflict"
  version=$(current_version raced)
  before=$(put_raced "$version" 301)
  write_budget raced 302 > /dev/null
  version_after=$(current_version raced)
  leader=$(leader_name)
  kill_process "$leader"
  require "nobody leads" wait_until 10 other_leads "$leader"
  after=$(put_raced "$version" 301)
  note "first answer $before; resend after another change, under another leader: $after"
  require_equal "answer to the resend" "$before" "$after"
  require_equal "version after the resend" "$version_after" "$(current_version raced)"
}

# call_once ROUTER KEY PROMPT: prints the answer of a request that may not be repeated.
call_once() {
  "$bin/walnut-rehearse" call --routers "$(address_of "$dir" "$1")" --targets "$dir/targets.tsv" \
    --target model-00 --prompt "$3" --key "$2" --issued-at-ms "$issued_at" --deadline-ms 60000 ||
    true
}

runs_of() {
  local name sum=0 count
  for name in $(names_of "$dir" engine); do
    count=$(curl -sfG --data-urlencode "prompt=$1" "$(url_of "$dir" "$name")/kit/runs" |
      json_field count)
    sum=$((sum + count))
  done
  echo "$sum"
}

not_repeatable_resent() {
  up
  issued_at=$(date +%s%3N)
  local first second
  first=$(call_once router-1 streak-1 "count the streak")
  require_equal "first call" answered "$(json_field verdict <<< "$first")"
  second=$(call_once router-2 streak-1 "count the streak")
  require_equal "resend" duplicate_request "$(json_field code <<< "$second")"
  require_equal "runs" 1 "$(runs_of "count the streak")"

  call_once router-1 streak-2 "count both" > "$dir/race-1" &
  local pid=$!
  call_once router-3 streak-2 "count both" > "$dir/race-2"
  wait "$pid"
  require_equal "answers of two at once" 1 "$(cat "$dir"/race-? | grep -c '"answered"')"
  require_equal "runs of two at once" 1 "$(runs_of "count both")"

  kill_process "$(leader_name)"
    second=$(call_once router-3 streak-1 "count the streak")
  require_equal "resend under another leader" duplicate_request "$(json_field code <<< "$second")"
  require_equal "runs" 1 "$(runs_of "count the streak")"
  note "each ran once; resends refused as duplicate_request, executed $(json_field executed <<< "$second")"
}
