//! Rates and bursts of workspaces over the whole fleet.
//!
//! Each roster slot has a share of a workspace's rate and burst; the VM that holds the slot runs
//! the token bucket of that share. A VM that needs more borrows from its peers, in two ways:
//!
//! - tokens, for requests that wait now;
//! - a part of the lender's accrual, with a small capacity, for demand that lasts.
//!
//! The lender counts all that a borrower may hold against its own bucket until the borrower
//! reports otherwise or the loan expires, which happens at the borrower first. So the tokens of
//! all buckets, loans and messages together never exceed the burst, and the parts that accrue
//! never exceed the rate. Lost messages lose tokens; duplicated and late ones are recognised by
//! their numbers.
//!
//! Both ways are kept because of a comparison by simulation (`tests/rates_wrongful.rs`: 8 VMs, 200
//! requests a second evenly spaced at exactly the rate, burst 100, 30 s). All on one VM, tokens
//! alone need 8,308 messages (2,795 B/s at the busiest node) and tokens with lent accrual 2,937
//! (921 B/s). Moving to another VM every 3 s, it is 13,025 against 9,018. Neither refuses any.
//!
//! While VMs hold different versions of the configuration, a workspace may get, slot by slot, the
//! larger of the two shares.

mod account;
mod borrow;
mod demand;
mod event;
mod home;
mod link;
mod loan;
mod message;
mod slots;
mod split;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

pub use event::Lending;
pub use event::RatesAction;
pub use event::RatesEvent;
pub use message::Ask;
pub use message::Grant;
pub use message::RatesMessage;

use crate::config::Config;
use crate::rates::account::Account;
use crate::rates::account::Waiting;
use crate::rates::link::Link;
use crate::rates::split::Split;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::RosterPeer;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// One token in nanotokens. Accrual in nanotokens has no rounding: one millitoken a second is
/// one nanotoken a microsecond.
pub(crate) const TOKEN: u64 = 1_000_000_000;
pub(crate) const NANOS_PER_MILLITOKEN: u64 = 1_000_000;

/// How long a request waits for a token before it is refused.
pub const MAX_WAIT: Duration = Duration::from_millis(100);

/// How long a loan lives at the borrower, from when it sent the ask. A killed borrower takes its
/// loans out of service for this time.
const BORROWER_LIFE: Duration = Duration::from_millis(400);

/// How long a loan lives at the lender, from when it received the ask: the borrower's time, 1% of
/// drift between the clocks and 5 ms for late timers.
pub(crate) const LENDER_LIFE: Duration = Duration::from_millis(409);

/// How often loans are renewed. A loan outlives the loss of one message.
const RENEWAL: Duration = Duration::from_millis(150);

/// How often a borrower looks whether it still needs what it has borrowed.
const REVIEW: Duration = Duration::from_millis(20);

/// Requests beyond those that a full bucket and the wait could serve are refused at once.
const EXTRA_WAITING: usize = 16;

/// The rates of all workspaces on one VM.
#[derive(Clone, Debug)]
pub struct Rates {
    lending: Lending,
    max_wait: Duration,
    slots: Vec<(u16, MonoTime)>,
    usable: BTreeSet<u16>,
    slot_count: u16,
    roster_version: u64,
    peers: BTreeMap<VmId, RosterPeer>,
    /// The roster version since which a peer has lost no slot.
    lender_since: BTreeMap<VmId, u64>,
    lease_until: Option<MonoTime>,
    stopping: bool,
    drained: bool,
    left: bool,
    config: Arc<Config>,
    accounts: BTreeMap<WorkspaceId, Account>,
    links: BTreeMap<VmId, Link>,
    outbox: BTreeMap<VmId, Vec<Ask>>,
    next_renewal: MonoTime,
    next_review: MonoTime,
}

impl Default for Rates {
    fn default() -> Self {
        Self::new(Lending::default())
    }
}

