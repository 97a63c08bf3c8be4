//! Rendezvous hashing, by which all VMs compute the same ranking without communicating.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the weight of a combination of `parts`, such as a resource and a candidate; the
/// candidate with the highest weight is chosen.
pub fn rendezvous_weight(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    // FNV-1a mixes its last bytes poorly into the high bits, so the finalizer of MurmurHash3
    // follows.
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
