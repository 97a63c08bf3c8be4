//! The split of a workspace's rate and burst over the slots of the roster.

use crate::config::Workspace;
use crate::types::VmId;
use crate::types::WorkspaceId;
use crate::types::rendezvous_weight;

/// A share of fewer tokens could not serve a request while a part of it is lent.
const MIN_TOKENS_PER_SLOT: u64 = 2;

/// The fewest slots that a concentrated workspace is split over. Without one of them the others
/// still hold most of its rate.
const MIN_CONCENTRATED_SLOTS: u64 = 3;

/// How the rate of a workspace is distributed over the slots of the roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateDistribution {
    /// Over all slots, for requests that arrive at any VM alike.
    #[default]
    Spread,
    /// Over as many slots as the rate needs, for requests that are directed to these slots. The
    /// number of slots does not grow with the fleet.
    Concentrated {
        /// The refill rate of one slot in tokens a second.
        rate_per_slot: u32,
    },
}

/// A part of a workspace's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Share {
    /// Millitokens a second, which is the same as nanotokens a microsecond.
    pub(crate) refill_rate: u64,
    /// The burst in nanotokens.
    pub(crate) capacity: u64,
}

impl Share {
    /// Returns the lower refill rate and capacity of two shares.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            refill_rate: self.refill_rate.min(other.refill_rate),
            capacity: self.capacity.min(other.capacity),
        }
    }
}

/// The shares of one workspace by slot number.
#[derive(Clone, Debug, Default)]
pub(crate) struct Split {
    shares: Vec<Share>,
    /// The slots with a share, by rank.
    holders: Vec<u16>,
}

impl Split {
    /// Splits a workspace's rate and burst into shares that add up to the whole. A small burst is
    /// split over fewer slots, those with the highest rendezvous weights for the workspace. The
    /// weights are those of the slots' names, or of their numbers if they have no names.
    pub(crate) fn new(
        id: &WorkspaceId,
        workspace: &Workspace,
        slot_count: u16,
        slot_names: &[VmId],
        distribution: RateDistribution,
    ) -> Self {
        let slot_count = slot_count.max(1);
        let burst = u64::from(workspace.burst);
        let wanted = match distribution {
            RateDistribution::Spread => u64::from(slot_count),
            RateDistribution::Concentrated { rate_per_slot } => {
                workspace.rate_per_s.div_ceil(rate_per_slot.max(1)).into()
            }
        };
        let wanted = wanted.max(MIN_CONCENTRATED_SLOTS);
        let parts = (burst / MIN_TOKENS_PER_SLOT)
            .min(wanted)
            .clamp(1, u64::from(slot_count));
        let mut ranked: Vec<u16> = (0..slot_count).collect();
        ranked.sort_by_cached_key(|slot| {
            let number = slot.to_be_bytes();
            let name = slot_names.get(usize::from(*slot));
            let name = name.map_or(number.as_slice(), |name| name.as_str().as_bytes());
            let weight = rendezvous_weight(&[id.as_str().as_bytes(), name]);
            (std::cmp::Reverse(weight), *slot)
        });
        ranked.truncate(usize::try_from(parts).unwrap_or(usize::MAX));
        let mut shares = vec![Share::default(); usize::from(slot_count)];
        for (index, slot) in (0..parts).zip(ranked.iter().copied()) {
            shares[usize::from(slot)] = Share {
                refill_rate: part(u64::from(workspace.rate_per_s) * 1_000, parts, index),
                capacity: part(burst * 1_000, parts, index) * 1_000_000,
            };
        }
        Self {
            shares,
            holders: ranked,
        }
    }

    /// Returns the slots with a share, by rank.
    pub(crate) fn holders(&self) -> &[u16] {
        &self.holders
    }

    /// Returns the sum of the shares of some slots.
    pub(crate) fn sum(&self, slots: impl Iterator<Item = u16>) -> Share {
        slots
            .filter_map(|slot| self.shares.get(usize::from(slot)))
            .fold(Share::default(), |sum, share| Share {
                refill_rate: sum.refill_rate + share.refill_rate,
                capacity: sum.capacity + share.capacity,
            })
    }
}

fn part(total: u64, parts: u64, index: u64) -> u64 {
    total / parts + u64::from(index < total % parts)
}
