//! Replaces the primary of a group.
//!
//! Any VM may replace it. The VMs are ranked for each group, and a VM starts later the more VMs
//! rank before it. A VM asks the others whether they still reach the primary, then claims the group
//! by a conditional write to the store. The revision of that write, with its era, is the fencing
//! token, so no two claims share a token and the platform refuses the older one. The replica with the
//! newest received position is promoted.
//!
//! A primary that is draining, or whose data centre is taken out of service, is stepped down first,
//! so that the replicas can receive its last commits before one of them is promoted.
//!
//! Where replicas confirm commits, they are paused before their positions are compared, so the member
//! with the newest one has all confirmed commits until a promotion takes effect. A request for one may
//! take effect seconds later, also after a newer one. So the member is recorded in the store before it
//! is promoted, and until the term has ended each attempt promotes that member again, by whichever VM:
//! the requests may then take effect in any order. Another member is promoted once the platform has
//! refused the recorded one under a newer token, which ends the earlier requests.

mod claim;
mod pauses;
mod promotion;

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;
use smallvec::SmallVec;

use crate::event::PoolAction;
use crate::group::Group;
use crate::member::Member;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::report::Report;
use crate::roster::RequestedPromotion;
use crate::session::Stage;
use crate::store_revision::StoreRevision;

pub(crate) use pauses::PausedReplicas;

/// How long a primary has to be unreachable before it is replaced. This leaves time for a second
/// connection attempt, so that a single reset connection does not cause a failover.
const PRIMARY_DOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a group may have no known primary before one is promoted. A promotion that is already
/// in progress is reported within this time.
const NO_PRIMARY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay between the attempts of VMs of successive ranks. It exceeds the time to query the other
/// VMs, which delay their own attempts when they are queried.
const DELAY_PER_RANK: Duration = Duration::from_millis(150);

/// Delay of this VM's own attempt after another VM asked about the primary because it is about to
/// replace it.
const PEER_ATTEMPT_DELAY: Duration = Duration::from_millis(350);

/// Time for the other VMs to report whether they reach a member.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Delay after another VM claimed the group, which gives that VM time to replace the primary.
const PEER_CLAIM_DELAY: Duration = Duration::from_millis(2_000);

/// Delay after a failed step.
const FAILED_STEP_DELAY: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailoverCause {
    /// The primary is unreachable or reports that it is not the primary, or no primary is known.
    Lost,
    /// A replica is paused, and no attempt is going to end the pause.
    Paused,
    /// The primary is draining or its data centre is taken out of service, so it can step down.
    Planned,
}

#[derive(Clone, Debug, Default)]
enum Phase {
    #[default]
    Idle,
    QueryingPeers {
        deadline: MonoTime,
        peer_answers: BTreeMap<VmId, Option<Duration>>,
    },
    Claiming,
    QueryingMembers {
        claim: StoreRevision,
        deadline: MonoTime,
        next_query_at: MonoTime,
        /// The newest term, which a promotion would end.
        ended_term: Term,
        /// The received position of each member that has answered and is paused if it has to be.
        received: BTreeMap<MemberId, Position>,
        /// The position at which the old primary stepped down.
        step_down_position: Option<Position>,
    },
    /// The record of the promotion is being written.
    Recording {
        claim: StoreRevision,
        requested: RequestedPromotion,
    },
    Promoting {
        claim: StoreRevision,
        member: MemberId,
        deadline: MonoTime,
    },
}

/// The replacement of a group's primary, as one VM carries it out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Failover {
    pending_cause: Option<(FailoverCause, MonoTime)>,
    phase: Phase,
    not_before: MonoTime,
    claimed_primary: Option<MemberId>,
    /// The number of the latest claim.
    latest_claim: Option<u64>,
    /// Claims that may have taken effect although the store did not answer.
    unanswered_claims: SmallVec<[u64; 2]>,
}

impl Failover {
    pub(crate) fn is_active(&self) -> bool {
        self.pending_cause.is_some()
    }

    /// Returns whether an attempt because of a paused replica is in progress.
    fn is_ending_pauses(&self) -> bool {
        matches!(self.pending_cause, Some((FailoverCause::Paused, _)))
            && !matches!(self.phase, Phase::Idle)
    }

