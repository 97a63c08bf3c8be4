//! Removes the records of VMs that are gone for good.
//!
//! Each VM asks the next one by name whether it runs, which costs the same at any size of the
//! fleet. A VM that reaches neither the store nor any other VM stops spending its share before its
//! record can be removed, so that a share is never counted twice.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::event::PoolAction;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::report::Report;

/// Time between two questions.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time without an answer after which a VM is taken as gone. Machines restart within seconds and
/// get back their share by their name.
const GONE_TIME: Duration = Duration::from_secs(20);

/// Time without store and other VMs after which a VM spends nothing of its share. It is shorter
/// than `GONE_TIME` by more than a ping and a slow store take.
const ISOLATION_TIME: Duration = Duration::from_secs(14);

/// The next VM by name, and when this VM last heard of others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Neighbour {
    vm: Option<VmId>,
    answered_at: MonoTime,
    next_ping: MonoTime,
    /// When any other VM was heard last.
    pub(crate) heard_at: MonoTime,
}

impl Neighbour {
    /// Takes note of an answer.
    pub(crate) fn answered(&mut self, now: MonoTime, from: &VmId) {
        if self.vm.as_ref() == Some(from) {
            self.answered_at = now;
        }
    }
}

impl Pool {
    /// Asks the next VM whether it runs, and removes its record when it has long been silent.
    pub(crate) fn watch_neighbour(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if now < self.neighbour.next_ping || self.stop.is_some() {
            return;
        }
        self.neighbour.next_ping = now + PING_INTERVAL;
        let next = self.roster.next_after(&self.settings.vm);
        if next != self.neighbour.vm {
            self.neighbour.vm = next;
            self.neighbour.answered_at = now;
        }
        let Some(vm) = self.neighbour.vm.clone() else {
            return;
        };
        let silence = now.since(self.neighbour.answered_at);
        let (name, revision) = self.vm_record(&vm);
        if let Some(expected) = revision
            && silence >= GONE_TIME
            && !self.is_store_lost()
        {
            self.neighbour.answered_at = now;
            actions.push(PoolAction::Report(Report::VmRemoved { vm, silence }));
            return actions.push(PoolAction::RemoveRecord { name, expected });
        }
        self.send_peer(&vm, PoolMessage::Ping, actions);
    }

    /// Returns whether this VM has reached nobody for so long that its record may be removed soon.
    pub(crate) fn is_isolated(&self, now: MonoTime) -> bool {
        let is_long = |since: MonoTime| now.since(since) >= ISOLATION_TIME;
        self.roster.len() > 1
            && self.store_lost_since().is_some_and(is_long)
            && is_long(self.neighbour.heard_at)
    }
}
