//! Rate limits of workspaces, enforced over the whole fleet.
//!
//! A workspace's rate and burst are split over the slots of the roster, and the VM that holds a
//! slot runs the token bucket of that share. A VM that needs more than its share borrows from its
//! peers, in two ways:
//!
//! - tokens, for requests that are waiting now;
//! - a part of the lender's refill rate, with a small capacity, for sustained demand.
//!
//! The lender counts everything that a borrower may hold against its own bucket until the borrower
//! reports otherwise or the loan expires, which happens at the borrower first. The tokens in all
//! buckets, loans and messages together therefore never exceed the burst, and the refill rates in
//! use never exceed the rate. A lost message can only lose tokens; duplicate and late messages are
//! recognised by their sequence numbers.
//!
//! Lending refill rates in addition to tokens saves messages, as a simulation shows
//! (`tests/rates_wrongful.rs`: 8 VMs, 200 requests a second evenly spaced at exactly the rate,
//! burst 100, 30 s). With all traffic on one VM, lending tokens alone takes 8,308 messages
//! (2,795 B/s at the busiest node), and lending tokens and refill rates takes 2,937 (921 B/s). With
//! traffic that moves to another VM every 3 s, it is 13,025 against 9,018. Neither refuses any
//! request.
//!
//! While VMs run different versions of the configuration, a workspace may get the larger of the
//! two shares for each slot.

mod borrow;
mod bucket;
mod demand;
mod event;
mod limiter;
mod loan;
mod message;
mod send_log;
mod slots;
mod split;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

pub use event::LendingMode;
pub use event::RatesAction;
pub use event::RatesEvent;
pub use message::Grant;
pub use message::LoanRequest;
pub use message::RatesMessage;
pub use split::RateDistribution;
pub use split::SlotOwner;

use crate::config::Config;
use crate::rates::limiter::Limiter;
use crate::rates::limiter::WaitingRequest;
use crate::rates::send_log::SendLog;
use crate::rates::split::Split;
use crate::rates::split::SplitLayout;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::RosterPeer;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// Nanotokens in one token. Refilling in nanotokens needs no rounding: one millitoken a
/// second is one nanotoken a microsecond.
pub(crate) const NANOTOKENS_PER_TOKEN: u64 = 1_000_000_000;
pub(crate) const NANOTOKENS_PER_MILLITOKEN: u64 = 1_000_000;

/// The longest time that a request waits for a token before it is refused, unless
/// [`Rates::set_max_wait`] sets another one.
pub const MAX_TOKEN_WAIT: Duration = Duration::from_millis(100);

/// The longest such wait while a workspace sends more than its rate: the time in which a peer can
/// lend a token.
const MAX_TOKEN_WAIT_IN_OVERLOAD: Duration = Duration::from_millis(20);

/// The lifetime of a loan at the borrower, from when it sent the loan request. What a
/// killed VM had borrowed is unavailable to the fleet for this long.
const BORROWER_LOAN_LIFETIME: Duration = Duration::from_millis(400);

/// The lifetime of a loan at the lender, from when it received the loan request: the
/// borrower's lifetime, 1% of clock drift and 5 ms for late timers.
pub(crate) const LENDER_LOAN_LIFETIME: Duration = Duration::from_millis(409);

/// The interval at which loans are renewed, short enough for a loan to survive one lost
/// message.
const LOAN_RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// The interval at which a borrower checks whether it still needs its loans.
const IDLE_LOAN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Requests that may wait beyond those that a full bucket and its refill during the wait can
/// serve; further ones are refused at once.
const EXTRA_WAITING_REQUESTS: usize = 16;

/// The rate limiters of all workspaces on one VM, as a state machine without I/O.
#[derive(Clone, Debug)]
pub struct Rates {
    lending_mode: LendingMode,
    layout: SplitLayout,
    max_wait: Duration,
    shortens_waits: bool,
    /// The slots that the roster assigns to this VM, and when each becomes usable.
    held_slots: Vec<(u16, MonoTime)>,
    usable_slots: BTreeSet<u16>,
    /// The tokens of each workspace with which the buckets of all VMs together begin.
    start_tokens: u32,
    has_started: bool,
    /// Whether the owners have changed since the rates were split over the slots.
    owners_changed: bool,
    roster_version: u64,
    peers: BTreeMap<VmId, RosterPeer>,
    /// By peer, the roster version since which it has lost no slot. A grant from an older roster
    /// may come from a slot that the peer no longer holds.
    min_answer_roster_version: BTreeMap<VmId, u64>,
    lease_until: Option<MonoTime>,
    stopping: bool,
    drained_reported: bool,
    has_left: bool,
    config: Arc<Config>,
    limiters: BTreeMap<WorkspaceId, Limiter>,
    send_logs: BTreeMap<VmId, SendLog>,
    outbox: BTreeMap<VmId, Vec<LoanRequest>>,
    next_renewal: MonoTime,
    next_idle_check: MonoTime,
}

