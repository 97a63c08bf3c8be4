//! Renewal of the lease and the fence, by requests to other VMs and reads of the platform.

use std::sync::Arc;
use std::time::Duration;

use crate::membership::Membership;
use crate::membership::MembershipAction;
use crate::membership::MembershipMessage;
use crate::membership::RosterMember;
use crate::membership::peer_messages::send;
use crate::membership::rendezvous_rank;
use crate::types::MonoTime;

/// The interval at which evidence is requested from all members, including those that count as
/// down.
const FULL_EVIDENCE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Gives the VM that wrote a change time to collect acknowledgements before the other VMs resend
/// the fence too.
const NON_WRITER_RESEND_DELAY: Duration = Duration::from_millis(100);

impl Membership {
    pub(super) fn renew(&mut self, now: MonoTime, actions: &mut Vec<MembershipAction>) {
        if self.next_evidence_request().is_some_and(|at| at <= now) {
            self.request_evidence(now, actions);
        }
        if self.next_read().is_some_and(|at| at <= now) {
            let known_version = self.version();
            actions.push(self.calls.read(now, known_version));
        }
    }

    /// Returns when the next request for evidence to other VMs is due.
    pub(super) fn next_evidence_request(&self) -> Option<MonoTime> {
        if !self.is_member()
            || self
                .roster()
                .is_none_or(|r| r.current_and_former_members().count() < 2)
        {
            return None;
        }
        let due = self.newest_evidence().map_or(MonoTime::ZERO, |(at, _)| {
            at + self.settings.renewal_interval
        });
        let retry = self
            .last_evidence_request_at
            .map(|at| at + self.settings.retry_interval);
        Some(due.max(retry.unwrap_or(MonoTime::ZERO)))
    }

    fn request_evidence(&mut self, now: MonoTime, actions: &mut Vec<MembershipAction>) {
        let full_due = self
            .last_full_evidence_request_at
            .is_none_or(|at| now.since(at) >= FULL_EVIDENCE_REQUEST_INTERVAL);
        let mut receivers = if self.platform_silent(now) || full_due {
            self.last_full_evidence_request_at = Some(now);
            self.roster().map_or(Vec::new(), |r| {
                r.current_and_former_members().cloned().collect()
            })
        } else {
            self.relays(now).cloned().collect()
        };
        receivers.retain(|member| !member.matches_key(&self.key));
        self.last_evidence_request_at = Some(now);
        let version = self.version();
        let question = self.evidence.start_request(now, version);
        for member in receivers {
            let key = member.key();
            self.peers.record_request(now, &key);
            let message = MembershipMessage::Ask { question, version };
            send(actions, &key, member.address, message);
        }
    }

    /// Returns the members that read the platform on behalf of the others, lowest rank first.
    pub(super) fn relays(&self, now: MonoTime) -> impl Iterator<Item = &RosterMember> {
        let down_after = self.settings.peer_down_after;
        let up = move |member: &&RosterMember| {
            member.matches_key(&self.key)
                || self.peers.unanswered_duration(now, &member.key()) < down_after
        };
        let count = self.settings.relay_count;
        self.ranked_members.iter().filter(up).take(count)
    }

    /// Returns whether this VM maintains the roster, which is the duty of the first relay.
    pub(super) fn maintains_roster(&self, now: MonoTime) -> bool {
        let first = self.relays(now).next();
        first.is_some_and(|first| first.matches_key(&self.key))
    }

    /// Recomputes the ranking of members as relays after the roster has changed.
    pub(super) fn rank_members(&mut self) {
        let mut ranked_members = self
            .roster()
            .map_or(Vec::new(), |roster| roster.members.clone());
        ranked_members.sort_by_key(|member| rendezvous_rank("relay", &member.vm));
        self.ranked_members = ranked_members;
    }

    /// Returns when the next read of the platform is due.
    pub(super) fn next_read(&self) -> Option<MonoTime> {
        let Some(last) = self.calls.last_read_at() else {
            return Some(MonoTime::ZERO);
        };
        if self.calls.read_required() {
            return Some(last + self.settings.retry_interval);
        }
        // Members are checked for being up as of the time of the next regular read.
        let next = last + self.settings.renewal_interval;
        if !self.is_member() || self.relays(next).any(|relay| relay.matches_key(&self.key)) {
            return Some(next);
        }
        let age_limit = self.settings.platform_silent_after;
        let newest = self.evidence.platform_at().unwrap_or(MonoTime::ZERO);
        Some((newest + age_limit).max(last + self.silent_read_interval(last.since(newest))))
    }

    /// Returns the interval between reads of a VM that is not a relay while the platform does not
    /// answer: a quarter of the time since its last answer, within the configured limits. Relays
    /// keep reading at the regular interval, so a platform that recovers is noticed at once.
    fn silent_read_interval(&self, silence: Duration) -> Duration {
        let settings = &self.settings;
        (silence / 4).clamp(
            settings.min_silent_read_interval,
            settings.max_silent_read_interval,
        )
    }

    pub(super) fn push_fence(&mut self, actions: &mut Vec<MembershipAction>) {
        let Some(fence) = self.fence.clone() else {
            return;
        };
        for member in fence.roster.current_and_former_members() {
            if !member.matches_key(&self.key) {
                let fence = Arc::clone(&fence);
                send(
                    actions,
                    &member.key(),
                    member.address,
                    MembershipMessage::Push { fence },
                );
            }
        }
    }

    /// Returns when the fence is to be resent to members that have not acknowledged an open
    /// change.
    pub(super) fn next_fence_resend(&self) -> Option<MonoTime> {
        self.settlements.unsettled_version()?;
        let interval = self.settings.retry_interval;
        let delay = if self.wrote_fence {
            interval
        } else {
            NON_WRITER_RESEND_DELAY
        };
        let first = self.fence_adopted_at + delay;
        let next = self.last_fence_resend_at.map(|at| at + interval * 2);
        Some(first.max(next.unwrap_or(MonoTime::ZERO)))
    }

    pub(super) fn resend_fence(&mut self, now: MonoTime, actions: &mut Vec<MembershipAction>) {
        let due = self.next_fence_resend().is_some_and(|at| at <= now);
        let (Some(version), Some(fence), true) = (
            self.settlements.unsettled_version(),
            self.fence.clone(),
            due,
        ) else {
            return;
        };
        self.last_fence_resend_at = Some(now);
        for member in fence.roster.current_and_former_members() {
            let key = member.key();
            if key != self.key && !self.peers.acknowledged(&key, version) {
                let fence = Arc::clone(&fence);
                self.peers.record_request(now, &key);
                send(
                    actions,
                    &key,
                    member.address,
                    MembershipMessage::Push { fence },
                );
            }
        }
    }
}
