//! Counts the operations that members began for each workspace, and reports the counts of each
//! window of true time to the platform.
//!
//! Each VM counts what it sends to members and hands the counts on to one VM, the holder. The holder
//! fixes the counts of a window by a conditional write to its record in the store before it reports
//! them, so that a repeat, also by the next holder, is the same report. See
//! `docs/design/usage-accounting.md`.

mod claim;
mod counter;
mod hand_on;
mod holder;
mod message;
mod windows;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

pub use message::FixedWindow;
pub use message::UsageAction;
pub use message::UsageCounts;
pub use message::UsageMessage;
pub use message::UsageNote;
pub use message::UsageOutcome;
pub use message::UsageRecord;
pub use message::UsageRules;

use claim::PendingWrite;
use counter::Counter;
use holder::Duty;

/// Shortest time between two messages of a VM to the holder.
const MIN_HAND_ON_INTERVAL: Duration = Duration::from_secs(1);

/// Added to that time for each VM, so that the holder gets at most 500 messages a second.
const HAND_ON_INTERVAL_PER_VM: Duration = Duration::from_millis(2);

/// Time between two messages of a VM that has nothing to hand on. They tell the VM the holder's time,
/// and the holder that of the VM.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);

/// Delay between the attempts of VMs of successive ranks to become the holder. It exceeds the time of
/// the two calls to the store and of the announcement.
const DELAY_PER_RANK: Duration = Duration::from_millis(300);

/// How the holder is known to this VM.
#[derive(Clone, Debug)]
struct KnownHolder {
    vm: VmId,
    token: u64,
}

/// The counts of a holder at its deputy.
#[derive(Clone, Debug)]
struct Deposit {
    vm: VmId,
    incarnation: Incarnation,
    windows: Vec<(u64, UsageCounts)>,
}

/// A message whose answer is outstanding.
#[derive(Clone, Debug)]
struct HandedOn {
    number: u64,
    sent_at: MonoTime,
    windows: Vec<(u64, UsageCounts)>,
}

/// The usage reporting of one VM.
#[derive(Debug)]
pub struct UsageReporter {
    vm: VmId,
    incarnation: Incarnation,
    rules: UsageRules,
    /// The other VMs, latest start first. A VM that has just started is unlikely to be the next one
    /// to be stopped when all VMs are restarted in turn.
    peers: Vec<(VmId, Incarnation)>,
    started_at: MonoTime,
    counter: Counter,
    /// Operations that were counted too late and are not reported as lost yet.
    lost_operations: u64,
    /// This VM's time of day minus its steady clock, in microseconds.
    wall_offset_us: Option<i64>,
    /// The time of day by which windows are determined, minus this VM's steady clock.
    fleet_offset_us: Option<i64>,
    known: Option<KnownHolder>,
    /// The highest fencing token and the first window that is not fixed, as heard from any VM.
    heard_token: u64,
    heard_next_window: u64,
    /// When the oldest message was sent that the holder has not answered.
    unanswered_since: Option<MonoTime>,
    /// When another VM last answered a message.
    answered_at: Option<MonoTime>,
    /// When the holder last answered this VM.
    holder_answered_at: Option<MonoTime>,
    /// Whether the holder is asked at the next opportunity, even if there is nothing to hand on.
    checks_holder: bool,
    handed_on: Option<HandedOn>,
    last_number: u64,
    next_hand_on_at: MonoTime,
    /// How many other VMs were asked for the holder since it was last known to be up.
    asked: usize,
    /// What the holder itself has counted, kept in case that this VM follows it.
    deposit: Option<Deposit>,
    duty: Option<Duty>,
    /// When this VM last sent a report, or may have done so in an earlier process.
    reported_at: MonoTime,
    write: Option<PendingWrite>,
    last_sequence: u64,
    has_stopped: bool,
    is_store_reachable: bool,
}

impl UsageReporter {
    /// Creates the usage reporting of a VM that knows no other VMs yet.
    pub fn new(vm: VmId, incarnation: Incarnation, rules: UsageRules, now: MonoTime) -> Self {
        Self {
            vm,
            incarnation,
            rules,
            peers: Vec::new(),
            started_at: now,
            counter: Counter::default(),
            lost_operations: 0,
            wall_offset_us: None,
            fleet_offset_us: None,
            known: None,
            heard_token: 0,
            heard_next_window: 0,
            unanswered_since: None,
            answered_at: None,
            holder_answered_at: None,
            checks_holder: false,
            handed_on: None,
            last_number: 0,
            next_hand_on_at: now,
            asked: 0,
            deposit: None,
            duty: None,
            reported_at: now,
            write: None,
            last_sequence: 0,
            has_stopped: false,
            is_store_reachable: true,
        }
    }

