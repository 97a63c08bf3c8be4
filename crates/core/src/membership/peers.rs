//! State of the other VMs, by incarnation: what they have acknowledged and whether they answer.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::membership::Roster;
use crate::membership::RosterMemberKey;
use crate::types::MonoTime;

#[derive(Clone, Debug, Default)]
struct Peer {
    acknowledged_version: u64,
    /// When the first message was sent that the peer has not answered. Any message received from
    /// the peer counts as an answer.
    unanswered_since: Option<MonoTime>,
    /// For each VM that reported how long it has had no answer from the peer: when its last report
    /// arrived and the reported duration.
    silence_reports: BTreeMap<RosterMemberKey, (MonoTime, Duration)>,
}

/// The other VMs that this VM exchanges messages with.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<RosterMemberKey, Peer>,
}

impl Peers {
    /// Records a message from a peer and the version that the peer holds, if the message has one.
    pub(crate) fn record_message(&mut self, from: &RosterMemberKey, version: Option<u64>) {
        let peer = self.entry(from);
        peer.unanswered_since = None;
        peer.silence_reports.clear();
        peer.acknowledged_version = peer.acknowledged_version.max(version.unwrap_or(0));
    }

    /// Records that a message that requires an answer was sent to a peer.
    pub(crate) fn record_request(&mut self, now: MonoTime, to: &RosterMemberKey) {
        self.entry(to).unanswered_since.get_or_insert(now);
    }

    /// Records the report of the VM `by` that the peer `of` has not answered it for `silence`.
    pub(crate) fn record_silence_report(
        &mut self,
        now: MonoTime,
        by: &RosterMemberKey,
        of: &RosterMemberKey,
        silence: Duration,
    ) {
        self.entry(of)
            .silence_reports
            .insert(by.clone(), (now, silence));
    }

    /// Returns whether the peer has acknowledged `version`.
    pub(crate) fn acknowledged(&self, member: &RosterMemberKey, version: u64) -> bool {
        let peer = self.peers.get(member);
        peer.is_some_and(|peer| peer.acknowledged_version >= version)
    }

    /// Returns how long the peer has not answered; zero if no answer is outstanding.
    pub(crate) fn unanswered_duration(&self, now: MonoTime, member: &RosterMemberKey) -> Duration {
        let peer = self.peers.get(member);
        let since = peer.and_then(|peer| peer.unanswered_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns since when the peer that has been unresponsive for longest has not answered.
    pub(crate) fn earliest_unanswered(&self) -> Option<MonoTime> {
        let since = self.peers.values().filter_map(|peer| peer.unanswered_since);
        since.min()
    }

    /// Returns the peers that reported within the last `max_age` that the member has not answered
    /// them for at least `silence`.
    pub(crate) fn peers_reporting_silence(
        &self,
        now: MonoTime,
        member: &RosterMemberKey,
        max_age: Duration,
        silence: Duration,
    ) -> Vec<RosterMemberKey> {
        let silence_reports = self.peers.get(member).map(|peer| &peer.silence_reports);
        let silence_reports = silence_reports.into_iter().flatten();
        let recent = silence_reports
            .filter(|(_, (at, reported))| now.since(*at) <= max_age && *reported >= silence);
        recent.map(|(by, _)| by.clone()).collect()
    }

    /// Drops peers that are neither current nor former members of the roster.
    pub(crate) fn retain_members(&mut self, roster: &Roster) {
        self.peers
            .retain(|key, _| roster.current_or_former_member(key).is_some());
    }

    fn entry(&mut self, member: &RosterMemberKey) -> &mut Peer {
        if !self.peers.contains_key(member) {
            self.peers.insert(member.clone(), Peer::default());
        }
        self.peers.entry(member.clone()).or_default()
    }
}
