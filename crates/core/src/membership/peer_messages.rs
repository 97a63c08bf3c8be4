//! Handles messages of other VMs: evidence, fences and acknowledgements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::membership::Membership;
use crate::membership::MembershipAction;
use crate::membership::MembershipMessage;
use crate::membership::RosterMember;
use crate::membership::RosterMemberKey;
use crate::types::MonoTime;

impl Membership {
    pub(super) fn peer_received(
        &mut self,
        now: MonoTime,
        from: &RosterMemberKey,
        address: SocketAddr,
        message: MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        match message {
            MembershipMessage::Ask { question, version } => {
                self.peers.record_message(from, Some(version));
                self.answer_request(now, from, address, question, version, actions);
                self.request_newer_fence(now, from, address, version, actions);
            }
            MembershipMessage::Answer {
                question,
                version,
                confirmed_age_us,
                vouches,
                fence,
            } => {
                self.peers.record_message(from, Some(version));
                if let Some(fence) = fence {
                    self.adopt(now, fence, actions);
                }
                let age = confirmed_age_us.map(Duration::from_micros);
                self.record_answer(from, question, version, age, vouches);
                self.request_newer_fence(now, from, address, version, actions);
            }
            MembershipMessage::Push { fence } => {
                self.peers.record_message(from, Some(fence.version));
                self.adopt(now, fence, actions);
                let version = self.version();
                send(actions, from, address, MembershipMessage::Held { version });
            }
            MembershipMessage::Held { version } => {
                self.peers.record_message(from, Some(version));
                self.request_newer_fence(now, from, address, version, actions);
            }
            MembershipMessage::AskSilence { member } => {
                self.peers.record_message(from, None);
                self.answer_silence_query(now, from, address, member, actions);
            }
            MembershipMessage::Silence {
                member,
                unanswered_us,
            } => {
                self.peers.record_message(from, None);
                let silence = Duration::from_micros(unanswered_us);
                self.peers
                    .record_silence_report(now, from, &member, silence);
            }
        }
    }

    fn record_answer(
        &mut self,
        from: &RosterMemberKey,
        number: u64,
        version: u64,
        age: Option<Duration>,
        vouches: bool,
    ) {
        let own_version = self.version();
        let Some(fence) = self.fence.clone().filter(|_| version == own_version) else {
            return;
        };
        let Some(request) = self.evidence.request(number) else {
            return;
        };
        let sent_at = request.sent_at;
        let mut majority = false;
        if vouches && request.version == version && !request.confirmed_by.contains(from) {
            request.confirmed_by.push(from.clone());
            let confirmed = |m: &RosterMember| {
                m.matches_key(&self.key)
                    || request.confirmed_by.iter().any(|key| m.matches_key(key))
            };
            majority = fence.roster.has_majority(confirmed);
        }
        if majority {
            self.evidence.confirm_peers(sent_at);
        }
        // Evidence from before the origin of the clock cannot be represented.
        let age = age.filter(|age| *age <= sent_at.since(MonoTime::ZERO));
        if let Some(age) = age {
            self.evidence.confirm_platform(sent_at - age);
        }
    }

    fn answer_request(
        &self,
        now: MonoTime,
        to: &RosterMemberKey,
        address: SocketAddr,
        question: u64,
        requester_version: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(fence) = &self.fence else { return };
        let silent = self.platform_silent(now);
        let vouches =
            silent && requester_version == fence.version && self.is_member() && !self.leaving;
        let age = self.evidence.platform_age(now);
        let message = MembershipMessage::Answer {
            question,
            version: fence.version,
            confirmed_age_us: age.and_then(|age| u64::try_from(age.as_micros()).ok()),
            vouches,
            fence: (requester_version < fence.version).then(|| Arc::clone(fence)),
        };
        send(actions, to, address, message);
    }

    /// Requests the fence of a VM that holds a newer one.
    fn request_newer_fence(
        &mut self,
        now: MonoTime,
        from: &RosterMemberKey,
        address: SocketAddr,
        peer_version: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let version = self.version();
        if self.fence.is_some() && peer_version > version {
            let question = self.evidence.start_request(now, version);
            let message = MembershipMessage::Ask { question, version };
            send(actions, from, address, message);
        }
    }
}

pub(super) fn send(
    actions: &mut Vec<MembershipAction>,
    to: &RosterMemberKey,
    address: SocketAddr,
    message: MembershipMessage,
) {
    actions.push(MembershipAction::Send {
        to: to.vm.clone(),
        address,
        message,
    });
}
