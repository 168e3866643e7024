#!/usr/bin/env bash
# Starts three daemons and two backend servers on loopback, applies tables with
# mimosastagectl, sends requests through all entries, kills the leader, sends
# requests through the remaining entries, and prints the results. Exits with 0
# only if every request was answered and ran exactly once. Stops all processes
# that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly requests_per_round=60
readonly address="127.9.$((($$ >> 8) & 255)).$(($$ & 255))"
readonly bin="$PWD/build/bin"
work=$(mktemp -d)
declare -A pids=()

stop_all() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

fail() {
  echo "FAILED: $1" >&2
  tail -n 5 "$work"/*.log >&2 || true
  exit 1
}

write_settings() {
  jq -n --arg address "$address" --arg work "$work" --argjson self "$1" '
    def daemon(i): {name: "entry-\(i)", link: "\($address):740\(i)",
                    availability_zone: "zone-1", voter: true};
    {cluster: "demo", daemon: "entry-\($self)", availability_zone: "zone-1",
     data_dir: "\($work)/data-\($self)",
     callers_listen: "\($address):808\($self)",
     operators_listen: "\($address):818\($self)",
     daemons: [daemon(1), daemon(2), daemon(3)],
     link_key: "demo-link-key-0123456789abcdef",
     operator_key: "demo-operator-key-0123456789abcdef",
     platform_key: "demo-platform-key-0123456789abcdef"}' > "$work/entry-$1.json"
}

wait_ready() {
  for _ in $(seq 300); do
    curl -sf -o /dev/null "http://$address:818$1/readyz" && return
    sleep 0.1
  done
  fail "entry-$1 isn't ready"
}

# Sends one round of requests, distributed over the given entries. Fails if a
# request gets no successful answer.
send_round() {
  local round=$1 answered=0 entries=("${@:2}")
  for i in $(seq "$requests_per_round"); do
    local entry=${entries[$((i % ${#entries[@]}))]}
    local id="$round-$i"
    if curl -sf -m 15 -H "Authorization: Bearer $key" -H "Idempotency-Key: $id" \
      -d "sheet $id" "http://$address:808$entry/r/assemble/$id" > "$work/answer"; then
      answered=$((answered + 1))
    else
      echo "request $id through entry-$entry got no successful answer"
    fi
  done
  echo "$round: $answered of $requests_per_round requests answered"
  [ "$answered" -eq "$requests_per_round" ] || fail "round $round"
}

# Prints the number of idempotency keys that the backend servers saw, and the
# highest number of runs of one key.
count_runs() {
  for server in 1 2; do
    curl -sf "http://$address:909$server/runs"
  done | jq -s '[.[].idempotency_keys | to_entries[]] | group_by(.key)
    | {keys: length, most: (map(map(.value) | add) | max)}'
}

scripts/build.sh > "$work/build.log" 2>&1 || { cat "$work/build.log"; exit 1; }

for i in 1 2 3; do
  write_settings "$i"
  "$bin/mimosastaged" --settings="$work/entry-$i.json" --format_data_dir
  "$bin/mimosastaged" --settings="$work/entry-$i.json" 2> "$work/entry-$i.log" &
  pids[entry-$i]=$!
done
for server in 1 2; do
  "$bin/fake_backend_server" --name="worker-$server" --address="$address" \
    --port="909$server" --pool=render --zone=zone-1 \
    --platform_key=demo-platform-key-0123456789abcdef \
    --announce_to="$address:8181,$address:8182,$address:8183" \
    > "$work/worker-$server.log" 2>&1 &
  pids[worker-$server]=$!
done
for i in 1 2 3; do
  wait_ready "$i"
done
echo "three daemons are ready"

cat > "$work/declaration.json" << 'JSON'
{
  "pools": [{"name": "render", "availability_budget": 1,
             "instances": ["worker-1", "worker-2"]}],
  "teams": [{"name": "vergara", "share": 1, "upper_limit": 16}],
  "routes": [{"name": "assemble", "pool": "render", "repeatable": false,
              "deadline": "10s"}]
}
JSON
export MIMOSASTAGE_OPERATOR_KEY=demo-operator-key-0123456789abcdef
servers="$address:8181,$address:8182,$address:8183"
"$bin/mimosastagectl" --server="$servers" apply -f "$work/declaration.json"
key=$("$bin/mimosastagectl" --server="$servers" keys grant \
  --id=crew-1 --team=vergara --client=crews)

send_round before 1 2 3
leader=$("$bin/mimosastagectl" --server="$servers" --output=json status | jq -r .leader)
victim=${leader#entry-}
echo "killing $leader, the leader"
kill -KILL "${pids[entry-$victim]}"
wait "${pids[entry-$victim]}" 2> /dev/null || true
unset "pids[entry-$victim]"
mapfile -t remaining < <(printf '%s\n' 1 2 3 | grep -v "^$victim$")
for i in "${remaining[@]}"; do
  wait_ready "$i"
done
send_round after "${remaining[@]}"

runs=$(count_runs)
echo "backend servers ran: $(jq -c . <<< "$runs")"
[ "$(jq .keys <<< "$runs")" -eq $((2 * requests_per_round)) ] || fail "not every request ran"
[ "$(jq .most <<< "$runs")" -eq 1 ] || fail "a request ran more than once"
echo "every request was answered once"
