//! The state of the members of all groups as one VM knows it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::session::MemberPlacement;
use crate::session::member::MemberView;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Position;
use crate::types::Term;

/// The least interval between retained samples of the primary's log position. At 50 ms, 256
/// samples prove staleness bounds of up to 12.8 s and take 6 KB a group.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const MAX_SAMPLE_COUNT: usize = 256;

/// An event that changes what is known of groups and their members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SelectorEvent {
    /// The configuration contains a new member, or a known one with a changed placement.
    MemberConfigured {
        /// The member's group.
        group: GroupId,
        /// The member.
        member: MemberId,
        /// Its distance and whether it takes new statements.
        place: MemberPlacement,
    },
    /// The configuration no longer contains a member.
    MemberRemoved {
        /// The member's group.
        group: GroupId,
        /// The member.
        member: MemberId,
    },
    /// According to the platform, the group has a new term or a new primary.
    TermChanged {
        /// The group.
        group: GroupId,
        /// The term.
        term: Term,
        /// The primary of the term, if one is known.
        primary: Option<MemberId>,
    },
    /// The primary that the platform names for a term has reported whether it has been promoted.
    /// The platform names a primary before its promotion; until then it is a replica that may
    /// lag.
    PromotionReported {
        /// The group.
        group: GroupId,
        /// The term.
        term: Term,
        /// Whether the member is the primary of the term.
        complete: bool,
    },
    /// A member has reported positions, with an answer to a statement or to a probe.
    Observed {
        /// The member's group.
        group: GroupId,
        /// The member.
        member: MemberId,
        /// The term that the member reported; `None` in an answer to a statement.
        term: Option<Term>,
        /// The applied position, if reported; on a primary, its log position.
        applied: Option<Position>,
        /// The received position, if reported.
        received: Option<Position>,
        /// When the statement or probe was sent. The member made the report no earlier.
        sent_at: MonoTime,
    },
    /// The primary of a term has reported its log position. Sent only while this VM may
    /// acknowledge statements of the term: no later promotion can have happened then, so the
    /// position is an upper bound of what was committed by `sent_at`, and it bounds the staleness
    /// of replicas that have applied it.
    PrimaryPosition {
        /// The group.
        group: GroupId,
        /// The term.
        term: Term,
        /// The log position of the primary.
        position: Position,
        /// When the statement or probe was sent.
        sent_at: MonoTime,
    },
    /// A member has become reachable or unreachable.
    ReachabilityChanged {
        /// The member's group.
        group: GroupId,
        /// The member.
        member: MemberId,
        /// Whether the member answers.
        reachable: bool,
    },
    /// A statement was sent to a member.
    StatementStarted {
        /// The member's group.
        group: GroupId,
        /// The member.
        member: MemberId,
    },
    /// A statement on a member has ended, with an answer or without.
    StatementEnded {
        /// The member's group.
        group: GroupId,
        /// The member.
        member: MemberId,
    },
}

#[derive(Clone, Debug, Default)]
pub(super) struct GroupView {
    pub(super) term: Term,
    pub(super) primary: Option<MemberId>,
    pub(super) members: BTreeMap<MemberId, MemberView>,
    /// The term whose primary has not been promoted yet, as far as this VM knows.
    pending_promotion: Option<Term>,
    statements_started: u64,
    /// Times, each with a log position; whatever was committed by the time lies at or before the
    /// position. Both increase from front to back.
    primary_samples: VecDeque<(MonoTime, Position)>,
}

/// Keeps what this VM knows of the members of all groups, and chooses the members on which reads
/// run.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSelector {
    pub(super) groups: BTreeMap<GroupId, GroupView>,
}

