//! What a VM knows of a database group: its members, its primary and its positions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;

use crate::failover::Failover;
use crate::member::Member;

/// Samples of the primary's position that are kept; at ten a second they cover the usual
/// staleness bounds.
const MAX_SAMPLES: usize = 48;

/// How long a member that went away unannounced counts as one that may come back with commits that
/// no other has. Members that crash are back after some ten seconds.
const LAPSED_MEMORY: Duration = Duration::from_secs(30);

/// How long a draining primary still gets statements while its replacement is under way. Members
/// take new work for at least 7 s after they announced that they leave.
const DRAINING_PRIMARY_USE: Duration = Duration::from_millis(4_500);

/// A position of the primary, and when the statement that reported it was sent: the log holds all
/// commits acknowledged before that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sample {
    sent_at: MonoTime,
    position: Position,
}

/// What this VM knows of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeMap<MemberId, Member>,
    /// When members went away without having announced it.
    lapsed: BTreeMap<MemberId, MonoTime>,
    pub(crate) primary: Option<MemberId>,
    /// A promotion that the platform accepted, with its fencing token.
    announced: Option<(MemberId, u64)>,
    samples: VecDeque<Sample>,
    /// Callers whose statements wait for a connection, in the order in which they are served.
    pub(crate) waiting: Vec<CallerId>,
    pub(crate) failover: Failover,
    pub(crate) is_sampling: bool,
    /// When the members may be asked again who leads.
    pub(crate) search_due: MonoTime,
}

impl Group {
    /// Removes a member that is gone. One that had not announced that it leaves may come back with
    /// its log, and commits may be in no other.
    pub(crate) fn remove_member(&mut self, now: MonoTime, id: &MemberId) {
        let removed = self.members.remove(id);
        if removed.is_some_and(|member| member.draining_since.is_none()) {
            self.lapsed
                .retain(|_, since| now.since(*since) < LAPSED_MEMORY);
            self.lapsed.insert(id.clone(), now);
        }
    }

    /// Returns how many members may hold confirmed commits, the primary included.
    pub(crate) fn holders(&self, now: MonoTime) -> usize {
        let is_away = |(id, since): &(&MemberId, &MonoTime)| {
            !self.members.contains_key(*id) && now.since(**since) < LAPSED_MEMORY
        };
        self.members.len() + self.lapsed.iter().filter(is_away).count()
    }

    /// Notes that the platform accepted a promotion.
    pub(crate) fn announce(&mut self, member: MemberId, token: u64) {
        if self.announced.as_ref().is_none_or(|known| known.1 < token) {
            self.announced = Some((member, token));
        }
    }

    /// Works out the primary again; returns whether it has changed, and the evidence for it.
    ///
    /// Entries and promotions carry numbers of one counter, the revision of the store, so the
    /// latest evidence wins.
    pub(crate) fn settle_primary(&mut self, now: MonoTime) -> Option<u64> {
        let best = self.leading(now);
        let (member, evidence) = best.map_or((None, 0), |(member, rank)| (Some(member), rank));
        if member == self.primary {
            return None;
        }
        self.primary = member;
        Some(evidence)
    }

    fn leading(&self, now: MonoTime) -> Option<(MemberId, u64)> {
        let announced = |id: &MemberId| {
            let latest = self.announced.as_ref().filter(|latest| latest.0 == *id);
            latest.map(|latest| latest.1)
        };
        self.members
            .iter()
            .filter(|(_, member)| !member.is_gone(now))
            .filter_map(|(id, member)| Some((id, member.claim_revision.max(announced(id))?)))
            .max_by_key(|(_, rank)| *rank)
            .map(|(id, rank)| (id.clone(), rank))
    }

    /// Notes that the member taken for the primary says that it is not. It stays the one that the
    /// evidence names: a member that was promoted leads some hundred milliseconds later.
    pub(crate) fn deny_primary(&mut self, now: MonoTime, member: &MemberId) {
        if let Some(state) = self.members.get_mut(member) {
            state.denied(now);
        }
    }

    /// Notes that a member has proved that it leads.
    pub(crate) fn confirm_primary(&mut self, member: &MemberId) {
        if let Some(state) = self.members.get_mut(member) {
            state.denied_since = None;
        }
    }

    /// Notes that a member says itself that it leads, while the one named by the evidence denies
    /// it.
    pub(crate) fn found_primary(&mut self, now: MonoTime, member: &MemberId) {
        let known = self.leading(now);
        if known.as_ref().is_none_or(|known| known.0 != *member) {
            let rank = known.map_or(0, |known| known.1);
            self.announced = Some((member.clone(), rank.saturating_add(1)));
        }
    }

    /// Notes a position that the primary reported, with its lead checked, to a statement sent at
    /// `sent_at`.
    pub(crate) fn add_sample(&mut self, sent_at: MonoTime, position: Position) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { sent_at, position });
    }

    /// Returns the position that a log needs to hold all commits acknowledged before `limit`: the
    /// earliest sample taken since then, which most replicas have.
    pub(crate) fn position_since(&self, limit: MonoTime) -> Option<Position> {
        let recent = self.samples.iter().filter(|sample| sample.sent_at >= limit);
        recent.map(|sample| sample.position).min()
    }

    /// Returns when the latest sample was taken.
    pub(crate) fn sampled_at(&self) -> Option<MonoTime> {
        self.samples.iter().map(|sample| sample.sent_at).max()
    }

    /// Returns the highest term that any member or sample has reported.
    pub(crate) fn highest_term(&self) -> Term {
        let positions = self.members.values().filter_map(|member| member.position);
        let samples = self.samples.iter().map(|sample| sample.position);
        positions
            .chain(samples)
            .map(|position| position.term)
            .max()
            .unwrap_or_default()
    }

    /// Returns whether the primary may get statements.
    pub(crate) fn is_primary_usable(&self, now: MonoTime) -> bool {
        let primary = self.primary.as_ref().and_then(|id| self.members.get(id));
        primary.is_some_and(|primary| {
            primary.down_since.is_none()
                && primary
                    .draining_since
                    .is_none_or(|since| now.since(since) < DRAINING_PRIMARY_USE)
        })
    }
}