impl Default for Rates {
    fn default() -> Self {
        Self::new(LendingMode::default())
    }
}

impl Rates {
    /// Creates the limiters without roster, lease and configuration; every request is refused until
    /// they have arrived.
    pub fn new(lending_mode: LendingMode) -> Self {
        Self {
            lending_mode,
            layout: SplitLayout::default(),
            max_wait: MAX_TOKEN_WAIT,
            shortens_waits: false,
            held_slots: Vec::new(),
            usable_slots: BTreeSet::new(),
            start_tokens: 0,
            has_started: false,
            owners_changed: false,
            roster_version: 0,
            peers: BTreeMap::new(),
            min_answer_roster_version: BTreeMap::new(),
            lease_until: None,
            stopping: false,
            drained_reported: false,
            has_left: false,
            config: Arc::default(),
            limiters: BTreeMap::new(),
            send_logs: BTreeMap::new(),
            outbox: BTreeMap::new(),
            next_renewal: MonoTime::ZERO,
            next_idle_check: MonoTime::ZERO,
        }
    }

    /// Sets how long new requests wait for a token; the default is [`MAX_TOKEN_WAIT`].
    pub fn set_max_wait(&mut self, max_wait: Duration) {
        self.max_wait = max_wait;
    }

    /// Sets whether requests of a workspace that has many refused wait for a token only as long as a
    /// peer needs to lend one; the default is `false`.
    pub fn set_shortens_waits(&mut self, shortens_waits: bool) {
        self.shortens_waits = shortens_waits;
    }

    /// Sets how many tokens of each workspace the buckets of all VMs together hold after their start;
    /// the default is 0. A VM that starts gets the part of its first slots. Requests may exceed a
    /// limit by this number each time all VMs restart.
    pub fn set_start_tokens(&mut self, tokens: u32) {
        self.start_tokens = tokens;
    }

    /// Sets how rates are distributed over the slots; the default is [`RateDistribution::Spread`].
    /// It is used from the next configuration or roster on. All VMs must use the same distribution.
    pub fn set_distribution(&mut self, distribution: RateDistribution) {
        self.layout.distribution = distribution;
    }

    /// Sets the owners of the slots by number for the next roster. Shares then belong to VMs: a
    /// slot that is added or removed moves only the shares that it gets or had, and a VM keeps the
    /// tokens of a share that it keeps.
    pub fn set_slot_owners(&mut self, owners: Vec<SlotOwner>) {
        self.owners_changed |= self.layout.owners != owners;
        self.layout.owners = owners;
    }

    /// Returns the slots that hold a share of a workspace's rate, by rank. The order is the same on
    /// all VMs with the same configuration and roster.
    pub fn share_slots(&self, workspace: &WorkspaceId) -> &[u16] {
        let limiter = self.limiters.get(workspace);
        limiter.map_or(&[], |limiter| limiter.split.holders())
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: MonoTime, event: RatesEvent, actions: &mut Vec<RatesAction>) {
        self.check_lease(now, actions);
        self.activate_due_slots(now);
        // This is the request path, so it works on one workspace only.
        if let RatesEvent::Admit {
            workspace,
            request,
            deadline,
            priority,
        } = event
        {
            self.admit(now, &workspace, request, deadline, priority, actions);
            return self.flush(now, actions);
        }
        // Messages of peers are frequent in a large fleet, and each concerns few workspaces.
        if let RatesEvent::Received {
            from,
            incarnation,
            message,
        } = event
        {
            self.receive(now, from, incarnation, message, actions);
            self.queue_due_loan_requests(now);
            self.flush(now, actions);
            return self.report_drained(actions);
        }
        self.advance(now);
        match event {
            RatesEvent::Roster(view) => self.apply_roster(now, view, actions),
            RatesEvent::LeaseExtended { until } => self.lease_until = Some(until),
            RatesEvent::LeaseLost => self.lose_lease(actions),
            RatesEvent::Configured(config) => self.apply_config(now, config, actions),
            RatesEvent::Cancelled { request } => self.cancel(request),
            RatesEvent::StopRequested => {
                self.stopping = true;
                self.query_spare_tokens(now);
            }
            RatesEvent::StopFinished => self.leave(now),
            RatesEvent::DeadlineReached
            | RatesEvent::Admit { .. }
            | RatesEvent::Received { .. } => {}
        }
        self.process_all_waiting(now, actions);
        self.queue_due_loan_requests(now);
        self.flush(now, actions);
        self.report_drained(actions);
    }