    /// Sets the other VMs of the fleet that understand the messages.
    pub fn set_peers(&mut self, peers: impl Iterator<Item = (VmId, Incarnation)>) {
        self.peers = peers.filter(|(vm, _)| *vm != self.vm).collect();
        self.peers
            .sort_by_key(|(vm, incarnation)| (Reverse(*incarnation), vm.clone()));
    }

    /// Sets this VM's time of day, in microseconds of Unix time.
    pub fn set_wall_time(&mut self, now: MonoTime, time_us: u64) {
        self.wall_offset_us = Some(signed(time_us) - signed(now.as_micros()));
    }

    /// Sets whether this VM has had answers from the store lately. Without them it claims nothing.
    pub fn set_store_reachable(&mut self, is_reachable: bool) {
        self.is_store_reachable = is_reachable;
    }

    /// Counts an operation of a workspace that began at a member at the given time.
    pub fn record(&mut self, began_at: MonoTime, workspace: &WorkspaceId) {
        match self.window_at(began_at) {
            Some(window) if window >= self.heard_next_window => self.counter.add(window, workspace),
            _ => self.lost_operations += 1,
        }
    }

    /// Handles a message of another VM.
    pub fn peer_sent(
        &mut self,
        now: MonoTime,
        from: &VmId,
        incarnation: Incarnation,
        message: UsageMessage,
        out: &mut Vec<UsageAction>,
    ) {
        match message {
            UsageMessage::Counts {
                number,
                time_us,
                token,
                next_window,
                windows,
            } => {
                self.note_heard(token, next_window);
                if let Some(duty) = &mut self.duty {
                    let offset_us = signed(time_us) - signed(now.as_micros());
                    duty.counts_received(now, from, incarnation, offset_us, windows);
                    duty.check_peer(token, next_window);
                } else if self.known.as_ref().is_some_and(|known| known.vm == *from) {
                    self.deposit = Some(Deposit {
                        vm: from.clone(),
                        incarnation,
                        windows,
                    });
                }
                let message = self.answer(now, number, false);
                out.push(UsageAction::Send {
                    to: from.clone(),
                    message,
                });
                if self.duty.is_none() && self.unanswered_since.is_none() {
                    // The sender looks for the holder; finds out whether this VM reaches it.
                    self.checks_holder = true;
                    self.next_hand_on_at = now;
                }
            }
            UsageMessage::Answer {
                number,
                holder,
                token,
                next_window,
                heard_ms,
                time_us,
                has_resigned,
            } => {
                self.answered_at = Some(now);
                self.note_heard(token, next_window);
                self.drop_settled_windows(now, out);
                if let Some(holder) = holder {
                    let heard = Duration::from_millis(heard_ms);
                    self.holder_learned(now, holder, token, heard, has_resigned);
                }
                if let Some(time_us) = time_us {
                    self.counts_taken(now, number, time_us);
                }
            }
        }
    }

    /// Carries out what is due. Has to be called several times a second.
    pub fn run(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        self.drop_settled_windows(now, out);
        if self.duty.is_some() {
            self.run_duty(now, out);
            self.hand_on_to_deputy(now, out);
        } else if !self.has_stopped {
            self.claim_if_due(now, out);
        }
        self.retry_write(now, out);
        if self.duty.is_none() && now >= self.next_hand_on_at {
            self.hand_on(now, out);
        }
    }

    /// Ends the duty, since this VM stops. It goes on to hand on what it counts.
    pub fn stop(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        self.has_stopped = true;
        self.resign(now, "VM stops", out);
    }

    /// Ends the duty and lets another VM claim it at once.
    pub(crate) fn resign(
        &mut self,
        now: MonoTime,
        cause: &'static str,
        out: &mut Vec<UsageAction>,
    ) {
        self.write = None;
        if self.duty.is_none() {
            return;
        }
        let message = self.answer(now, 0, true);
        self.end_duty(cause, out);
        self.announce(&message, out);
    }

    /// Hands on what is left, since the process is about to exit.
    pub fn flush(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        self.hand_on(now, out);
    }

    fn hand_on_interval(&self) -> Duration {
        let vms = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let interval = MIN_HAND_ON_INTERVAL.max(HAND_ON_INTERVAL_PER_VM.saturating_mul(vms));
        interval.min(self.rules.deadline / 4)
    }

