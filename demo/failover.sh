#!/usr/bin/env bash
# Kills the primary during steady writes and shows the failover as a caller sees it.
source "$(dirname "$0")/deployment.sh"

"$bin_dir/lycheedoor-load" outage --workspace acme --vm "$(address 4)" --seconds 4 &
load_pid=$!
sleep 1
kill -KILL "${pid_of[ledger-1]}"
wait "$load_pid" || status=$?
"$bin_dir/lycheedoor-ctl" timeline "${vm_args[@]}" --group ledger | grep -v write_delivered | tail -n 20
"$bin_dir/lycheedoor-ctl" status "${vm_args[@]}"
exit "${status:-0}"
