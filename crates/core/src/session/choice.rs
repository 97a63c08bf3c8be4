//! Selection of the member on which a read runs.

use std::time::Duration;

use crate::session::ReplicaSelector;
use crate::session::SessionMark;
use crate::session::Trust;
use crate::session::member::MemberView;
use crate::session::selector::GroupView;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Position;
use crate::types::Reason;

/// The maximum time that a read waits for a replica to catch up.
pub const MAX_REPLICA_WAIT: Duration = Duration::from_millis(5);

/// A read for which a member is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct ReadQuery<'a> {
    /// The group that serves the route of the read.
    pub group: &'a GroupId,
    /// The position that the session has seen in the group, and its trust.
    pub mark: SessionMark,
    /// The maximum staleness that the route accepts without a session token; zero if it accepts
    /// none.
    pub max_staleness: Duration,
    /// The expected time that a statement would wait in the queue for the primary.
    pub primary_queue: Duration,
    /// The time that the read has already waited for a replica.
    pub waited: Duration,
}

/// The member on which a read runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadChoice {
    /// A replica whose last reported applied position is recent enough.
    Replica(MemberId),
    /// None yet: a replica is expected to catch up soon. Call `choose` again after each
    /// observation of a member, and at `until` at the latest.
    Wait {
        /// The replica that is expected to catch up first.
        member: MemberId,
        /// The latest time for the next call.
        until: MonoTime,
    },
    /// The primary.
    Primary {
        /// The primary, or `None` if the group has no primary that takes statements.
        member: Option<MemberId>,
        /// Why no replica was chosen.
        reason: Reason,
    },
}

impl ReplicaSelector {
    /// Chooses the member on which a read runs.
    pub fn choose(&self, now: MonoTime, read: &ReadQuery<'_>) -> ReadChoice {
        let Some(view) = self.groups.get(read.group) else {
            return primary(None, Reason::NoPrimary);
        };
        if !may_use_replica(read) {
            return primary(view.usable_primary(), Reason::NoSessionEvidence);
        }
        if let Some(member) = view.fresh_replica(now, read) {
            return ReadChoice::Replica(member.clone());
        }
        if let Some(wait) = view.wait_for_replica(now, read) {
            return wait;
        }
        primary(view.usable_primary(), view.no_replica_reason())
    }

    /// Returns whether a member may still serve a read as a replica.
    pub fn may_serve(&self, now: MonoTime, read: &ReadQuery<'_>, member: &MemberId) -> bool {
        let Some(view) = self.groups.get(read.group) else {
            return false;
        };
        may_use_replica(read)
            && view.replicas().any(|(name, state)| {
                name == member && state.usable() && view.is_fresh(now, read, state)
            })
    }

    /// Returns whether new statements may be sent to a member.
    pub fn is_usable(&self, group: &GroupId, member: &MemberId) -> bool {
        let members = self.groups.get(group).map(|view| &view.members);
        members
            .and_then(|members| members.get(member))
            .is_some_and(MemberView::usable)
    }

    /// Returns the primary of a group if new statements may be sent to it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the group has no such primary.
    pub fn usable_primary(&self, group: &GroupId) -> Result<&MemberId, Reason> {
        let view = self.groups.get(group).ok_or(Reason::NoPrimary)?;
        let name = view.primary.as_ref().ok_or(Reason::NoPrimary)?;
        let member = view.members.get(name).ok_or(Reason::NoPrimary)?;
        match member {
            member if member.place.data_centre_out => Err(Reason::DataCentreOut),
            member if member.place.leaving => Err(Reason::TargetLeaving),
            member if !member.reachable || view.has_pending_promotion() => Err(Reason::NoPrimary),
            _ => Ok(name),
        }
    }
}

fn primary(member: Option<&MemberId>, reason: Reason) -> ReadChoice {
    ReadChoice::Primary {
        member: member.cloned(),
        reason,
    }
}

fn may_use_replica(read: &ReadQuery<'_>) -> bool {
    match read.mark.trust {
        Trust::Proven => true,
        Trust::Unproven => !read.max_staleness.is_zero(),
        Trust::PrimaryOnly => false,
    }
}

impl GroupView {
    fn usable_primary(&self) -> Option<&MemberId> {
        self.primary
            .as_ref()
            .filter(|name| self.members.get(*name).is_some_and(MemberView::usable))
            .filter(|_| !self.has_pending_promotion())
    }

    fn replicas(&self) -> impl Iterator<Item = (&MemberId, &MemberView)> {
        self.members
            .iter()
            .filter(|(name, _)| Some(*name) != self.primary.as_ref())
    }

    fn fresh_replica(&self, now: MonoTime, read: &ReadQuery<'_>) -> Option<&MemberId> {
        self.replicas()
            .filter(|(_, member)| member.usable() && self.is_fresh(now, read, member))
            .min_by_key(|(_, member)| {
                (
                    member.place.distance_us,
                    member.outstanding,
                    member.last_started,
                )
            })
            .map(|(name, _)| name)
    }

    fn is_fresh(&self, now: MonoTime, read: &ReadQuery<'_>, member: &MemberView) -> bool {
        let Some(applied) = member.applied.map(|applied| applied.position) else {
            return false;
        };
        let covered = read.mark.position.is_none_or(|wanted| wanted <= applied);
        let within_max_staleness = || {
            self.age_upper_bound(now, applied)
                .is_some_and(|age| age <= read.max_staleness)
        };
        covered && (read.mark.trust == Trust::Proven || within_max_staleness())
    }

    fn wait_for_replica(&self, now: MonoTime, read: &ReadQuery<'_>) -> Option<ReadChoice> {
        let proven = read.mark.trust == Trust::Proven;
        let wanted: Position = read.mark.position.filter(|_| proven)?;
        let max_wait = MAX_REPLICA_WAIT
            .min(read.primary_queue)
            .saturating_sub(read.waited);
        let (wait, member) = self
            .replicas()
            .filter(|(_, member)| member.usable())
            .filter_map(|(name, member)| Some((member.expected_wait(now, wanted)?, name)))
            .min()?;
        // The clock counts microseconds: a shorter wait would end immediately and be chosen again
        // without end.
        let until = now + max_wait;
        (wait < max_wait && until > now).then(|| ReadChoice::Wait {
            member: member.clone(),
            until,
        })
    }

    fn no_replica_reason(&self) -> Reason {
        let all = |condition: fn(&MemberView) -> bool| {
            self.replicas().all(|(_, member)| condition(member))
        };
        if all(|member| member.place.data_centre_out) {
            Reason::DataCentreOut
        } else if all(|member| member.place.leaving) {
            Reason::TargetLeaving
        } else if all(|member| !member.reachable) {
            Reason::ConnectionLost
        } else {
            Reason::ReplicaBehind
        }
    }
}
