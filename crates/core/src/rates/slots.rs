//! Which slots a VM holds, and what a change of them means for its buckets and loans.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::rates::Rates;
use crate::rates::RatesAction;
use crate::rates::last_seq;
use crate::rates::split::Split;
use crate::types::MonoTime;
use crate::types::RosterPeer;
use crate::types::RosterView;
use crate::types::VmId;

impl Rates {
    /// Starts the slots whose time has come, with empty buckets.
    pub(crate) fn refresh_usable(&mut self, now: MonoTime) {
        let mut due = self.slots.iter().filter(|slot| slot.1 <= now);
        if due.any(|slot| !self.usable.contains(&slot.0)) {
            let due = self.slots.iter().filter(|slot| slot.1 <= now);
            let usable = due.map(|slot| slot.0).collect();
            self.settle(now);
            self.resize(now, usable, false);
        }
    }

    pub(crate) fn resize(&mut self, now: MonoTime, usable: BTreeSet<u16>, empty: bool) {
        for account in self.accounts.values_mut() {
            let kept = self.usable.intersection(&usable).copied();
            let kept = kept.filter(|_| !empty);
            let (kept, share) = (
                account.split.sum(kept),
                account.split.sum(usable.iter().copied()),
            );
            account.resize(now, kept, share);
        }
        self.usable = usable;
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
        let resplit = view.slot_count != self.slot_count;
        self.roster_version = view.version;
        self.slot_count = view.slot_count;
        self.slots = view.slots.iter().map(|s| (s.slot, s.usable_from)).collect();
        let peers = view.peers.into_iter().map(|peer| (peer.vm.clone(), peer));
        let former = std::mem::replace(&mut self.peers, peers.collect());
        self.drop_void_loans(&former, resplit);
        for account in self.accounts.values_mut() {
            account.home.forget_borrowers(|vm, incarnation| {
                let peer = self.peers.get(vm);
                peer.is_some_and(|peer| peer.incarnation == incarnation)
            });
        }
        if resplit {
            for (id, account) in &mut self.accounts {
                if let Some(workspace) = self.config.workspaces.get(id) {
                    account.split = Split::new(id, workspace, self.slot_count);
                }
            }
        }
        let due = self.slots.iter().filter(|slot| slot.1 <= now);
        let usable = due.map(|slot| slot.0).collect();
        self.resize(now, usable, resplit);
        self.check_lease(now, actions);
    }

    /// Drops loans from peers that are gone or have lost a slot: the slot's next holder counts on
    /// it.
    fn drop_void_loans(&mut self, former: &BTreeMap<VmId, RosterPeer>, resplit: bool) {
        let joined = self.peers.keys().filter(|vm| !former.contains_key(*vm));
        let joined: Vec<VmId> = joined.cloned().collect();
        for vm in joined {
            self.lender_since.insert(vm, self.roster_version);
        }
        for (vm, old) in former {
            let same = self.peers.get(vm).is_some_and(|new| {
                new.incarnation == old.incarnation
                    && old.slots.iter().all(|slot| new.slots.contains(slot))
            });
            if same && !resplit {
                continue;
            }
            self.lender_since.insert(vm.clone(), self.roster_version);
            let seq = last_seq(&self.links, vm);
            for account in self.accounts.values_mut() {
                if let Some(source) = account.sources.get_mut(vm) {
                    source.give_up(seq);
                    source.spare = None;
                }
            }
        }
    }
}