    /// Returns when [`RatesEvent::DeadlineReached`] is due next.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let mut deadlines: Vec<MonoTime> = self.lease_until.into_iter().collect();
        let usable = |slot: &u16| self.usable_slots.contains(slot);
        deadlines.extend(
            self.held_slots
                .iter()
                .filter(|s| !usable(&s.0))
                .map(|s| s.1),
        );
        if self.may_borrow() {
            if self.limiters.values().any(Limiter::may_need_loans) {
                deadlines.push(self.next_renewal);
            }
            if self
                .limiters
                .values()
                .any(|limiter| limiter.borrowed_refill_rate() > 0)
            {
                deadlines.push(self.next_idle_check);
            }
        }
        for limiter in self.limiters.values() {
            deadlines.extend(limiter.next_timeout);
            deadlines.extend(limiter.next_token(limiter.bucket.updated()));
            if !limiter.waiting.is_empty() && self.may_borrow() {
                deadlines.push(limiter.next_fetch);
            }
            if self.stopping {
                deadlines.extend(limiter.bucket.next_expiry());
            }
        }
        deadlines.into_iter().min()
    }

    fn has_lease(&self) -> bool {
        self.lease_until.is_some()
    }

    fn may_borrow(&self) -> bool {
        self.lending_mode != LendingMode::Off && self.has_lease() && !self.has_left
    }

    fn check_lease(&mut self, now: MonoTime, actions: &mut Vec<RatesAction>) {
        if self.lease_until.is_some_and(|until| until <= now) {
            self.lose_lease(actions);
        }
    }

    /// Drops all tokens, own and borrowed; what is lent to peers stays reserved.
    fn lose_lease(&mut self, actions: &mut Vec<RatesAction>) {
        self.lease_until = None;
        for limiter in self.limiters.values_mut() {
            limiter.bucket.clear();
            for (peer, lender) in &mut limiter.lenders {
                lender.drop_loan(last_seq(&self.send_logs, peer));
            }
            refuse_all(limiter, Reason::LeaseLost, actions);
        }
    }

    fn advance(&mut self, now: MonoTime) {
        for limiter in self.limiters.values_mut() {
            limiter.advance(now, |peer| last_seq(&self.send_logs, peer));
            if self.lease_until.is_none() {
                limiter.bucket.clear();
            }
        }
    }

    fn apply_config(&mut self, now: MonoTime, config: Arc<Config>, actions: &mut Vec<RatesAction>) {
        if config.version < self.config.version {
            return;
        }
        self.config = config;
        self.limiters.retain(|id, limiter| {
            let known = self.config.workspaces.contains_key(id);
            if !known {
                refuse_all(limiter, Reason::NoRoute, actions);
            }
            // Loans to peers are kept when a workspace is removed, in case it is added again.
            known || limiter.bucket.has_loans()
        });
        let mut splits = self.layout.split_all(&self.config.workspaces);
        for (id, workspace) in &self.config.workspaces {
            let limiter = self.limiters.entry(id.clone()).or_default();
            limiter.split = splits.remove(id).unwrap_or_default();
            let wait_ms = MAX_TOKEN_WAIT.as_millis() as usize;
            let accrued_in_wait = workspace.rate_per_s as usize * wait_ms / 1_000;
            limiter.max_waiting =
                workspace.burst as usize + accrued_in_wait + EXTRA_WAITING_REQUESTS;
        }
        for (id, limiter) in &mut self.limiters {
            if !self.config.workspaces.contains_key(id) {
                limiter.split = Split::default();
            }
        }
        self.update_share_holders();
        self.set_usable_slots(now, self.usable_slots.clone(), false);
    }

    fn admit(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceId,
        request: RequestId,
        deadline: MonoTime,
        priority: u8,
        actions: &mut Vec<RatesAction>,
    ) {
        let refused = |reason| RatesAction::Refused { request, reason };
        if !self.has_lease() {
            return actions.push(refused(Reason::LeaseLost));
        }
        let known = self.config.workspaces.contains_key(workspace);
        let Some(limiter) = self.limiters.get_mut(workspace).filter(|_| known) else {
            return actions.push(refused(Reason::NoRoute));
        };
        limiter.advance(now, |peer| last_seq(&self.send_logs, peer));
        process_waiting(now, limiter, actions);
        limiter.demand.record_arrival(now);
        limiter.record_priority(now, priority);
        if limiter.waiting.len() >= limiter.max_waiting {
            limiter.record_outcome(true);
            return actions.push(refused(Reason::OverRate));
        }
        let is_short = limiter.is_overloaded() && !limiter.precedes_others(now, priority);
        let max_wait = match self.shortens_waits && is_short {
            true => self.max_wait.min(MAX_TOKEN_WAIT_IN_OVERLOAD),
            false => self.max_wait,
        };
        let until = deadline.min(now + max_wait);
        if limiter.peers_are_exhausted() && limiter.expected_wait(now, priority) > until.since(now)
        {
            limiter.record_outcome(true);
            // No token can arrive in time, so waiting would only delay the refusal. Requests that
            // are already waiting keep requesting tokens from peers.
            return actions.push(refused(Reason::OverRate));
        }
        let first = limiter.next_timeout.map_or(until, |first| first.min(until));
        limiter.next_timeout = Some(first);
        limiter.waiting.push_back(WaitingRequest {
            request,
            priority,
            since: now,
            until,
        });
        process_waiting(now, limiter, actions);
        if self.may_borrow() {
            self.fetch_tokens(now, workspace);
        }
    }

    fn cancel(&mut self, request: RequestId) {
        for limiter in self.limiters.values_mut() {
            limiter.waiting.retain(|waiting| waiting.request != request);
        }
    }

    fn process_all_waiting(&mut self, now: MonoTime, actions: &mut Vec<RatesAction>) {
        for limiter in self.limiters.values_mut() {
            process_waiting(now, limiter, actions);
        }
    }

    fn leave(&mut self, now: MonoTime) {
        self.stopping = true;
        self.has_left = true;
        self.return_loans(now);
    }

    fn report_drained(&mut self, actions: &mut Vec<RatesAction>) {
        let lent = self
            .limiters
            .values()
            .any(|limiter| limiter.bucket.has_loans());
        if self.stopping && !self.drained_reported && !lent {
            self.drained_reported = true;
            actions.push(RatesAction::LoansReturned);
        }
    }
}

