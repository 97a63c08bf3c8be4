//! The roles that control the fleet: configuration watcher, membership and failover.

use std::sync::Arc;

use crate::config::Config;
use crate::config::ConfigWatcherAction;
use crate::config::ConfigWatcherEvent;
use crate::dispatch::DispatchEvent;
use crate::drain::DrainEvent;
use crate::exchange::ExchangeEvent;
use crate::failover::FailoverAction;
use crate::failover::FailoverEvent;
use crate::membership::Fence;
use crate::membership::MembershipAction;
use crate::membership::MembershipEvent;
use crate::membership::rendezvous_rank;
use crate::rates::RatesEvent;
use crate::session::SelectorEvent;
use crate::session::SessionSecrets;
use crate::timeline::EventCode;
use crate::timeline::Evidence;
use crate::timeline::Subject;
use crate::types::HeldSlot;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::RosterPeer;
use crate::types::RosterView;
use crate::types::VmId;
use crate::vm::PeerMessage;
use crate::vm::PlatformRequest;
use crate::vm::Vm;
use crate::vm::VmAction;
use crate::vm::availability::unavailable_members;
use crate::vm::calls::CallOwner;
use crate::vm::codec;
use crate::vm::placement::selector_events;
use crate::vm::roles::RoleEvent;

/// The number of VMs of a cell that watch the configuration on the platform; the other VMs get it
/// from their peers.
const CONFIG_RELAY_COUNT: usize = 2;

impl Vm {
    /// Runs the configuration watcher with an event and applies its actions.
    pub(super) fn run_config_watcher(
        &mut self,
        now: MonoTime,
        event: ConfigWatcherEvent,
        actions: &mut Vec<VmAction>,
    ) {
        let mut role_actions = Vec::new();
        self.config_watcher.handle(now, event, &mut role_actions);
        for action in role_actions {
            match action {
                ConfigWatcherAction::CallPlatform(request) => {
                    let call = self.calls.start(CallOwner::ConfigWatcher);
                    actions.push(VmAction::CallPlatform { call, request });
                }
                ConfigWatcherAction::SendPeer { to, message } => {
                    self.send_peer(to, PeerMessage::Config(message), actions);
                }
                ConfigWatcherAction::Apply(config) => self.apply_config(now, config),
                ConfigWatcherAction::RejectValue { .. } => {}
            }
        }
    }

    fn apply_config(&mut self, now: MonoTime, config: Arc<Config>) {
        let previous = self.config.replace(Arc::clone(&config));
        self.record_config(now, previous.as_deref(), &config);
        if let Ok(secrets) = SessionSecrets::from_hex(&config.session_secrets) {
            self.secrets = Some(secrets);
        }
        for event in selector_events(previous.as_deref(), &config, &self.settings.data_centre) {
            self.push_selector_event(event);
        }
        let groups = config.groups.clone();
        self.push(RoleEvent::Failover(FailoverEvent::GroupsChanged { groups }));
        let unavailable = unavailable_members(&config);
        self.push(RoleEvent::Failover(FailoverEvent::AvailabilityChanged {
            unavailable,
        }));
        self.push(RoleEvent::Rates(RatesEvent::Configured(Arc::clone(
            &config,
        ))));
        self.push(RoleEvent::Dispatch(DispatchEvent::Configured(config)));
    }

    /// Runs the membership role with an event and applies its actions.
    pub(super) fn run_membership(
        &mut self,
        now: MonoTime,
        event: MembershipEvent,
        actions: &mut Vec<VmAction>,
    ) {
        let mut role_actions = Vec::new();
        self.membership.handle(now, event, &mut role_actions);
        for action in role_actions {
            self.handle_membership_action(now, action, actions);
        }
        self.push_lease_extension(now);
    }

    fn handle_membership_action(
        &mut self,
        now: MonoTime,
        action: MembershipAction,
        actions: &mut Vec<VmAction>,
    ) {
        match action {
            MembershipAction::ReadFence {
                call,
                known_version,
            } => {
                let call = self.calls.start(CallOwner::Membership(call));
                let object = codec::FENCE_OBJECT.to_owned();
                let request = PlatformRequest::Get {
                    object,
                    known_version,
                };
                actions.push(VmAction::CallPlatform { call, request });
            }
            MembershipAction::PutFence {
                call,
                expected_version,
                fence,
            } => {
                let Ok(value) = codec::encode_fence(&fence) else {
                    return;
                };
                let call = self.calls.start(CallOwner::Membership(call));
                let object = codec::FENCE_OBJECT.to_owned();
                let request = PlatformRequest::Put {
                    object,
                    expected_version,
                    value,
                };
                actions.push(VmAction::CallPlatform { call, request });
            }
            MembershipAction::Send {
                to,
                address,
                message,
            } => {
                let message = PeerMessage::Membership(message);
                actions.push(VmAction::SendPeer {
                    to,
                    address,
                    message,
                });
            }
            MembershipAction::LeaseGained { .. } => {
                self.record(now, EventCode::LeaseGained, Subject::default());
                self.calls.discard(CallOwner::ConfigWatcher);
                self.push(RoleEvent::ConfigWatcher(ConfigWatcherEvent::LeaseGained));
                self.push_roster(now);
            }
            MembershipAction::LeaseLost { cause } => {
                self.reported_lease_until = None;
                let subject = Subject {
                    reason: Some(Reason::LeaseLost),
                    evidence: Some(Box::new(Evidence::loss(cause))),
                    ..Subject::default()
                };
                self.record(now, EventCode::LeaseLost, subject);
                self.push(RoleEvent::Rates(RatesEvent::LeaseLost));
                self.push(RoleEvent::Dispatch(DispatchEvent::LeaseLost));
            }
            MembershipAction::FenceChanged { fence } => self.apply_fence(now, fence),
            MembershipAction::RosterChanged { fence } => {
                let version = Some(fence.version);
                let subject = Subject {
                    version,
                    ..Subject::default()
                };
                self.record(now, EventCode::RosterChanged, subject);
                self.push_config_peers(&fence);
                self.push_roster(now);
            }
            MembershipAction::IntentSettled {
                group,
                nonce,
                settlement,
            } => {
                let event = FailoverEvent::IntentSettled {
                    group,
                    nonce,
                    settlement,
                };
                self.push(RoleEvent::Failover(event));
            }
            MembershipAction::MemberRemoved { .. } => {}
            MembershipAction::Left => self.push(RoleEvent::Drain(DrainEvent::Released)),
        }
    }

