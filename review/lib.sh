# shellcheck shell=bash
# What the scripts of the cases share: loopback addresses, settings and processes of a small
# deployment, with the commands of deploy/system.toml. To be sourced with `here` set.

root=$(cd "$here/../.." && pwd)
standins=$root/target/review
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2> /dev/null; kill -KILL "$pid" 2> /dev/null; done
  wait 2> /dev/null
  rm -rf "$work"
}
trap cleanup EXIT

not_run() { echo "could not run: $*"; exit 2; }

[ -x "$root/target/bin/walnut-router" ] && [ -x "$root/target/bin/walnut-controller" ] ||
  not_run "the build of the deploy file is missing"

# A net of its own: the machines of the deployment differ in the last number.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
base=$((RANDOM % 20000 + 20000))
control=$base front=$((base + 1)) readiness=$((base + 2)) peer=$((base + 3)) worker=$((base + 4))

# start_registry NUMBER SERVERS LOSSES
start_registry() {
  local name="core-$1" ip="$net.$1" seeds="" other
  for other in 1 2 3; do seeds+="${seeds:+, }\"$net.$other:$control\""; done
  mkdir -p "$work/$name"
  cat > "$work/$name.yaml" << END
name: "$name"
zone: "zone-a"
zones: ["zone-a"]
listen: "$ip:$control"
peer-port: $peer
data-folder: "$work/$name/data"
bootstrap: true
seeds: [$seeds]
tolerable-losses: $3
heartbeat-ms: 1200
order-lease-ms: 3000
orders-fenced: true
store-window-seconds: 5
store-overshoot: 1.1
END
  (cd "$root" && exec target/bin/walnut-controller registry --settings "$work/$name.yaml") \
    > "$work/$name.log" 2>&1 &
  pids+=($!)
}

# start_gateway NUMBER [SETTING...]; the process id is in gateway_pid
start_gateway() {
  local name="edge-$1" ip="$net.$((100 + $1))" seeds="" other
  for other in 1 2 3; do seeds+="${seeds:+, }\"$net.$other:$control\""; done
  cat > "$work/$name.yaml" << END
name: "$name"
zone: "zone-a"
listen: "$ip:$front"
readiness: "$ip:$readiness"
seeds: [$seeds]
peer-port: $peer
retry-ratio: 0.2
retry-slack: 52
grace-seconds: 8
END
  printf '%s\n' "${@:2}" >> "$work/$name.yaml"
  (cd "$root" && exec target/bin/walnut-router gateway --settings "$work/$name.yaml") \
    > "$work/$name.log" 2>&1 &
  gateway_pid=$!
  pids+=("$gateway_pid")
}