impl Rates {
    /// Creates the role without roster, lease and configuration; it refuses all until it has them.
    pub fn new(lending: Lending) -> Self {
        Self {
            lending,
            max_wait: MAX_WAIT,
            slots: Vec::new(),
            usable: BTreeSet::new(),
            slot_count: 0,
            roster_version: 0,
            peers: BTreeMap::new(),
            lender_since: BTreeMap::new(),
            lease_until: None,
            stopping: false,
            drained: false,
            left: false,
            config: Arc::default(),
            accounts: BTreeMap::new(),
            links: BTreeMap::new(),
            outbox: BTreeMap::new(),
            next_renewal: MonoTime::ZERO,
            next_review: MonoTime::ZERO,
        }
    }

    /// Sets how long a request waits for a token from now on; [`MAX_WAIT`] at first.
    pub fn set_max_wait(&mut self, max_wait: Duration) {
        self.max_wait = max_wait;
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: MonoTime, event: RatesEvent, actions: &mut Vec<RatesAction>) {
        self.check_lease(now, actions);
        self.refresh_usable(now);
        // The request path touches one workspace only.
        if let RatesEvent::Admit {
            workspace,
            request,
            deadline,
        } = event
        {
            self.admit(now, &workspace, request, deadline, actions);
            return self.flush(now, actions);
        }
        self.settle(now);
        match event {
            RatesEvent::Roster(view) => self.apply_roster(now, view, actions),
            RatesEvent::LeaseExtended { until } => self.lease_until = Some(until),
            RatesEvent::LeaseLost => self.lose_lease(actions),
            RatesEvent::Configured(config) => self.apply_config(now, config, actions),
            RatesEvent::Cancelled { request } => self.cancel(request),
            RatesEvent::Received {
                from,
                incarnation,
                message,
            } => self.receive(now, from, incarnation, message, actions),
            RatesEvent::StopRequested => {
                self.stopping = true;
                self.ask_for_spare(now);
            }
            RatesEvent::Leave => self.leave(now),
            RatesEvent::DeadlineReached | RatesEvent::Admit { .. } => {}
        }
        self.serve_waiting(now, actions);
        self.ask_peers(now);
        self.flush(now, actions);
        self.report_drained(actions);
    }

