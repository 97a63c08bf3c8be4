#!/usr/bin/env bash
# Compares statements through one VM with statements sent directly to the member, on loopback.
LYCHEEDOOR_DEMO_PROFILE=release
source "$(dirname "$0")/deployment.sh"

"$bin_dir/lycheedoor-load" bench --workspace acme --route bench \
    --vm "$(address 4)" --vm-pid "${pid_of[vm-1]}" --direct "$(address 1)" \
    --connections 2 --statements 10000 --idle-connections 1000