fn last_seq(send_logs: &BTreeMap<VmId, SendLog>, peer: &VmId) -> u64 {
    send_logs.get(peer).map_or(0, |send_log| send_log.seq)
}

/// Refuses the requests that have waited too long, and admits others while there are tokens.
fn process_waiting(now: MonoTime, limiter: &mut Limiter, actions: &mut Vec<RatesAction>) {
    if limiter.next_timeout.is_some_and(|first| first <= now) {
        let mut timed_out = 0;
        limiter.waiting.retain(|waiting| {
            let request = waiting.request;
            let reason = Reason::OverRate;
            if waiting.until <= now {
                timed_out += 1;
                actions.push(RatesAction::Refused { request, reason });
            }
            waiting.until > now
        });
        (0..timed_out).for_each(|_| limiter.record_outcome(true));
        limiter.next_timeout = limiter.waiting.iter().map(|waiting| waiting.until).min();
    }
    while let Some(next) = limiter.next_to_admit(now)
        && limiter.try_spend()
    {
        limiter.record_outcome(false);
        let admitted = limiter.waiting.remove(next);
        actions.extend(admitted.map(|waiting| RatesAction::Admitted {
            request: waiting.request,
        }));
    }
    if limiter.waiting.is_empty() {
        limiter.next_timeout = None;
    }
}

fn refuse_all(limiter: &mut Limiter, reason: Reason, actions: &mut Vec<RatesAction>) {
    let waiting = std::mem::take(&mut limiter.waiting);
    limiter.next_timeout = None;
    actions.extend(waiting.into_iter().map(|waiting| RatesAction::Refused {
        request: waiting.request,
        reason,
    }));
}
