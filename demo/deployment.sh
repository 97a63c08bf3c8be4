# shellcheck shell=bash
# Starts a small deployment on loopback; sourced by the other scripts of this directory.
#
# Sets `bin_dir`, `work_dir`, `ports`, `address N`, `vm_args` (for lycheedoor-ctl) and
# `pid_of[NAME]`. Stops all processes when the shell that sources this file exits.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

profile=${LYCHEEDOOR_DEMO_PROFILE:-debug}
if [ "$profile" = release ]; then
    cargo build --quiet --locked --workspace --bins --release
else
    cargo build --quiet --locked --workspace --bins
fi
bin_dir=target/$profile
work_dir=$(mktemp -d)
declare -A pid_of=()

stop_all() {
    kill "${pid_of[@]}" 2>/dev/null || true
    wait "${pid_of[@]}" 2>/dev/null || true
    rm -rf "$work_dir"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a process in the background and redirects its output to files.
start() {
    local name=$1
    shift
    "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.err" &
    pid_of[$name]=$!
}

# wait_for NAME: waits until a process prints that it is listening.
wait_for() {
    for _ in $(seq 200); do
        grep -qs '^listening on ' "$work_dir/$1.out" && return 0
        sleep 0.05
    done
    echo "$1 did not start:" >&2
    cat "$work_dir/$1.err" >&2
    exit 1
}

# A fixed key is safe here, because the deployment listens on loopback only.
export LYCHEEDOOR_KEY=demo-key
key_digest=$(printf '%s' "$LYCHEEDOOR_KEY" | "$bin_dir/lycheedoor-ctl" hash-key)
mapfile -t ports < <("$bin_dir/lycheedoor-standin" ports 10)
address() { echo "127.0.0.1:${ports[$1]}"; }

start platform "$bin_dir/lycheedoor-standin" platform --listen "$(address 0)"
wait_for platform

members=(ledger-1 ledger-2 ledger-3)
data_centres=(east west north)
for i in 0 1 2; do
    peers=
    for j in 0 1 2; do
        [ "$i" = "$j" ] || peers+=${peers:+,}${members[$j]}=$(address $((j + 1)))
    done
    start "${members[$i]}" "$bin_dir/lycheedoor-standin" member --group ledger \
        --name "${members[$i]}" --primary ledger-1 --listen "$(address $((i + 1)))" --peers "$peers"
done
for member in "${members[@]}"; do
    wait_for "$member"
done

{
    cat demo/services/invoices.toml
    for i in 0 1 2; do
        printf '\n[group.ledger.members.%s]\naddress = "%s"\ndata_centre = "%s"\n' \
            "${members[$i]}" "$(address $((i + 1)))" "${data_centres[$i]}"
    done
} | sed "s/DIGEST/$key_digest/" >"$work_dir/invoices.toml"
"$bin_dir/lycheedoor-publish" --platform "$(address 0)" "$work_dir/invoices.toml"

for vm in 1 2; do
    first_index=$((4 + (vm - 1) * 3))
    cat >"$work_dir/vm-$vm.toml" <<SETTINGS
[vm]
name = "vm-$vm"
data_centre = "${data_centres[$((vm - 1))]}"
cell = "demo"

[listen]
callers = "$(address "$first_index")"
peers = "$(address $((first_index + 1)))"
operators = "$(address $((first_index + 2)))"

[platform]
address = "$(address 0)"
SETTINGS
    start "vm-$vm" "$bin_dir/lycheedoor" --settings "$work_dir/vm-$vm.toml"
    wait_for "vm-$vm"
done

vm_args=(--vm-address "$(address 6)" --vm-address "$(address 9)")
for _ in $(seq 200); do
    serving_count=$("$bin_dir/lycheedoor-ctl" status "${vm_args[@]}" | grep -c serving || true)
    [ "$serving_count" -ge 2 ] && break
    sleep 0.1
done
