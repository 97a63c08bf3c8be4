//! The roles of one VM, and the order in which they handle events.
//!
//! A driver event is translated into events for roles. The actions of a role become events for
//! other roles, or actions for the driver. Role events are handled first in, first out, so that a
//! role never sees an effect before its cause.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::config::Config;
use crate::config::ConfigWatcher;
use crate::config::ConfigWatcherEvent;
use crate::dispatch::Dispatch;
use crate::dispatch::DispatchEvent;
use crate::drain::Drain;
use crate::drain::DrainEvent;
use crate::exchange::ExchangeEvent;
use crate::exchange::Exchanges;
use crate::failover::Failover;
use crate::failover::FailoverEvent;
use crate::membership::Membership;
use crate::membership::MembershipEvent;
use crate::membership::RosterMember;
use crate::rates::Rates;
use crate::rates::RatesEvent;
use crate::session::SessionSecrets;
use crate::types::ConnectionId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::VmId;
use crate::vm::MemberCommand;
use crate::vm::VmAction;
use crate::vm::VmEvent;
use crate::vm::VmSettings;
use crate::vm::callers::Callers;
use crate::vm::calls::MemberCommands;
use crate::vm::calls::PlatformCalls;
use crate::vm::counters::OutcomeCounters;
use crate::vm::primaries::Primaries;
use crate::vm::running::RunningStatements;
use crate::vm::trace::Trace;

/// An event for one of the roles.
#[derive(Debug)]
pub(super) enum RoleEvent {
    ConfigWatcher(ConfigWatcherEvent),
    Membership(MembershipEvent),
    Failover(FailoverEvent),
    Rates(RatesEvent),
    Dispatch(DispatchEvent),
    Exchange(ExchangeEvent),
    Drain(DrainEvent),
}

/// The progress of a planned stop towards leaving the roster.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MembershipRelease {
    /// Whether the drain role has requested the release, after the last request has finished.
    pub(super) requested: bool,
    /// Whether all tokens that this VM lent have been returned.
    pub(super) tokens_returned: bool,
}

/// The decision logic of one VM, composed of its roles.
#[derive(Debug)]
pub struct Vm {
    pub(super) settings: VmSettings,
    pub(super) config_watcher: ConfigWatcher,
    pub(super) membership: Membership,
    pub(super) failover: Failover,
    pub(super) rates: Rates,
    pub(super) dispatch: Dispatch,
    pub(super) exchanges: Exchanges,
    pub(super) drain: Drain,
    pub(super) config: Option<Arc<Config>>,
    /// The secrets that sign session tokens; `None` until a configuration has provided valid ones.
    pub(super) secrets: Option<SessionSecrets>,
    /// Generates the numbers of new sessions. They are random because VMs number sessions
    /// independently of each other.
    pub(super) session_numbers: ChaCha8Rng,
    pub(super) callers: Callers,
    pub(super) calls: PlatformCalls,
    pub(super) commands: MemberCommands,
    pub(super) primaries: Primaries,
    pub(super) connections: BTreeMap<ConnectionId, (GroupId, MemberId)>,
    pub(super) running: RunningStatements,
    pub(super) release: MembershipRelease,
    pub(super) counters: OutcomeCounters,
    pub(super) trace: Trace,
    pub(super) pending_events: VecDeque<RoleEvent>,
    /// The end of the lease as last reported to the roles; `None` before the first lease and after
    /// its loss.
    pub(super) reported_lease_until: Option<MonoTime>,
    /// Whether the platform serves, as last reported to the failover role.
    pub(super) reported_platform_serves: Option<bool>,
}

impl Vm {
    /// Creates a VM without configuration and lease. It requests them from the platform when it
    /// handles its first event.
    pub fn new(settings: VmSettings) -> Self {
        let me = RosterMember {
            vm: settings.vm.clone(),
            incarnation: settings.incarnation,
            address: settings.peer_address,
            data_centre: settings.data_centre.clone(),
            slots: Vec::new(),
        };
        let seed = settings.seed;
        Self {
            config_watcher: ConfigWatcher::new(ChaCha8Rng::seed_from_u64(seed)),
            membership: Membership::new(me, settings.membership.clone(), seed ^ 1),
            failover: Failover::new(settings.vm.clone(), settings.failover.clone()),
            rates: Rates::default(),
            dispatch: Dispatch::new(settings.vm.clone(), settings.incarnation),
            exchanges: Exchanges::new(settings.exchange, seed ^ 2),
            drain: Drain::new(settings.drain),
            config: None,
            secrets: None,
            session_numbers: ChaCha8Rng::seed_from_u64(seed ^ 3),
            callers: Callers::default(),
            calls: PlatformCalls::default(),
            commands: MemberCommands::default(),
            primaries: Primaries::default(),
            connections: BTreeMap::new(),
            running: RunningStatements::default(),
            release: MembershipRelease::default(),
            counters: OutcomeCounters::default(),
            trace: Trace::new(&settings),
            pending_events: VecDeque::new(),
            reported_lease_until: None,
            reported_platform_serves: None,
            settings,
        }
    }

