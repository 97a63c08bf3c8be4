#!/usr/bin/env bash
# Takes the primary's data centre out of service during steady writes, then returns it to service.
source "$(dirname "$0")/deployment.sh"

"$bin_dir/lycheedoor-load" outage --workspace acme --vm "$(address 7)" --seconds 5 &
load_pid=$!
sleep 1
"$bin_dir/lycheedoor-ctl" data-centre out east --platform "$(address 0)"
sleep 2
"$bin_dir/lycheedoor-ctl" data-centre in east --platform "$(address 0)"
wait "$load_pid" || status=$?
"$bin_dir/lycheedoor-ctl" timeline "${vm_args[@]}" --group ledger | grep -v write_delivered | tail -n 12
"$bin_dir/lycheedoor-ctl" status "${vm_args[@]}"
exit "${status:-0}"
