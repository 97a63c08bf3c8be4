//! Tracks which open changes to the fence are settled: no VM can act on an older version any more.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::membership::Fence;
use crate::membership::PromotionIntent;
use crate::membership::RosterMemberKey;
use crate::membership::Settlement;
use crate::types::GroupId;
use crate::types::MonoTime;
use crate::types::Nonce;

/// A change that has to be settled.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum OpenChange {
    /// The change of the members that replaced this version of the fence.
    Roster(u64),
    /// The promotion intent of a group with this nonce.
    Intent(GroupId, Nonce),
}

#[derive(Clone, Debug)]
struct SettlementWait {
    /// The first version received by this VM that contains the change; later ones contain it too.
    version: u64,
    majority_at: Option<MonoTime>,
    settlement: Option<Settlement>,
}

/// The open changes of the fence that this VM holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct SettlementTracker {
    waits: BTreeMap<OpenChange, SettlementWait>,
}

impl SettlementTracker {
    /// Starts tracking the open changes of a newer fence and drops those it no longer contains.
    pub(crate) fn track(&mut self, fence: &Fence) {
        let mut open: Vec<_> = fence.intents.iter().map(intent_change).collect();
        if fence.roster.previous.is_some() {
            open.push(OpenChange::Roster(fence.roster.changed_after));
        }
        self.waits.retain(|change, _| open.contains(change));
        for change in open {
            self.waits.entry(change).or_insert(SettlementWait {
                version: fence.version,
                majority_at: None,
                settlement: None,
            });
        }
    }

    /// Evaluates the acknowledgements and returns the changes that have become settled since the
    /// last call.
    pub(crate) fn advance(
        &mut self,
        now: MonoTime,
        fence: &Fence,
        lease_wait: Duration,
        acknowledged: impl Fn(&RosterMemberKey, u64) -> bool,
    ) -> Vec<(OpenChange, Settlement)> {
        let mut settled = Vec::new();
        let open = self.waits.iter_mut();
        for (change, wait) in open.filter(|(_, wait)| wait.settlement.is_none()) {
            wait.advance(now, fence, lease_wait, &acknowledged);
            if let Some(settlement) = &wait.settlement {
                settled.push((change.clone(), settlement.clone()));
            }
        }
        settled
    }

    /// Returns the version that members must acknowledge to settle all open changes, or `None` if
    /// all are settled.
    pub(crate) fn unsettled_version(&self) -> Option<u64> {
        let open = self.waits.values().filter(|wait| wait.settlement.is_none());
        open.map(|wait| wait.version).max()
    }

    /// Returns whether the members may change again: no change of the members is open, or the open
    /// one is settled.
    pub(crate) fn roster_settled(&self) -> bool {
        let mut waits = self.waits.iter();
        !waits.any(|(change, wait)| {
            matches!(change, OpenChange::Roster(_)) && wait.settlement.is_none()
        })
    }

    /// Returns when the next wait for leases to expire ends.
    pub(crate) fn next_deadline(&self, lease_wait: Duration) -> Option<MonoTime> {
        let open = self.waits.values().filter(|wait| wait.settlement.is_none());
        let ends = open.filter_map(|wait| wait.majority_at.map(|at| at + lease_wait));
        ends.min()
    }
}

impl SettlementWait {
    fn advance(
        &mut self,
        now: MonoTime,
        fence: &Fence,
        lease_wait: Duration,
        acknowledged: &impl Fn(&RosterMemberKey, u64) -> bool,
    ) {
        let roster = &fence.roster;
        let agrees =
            |key: &RosterMemberKey| roster.ended.contains(key) || acknowledged(key, self.version);
        if self.majority_at.is_none() && roster.has_majority(|member| agrees(&member.key())) {
            self.majority_at = Some(now);
        }
        let everyone: Vec<_> = roster
            .current_and_former_members()
            .map(|member| member.key())
            .collect();
        let all = everyone.iter().all(agrees);
        let waited = self
            .majority_at
            .is_some_and(|at| now.since(at) >= lease_wait);
        if all || waited {
            self.settlement = Some(Settlement {
                version: self.version,
                acknowledged: everyone.into_iter().filter(agrees).collect(),
                waited: !all,
            });
        }
    }
}

fn intent_change((group, intent): (&GroupId, &PromotionIntent)) -> OpenChange {
    OpenChange::Intent(group.clone(), intent.nonce)
}
