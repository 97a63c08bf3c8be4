//! How the counts of a VM reach the holder.

use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::usage_report::HandedOn;
use crate::usage_report::IDLE_INTERVAL;
use crate::usage_report::UsageReporter;
use crate::usage_report::message::UsageAction;
use crate::usage_report::message::UsageCounts;
use crate::usage_report::message::UsageMessage;
use crate::usage_report::signed;

impl UsageReporter {
    /// Hands new counts on to the holder, or asks another VM for the holder.
    pub(crate) fn hand_on(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        let interval = self.hand_on_interval();
        let is_known = self.known.as_ref().is_some_and(|known| known.vm != self.vm);
        let unanswered_since = self.unanswered_since;
        let is_lost =
            !is_known || unanswered_since.is_some_and(|since| now.since(since) >= interval);
        if is_lost {
            self.ask_for_holder(now, out);
        }
        self.next_hand_on_at = now + interval;
        let Some(holder) = self.known.as_ref().map(|known| known.vm.clone()) else {
            return;
        };
        if holder == self.vm {
            // An earlier process of this VM, or a claim of this one that it has given up.
            self.unanswered_since.get_or_insert(now);
            return;
        }
        let windows = self.counter.unacknowledged();
        let is_idle = windows.is_empty() && self.unanswered_since.is_none();
        let latest = self.answered_at.filter(|_| self.fleet_offset_us.is_some());
        let is_idle = is_idle && !std::mem::take(&mut self.checks_holder);
        if is_idle && latest.is_some_and(|latest| now.since(latest) < IDLE_INTERVAL) {
            return;
        }
        let message = self.counts_message(now, windows, true);
        self.unanswered_since.get_or_insert(now);
        out.push(UsageAction::Send {
            to: holder,
            message,
        });
    }

    /// Hands the holder's own counts on to the VM that would take over first.
    pub(crate) fn hand_on_to_deputy(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        if now < self.next_hand_on_at {
            return;
        }
        self.next_hand_on_at = now + self.hand_on_interval();
        let windows = self.counter.all();
        let deputy = self.peers.first().map(|(vm, _)| vm.clone());
        if let Some(to) = deputy.filter(|_| !windows.is_empty()) {
            let message = self.counts_message(now, windows, false);
            out.push(UsageAction::Send { to, message });
        }
    }

    /// Asks one other VM, in the order in which they would take over.
    pub(crate) fn ask_for_holder(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        self.unanswered_since.get_or_insert(now);
        let holder = self.known.as_ref().map(|known| &known.vm);
        let others = self.peers.iter().map(|(vm, _)| vm);
        let others: Vec<&VmId> = others.filter(|vm| Some(*vm) != holder).collect();
        let Some(index) = self.asked.checked_rem(others.len()) else {
            return;
        };
        let to = others[index].clone();
        self.asked += 1;
        let message = self.counts_message(now, Vec::new(), false);
        out.push(UsageAction::Send { to, message });
    }

    pub(crate) fn counts_message(
        &mut self,
        now: MonoTime,
        windows: Vec<(u64, UsageCounts)>,
        is_handed_on: bool,
    ) -> UsageMessage {
        self.last_number += 1;
        let number = self.last_number;
        if is_handed_on {
            self.handed_on = Some(HandedOn {
                number,
                sent_at: now,
                windows: windows.clone(),
            });
        }
        let time_us = signed(now.as_micros()) + self.wall_offset_us.unwrap_or(0);
        UsageMessage::Counts {
            number,
            time_us: u64::try_from(time_us).unwrap_or(0),
            token: self.heard_token,
            next_window: self.heard_next_window,
            windows,
        }
    }

    pub(crate) fn announce(&self, message: &UsageMessage, out: &mut Vec<UsageAction>) {
        out.extend(self.peers.iter().map(|(vm, _)| UsageAction::Send {
            to: vm.clone(),
            message: message.clone(),
        }));
    }
}