    fn note_heard(&mut self, token: u64, next_window: u64) {
        self.heard_token = self.heard_token.max(token);
        self.heard_next_window = self.heard_next_window.max(next_window);
    }

    /// Returns the time without an answer after which another VM takes the duty over.
    fn takeover_timeout(&self) -> Duration {
        self.rules.lease * 5 / 4
    }

    fn holder_learned(
        &mut self,
        now: MonoTime,
        vm: VmId,
        token: u64,
        heard: Duration,
        has_resigned: bool,
    ) {
        let known = self.known.as_ref().map(|known| known.token);
        if known.is_some_and(|known| token < known) {
            return;
        }
        if known != Some(token) {
            self.known = Some(KnownHolder { vm, token });
            self.counter.reset_acknowledged();
            self.handed_on = None;
            self.unanswered_since = None;
            self.holder_answered_at = None;
            self.next_hand_on_at = now;
            if self.duty.as_ref().is_some_and(|duty| duty.token() < token) {
                // Verified by the next write to the record.
                self.distrust_duty();
            }
        }
        if has_resigned {
            // No answer of the former holder will come.
            let silent_since = now
                .as_micros()
                .saturating_sub(micros(self.takeover_timeout()));
            self.unanswered_since = Some(MonoTime::from_micros(silent_since));
            return;
        }
        let heard_at = MonoTime::from_micros(now.as_micros().saturating_sub(micros(heard)));
        if heard.is_zero() {
            self.holder_answered_at = Some(now);
            self.unanswered_since = None;
        } else if let Some(since) = self.unanswered_since {
            self.unanswered_since = Some(since.max(heard_at));
        }
        if self.unanswered_since.is_none() {
            self.asked = 0;
        }
    }

    /// Handles the holder's answer to a message.
    fn counts_taken(&mut self, now: MonoTime, number: u64, time_us: u64) {
        let answered = self
            .handed_on
            .take_if(|handed_on| handed_on.number == number);
        let Some(handed_on) = answered else {
            return;
        };
        self.counter.acknowledge(&handed_on.windows);
        let one_way = micros(now.since(handed_on.sent_at)) / 2;
        self.fleet_offset_us = Some(signed(time_us + one_way) - signed(now.as_micros()));
    }

    fn answer(&self, now: MonoTime, number: u64, has_resigned: bool) -> UsageMessage {
        let is_holder = self.duty.is_some();
        let own_token = self.duty.as_ref().map(Duty::token);
        // Zero is reserved for the holder itself.
        let answered_at = self.holder_answered_at;
        let heard = answered_at.map_or(Duration::MAX, |answered_at| now.since(answered_at));
        let offset = self.fleet_offset_us.or(self.wall_offset_us);
        let time_us = offset.map(|offset| signed(now.as_micros()) + offset);
        let time_us = time_us.and_then(|time_us| u64::try_from(time_us).ok());
        UsageMessage::Answer {
            number,
            holder: match is_holder {
                true => Some(self.vm.clone()),
                false => self.known.as_ref().map(|known| known.vm.clone()),
            },
            token: own_token
                .or(self.known.as_ref().map(|known| known.token))
                .unwrap_or(0),
            next_window: self.heard_next_window,
            heard_ms: match is_holder {
                true => 0,
                false => (micros(heard) / 1_000).max(1),
            },
            time_us: time_us.filter(|_| is_holder),
            has_resigned,
        }
    }

    /// Drops the counts that no report can contain any more.
    fn drop_settled_windows(&mut self, now: MonoTime, out: &mut Vec<UsageAction>) {
        let is_holder = self.duty.is_some();
        let late = self.counter.drop_fixed(self.heard_next_window);
        let overdue = self.counter.drop_overdue(self.first_open_window(now));
        // The holder's own counts need no message.
        let late = if is_holder { 0 } else { late };
        let operations = overdue + late + std::mem::take(&mut self.lost_operations);
        if operations > 0 {
            out.push(UsageAction::Note(UsageNote::Lost { operations }));
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Returns the median, or `None` of too few values to tell which of them are off.
fn median(mut values: Vec<i64>) -> Option<i64> {
    values.sort_unstable();
    (values.len() >= 3).then(|| values[values.len() / 2])
}

/// The counts that the holder knows of, by the process that counted them.
type Collected = BTreeMap<u64, BTreeMap<(VmId, Incarnation), UsageCounts>>;
