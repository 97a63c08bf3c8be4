#!/usr/bin/env bash
# Stops one VM with SIGTERM during steady writes through the other, and starts it again; stops the
# other one after the writes. Shows what the caller saw.
source "$(dirname "$0")/deployment.sh"

"$bin_dir/lycheedoor-load" outage --workspace acme --vm "$(address 4)" --seconds 4 &
load_pid=$!
sleep 1
kill -TERM "${pid_of[vm-2]}"
wait "${pid_of[vm-2]}"
echo "vm-2 has stopped"
start vm-2 "$bin_dir/lycheedoor" --settings "$work_dir/vm-2.toml"
wait "$load_pid" || status=$?
"$bin_dir/lycheedoor-ctl" status "${vm_args[@]}"
kill -TERM "${pid_of[vm-1]}"
wait "${pid_of[vm-1]}"
echo "vm-1 has stopped"
exit "${status:-0}"
