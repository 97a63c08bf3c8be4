//! The slots that this VM and its peers hold, and how a change of slots affects buckets and loans.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::rates::NANOTOKENS_PER_TOKEN;
use crate::rates::Rates;
use crate::rates::RatesAction;
use crate::rates::last_seq;
use crate::rates::limiter::Limiter;
use crate::rates::split::Share;
use crate::types::MonoTime;
use crate::types::RosterPeer;
use crate::types::RosterView;
use crate::types::VmId;
use crate::types::WorkspaceId;

impl Rates {
    /// Starts to use the slots that have become usable. Their buckets are empty except at the start
    /// of the process.
    pub(crate) fn activate_due_slots(&mut self, now: MonoTime) {
        let mut due = self.held_slots.iter().filter(|slot| slot.1 <= now);
        if due.any(|slot| !self.usable_slots.contains(&slot.0)) {
            let due = self.held_slots.iter().filter(|slot| slot.1 <= now);
            let usable = due.map(|slot| slot.0).collect();
            self.advance(now);
            self.set_usable_slots(now, usable, false);
            self.add_start_tokens();
        }
    }

    /// Adds the tokens with which the buckets begin, when the first slots become usable.
    fn add_start_tokens(&mut self) {
        if self.usable_slots.is_empty() || std::mem::replace(&mut self.has_started, true) {
            return;
        }
        for (id, limiter) in &mut self.limiters {
            let rate = self.config.workspaces.get(id);
            let rate = rate.map_or(0, |workspace| u64::from(workspace.rate_per_s) * 1_000);
            let share = limiter.split.sum(self.usable_slots.iter().copied());
            let tokens = u64::from(self.start_tokens) * NANOTOKENS_PER_TOKEN;
            let part = u128::from(tokens) * u128::from(share.refill_rate) / u128::from(rate.max(1));
            limiter.bucket.add(u64::try_from(part).unwrap_or(tokens));
        }
    }

    /// Changes the usable slots. Tokens are kept for slots that stay usable, unless `empty` is set.
    pub(crate) fn set_usable_slots(&mut self, now: MonoTime, usable: BTreeSet<u16>, empty: bool) {
        for limiter in self.limiters.values_mut() {
            let retained = self.usable_slots.intersection(&usable).copied();
            let retained = retained.filter(|_| !empty);
            let (retained, share) = (
                limiter.split.sum(retained),
                limiter.split.sum(usable.iter().copied()),
            );
            limiter.set_share(now, retained, share);
        }
        self.usable_slots = usable;
    }

    pub(crate) fn apply_roster(
        &mut self,
        now: MonoTime,
        view: RosterView,
        actions: &mut Vec<RatesAction>,
    ) {
        if view.version < self.roster_version {
            return;
        }
        self.lease_until = Some(view.lease_until);
        let slots_have_owners = !self.layout.owners.is_empty();
        let slot_count_changed = view.slot_count != self.layout.slot_count;
        let numbers_changed = slot_count_changed && !slots_have_owners;
        let former_shares = self.own_shares();
        self.roster_version = view.version;
        self.layout.slot_count = view.slot_count;
        self.held_slots = view.slots.iter().map(|s| (s.slot, s.usable_from)).collect();
        let peers = view.peers.into_iter().map(|peer| (peer.vm.clone(), peer));
        let former = std::mem::replace(&mut self.peers, peers.collect());
        self.drop_invalid_loans(&former, numbers_changed);
        for limiter in self.limiters.values_mut() {
            limiter.bucket.forget_borrowers(|vm, incarnation| {
                let peer = self.peers.get(vm);
                peer.is_some_and(|peer| peer.incarnation == incarnation)
            });
        }
        if slot_count_changed || self.owners_changed {
            self.owners_changed = false;
            for (id, split) in self.layout.split_all(&self.config.workspaces) {
                if let Some(limiter) = self.limiters.get_mut(&id) {
                    limiter.split = split;
                }
            }
        }
        self.update_share_holders();
        let due = self.held_slots.iter().filter(|slot| slot.1 <= now);
        let usable: BTreeSet<u16> = due.map(|slot| slot.0).collect();
        if slots_have_owners {
            self.usable_slots = usable;
            self.keep_common_shares(now, &former_shares);
        } else {
            self.set_usable_slots(now, usable, numbers_changed);
        }
        self.add_start_tokens();
        self.check_lease(now, actions);
    }

    /// Returns this VM's share of each workspace.
    fn own_shares(&self) -> BTreeMap<WorkspaceId, Share> {
        let share = |limiter: &Limiter| limiter.split.sum(self.usable_slots.iter().copied());
        let shares = self.limiters.iter();
        shares
            .map(|(id, limiter)| (id.clone(), share(limiter)))
            .collect()
    }

    /// Changes this VM's shares. It keeps the tokens of what it already had of a share.
    fn keep_common_shares(&mut self, now: MonoTime, former: &BTreeMap<WorkspaceId, Share>) {
        for (id, limiter) in &mut self.limiters {
            let share = limiter.split.sum(self.usable_slots.iter().copied());
            let former = former.get(id).copied().unwrap_or_default();
            limiter.set_share(now, share.min(former), share);
        }
    }

    /// Determines which peers hold a share of each workspace.
    pub(crate) fn update_share_holders(&mut self) {
        let mut holder_of_slot = BTreeMap::new();
        for peer in self.peers.values() {
            holder_of_slot.extend(peer.slots.iter().map(|slot| (*slot, &peer.vm)));
        }
        for limiter in self.limiters.values_mut() {
            let mut holders: BTreeMap<VmId, Share> = BTreeMap::new();
            for slot in limiter.split.holders() {
                let Some(vm) = holder_of_slot.get(slot) else {
                    continue;
                };
                let share = limiter.split.sum(std::iter::once(*slot));
                let sum = holders.entry((*vm).clone()).or_default();
                sum.refill_rate += share.refill_rate;
                sum.capacity += share.capacity;
            }
            for (vm, lender) in &mut limiter.lenders {
                let former = limiter.share_holders.get(vm).copied().unwrap_or_default();
                let share = holders.get(vm).copied().unwrap_or_default();
                // What a peer has lost may belong to another VM soon.
                if share.min(former) != former {
                    lender.drop_loan(last_seq(&self.send_logs, vm));
                }
            }
            limiter.share_holders = holders;
        }
    }

    /// Drops loans from peers that have left the roster or lost a slot: the slot's next holder uses
    /// its whole share.
    fn drop_invalid_loans(
        &mut self,
        former: &BTreeMap<VmId, RosterPeer>,
        slot_count_changed: bool,
    ) {
        let joined = self.peers.keys().filter(|vm| !former.contains_key(*vm));
        let joined: Vec<VmId> = joined.cloned().collect();
        for vm in joined {
            self.min_answer_roster_version
                .insert(vm, self.roster_version);
        }
        for (vm, old) in former {
            let unchanged = self.peers.get(vm).is_some_and(|new| {
                new.incarnation == old.incarnation
                    && old.slots.iter().all(|slot| new.slots.contains(slot))
            });
            if unchanged && !slot_count_changed {
                continue;
            }
            self.min_answer_roster_version
                .insert(vm.clone(), self.roster_version);
            let seq = last_seq(&self.send_logs, vm);
            for limiter in self.limiters.values_mut() {
                if let Some(lender) = limiter.lenders.get_mut(vm) {
                    lender.drop_loan(seq);
                    lender.spare = None;
                }
            }
        }
    }
}
