#!/usr/bin/env bash
# Makes the platform unavailable for three seconds during steady writes.
source "$(dirname "$0")/deployment.sh"

# inject_fault MODE: sets a fault of the stand-in platform with an HTTP request.
inject_fault() {
    local body="{\"mode\":\"$1\"}"
    exec 3<>"/dev/tcp/127.0.0.1/${ports[0]}"
    printf 'POST /faults HTTP/1.1\r\nhost: -\r\ncontent-length: %d\r\n\r\n%s' "${#body}" "$body" >&3
    head -n 1 <&3
    exec 3>&-
}

"$bin_dir/lycheedoor-load" outage --workspace acme --vm "$(address 4)" --seconds 6 &
load_pid=$!
sleep 1
inject_fault down
sleep 3
inject_fault up
wait "$load_pid" || status=$?
"$bin_dir/lycheedoor-ctl" status "${vm_args[@]}" | head -n 6
grep -h 'platform' "$work_dir"/vm-*.err | tail -n 6 || true
exit "${status:-0}"
