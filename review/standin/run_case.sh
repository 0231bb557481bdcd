#!/bin/sh
# Runs one case: `run_case.sh NAME RECORD`. Starts the planner with the command `run` of the deploy file and the
# stand-ins of the platform, and ends both. Exit code: 1 if a rule was broken, 0 if all held, 2 if the case could
# not run.
case_name=$1
record=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x review/bin/standin ] || exit 2
folder=$(mktemp -d) || exit 2
mkdir "$folder/tmp"

review/bin/standin "$case_name" "$folder" "$record" &
standin=$!
tries=0
while [ ! -s "$folder/config.json" ] && [ "$tries" -lt 50 ]; do
  sleep 0.1
  tries=$((tries + 1))
done
PROXY_CONFIG="$folder/config.json" TMPDIR="$folder/tmp" sh -c "$run" 2>"$folder/planner.log" &
planner=$!
trap 'kill "$standin" "$planner" 2>/dev/null; rm -rf "$folder"; exit 2' INT TERM

wait "$standin"
result=$?
if ! kill -0 "$planner" 2>/dev/null; then
  echo "the planner has ended by itself" >>"$record"
  [ "$result" = 0 ] && result=2
fi
kill "$planner" 2>/dev/null
wait "$planner"
echo "planner: exit code $? after SIGTERM; the last lines of its log:" >>"$record"
tail -n "${LOG_LINES:-25}" "$folder/planner.log" | cut -c1-400 >>"$record"
rm -rf "$folder"
exit "$result"