    fn apply_fence(&mut self, now: MonoTime, fence: Arc<Fence>) {
        for (group, state) in &fence.groups {
            if self.primaries.update(now, group, state) {
                self.push_selector_event(SelectorEvent::PromotionReported {
                    group: group.clone(),
                    term: state.term,
                    complete: false,
                });
            }
            self.push_selector_event(SelectorEvent::TermChanged {
                group: group.clone(),
                term: state.term,
                primary: Some(state.primary.clone()),
            });
        }
        self.push(RoleEvent::Failover(FailoverEvent::FenceChanged { fence }));
        self.push(RoleEvent::Exchange(ExchangeEvent::GateChanged));
    }

    fn push_config_peers(&mut self, fence: &Fence) {
        let members = &fence.roster.members;
        let mut vms: Vec<&VmId> = members.iter().map(|member| &member.vm).collect();
        vms.sort_by_key(|vm| rendezvous_rank("config", vm));
        let is_relay = vms
            .iter()
            .take(CONFIG_RELAY_COUNT)
            .any(|vm| **vm == self.settings.vm);
        let others = vms.into_iter().filter(|vm| **vm != self.settings.vm);
        let peers = others.cloned().collect();
        self.push(RoleEvent::ConfigWatcher(ConfigWatcherEvent::PeersChanged {
            peers,
        }));
        self.push(RoleEvent::ConfigWatcher(ConfigWatcherEvent::RelayChanged {
            is_relay,
        }));
    }

    /// Passes the roster and the lease on to the roles that share budgets, if the lease is valid.
    fn push_roster(&mut self, now: MonoTime) {
        let Some(until) = self.membership.lease_until().filter(|until| now < *until) else {
            return;
        };
        let Some(fence) = self.membership.fence() else {
            return;
        };
        let peers = fence
            .roster
            .members
            .iter()
            .filter(|member| member.vm != self.settings.vm);
        let peers = peers.map(|member| RosterPeer {
            vm: member.vm.clone(),
            incarnation: member.incarnation,
            slots: member.slots.iter().map(|held| held.slot).collect(),
        });
        // A slot is assigned only after its previous holder has stopped or released it, so it is
        // usable at once.
        let slots = self.membership.slots();
        let slots = slots.iter().map(|held| HeldSlot {
            slot: held.slot,
            usable_from: now,
        });
        let view = RosterView {
            version: fence.version,
            slot_count: fence.roster.slot_count,
            slots: slots.collect(),
            peers: peers.collect(),
            lease_until: until,
        };
        self.reported_lease_until = Some(until);
        self.push(RoleEvent::Rates(RatesEvent::Roster(view.clone())));
        self.push(RoleEvent::Dispatch(DispatchEvent::Roster(view)));
        self.push(RoleEvent::Exchange(ExchangeEvent::GateChanged));
    }

    /// Notifies the roles that share budgets if the lease has been extended.
    fn push_lease_extension(&mut self, now: MonoTime) {
        let Some(until) = self.membership.lease_until().filter(|until| now < *until) else {
            return;
        };
        if self
            .reported_lease_until
            .is_some_and(|reported| reported < until)
        {
            self.reported_lease_until = Some(until);
            self.push(RoleEvent::Rates(RatesEvent::LeaseExtended { until }));
            self.push(RoleEvent::Dispatch(DispatchEvent::LeaseExtended { until }));
        }
    }

    /// Runs the failover role with an event and applies its actions.
    pub(super) fn run_failover(
        &mut self,
        now: MonoTime,
        event: FailoverEvent,
        actions: &mut Vec<VmAction>,
    ) {
        let mut role_actions = Vec::new();
        self.failover.handle(now, event, &mut role_actions);
        for action in role_actions {
            match action {
                FailoverAction::Command {
                    group,
                    member,
                    command,
                } => {
                    self.command_member(now, group, member, command, actions);
                }
                FailoverAction::Send {
                    to,
                    address,
                    message,
                } => {
                    let message = PeerMessage::Failover(message);
                    actions.push(VmAction::SendPeer {
                        to,
                        address,
                        message,
                    });
                }
                FailoverAction::RequestChange { change } => {
                    let event = MembershipEvent::ChangeRequested { change };
                    self.push(RoleEvent::Membership(event));
                }
                FailoverAction::PauseChanged { group, paused } => {
                    let event = ExchangeEvent::PauseChanged { group, paused };
                    self.push(RoleEvent::Exchange(event));
                }
                step => self.record_failover(now, step),
            }
        }
    }

    /// Sends a message to another VM of the roster. Messages to VMs that have left are dropped.
    pub(super) fn send_peer(&self, to: VmId, message: PeerMessage, actions: &mut Vec<VmAction>) {
        if let Some(address) = self.peer_address(&to) {
            actions.push(VmAction::SendPeer {
                to,
                address,
                message,
            });
        }
    }
}
