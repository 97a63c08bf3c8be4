//! What a VM knows about a database group: its members, its primary and the primary's log
//! positions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;

use crate::commit_holders::CommitHolders;
use crate::failover::Failover;
use crate::failover::PausedReplicas;
use crate::member::Member;
use crate::primary_position::SentRequest;
use crate::room::MemberRoom;
use crate::roster::RequestedPromotion;
use crate::statement::MemberStatus;
use crate::store_revision::StoreRevision;

/// The number of samples of the primary's position that are kept. At ten samples a second they
/// cover the usual staleness bounds.
const MAX_SAMPLES: usize = 48;

/// How long a member that disappeared without draining is counted among those that may come back
/// with commits that no other member has. Members that crash are back after about ten seconds.
const MISSING_MEMBER_TIME_TO_LIVE: Duration = Duration::from_secs(30);

/// How long a draining primary still gets statements while its replacement is in progress. Members
/// accept new work for at least 7 s after they announce that they are leaving.
const DRAINING_PRIMARY_TIMEOUT: Duration = Duration::from_millis(4_500);

/// A log position of the primary, and when the statement that reported it was sent. A log that has
/// reached the position holds all commits acknowledged before that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sample {
    sent_at: MonoTime,
    position: Position,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeMap<MemberId, Member>,
    /// Members that were removed because their entry was missing, with the time of the removal.
    /// Members that had announced that they were leaving are not included.
    missing_members: BTreeMap<MemberId, MonoTime>,
    pub(crate) primary: Option<MemberId>,
    /// Another VM that reached the primary when this one last asked because it does not.
    pub(crate) primary_reached_by: Option<VmId>,
    /// The promotion with the latest claim that the platform has accepted.
    latest_promotion: Option<(MemberId, StoreRevision)>,
    /// Whether a promotion was recorded since the primary was determined.
    has_new_promotion: bool,
    samples: VecDeque<Sample>,
    /// Callers whose statements wait for a connection, in the order in which they are served.
    pub(crate) waiting: Vec<CallerId>,
    pub(crate) failover: Failover,
    /// The latest promotion that was requested in the group and may still take effect.
    pub(crate) requested_promotion: Option<RequestedPromotion>,
    pub(crate) pauses: PausedReplicas,
    /// The highest term that a member has reported.
    reported_term: Term,
    pub(crate) holders: CommitHolders,
    pub(crate) is_sampling: bool,
    /// The latest request to another VM for a position of the primary, unless it was answered.
    pub(crate) position_request: Option<SentRequest>,
    /// When the members may next be asked which of them is the primary.
    pub(crate) next_primary_search: MonoTime,
    /// Which priorities lack room at which members.
    pub(crate) rooms: BTreeMap<MemberId, MemberRoom>,
}

impl Group {
    /// Removes a member whose entry has expired. A member that was not draining may come back with
    /// its log, which may hold commits that no other member has.
    pub(crate) fn remove_member(&mut self, now: MonoTime, id: &MemberId) {
        let removed = self.members.remove(id);
        self.rooms.remove(id);
        if removed.is_some_and(|member| member.draining_since.is_none()) {
            self.missing_members
                .retain(|_, since| now.since(*since) < MISSING_MEMBER_TIME_TO_LIVE);
            self.missing_members.insert(id.clone(), now);
        }
    }

    /// Returns how many members disappeared recently without draining.
    pub(crate) fn recently_missing(&self, now: MonoTime) -> usize {
        let may_return = |(id, since): &(&MemberId, &MonoTime)| {
            !self.members.contains_key(*id) && now.since(**since) < MISSING_MEMBER_TIME_TO_LIVE
        };
        self.missing_members.iter().filter(may_return).count()
    }

    /// Returns the data centre of the primary; `None` if none is known.
    pub(crate) fn primary_data_centre(&self) -> Option<&DataCentreId> {
        let primary = self.members.get(self.primary.as_ref()?)?;
        Some(&primary.entry.data_centre)
    }

    /// Returns whether a replica that is not leaving runs in a data centre.
    pub(crate) fn has_replica_in(&self, data_centre: &DataCentreId) -> bool {
        let is_replica = |(id, member): (&MemberId, &Member)| {
            self.primary.as_ref() != Some(id)
                && member.entry.data_centre == *data_centre
                && !member.entry.is_draining
        };
        self.members.iter().any(is_replica)
    }

    /// Records a promotion that the platform accepted.
    pub(crate) fn record_promotion(&mut self, member: MemberId, claim: StoreRevision) {
        if self
            .latest_promotion
            .as_ref()
            .is_none_or(|known| known.1 < claim)
        {
            self.latest_promotion = Some((member, claim));
            self.has_new_promotion = true;
            self.pauses.forget();
        }
    }

    /// Returns whether the members or the primary may differ from what they were when
    /// [`Group::update_primary`] was last called: a promotion was recorded, or a member is missing
    /// and may count as gone by now.
    pub(crate) fn needs_refresh(&self) -> bool {
        let is_missing = |member: &Member| member.missing_since.is_some();
        self.has_new_promotion || self.members.values().any(is_missing)
    }