    /// Records a claim that was read from the store. A newer claim of another VM ends this VM's own
    /// attempt.
    pub(crate) fn claim_seen(&mut self, now: MonoTime, revision: StoreRevision, is_own: bool) {
        let is_older = match &self.phase {
            Phase::QueryingMembers { claim, .. } | Phase::Promoting { claim, .. } => {
                *claim < revision
            }
            Phase::Idle | Phase::QueryingPeers { .. } => true,
            // The answer of the store tells which write came first.
            Phase::Claiming | Phase::Recording { .. } => false,
        };
        if !is_own && is_older {
            self.phase = Phase::Idle;
            self.not_before = now + PEER_CLAIM_DELAY;
        }
    }

    /// Ends an attempt whose claim the store may have lost. A promotion that has been requested cannot
    /// be taken back, so its answer is still awaited.
    pub(crate) fn drop_claim(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        self.unanswered_claims.clear();
        self.latest_claim = None;
        let claim = match &self.phase {
            Phase::Idle | Phase::Promoting { .. } => return,
            Phase::QueryingMembers { claim, .. } | Phase::Recording { claim, .. } => Some(*claim),
            Phase::QueryingPeers { .. } | Phase::Claiming => None,
        };
        let step = "attempt ended since the store was restored";
        report_step(group, step, self.claimed_primary.clone(), claim, actions);
        self.pause(now, Duration::ZERO);
    }

    /// Returns whether the answer to a claim, or to the record of a promotion, is outstanding.
    pub(crate) fn awaits_claim(&self, sequence: u64) -> bool {
        matches!(self.phase, Phase::Claiming | Phase::Recording { .. })
            && self.latest_claim == Some(sequence)
    }

    /// Delays this VM's own attempt because another VM has started one.
    pub(crate) fn peer_attempt_started(&mut self, now: MonoTime) {
        if matches!(self.phase, Phase::Idle) {
            self.not_before = self.not_before.max(now + PEER_ATTEMPT_DELAY);
        }
    }

    fn pause(&mut self, now: MonoTime, pause: Duration) {
        self.phase = Phase::Idle;
        self.not_before = now + pause;
    }
}

impl Pool {
    /// Starts or continues the replacement of a group's primary.
    pub(crate) fn run_failover(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        self.sample_when_read(now, id, actions);
        self.search_primary(now, id, actions);
        self.check_pauses(now, id, actions);
        let pending_cause = self.failover_cause(now, id);
        let rank = match pending_cause {
            Some(_) => self.own_rank(id),
            None => 0,
        };
        let can_claim = !self.is_store_lost() && self.knows_records_of_era();
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let failover = &mut group.failover;
        let Some(cause) = pending_cause else {
            if !matches!(failover.phase, Phase::Promoting { .. }) {
                failover.phase = Phase::Idle;
            }
            failover.pending_cause = None;
            return self.check_promotion(now, id);
        };
        let since = match failover.pending_cause {
            Some((known, since)) if known == cause => since,
            _ => now,
        };
        failover.pending_cause = Some((cause, since));
        match &failover.phase {
            Phase::Idle => {
                let due = since + DELAY_PER_RANK * rank;
                // Without the store no claim can be written. Another VM may still reach the store.
                if now >= due && now >= failover.not_before && can_claim {
                    self.begin_replacement(now, id, cause, actions);
                }
            }
            Phase::QueryingPeers { deadline, .. } if now >= *deadline => {
                self.evaluate_peer_answers(now, id, actions)
            }
            Phase::QueryingMembers { .. } => self.continue_member_queries(now, id, cause, actions),
            Phase::Promoting { .. } => self.check_promotion(now, id),
            Phase::QueryingPeers { .. } | Phase::Claiming | Phase::Recording { .. } => {}
        }
    }

    /// Keeps a recent sample of the primary's position while callers read from the group.
    fn sample_when_read(&mut self, now: MonoTime, id: &GroupId, actions: &mut Vec<PoolAction>) {
        let reader = self.active.iter().find(|caller| {
            let current = self
                .sessions
                .get(*caller)
                .and_then(|session| session.current.as_ref());
            current.is_some_and(|current| {
                current.route.group == *id && current.stage != Stage::Forwarded
            })
        });
        if let Some(reader) = reader.copied()
            && !self.sample_primary(now, id, actions)
        {
            self.request_position(now, reader, id, actions);
        }
    }

