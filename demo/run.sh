#!/usr/bin/env bash
# Starts a small deployment on loopback, checks read-your-writes across two VMs and stops all
# processes.
#
# A caller logs in with a key through one VM and issues a number, then continues its session on the
# other VM and reads the number from a replica. The status and the merged timeline are printed
# afterwards.
source "$(dirname "$0")/deployment.sh"

echo "== main job"
"$bin_dir/lycheedoor-load" walkthrough --workspace acme \
    --first "$(address 4)" --second "$(address 7)" || {
    cat "$work_dir"/vm-*.err >&2
    "$bin_dir/lycheedoor-ctl" timeline "${vm_args[@]}" >&2
    exit 1
}
echo "== status"
"$bin_dir/lycheedoor-ctl" status "${vm_args[@]}"
echo "== time line"
"$bin_dir/lycheedoor-ctl" timeline "${vm_args[@]}"
