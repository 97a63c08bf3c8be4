//! The split of a workspace's rate and burst over the slots of the roster.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::config::Workspace;
use crate::types::DataCentreId;
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
        /// The number of cells. The workspaces of a cell have the same slots in the same order, so
        /// that few VMs hold the shares of many small workspaces.
        cells: u32,
    },
}

/// The VM that has a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotOwner {
    /// The name of the VM.
    pub vm: VmId,
    /// The data centre of the VM, if it is known.
    pub data_centre: Option<DataCentreId>,
}

/// The slots over which rates are split, and how.
#[derive(Clone, Debug, Default)]
pub(crate) struct SplitLayout {
    pub(crate) slot_count: u16,
    /// The owners of the slots by number; empty if slots are known by number only.
    pub(crate) owners: Vec<SlotOwner>,
    pub(crate) distribution: RateDistribution,
}

impl SplitLayout {
    /// Returns the splits of all workspaces.
    pub(crate) fn split_all(
        &self,
        workspaces: &BTreeMap<WorkspaceId, Workspace>,
    ) -> BTreeMap<WorkspaceId, Split> {
        let mut order_by_cell = BTreeMap::new();
        let splits = workspaces.iter().map(|(id, workspace)| {
            let split = match self.cell_of(id) {
                None => self.split(workspace, &self.ranked_slots(id.as_str().as_bytes())),
                Some(cell) => {
                    let order = order_by_cell.entry(cell);
                    let order = order.or_insert_with(|| self.ranked_slots(&cell.to_be_bytes()));
                    self.split(workspace, order)
                }
            };
            (id.clone(), split)
        });
        splits.collect()
    }

    /// Returns the cell of a workspace; `None` if it has an order of slots of its own.
    fn cell_of(&self, id: &WorkspaceId) -> Option<u64> {
        match self.distribution {
            RateDistribution::Spread => None,
            RateDistribution::Concentrated { cells, .. } => {
                let weight = rendezvous_weight(&[id.as_str().as_bytes()]);
                Some(weight % u64::from(cells.max(1)))
            }
        }
    }

    /// Splits a workspace's rate and burst into shares that add up to the whole. A small burst is
    /// split over fewer slots, the first ones of `order`.
    fn split(&self, workspace: &Workspace, order: &[u16]) -> Split {
        let slot_count = self.slot_count.max(1);
        let burst = u64::from(workspace.burst);
        let wanted = match self.distribution {
            RateDistribution::Spread => u64::from(slot_count),
            RateDistribution::Concentrated { rate_per_slot, .. } => {
                workspace.rate_per_s.div_ceil(rate_per_slot.max(1)).into()
            }
        };
        let wanted = wanted.max(MIN_CONCENTRATED_SLOTS);
        let parts = (burst / MIN_TOKENS_PER_SLOT)
            .min(wanted)
            .clamp(1, u64::from(slot_count));
        let holders = order.iter().copied().zip(0..parts);
        let shares = (0..parts).map(|index| Share {
            refill_rate: part(u64::from(workspace.rate_per_s) * 1_000, parts, index),
            capacity: part(burst * 1_000, parts, index) * 1_000_000,
        });
        Split {
            holders: holders.map(|(slot, _)| slot).collect(),
            shares: shares.collect(),
        }
    }

    /// Returns all slots in the order in which a workspace or cell uses them: by rendezvous weight, and
    /// those of different data centres by turns, so that the loss of one takes as few of the first
    /// as possible. The weights are those of the owners' names, or of the numbers without owners.
    fn ranked_slots(&self, key: &[u8]) -> Vec<u16> {
        let mut ranked: Vec<u16> = (0..self.slot_count.max(1)).collect();
        ranked.sort_by_cached_key(|slot| {
            let number = slot.to_be_bytes();
            let owner = self.owners.get(usize::from(*slot));
            let name = owner.map_or(number.as_slice(), |owner| owner.vm.as_str().as_bytes());
            (Reverse(rendezvous_weight(&[key, name])), *slot)
        });
        let mut earlier: BTreeMap<Option<&DataCentreId>, u32> = BTreeMap::new();
        ranked.sort_by_cached_key(|slot| {
            let owner = self.owners.get(usize::from(*slot));
            let data_centre = owner.and_then(|owner| owner.data_centre.as_ref());
            let turn = earlier.entry(data_centre).or_default();
            *turn += 1;
            *turn
        });
        ranked
    }
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

/// The shares of one workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Split {
    /// The slots with a share, by rank.
    holders: Vec<u16>,
    /// The shares of these slots.
    shares: Vec<Share>,
}

impl Split {
    /// Returns the slots with a share, by rank.
    pub(crate) fn holders(&self) -> &[u16] {
        &self.holders
    }

    /// Returns the sum of the shares of some slots.
    pub(crate) fn sum(&self, slots: impl Iterator<Item = u16>) -> Share {
        let share = |slot: u16| {
            let index = self.holders.iter().position(|holder| *holder == slot)?;
            self.shares.get(index)
        };
        slots
            .filter_map(share)
            .fold(Share::default(), |sum, share| Share {
                refill_rate: sum.refill_rate + share.refill_rate,
                capacity: sum.capacity + share.capacity,
            })
    }
}

fn part(total: u64, parts: u64, index: u64) -> u64 {
    total / parts + u64::from(index < total % parts)
}
