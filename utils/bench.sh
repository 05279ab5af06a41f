#!/usr/bin/env bash
# Measures one router: the latency that it adds compared to the same load sent directly to the
# stand-ins, and its requests per second. Prints a table with ratios. Run it on an idle machine.
source "$(dirname "$0")/common.sh"
source "$root/utils/fleet.sh"
install_packages
build_all | tail -1
# --slopes: measures the control cost of a node for several fleet sizes (docs/CAPACITY.md).
if [ "${1:-}" = --slopes ]; then
    shift
    exec "$build/bin/slopes" "$@"
fi
# --policy [OPTIONS]: simulates the sharing policies and the leave of a zone with a manual clock,
# without starting processes.
if [ "${1:-}" = --policy ]; then
    shift
    exec "$build/bin/fairnessbench" "$@"
fi
trap stop_fleet EXIT
seconds=${BERYLRIDGE_BENCH_SECONDS:-10}
start_fleet --size single --slots 256 --cold-slots 256 --lookup-ms 0

# Sends the same load through the router and directly to the targets: PROFILE-CHANGE NAME.
run_load() {
    jq "$1 | .seconds = $seconds" "$fleet_dir/profile.json" >"$fleet_dir/bench.json"
    "$build/bin/berylload" --profile "$fleet_dir/bench.json" --json "$fleet_dir/$2.router.json" \
        >"$fleet_dir/$2.router.log"
    "$build/bin/berylload" --profile "$fleet_dir/bench.json" --json "$fleet_dir/$2.direct.json" \
        --direct >"$fleet_dir/$2.direct.log"
}

row() { # LABEL FILE FIELD
    local through straight
    through=$(jq -r "$3" "$fleet_dir/$2.router.json")
    straight=$(jq -r "$3" "$fleet_dir/$2.direct.json")
    awk -v label="$1" -v a="$straight" -v b="$through" 'BEGIN {
        printf "%-34s %12.2f %12.2f %12.2f %8.2f\n", label, a, b, b - a, (a > 0 ? b / a : 0) }'
}

# Sends load before the measurement: the targets are cold at first and the router has no state about
# them, which must not affect the results.
warm_up() {
    jq "$one | .workspaces[0] += {streams: 40, lookups: 100, purchases: 0} | .seconds = 4" \
        "$fleet_dir/profile.json" >"$fleet_dir/warm.json"
    "$build/bin/berylload" --profile "$fleet_dir/warm.json" >"$fleet_dir/warm.log"
}

one='.workspaces = [.workspaces[0] | .routers = [0]]'
warm_up
run_load "$one | .workspaces[0] += {streams: 50, lookups: 200, purchases: 20}" latency
run_load "$one | .workspaces[0] += {streams: 0, lookups: 0, purchases: 0, lookupCallers: 32}" rate

printf '%-34s %12s %12s %12s %8s\n' "$(nproc) processors, $seconds s each" straight "one router" \
    difference ratio
row "stream first byte p50, ms" latency '.workspaces[0].firstByteP50Ms'
row "stream first byte p99, ms" latency '.workspaces[0].firstByteP99Ms'
row "lookup p50, ms" latency '.workspaces[0].lookupP50Ms'
row "lookup p99, ms" latency '.workspaces[0].lookupP99Ms'
row "purchase p50, ms" latency '.workspaces[0].purchaseP50Ms'
row "purchase p99, ms" latency '.workspaces[0].purchaseP99Ms'
row "lookups/s, 32 callers" rate '.servedPerSecond'
for run in latency rate; do
    for way in router direct; do
        jq -r --arg run "$run $way" '"\($run): served \(.served), violations \(.violations), "
            + "others \([.workspaces[].outcomes | del(.served) | with_entries(select(.value > 0))])"' \
            "$fleet_dir/$run.$way.json"
    done
done
