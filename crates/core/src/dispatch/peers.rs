//! Message exchange between permit holders and coordinators.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::dispatch::COORDINATOR_PERMIT_TTL;
use crate::dispatch::COORDINATOR_START_DELAY;
use crate::dispatch::Dispatch;
use crate::dispatch::DispatchAction;
use crate::dispatch::DispatchMessage;
use crate::dispatch::HOLDER_PERMIT_TTL;
use crate::dispatch::MemberLending;
use crate::dispatch::MemberStatus;
use crate::dispatch::connections::find_group;
use crate::dispatch::coordinator::Coordinator;
use crate::dispatch::coordinator::Peer;
use crate::dispatch::coordinator::SchedulingContext;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::VmId;
use crate::types::WorkspaceId;
use crate::types::rendezvous_weight;

/// The most rounds of messages that a VM handles when it is holder and coordinator at once: a
/// status, the permits lent for it, and a status that returns unusable permits.
const MAX_LOCAL_ROUNDS: usize = 4;

/// The sequence numbers of the messages to one VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutgoingSequences {
    status_seq: u64,
    lend_seq: u64,
    /// The number and time of the statuses from which permits may still be valid.
    sent_statuses: VecDeque<(u64, MonoTime)>,
}

impl OutgoingSequences {
    fn record_status(&mut self, now: MonoTime) -> u64 {
        self.status_seq += 1;
        self.sent_statuses.push_back((self.status_seq, now));
        while let Some((_, sent)) = self.sent_statuses.front()
            && now.since(*sent) > HOLDER_PERMIT_TTL
        {
            self.sent_statuses.pop_front();
        }
        self.status_seq
    }

    fn sent_at(&self, seq: u64) -> Option<MonoTime> {
        let entry = self.sent_statuses.iter().find(|entry| entry.0 == seq);
        entry.map(|entry| entry.1)
    }
}

impl Dispatch {
    /// Determines the coordinator of each member, and starts or stops coordinators on this VM.
    pub(crate) fn assign_coordinators(&mut self, now: MonoTime, missed_change: bool) {
        let mut vms: Vec<Peer> = vec![self.me.clone()];
        let peers = self.roster.peers.iter();
        vms.extend(peers.map(|peer| (peer.vm.clone(), peer.incarnation)));
        for (member, local) in &mut self.members {
            let coordinator = vms.iter().max_by_key(|(vm, incarnation)| {
                let incarnation = incarnation.0.to_be_bytes();
                let parts = [
                    member.as_str().as_bytes(),
                    vm.as_str().as_bytes(),
                    &incarnation,
                ];
                (rendezvous_weight(&parts), vm.clone())
            });
            local.set_coordinator(
                now,
                coordinator.filter(|_| self.roster.version > 0).cloned(),
            );
            let is_coordinator = local.coordinator.as_ref() == Some(&self.me);
            let slots = find_group(&self.config, member).map_or(0, |group| group.slots);
            // While this VM had no lease, another one may have been coordinator unnoticed.
            if (!is_coordinator || missed_change) && self.coordinators.remove(member).is_some() {
                self.coordinated_until.insert(member.clone(), now);
            }
            if is_coordinator && !self.coordinators.contains_key(member) {
                // Holders that never learned of another coordinator may still use permits that this
                // VM lent before.
                let last_coordinated = self.coordinated_until.get(member);
                let former_permits_expire =
                    last_coordinated.map_or(now, |until| *until + COORDINATOR_PERMIT_TTL);
                let lends_from = former_permits_expire.max(now + COORDINATOR_START_DELAY);
                self.coordinators
                    .insert(member.clone(), Coordinator::new(slots, lends_from));
            }
        }
        for coordinator in self.coordinators.values_mut() {
            coordinator.retain_holders(|peer| vms.contains(peer));
        }
    }

    /// Handles a message of this VM or of another VM in the roster; ignores all others.
    pub(crate) fn receive(&mut self, now: MonoTime, from: &Peer, message: DispatchMessage) {
        let known = self.roster.peers.iter();
        let mut known = known.map(|peer| (&peer.vm, peer.incarnation));
        let known = known.any(|peer| peer == (&from.0, from.1)) || *from == self.me;
        if !known || self.lease_until.is_none() {
            return;
        }
        match message {
            DispatchMessage::Status { seq, members } => {
                for status in &members {
                    self.apply_status(now, from, seq, status);
                }
            }
            DispatchMessage::Lend { seq, members } => {
                for lending in &members {
                    self.apply_lending(now, from, seq, lending);
                }
            }
        }
    }

    fn apply_status(&mut self, now: MonoTime, from: &Peer, seq: u64, status: &MemberStatus) {
        let Some(mut coordinator) = self.coordinators.remove(&status.member) else {
            return;
        };
        self.with_context(now, |context| coordinator.apply(context, from, seq, status));
        self.coordinators.insert(status.member.clone(), coordinator);
    }

