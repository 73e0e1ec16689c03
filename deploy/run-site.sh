#!/usr/bin/env bash
# Runs three nodes of one building and one of the province above it, on loopback, until Ctrl-C. Their files are in run-site/. Clients
# connect to ports 7070 to 7073, peers and operators to 7400 to 7403. Without discovery the nodes use the hosts of example.json.
set -euo pipefail
cd "$(dirname "$0")/.."

nodes=(gedung-1 gedung-2 gedung-3 provinsi-1)
mkdir -p run-site
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait || true' EXIT
trap exit INT TERM
for i in "${!nodes[@]}"; do
  name=${nodes[$i]}
  mkdir -p "run-site/$name/store" "run-site/$name/tmp"
  {
    echo "listen: \"127.0.0.1:$((7400 + i))\""
    echo "store: \"$PWD/run-site/$name/store\""
    echo 'sites { name: "provinsi" level: PROVINCE nodes { name: "provinsi-1" seat: true } }'
    echo 'sites { name: "gedung" level: BUILDING parent: "provinsi"'
    echo '  nodes { name: "gedung-1" seat: true } nodes { name: "gedung-2" seat: true } nodes { name: "gedung-3" seat: true } }'
    echo '# Policies in minutes, not days: see docs/operate/policies.md.'
    echo 'rollout { slice_s: 2 spell: 1 watch: 3 settle_s: 1 least: 10 hold_s: 60 lease_s: 10 }'
    for j in "${!nodes[@]}"; do
      [ "$i" = "$j" ] || echo "peers { node: \"${nodes[$j]}\" address: \"127.0.0.1:$((7400 + j))\" }"
    done
  } > "run-site/$name/site.txtpb"
  GW_NAME=$name GW_LISTEN=127.0.0.1:$((7070 + i)) GW_MANAGEMENT=127.0.0.1:$((9600 + i)) GW_CONFIG=deploy/example.json GW_SITE=run-site/$name/site.txtpb \
    TMPDIR=run-site/$name/tmp bin/lichenhitch 2> >(sed -u "s/^/$name  /" >&2) &
  pids+=($!)
done
wait