    /// Returns why the group's primary has to be replaced; `None` if it does not have to be.
    fn failover_cause(&self, now: MonoTime, id: &GroupId) -> Option<FailoverCause> {
        if self.stop.is_some() || !self.config.groups.contains_key(id) {
            return None;
        }
        let group = self.groups.get(id)?;
        let Some(primary) = group.primary.as_ref().and_then(|id| group.members.get(id)) else {
            return (!group.members.is_empty()).then_some(FailoverCause::Lost);
        };
        let is_down = primary
            .down_since
            .is_some_and(|since| now.since(since) >= PRIMARY_DOWN_TIMEOUT);
        let is_not_primary = primary
            .not_primary_since
            .is_some_and(|since| now.since(since) >= NO_PRIMARY_TIMEOUT);
        let is_evacuated = self.evacuated.contains(&primary.entry.data_centre);
        // The primary steps down in such an attempt, so it no longer answers as one.
        let is_any_paused = || {
            self.confirming_replicas(id) > 0
                && (group.has_answering_primary() || group.failover.is_ending_pauses())
                && group.pauses.abandoned(now).is_some()
        };
        if is_down || is_not_primary {
            Some(FailoverCause::Lost)
        } else if is_any_paused() {
            Some(FailoverCause::Paused)
        } else if primary.draining_since.is_some() || is_evacuated {
            Some(FailoverCause::Planned)
        } else {
            None
        }
    }

    /// Returns how many VMs rank before this one for replacing the group's primary. VMs that send
    /// the group more statements rank first, because they notice first that its primary has failed.
    pub(crate) fn own_rank(&mut self, group: &GroupId) -> u32 {
        self.update_group_homes(group);
        let before = self.group_homes(group).rank_of(&self.settings.vm);
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    fn begin_replacement(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        cause: FailoverCause,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if candidates(now, group, &self.evacuated).is_empty() {
            // A claim now would only use up a fencing token.
            return group.failover.pause(now, FAILED_STEP_DELAY);
        }
        let primary = group.primary.clone();
        let since = group.failover.pending_cause.map_or(now, |(_, since)| since);
        match (cause, primary) {
            (FailoverCause::Planned, _) => self.claim_group(now, id, actions),
            (FailoverCause::Paused, _) => {
                let paused = group.pauses.abandoned(now).cloned();
                report_step(id, "replica is paused for nothing", paused, None, actions);
                self.claim_group(now, id, actions);
            }
            (FailoverCause::Lost, None) if now.since(since) >= NO_PRIMARY_TIMEOUT => {
                self.claim_group(now, id, actions);
            }
            (FailoverCause::Lost, None) => {}
            (FailoverCause::Lost, Some(member)) => {
                group.failover.phase = Phase::QueryingPeers {
                    deadline: now + PEER_ANSWER_TIMEOUT,
                    peer_answers: BTreeMap::new(),
                };
                report_step(
                    id,
                    "asking the other VMs",
                    Some(member.clone()),
                    None,
                    actions,
                );
                let group = id.clone();
                self.send_all_peers(&PoolMessage::AskContact { group, member }, actions);
            }
        }
    }
}

/// Returns whether a member may be the primary at present. One that has reported that it is not is
/// a replica, although it may be about to become the primary.
fn is_presumed_primary(group: &Group, id: &MemberId, member: &Member) -> bool {
    group.primary.as_ref() == Some(id) && member.not_primary_since.is_none()
}

/// Returns the members other than the primary that can report their received position. Draining
/// members also confirm commits, so they are included although they cannot become the primary.
fn reachable_replicas(now: MonoTime, group: &Group) -> Vec<MemberId> {
    let can_answer = |id: &MemberId, member: &Member| {
        !is_presumed_primary(group, id, member)
            && member.down_since.is_none()
            && !member.is_gone(now)
    };
    let members = group.members.iter();
    let members = members.filter(|(id, member)| can_answer(id, member));
    members.map(|(id, _)| id.clone()).collect()
}

/// Returns the members that may become the primary.
fn candidates(
    now: MonoTime,
    group: &Group,
    evacuated: &std::collections::BTreeSet<DataCentreId>,
) -> Vec<MemberId> {
    let may_become_primary = |id: &MemberId, member: &Member| {
        !is_presumed_primary(group, id, member)
            && member.draining_since.is_none()
            && member.missing_since.is_none()
            && member.down_since.is_none()
            && !member.is_gone(now)
            && !evacuated.contains(&member.entry.data_centre)
    };
    let members = group
        .members
        .iter()
        .filter(|(id, member)| may_become_primary(id, member));
    members.map(|(id, _)| id.clone()).collect()
}

fn report_step(
    group: &GroupId,
    step: &'static str,
    member: Option<MemberId>,
    claim: Option<StoreRevision>,
    actions: &mut Vec<PoolAction>,
) {
    let token = claim.map_or(0, StoreRevision::token);
    actions.push(PoolAction::Report(Report::Failover {
        group: group.clone(),
        step,
        member,
        token,
    }));
}
