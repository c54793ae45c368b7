#!/usr/bin/env bash
# Measures CPU and memory of an entry and an agent, each in its own process.
# Usage: lab/process_costs.sh [JOBS]; each job has 140 tasks of 5 ms.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${1:-20}
cli=.venv/bin/gooseberrylink
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT
start() { "$@" 2>>"$dir/log" & pids+=($!); }
# CPU time in clock ticks of 10 ms, as in /proc/PID/stat.
cpu_ticks() { cut -d' ' -f14,15 "/proc/$1/stat" | tr ' ' '+' | bc; }
threads() { awk '/^Threads/ {print $2}' "/proc/$1/status"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

start $cli standin-platform --listen 127.0.0.1:7500
sleep 2
# The quotas would refuse part of the measured load.
sed 's/, quota_starts_per_s: [0-9]*//' examples/bennani.yaml > "$dir/rules.yaml"
$cli apply "$dir/rules.yaml" --platform 127.0.0.1:7500 > /dev/null
cat > "$dir/entry.yaml" <<Y
{entry: e, data_centre: a, listen: "127.0.0.1:7501", listen_agents: "127.0.0.1:7511",
 platform: "127.0.0.1:7500"}
Y
start $cli entry --settings "$dir/entry.yaml"
entry=${pids[-1]}
for n in 1 2 3 4; do
  echo "{worker: tank-$n, data_centre: a, listen: \"127.0.0.1:752$n\", entries: [\"127.0.0.1:7511\"]}" > "$dir/a$n.yaml"
  start $cli agent --settings "$dir/a$n.yaml"
  agent=${pids[-1]}
  sleep 1
  start $cli standin-backend --agent "127.0.0.1:752$n" --service dispatch
done
sleep 3
.venv/bin/python - > "$dir/job.json" <<'P'
import json
tasks = [{"payload": {"run_s": 0.005, "value": "x" * 40}, "declared_s": 0.005}] * 140
print(json.dumps({"customer": "shops", "service": "dispatch", "tasks": tasks}))
P
send() {
  .venv/bin/python - "$1" "$dir/job.json" <<'P'
import sys, trio
import httpcore
async def main():
    body = open(sys.argv[2], "rb").read()
    async with httpcore.AsyncConnectionPool(max_connections=4) as pool:
        async def one():
            response = await pool.request("POST", "http://127.0.0.1:7501/v1/jobs", content=body)
            assert response.status == 200, response.content
        for _ in range(int(sys.argv[1]) // 4):
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(one)
trio.run(main)
P
}
send 8
e0=$(cpu_ticks "$entry") a0=$(cpu_ticks "$agent")
sleep 10
e1=$(cpu_ticks "$entry") a1=$(cpu_ticks "$agent")
send "$jobs"
e2=$(cpu_ticks "$entry") a2=$(cpu_ticks "$agent")
echo "entry idle, 4 links:  $(bc -l <<<"scale=3; ($e1-$e0)/10") % of a core"
echo "agent idle, 1 link:   $(bc -l <<<"scale=3; ($a1-$a0)/10") % of a core"
echo "entry, per task:      $(bc -l <<<"scale=0; ($e2-$e1)*10000/($jobs*140)") us (jobs of 140 tasks, HTTP included)"
echo "agent, per task:      $(bc -l <<<"scale=0; ($a2-$a1)*10000*4/($jobs*140)") us (HTTP to the backend included)"
echo "entry: $(resident_kb "$entry") KB, $(threads "$entry") threads; agent: $(resident_kb "$agent") KB, $(threads "$agent") threads"