    /// Returns whether a promotion by a later claim is known.
    pub(crate) fn is_promoted_after(&self, claim: StoreRevision) -> bool {
        let latest = self.latest_promotion.as_ref();
        latest.is_some_and(|latest| latest.1 > claim)
    }

    /// Determines the primary again and returns the store revision of the entry or claim that names
    /// it, or `None` if the primary has not changed.
    ///
    /// The revisions of entries and those of claims, which are the fencing tokens of promotions, come
    /// from the same counter, so the highest one wins.
    pub(crate) fn update_primary(&mut self, now: MonoTime) -> Option<StoreRevision> {
        self.has_new_promotion = false;
        let best = self.primary_by_evidence(now);
        let (member, evidence) = best
            .map(|(member, revision)| (Some(member), revision))
            .unwrap_or_default();
        if member == self.primary {
            return None;
        }
        self.primary = member;
        self.primary_reached_by = None;
        self.pauses.forget();
        let primary = self
            .primary
            .as_ref()
            .and_then(|id| self.members.get_mut(id));
        if let Some(primary) = primary {
            primary.pace.begin(now);
        }
        Some(evidence)
    }

    fn primary_by_evidence(&self, now: MonoTime) -> Option<(MemberId, StoreRevision)> {
        let promotion_claim = |id: &MemberId| {
            let latest = self
                .latest_promotion
                .as_ref()
                .filter(|latest| latest.0 == *id);
            latest.map(|latest| latest.1)
        };
        self.members
            .iter()
            .filter(|(_, member)| !member.is_gone(now))
            .filter_map(|(id, member)| Some((id, member.claim_revision.max(promotion_claim(id))?)))
            .max_by_key(|(_, revision)| *revision)
            .map(|(id, revision)| (id.clone(), revision))
    }

    /// Records the status that a member has reported.
    pub(crate) fn note_status(&mut self, now: MonoTime, member: &MemberId, status: MemberStatus) {
        self.reported_term = self.reported_term.max(status.term);
        self.pauses.note_status(now, member, status);
        self.holders.note_position(member, status);
    }

    /// Records that the presumed primary reported that it is not the primary. It stays the presumed
    /// primary: a promoted member takes over only some hundred milliseconds after the promotion was
    /// accepted.
    pub(crate) fn note_not_primary(&mut self, now: MonoTime, member: &MemberId) {
        if let Some(state) = self.members.get_mut(member) {
            state.note_not_primary(now);
        }
    }

    /// Records that a member has proved that it is the primary.
    pub(crate) fn confirm_primary(&mut self, member: &MemberId) {
        if let Some(state) = self.members.get_mut(member) {
            state.not_primary_since = None;
        }
    }

    /// Records that a member reports being the primary while the one named by the highest revision
    /// does not act as primary.
    pub(crate) fn adopt_primary(&mut self, now: MonoTime, member: &MemberId) {
        let known = self.primary_by_evidence(now);
        if known.as_ref().is_none_or(|known| known.0 != *member) {
            let revision = known.map(|known| known.1).unwrap_or_default();
            self.latest_promotion = Some((member.clone(), revision.next()));
            self.has_new_promotion = true;
        }
    }

    /// Records a log position that the primary returned for a statement sent at `sent_at`. The
    /// member must have verified within that statement that it is the primary.
    pub(crate) fn add_sample(&mut self, sent_at: MonoTime, position: Position) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { sent_at, position });
    }

    /// Returns the position that a log must have reached to hold all commits acknowledged before
    /// `limit`: the lowest position sampled since then, which most replicas have reached.
    pub(crate) fn position_since(&self, limit: MonoTime) -> Option<Position> {
        let recent = self.samples.iter().filter(|sample| sample.sent_at >= limit);
        recent.map(|sample| sample.position).min()
    }

    /// Returns when the statement of the latest sample was sent.
    pub(crate) fn sampled_at(&self) -> Option<MonoTime> {
        self.latest_sample().map(|(sent_at, _)| sent_at)
    }

    /// Returns the latest sample: when its statement was sent, and the position.
    pub(crate) fn latest_sample(&self) -> Option<(MonoTime, Position)> {
        let samples = self.samples.iter();
        let samples = samples.map(|sample| (sample.sent_at, sample.position));
        samples.max_by_key(|(sent_at, _)| *sent_at)
    }

    /// Returns the highest term reported by any member or sample.
    pub(crate) fn highest_term(&self) -> Term {
        let positions = self.members.values().filter_map(|member| member.position);
        let samples = self.samples.iter().map(|sample| sample.position);
        positions
            .chain(samples)
            .map(|position| position.term)
            .fold(self.reported_term, Term::max)
    }

    /// Returns whether statements may be sent to the primary.
    pub(crate) fn is_primary_usable(&self, now: MonoTime) -> bool {
        let primary = self.primary.as_ref().and_then(|id| self.members.get(id));
        primary.is_some_and(|primary| {
            primary.down_since.is_none()
                && primary
                    .draining_since
                    .is_none_or(|since| now.since(since) < DRAINING_PRIMARY_TIMEOUT)
        })
    }
}