    fn apply_lending(&mut self, now: MonoTime, from: &Peer, seq: u64, lending: &MemberLending) {
        let sent = self
            .outgoing_sequences
            .get(&from.0)
            .and_then(|sequences| sequences.sent_at(lending.echo));
        let local = self.members.get_mut(&lending.member);
        let local = local.filter(|local| local.coordinator.as_ref() == Some(from));
        if let (Some(sent), Some(local)) = (sent, local)
            && !self.has_left
        {
            local.apply(now, seq, sent + HOLDER_PERMIT_TTL, lending);
        }
    }

    fn with_context<T>(
        &mut self,
        now: MonoTime,
        run: impl FnOnce(&mut SchedulingContext<'_>) -> T,
    ) -> T {
        let config = &self.config;
        let weight = |id: &WorkspaceId| {
            let workspace = config.workspaces.get(id);
            workspace.map_or(1, |workspace| u64::from(workspace.weight))
        };
        let contended_members = self
            .coordinators
            .values()
            .filter(|coordinator| coordinator.is_contended());
        let contended_members = contended_members.count() as u32 + 1;
        let outgoing_sequences = &self.outgoing_sequences;
        let next_seq = |vm: &VmId| {
            outgoing_sequences
                .get(vm)
                .map_or(0, |sequences| sequences.lend_seq)
                + 1
        };
        run(&mut SchedulingContext {
            now,
            weight: &weight,
            next_permit: &mut self.next_permit,
            contended_members,
            next_seq: &next_seq,
        })
    }

    /// Sends the messages that are due; handles those to this VM itself at once.
    pub(crate) fn exchange_messages(&mut self, now: MonoTime, actions: &mut Vec<DispatchAction>) {
        if self.lease_until.is_none() {
            return;
        }
        for _ in 0..MAX_LOCAL_ROUNDS {
            let mut to_self = self.send_statuses(now, actions);
            to_self.extend(self.send_lendings(now, actions));
            if to_self.is_empty() {
                break;
            }
            for message in to_self {
                let me = self.me.clone();
                self.receive(now, &me, message);
            }
            self.process_members(now, None, actions);
        }
    }

    fn send_statuses(
        &mut self,
        now: MonoTime,
        actions: &mut Vec<DispatchAction>,
    ) -> Vec<DispatchMessage> {
        let mut due: BTreeMap<VmId, Vec<MemberStatus>> = BTreeMap::new();
        for (member, local) in &mut self.members {
            let due_now = local.next_status().is_some_and(|at| at <= now);
            let Some((vm, _)) = local.coordinator.clone().filter(|_| due_now) else {
                continue;
            };
            due.entry(vm).or_default().push(local.status(member));
            local.last_status = now;
        }
        let mut to_self = Vec::new();
        for (to, members) in due {
            let seq = self
                .outgoing_sequences
                .entry(to.clone())
                .or_default()
                .record_status(now);
            let message = DispatchMessage::Status { seq, members };
            self.deliver(to, message, &mut to_self, actions);
        }
        to_self
    }

    fn send_lendings(
        &mut self,
        now: MonoTime,
        actions: &mut Vec<DispatchAction>,
    ) -> Vec<DispatchMessage> {
        let mut due: BTreeMap<VmId, Vec<MemberLending>> = BTreeMap::new();
        let members = self
            .coordinators
            .iter()
            .filter(|(_, coordinator)| coordinator.is_due(now));
        let members: Vec<MemberId> = members.map(|(member, _)| member.clone()).collect();
        for member in members {
            let Some(mut coordinator) = self.coordinators.remove(&member) else {
                continue;
            };
            let to_notify = self.with_context(now, |context| coordinator.schedule(context));
            for peer in to_notify {
                let lending = coordinator.lending(&member, &peer);
                due.entry(peer.0).or_default().push(lending);
            }
            self.coordinators.insert(member, coordinator);
        }
        let mut to_self = Vec::new();
        for (to, members) in due {
            let sequences = self.outgoing_sequences.entry(to.clone()).or_default();
            sequences.lend_seq += 1;
            let seq = sequences.lend_seq;
            let message = DispatchMessage::Lend { seq, members };
            self.deliver(to, message, &mut to_self, actions);
        }
        to_self
    }

    fn deliver(
        &self,
        to: VmId,
        message: DispatchMessage,
        to_self: &mut Vec<DispatchMessage>,
        actions: &mut Vec<DispatchAction>,
    ) {
        if to == self.me.0 {
            to_self.push(message);
        } else {
            actions.push(DispatchAction::Send { to, message });
        }
    }
}