    /// Returns when the role wants to be called again.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let mut deadlines: Vec<MonoTime> = self.lease_until.into_iter().collect();
        let usable = |slot: &u16| self.usable.contains(slot);
        deadlines.extend(self.slots.iter().filter(|s| !usable(&s.0)).map(|s| s.1));
        if self.may_borrow() {
            deadlines.push(self.next_renewal);
            if self.accounts.values().any(|a| a.borrowed_stream() > 0) {
                deadlines.push(self.next_review);
            }
        }
        for account in self.accounts.values() {
            deadlines.extend(account.next_timeout);
            deadlines.extend(account.next_token(account.home.updated()));
            if !account.waiting.is_empty() && self.may_borrow() {
                deadlines.push(account.next_ask);
            }
            if self.stopping {
                deadlines.extend(account.home.next_expiry());
            }
        }
        deadlines.into_iter().min()
    }

    fn has_lease(&self) -> bool {
        self.lease_until.is_some()
    }

    fn may_borrow(&self) -> bool {
        self.lending != Lending::Off && self.has_lease() && !self.left
    }

    fn check_lease(&mut self, now: MonoTime, actions: &mut Vec<RatesAction>) {
        if self.lease_until.is_some_and(|until| until <= now) {
            self.lose_lease(actions);
        }
    }

    /// Drops all tokens, held and borrowed; loans to others stay accounted for.
    fn lose_lease(&mut self, actions: &mut Vec<RatesAction>) {
        self.lease_until = None;
        for account in self.accounts.values_mut() {
            account.home.clear();
            for (peer, source) in &mut account.sources {
                source.give_up(last_seq(&self.links, peer));
            }
            refuse_all(account, Reason::LeaseLost, actions);
        }
    }

    fn settle(&mut self, now: MonoTime) {
        for account in self.accounts.values_mut() {
            account.settle(now, |peer| last_seq(&self.links, peer));
            if self.lease_until.is_none() {
                account.home.clear();
            }
        }
    }

    fn apply_config(&mut self, now: MonoTime, config: Arc<Config>, actions: &mut Vec<RatesAction>) {
        if config.version < self.config.version {
            return;
        }
        self.config = config;
        self.accounts.retain(|id, account| {
            let known = self.config.workspaces.contains_key(id);
            if !known {
                refuse_all(account, Reason::NoRoute, actions);
            }
            // Loans to others outlive the workspace, in case it comes back.
            known || account.home.has_loans()
        });
        for (id, workspace) in &self.config.workspaces {
            let account = self.accounts.entry(id.clone()).or_default();
            account.split = Split::new(id, workspace, self.slot_count);
            let wait_ms = MAX_WAIT.as_millis() as usize;
            let in_wait = workspace.rate_per_s as usize * wait_ms / 1_000;
            account.max_waiting = workspace.burst as usize + in_wait + EXTRA_WAITING;
        }
        for (id, account) in &mut self.accounts {
            if !self.config.workspaces.contains_key(id) {
                account.split = Split::default();
            }
        }
        self.resize(now, self.usable.clone(), false);
    }

    fn admit(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceId,
        request: RequestId,
        deadline: MonoTime,
        actions: &mut Vec<RatesAction>,
    ) {
        let refused = |reason| RatesAction::Refused { request, reason };
        if !self.has_lease() {
            return actions.push(refused(Reason::LeaseLost));
        }
        let known = self.config.workspaces.contains_key(workspace);
        let Some(account) = self.accounts.get_mut(workspace).filter(|_| known) else {
            return actions.push(refused(Reason::NoRoute));
        };
        account.settle(now, |peer| last_seq(&self.links, peer));
        serve(now, account, actions);
        account.demand.record(now);
        if account.waiting.len() >= account.max_waiting {
            return actions.push(refused(Reason::OverRate));
        }
        let until = deadline.min(now + self.max_wait);
        if account.is_dry() && account.expected_wait(now) > until.since(now) {
            // No token can come in time, so the caller need not wait to hear so. The requests that
            // do wait go on asking.
            return actions.push(refused(Reason::OverRate));
        }
        let first = account.next_timeout.map_or(until, |first| first.min(until));
        account.next_timeout = Some(first);
        account.waiting.push_back(Waiting {
            request,
            since: now,
            until,
        });
        serve(now, account, actions);
        if self.may_borrow() {
            self.fetch_tokens(now, workspace);
        }
    }

    fn cancel(&mut self, request: RequestId) {
        for account in self.accounts.values_mut() {
            account.waiting.retain(|waiting| waiting.request != request);
        }
    }

    fn serve_waiting(&mut self, now: MonoTime, actions: &mut Vec<RatesAction>) {
        for account in self.accounts.values_mut() {
            serve(now, account, actions);
        }
    }

    fn leave(&mut self, now: MonoTime) {
        self.stopping = true;
        self.left = true;
        self.return_loans(now);
    }

    fn report_drained(&mut self, actions: &mut Vec<RatesAction>) {
        let lent = self.accounts.values().any(|a| a.home.has_loans());
        if self.stopping && !self.drained && !lent {
            self.drained = true;
            actions.push(RatesAction::Drained);
        }
    }
}

fn last_seq(links: &BTreeMap<VmId, Link>, peer: &VmId) -> u64 {
    links.get(peer).map_or(0, |link| link.seq)
}

/// Admits requests as far as there are tokens and refuses those that waited too long.
fn serve(now: MonoTime, account: &mut Account, actions: &mut Vec<RatesAction>) {
    if account.next_timeout.is_some_and(|first| first <= now) {
        account.waiting.retain(|waiting| {
            let request = waiting.request;
            let reason = Reason::OverRate;
            if waiting.until <= now {
                actions.push(RatesAction::Refused { request, reason });
            }
            waiting.until > now
        });
        account.next_timeout = account.waiting.iter().map(|waiting| waiting.until).min();
    }
    while !account.waiting.is_empty() && account.try_spend() {
        let served = account.next_to_admit(now);
        actions.extend(served.map(|waiting| RatesAction::Admitted {
            request: waiting.request,
        }));
    }
    if account.waiting.is_empty() {
        account.next_timeout = None;
    }
}

fn refuse_all(account: &mut Account, reason: Reason, actions: &mut Vec<RatesAction>) {
    let waiting = std::mem::take(&mut account.waiting);
    account.next_timeout = None;
    actions.extend(waiting.into_iter().map(|waiting| RatesAction::Refused {
        request: waiting.request,
        reason,
    }));
}