impl ReplicaSelector {
    /// Creates a selector without groups.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: MonoTime, event: &SelectorEvent) {
        match event {
            SelectorEvent::MemberConfigured {
                group,
                member,
                place,
            } => self.configure_member(group, member, *place),
            SelectorEvent::MemberRemoved { group, member } => {
                if let Some(view) = self.groups.get_mut(group) {
                    view.members.remove(member);
                }
            }
            SelectorEvent::TermChanged {
                group,
                term,
                primary,
            } => self.change_term(group, *term, primary),
            SelectorEvent::PromotionReported {
                group,
                term,
                complete,
            } => {
                let view = self.groups.entry(group.clone()).or_default();
                view.pending_promotion = (!complete).then_some(*term);
            }
            SelectorEvent::Observed { group, .. } => {
                if let Some(view) = self.groups.get_mut(group) {
                    view.observe(now, event);
                }
            }
            SelectorEvent::PrimaryPosition {
                group,
                term,
                position,
                sent_at,
            } => {
                let view = self.groups.get_mut(group);
                if let Some(view) = view.filter(|view| view.term == *term) {
                    view.record_primary_position(*sent_at, *position);
                }
            }
            SelectorEvent::ReachabilityChanged {
                group,
                member,
                reachable,
            } => {
                if let Some(member) = self.member_mut(group, member) {
                    member.reachable = *reachable;
                }
            }
            SelectorEvent::StatementStarted { group, member } => {
                self.record_statement_start(group, member)
            }
            SelectorEvent::StatementEnded { group, member } => {
                if let Some(member) = self.member_mut(group, member) {
                    member.outstanding = member.outstanding.saturating_sub(1);
                }
            }
        }
    }

    /// Returns the highest known term of a group, or 0 if the group is unknown.
    pub fn term(&self, group: &GroupId) -> Term {
        self.groups
            .get(group)
            .map_or_else(Term::default, |view| view.term)
    }

    /// Returns the primary of a group, if one is known.
    pub fn primary(&self, group: &GroupId) -> Option<&MemberId> {
        self.groups.get(group)?.primary.as_ref()
    }

    /// Returns the number of configured members of a group.
    pub fn member_count(&self, group: &GroupId) -> usize {
        self.groups.get(group).map_or(0, |view| view.members.len())
    }

    /// Iterates over the members of a group that are reachable and are not its primary.
    pub fn reachable_replicas(&self, group: &GroupId) -> impl Iterator<Item = &MemberId> {
        self.groups.get(group).into_iter().flat_map(|view| {
            let replicas = view.members.iter();
            replicas
                .filter(|(member, state)| state.reachable && Some(*member) != view.primary.as_ref())
                .map(|(member, _)| member)
        })
    }

    /// Returns whether a configured member answers.
    pub fn is_reachable(&self, group: &GroupId, member: &MemberId) -> bool {
        self.member(group, member)
            .is_some_and(|member| member.reachable)
    }

    /// Returns an upper bound of the staleness of the data on a member, or `None` if no bound is
    /// known.
    pub fn applied_age(
        &self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
    ) -> Option<Duration> {
        let applied = self.member(group, member)?.applied?;
        self.groups
            .get(group)?
            .age_upper_bound(now, applied.position)
    }

    fn member(&self, group: &GroupId, member: &MemberId) -> Option<&MemberView> {
        self.groups.get(group)?.members.get(member)
    }

    fn configure_member(&mut self, group: &GroupId, member: &MemberId, place: MemberPlacement) {
        let view = self.groups.entry(group.clone()).or_default();
        view.members
            .entry(member.clone())
            .or_insert_with(|| MemberView::new(place))
            .place = place;
    }

    /// Returns whether the group's primary may not have been promoted yet.
    pub fn is_promotion_pending(&self, group: &GroupId) -> bool {
        self.groups
            .get(group)
            .is_some_and(GroupView::has_pending_promotion)
    }

    fn change_term(&mut self, group: &GroupId, term: Term, primary: &Option<MemberId>) {
        let view = self.groups.entry(group.clone()).or_default();
        if term < view.term {
            return;
        }
        view.term = term;
        view.primary.clone_from(primary);
        view.members
            .values_mut()
            .filter(|member| member.term < term)
            .for_each(MemberView::discard_positions);
    }

    fn record_statement_start(&mut self, group: &GroupId, member: &MemberId) {
        let Some(view) = self.groups.get_mut(group) else {
            return;
        };
        view.statements_started += 1;
        if let Some(member) = view.members.get_mut(member) {
            member.outstanding += 1;
            member.last_started = view.statements_started;
        }
    }

    fn member_mut(&mut self, group: &GroupId, member: &MemberId) -> Option<&mut MemberView> {
        self.groups.get_mut(group)?.members.get_mut(member)
    }
}

impl GroupView {
    pub(super) fn has_pending_promotion(&self) -> bool {
        self.pending_promotion == Some(self.term)
    }

    fn observe(&mut self, now: MonoTime, event: &SelectorEvent) {
        let SelectorEvent::Observed {
            member,
            term,
            applied,
            received,
            sent_at,
            ..
        } = event
        else {
            return;
        };
        let Some(view) = self.members.get_mut(member) else {
            return;
        };
        // Without a reported term, a position proves only that the member was in the term of that
        // position.
        let observed_term = term.or(applied.map(|position| position.term));
        let Some(observed_term) = observed_term.filter(|seen| *seen >= self.term) else {
            return;
        };
        view.term = view.term.max(observed_term);
        if let Some(position) = applied {
            view.observe_applied(now, *sent_at, *position);
        }
        view.received = view.received.max(*received);
    }

    /// Records that everything that was committed by `sent_at` lies at or before `position`.
    fn record_primary_position(&mut self, sent_at: MonoTime, position: Position) {
        if self
            .primary_samples
            .back()
            .is_some_and(|(time, _)| sent_at <= *time)
        {
            return;
        }
        // A position at a later time is a tighter bound than samples with the same or a higher
        // position, so it replaces them.
        while self
            .primary_samples
            .back()
            .is_some_and(|(_, newest)| *newest >= position)
        {
            self.primary_samples.pop_back();
        }
        if let [.., before, last] = self.primary_samples.make_contiguous()
            && last.0.since(before.0) < MIN_SAMPLE_INTERVAL
        {
            self.primary_samples.pop_back();
        }
        self.primary_samples.push_back((sent_at, position));
        if self.primary_samples.len() > MAX_SAMPLE_COUNT {
            self.primary_samples.pop_front();
        }
    }

    /// Returns an upper bound of the staleness of data at a position, or `None` if no bound is
    /// known.
    pub(super) fn age_upper_bound(&self, now: MonoTime, position: Position) -> Option<Duration> {
        let covered = self
            .primary_samples
            .partition_point(|(_, sample)| *sample <= position);
        let (time, _) = self.primary_samples.get(covered.checked_sub(1)?)?;
        Some(now.since(*time))
    }
}
