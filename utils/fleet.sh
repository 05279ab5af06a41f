# Sourced by demo.sh and bench.sh: starts a small fleet on this machine and stops it by process id.
# Requires common.sh.

fleet_pids=()
fleet_dir=

# Prints the number of a block of loopback addresses that no other run on this machine uses.
free_block() {
    local block tries
    for tries in $(seq 0 199); do
        block=$((20 + ($$ + tries) % 200))
        if ! (exec 3<>"/dev/tcp/127.$block.200.1/8500") 2>/dev/null; then
            echo "$block"
            return
        fi
    done
    echo "no free block of loopback addresses" >&2
    return 1
}

wait_until() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then return 1; fi
        sleep 0.1
    done
}

start_process() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$fleet_dir/$name.log" 2>&1 &
    fleet_pids+=("$!")
    echo "$! $name" >>"$fleet_dir/pids"
}

# Writes the files of a fleet and starts it; the arguments go to fleet_files.py.
start_fleet() {
    fleet_dir=$(mktemp -d)
    fleet_pids=()
    python3 "$root/utils/fleet_files.py" --out "$fleet_dir" --bin "$build/bin" \
        --charts "$root/charts" --block "$(free_block)" "$@"
    "$build/bin/berylctl" collect --out "$fleet_dir/published" "$fleet_dir/services" \
        >"$fleet_dir/collect.log"
    local name command
    while read -r name command; do
        # shellcheck disable=SC2086 # The command is a list of words.
        start_process "$name" $command
    done <"$fleet_dir/processes"
    while read -r name command; do
        if ! wait_until 30 curl -sf "http://$command/readyz"; then
            echo "router $name did not become ready; its log ends with:" >&2
            tail -5 "$fleet_dir/router-$name.log" >&2
            return 1
        fi
    done <"$fleet_dir/admin"
}

# Stops the routers by a planned stop, then terminates the stand-ins.
stop_fleet() {
    local pid name
    [ -n "$fleet_dir" ] || return 0
    [ -e "$fleet_dir/pids" ] || return 0
    for kind in router ''; do
        while read -r pid name; do
            case $name in "$kind"*) kill "$pid" 2>/dev/null || true ;; esac
        done <"$fleet_dir/pids"
        [ "$kind" = router ] && wait_until 5 no_routers_left || true
    done
    for pid in "${fleet_pids[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$fleet_dir"
    fleet_dir=
}

no_routers_left() {
    local pid name
    while read -r pid name; do
        case $name in router*) if kill -0 "$pid" 2>/dev/null; then return 1; fi ;; esac
    done <"$fleet_dir/pids"
}

# Prints the names of processes that ended without being stopped.
ended_processes() {
    local pid name
    while read -r pid name; do
        kill -0 "$pid" 2>/dev/null || echo "$name"
    done <"$fleet_dir/pids"
}

# Prints the total of bytes that all routers sent to each other since their start.
control_bytes() {
    local name address
    while read -r name address; do
        curl -sf "http://$address/metrics"
    done <"$fleet_dir/admin" \
        | awk '/^berylridge_(datagram|call)_bytes_sent_total /{sum += $2} END {printf "%d\n", sum}'
}