    /// Handles an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: MonoTime, event: VmEvent, actions: &mut Vec<VmAction>) {
        self.push_due(now);
        self.push_platform_change(now);
        self.run(now, actions);
        self.receive_event(now, event, actions);
        self.run(now, actions);
        for (group, member) in self.primaries.take_due_probes(now) {
            self.command_member(now, group, member, MemberCommand::Status, actions);
        }
        self.push_quiesced_groups();
        self.run(now, actions);
        if self.drain.is_draining() {
            self.pending_events
                .push_back(RoleEvent::Drain(DrainEvent::Progress(
                    self.remaining_callers(),
                )));
            self.run(now, actions);
        }
    }

    /// Returns when the driver has to report `VmEvent::DeadlineReached`.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        [
            self.config_watcher.next_deadline(),
            self.membership.next_deadline(),
            self.failover.next_deadline(),
            self.rates.next_deadline(),
            self.dispatch.next_deadline(),
            self.exchanges.next_deadline(),
            self.drain.next_deadline(),
            self.primaries.next_deadline(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the configuration in force, or `None` before the first one is applied.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the address of a member, or `None` if the configuration does not declare it.
    pub fn member_address(&self, group: &GroupId, member: &MemberId) -> Option<SocketAddr> {
        let group = self.config.as_ref()?.groups.get(group)?;
        group.members.get(member).map(|member| member.address)
    }

    /// Sends an event to each role whose deadline has passed. Membership is first, because the
    /// lease decides what the other roles may do.
    fn push_due(&mut self, now: MonoTime) {
        let due = |deadline: Option<MonoTime>| deadline.is_some_and(|at| at <= now);
        if due(self.membership.next_deadline()) {
            self.push(RoleEvent::Membership(MembershipEvent::DeadlineReached));
        }
        if due(self.failover.next_deadline()) {
            self.push(RoleEvent::Failover(FailoverEvent::DeadlineReached));
        }
        if due(self.rates.next_deadline()) {
            self.push(RoleEvent::Rates(RatesEvent::DeadlineReached));
        }
        if due(self.dispatch.next_deadline()) {
            self.push(RoleEvent::Dispatch(DispatchEvent::DeadlineReached));
        }
        if due(self.exchanges.next_deadline()) {
            self.push(RoleEvent::Exchange(ExchangeEvent::DeadlineReached));
        }
        if due(self.config_watcher.next_deadline()) {
            self.push(RoleEvent::ConfigWatcher(ConfigWatcherEvent::Tick));
        }
    }

    pub(super) fn push(&mut self, role_event: RoleEvent) {
        self.pending_events.push_back(role_event);
    }

    fn run(&mut self, now: MonoTime, actions: &mut Vec<VmAction>) {
        while let Some(role_event) = self.pending_events.pop_front() {
            match role_event {
                RoleEvent::ConfigWatcher(event) => self.run_config_watcher(now, event, actions),
                RoleEvent::Membership(event) => self.run_membership(now, event, actions),
                RoleEvent::Failover(event) => self.run_failover(now, event, actions),
                RoleEvent::Rates(event) => self.run_rates(now, event, actions),
                RoleEvent::Dispatch(event) => self.run_dispatch(now, event, actions),
                RoleEvent::Exchange(event) => self.run_exchanges(now, event, actions),
                RoleEvent::Drain(event) => self.run_drain(now, event, actions),
            }
        }
    }

    /// Returns the address on which a VM of the roster listens for other VMs.
    pub(super) fn peer_address(&self, vm: &VmId) -> Option<SocketAddr> {
        let roster = self.membership.roster()?;
        roster
            .current_and_former_members()
            .find(|member| member.vm == *vm)
            .map(|member| member.address)
    }
}
