//! Rendezvous hashing of VMs, so that all VMs agree on who performs a duty without messages.

use crate::types::VmId;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the rank of a VM for a duty; the VMs with the lowest ranks perform the duty.
///
/// The value is part of the protocol between VMs: FNV-1a over the duty, a zero byte and the VM's
/// name, followed by the finalizer of SplitMix64.
pub fn rendezvous_rank(duty: &str, vm: &VmId) -> u64 {
    let bytes = duty
        .bytes()
        .chain(std::iter::once(0))
        .chain(vm.as_str().bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    finalize(hash)
}

fn finalize(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
