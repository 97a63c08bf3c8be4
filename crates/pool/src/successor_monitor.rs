//! Removes the records of VMs that have left the fleet permanently.
//!
//! Each VM pings only its successor, the next VM by name, so the cost per VM does not grow with the
//! fleet. A VM that reaches neither the store nor any other VM stops spending its share before its
//! record can be removed, so that no share is spent twice.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::event::PoolAction;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::report::Report;

/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time without an answer after which the record of a VM is removed. Until then nobody can use its
/// share of the rates. Machines restart within seconds and get their share back by their name.
const VM_REMOVAL_TIMEOUT: Duration = Duration::from_secs(11);

/// Time without contact to the store and to other VMs after which a VM stops spending its share.
/// The difference to `VM_REMOVAL_TIMEOUT` exceeds the time between two pings and the time after
/// which the loss of the store is noticed.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

/// The successor, and when this VM last received a message from it or from any other VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuccessorMonitor {
    vm: Option<VmId>,
    answered_at: MonoTime,
    next_ping_at: MonoTime,
    /// When a message of any other VM last arrived.
    pub(crate) last_message_at: MonoTime,
    is_isolated: bool,
}

impl SuccessorMonitor {
    /// Records an answer to a ping.
    pub(crate) fn answered(&mut self, now: MonoTime, from: &VmId) {
        if self.vm.as_ref() == Some(from) {
            self.answered_at = now;
        }
    }

    /// Ends the isolation of this VM, which the store or its relay has answered.
    pub(crate) fn store_answered(&mut self) {
        self.is_isolated = false;
    }
}

impl Pool {
    /// Pings the successor, and removes its record once it has not answered for
    /// `VM_REMOVAL_TIMEOUT`.
    pub(crate) fn monitor_successor(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        if now < self.successor_monitor.next_ping_at || self.stop.is_some() {
            return;
        }
        self.successor_monitor.next_ping_at = now + PING_INTERVAL;
        let next = self.roster.next_after(&self.settings.vm);
        if next != self.successor_monitor.vm {
            self.successor_monitor.vm = next;
            self.successor_monitor.answered_at = now;
        }
        let Some(vm) = self.successor_monitor.vm.clone() else {
            return;
        };
        let silence = now.since(self.successor_monitor.answered_at);
        let (name, revision) = self.vm_record(&vm);
        if let Some(expected) = revision
            && silence >= VM_REMOVAL_TIMEOUT
            && !self.is_store_lost()
        {
            self.successor_monitor.answered_at = now;
            actions.push(PoolAction::Report(Report::VmRemoved { vm, silence }));
            return actions.push(PoolAction::RemoveRecord { name, expected });
        }
        self.send_peer(&vm, PoolMessage::Ping, actions);
    }

    /// Notes whether this VM has been without contact to the store and to other VMs for so long that
    /// its record may be removed soon. Messages of other VMs do not tell whether it has been.
    pub(crate) fn check_isolation(&mut self, now: MonoTime) {
        if let Some(since) = self.store_lost_since() {
            self.note_lost_contact(now, since);
        }
    }

    /// Restarts the timeouts after the process was suspended. Other VMs may have removed the record
    /// of this one in the meantime.
    pub(crate) fn restart_successor_monitor(&mut self, now: MonoTime) {
        let suspended_at = self.last_event();
        let since = self.store_lost_since().unwrap_or(suspended_at);
        self.note_lost_contact(now, since);
        self.successor_monitor = SuccessorMonitor {
            last_message_at: now,
            is_isolated: self.successor_monitor.is_isolated,
            ..SuccessorMonitor::default()
        };
    }

    fn note_lost_contact(&mut self, now: MonoTime, store_lost_since: MonoTime) {
        let latest_contact = store_lost_since.max(self.successor_monitor.last_message_at);
        if self.roster.len() > 1 && now.since(latest_contact) >= ISOLATION_TIMEOUT {
            self.successor_monitor.is_isolated = true;
        }
    }

    /// Returns whether this VM may have lost its share of the rates.
    pub(crate) fn is_isolated(&self) -> bool {
        self.successor_monitor.is_isolated
    }
}
