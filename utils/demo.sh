#!/usr/bin/env bash
# Builds the tree, starts three availability zones of three routers each with stand-ins for their
# targets and the platform, generates a mixed load and checks the results. Exits with 0 only if
# every check passes. Arguments go to utils/fleet_files.py, as in
# `utils/demo.sh --seconds 60 --size riviere`.
source "$(dirname "$0")/common.sh"
source "$root/utils/fleet.sh"
install_packages
build_all | tail -1
trap stop_fleet EXIT
start_fleet "$@"
routers=$(wc -l <"$fleet_dir/admin")
echo "$routers routers, $(grep -c ^engine "$fleet_dir/processes") engines," \
    "$(grep -c ^service "$fleet_dir/processes") plain services are running; generating the load"

before=$(control_bytes)
began=$(date +%s%N)
status=0
"$build/bin/berylload" --profile "$fleet_dir/profile.json" --json "$fleet_dir/report.json" || status=$?
ended=$(date +%s%N)
after=$(control_bytes)
awk -v bytes=$((after - before)) -v ns=$((ended - began)) -v nodes="$routers" \
    'BEGIN {printf "control: %.2f KB sent per node and second\n", bytes / 1024 / nodes / (ns / 1e9)}'

dead=$(ended_processes)
if [ -n "$dead" ]; then
    echo "processes that ended on their own (70 and 71 are crashes under a broken promise):" $dead
    status=1
fi
if ! jq -e 'all(.workspaces[]; .outcomes.served > 0)' "$fleet_dir/report.json" >/dev/null; then
    echo "a workspace had no request served"
    status=1
fi
# The demo injects no failures, so each purchase must get a receipt.
if ! jq -e '.purchases.served == .purchases.keys' "$fleet_dir/report.json" >/dev/null; then
    echo "a purchase has no receipt"
    status=1
fi
[ "$status" -eq 0 ] && echo "demo: all checks passed" || echo "demo: FAILED"
exit "$status"
