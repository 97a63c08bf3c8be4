//! Replaces the primary of a group.
//!
//! Any VM may do it. The VMs of the fleet are ranked by group, and those of higher rank give the
//! first ones time. A VM asks the others whether they still reach the primary, then claims the
//! group by a conditional write to the store; the revision of that write is the fencing token, so
//! two claims never share one and the platform refuses the older. The replica with the newest
//! received position is promoted.
//!
//! A primary that leaves or whose data centre is taken out is stepped down first, so that replicas
//! can receive its last commits before one of them leads.

mod claim;
mod survey;

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::rendezvous_weight;

use crate::event::PoolAction;
use crate::group::Group;
use crate::member::Member;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::report::Report;

/// How long a primary has to be out of reach before it is replaced. It covers a further attempt
/// to connect, so that one reset connection replaces nobody.
const DOWN_TIME: Duration = Duration::from_millis(200);

/// How long a group may have no known primary before one is promoted. A change that is under way
/// is reported within this time.
const NO_PRIMARY_TIME: Duration = Duration::from_millis(1_500);

/// The lead of each rank over the next: more than the time to ask the other VMs, who then wait.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// How long a VM that was asked about a primary leaves its replacement to the one that asked.
const ASKED_PAUSE: Duration = Duration::from_millis(350);

/// Time for the other VMs to say whether they reach a member.
const ASK_TIME: Duration = Duration::from_millis(120);

/// Wait after a claim of another VM, which replaces the primary itself.
const YIELD_TIME: Duration = Duration::from_millis(2_000);

/// Wait after a failed step.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It does not answer, or there is none.
    Lost,
    /// It leaves or its data centre is taken out; it can hand over.
    Planned,
}

#[derive(Clone, Debug, Default)]
enum Phase {
    #[default]
    Idle,
    Asking {
        until: MonoTime,
        heard: BTreeMap<VmId, Option<Duration>>,
    },
    Claiming,
    Surveying {
        token: u64,
        until: MonoTime,
        repeat_at: MonoTime,
        /// The received position of each member that has answered.
        received: BTreeMap<MemberId, Position>,
        /// The position at which the old primary stepped down.
        handed_over: Option<Position>,
    },
    Promoting {
        token: u64,
        member: MemberId,
        until: MonoTime,
    },
}

/// The replacement of a group's primary as seen by one VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct Failover {
    trouble: Option<(Cause, MonoTime)>,
    phase: Phase,
    not_before: MonoTime,
    claimed: Option<MemberId>,
}

impl Failover {
    pub(crate) fn is_active(&self) -> bool {
        self.trouble.is_some()
    }

    /// Takes note of a claim in the store.
    pub(crate) fn claim_seen(&mut self, now: MonoTime, revision: u64, is_own: bool) {
        let is_older = match &self.phase {
            Phase::Surveying { token, .. } | Phase::Promoting { token, .. } => *token < revision,
            Phase::Idle | Phase::Asking { .. } => true,
            Phase::Claiming => false,
        };
        if !is_own && is_older {
            self.phase = Phase::Idle;
            self.not_before = now + YIELD_TIME;
        }
    }

    /// Leaves the replacement to another VM that has begun it.
    pub(crate) fn asked(&mut self, now: MonoTime) {
        if matches!(self.phase, Phase::Idle) {
            self.not_before = self.not_before.max(now + ASKED_PAUSE);
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
        let trouble = self.trouble_of(now, id);
        let rank = self.rank_for(id);
        let store_is_lost = self.is_store_lost();
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let failover = &mut group.failover;
        let Some(cause) = trouble else {
            if !matches!(failover.phase, Phase::Promoting { .. }) {
                failover.phase = Phase::Idle;
            }
            failover.trouble = None;
            return self.check_promotion(now, id);
        };
        let since = match failover.trouble {
            Some((known, since)) if known == cause => since,
            _ => now,
        };
        failover.trouble = Some((cause, since));
        match &failover.phase {
            Phase::Idle => {
                let due = since + RANK_DELAY * rank;
                // Without the store no claim can be written; another VM may reach it.
                if now >= due && now >= failover.not_before && !store_is_lost {
                    self.begin_replacement(now, id, cause, actions);
                }
            }
            Phase::Asking { until, .. } if now >= *until => self.judge(now, id, actions),
            Phase::Surveying { .. } => self.continue_survey(now, id, cause, actions),
            Phase::Promoting { .. } => self.check_promotion(now, id),
            Phase::Asking { .. } | Phase::Claiming => {}
        }
    }

    /// Keeps a sample at hand while callers read the group.
    fn sample_when_read(&mut self, now: MonoTime, id: &GroupId, actions: &mut Vec<PoolAction>) {
        let is_read = self.active.iter().any(|caller| {
            let current = self
                .sessions
                .get(caller)
                .and_then(|session| session.current.as_ref());
            current.is_some_and(|current| current.route.group == *id)
        });
        if is_read {
            self.sample_primary(now, id, actions);
        }
    }

    /// Returns why the group's primary has to be replaced, if it has.
    fn trouble_of(&self, now: MonoTime, id: &GroupId) -> Option<Cause> {
        if self.stop.is_some() || !self.catalogue.groups.contains_key(id) {
            return None;
        }
        let group = self.groups.get(id)?;
        let Some(primary) = group.primary.as_ref().and_then(|id| group.members.get(id)) else {
            return (!group.members.is_empty()).then_some(Cause::Lost);
        };
        let is_down = primary
            .down_since
            .is_some_and(|since| now.since(since) >= DOWN_TIME);
        let has_lost_lead = primary
            .not_primary_since
            .is_some_and(|since| now.since(since) >= NO_PRIMARY_TIME);
        let is_out = self.evacuated.contains(&primary.entry.data_centre);
        if is_down || has_lost_lead {
            Some(Cause::Lost)
        } else if primary.draining_since.is_some() || is_out {
            Some(Cause::Planned)
        } else {
            None
        }
    }

    /// Returns the place of this VM among those that may replace the group's primary.
    fn rank_for(&self, group: &GroupId) -> u32 {
        let weight =
            |vm: &VmId| rendezvous_weight(&[group.as_str().as_bytes(), vm.as_str().as_bytes()]);
        let own = weight(&self.settings.vm);
        let before = self.roster.names().filter(|vm| weight(vm) > own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    fn begin_replacement(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        cause: Cause,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if candidates(now, group, &self.evacuated).is_empty() {
            // A claim would only count up the token.
            return group.failover.pause(now, RETRY_PAUSE);
        }
        let primary = group.primary.clone();
        let since = group.failover.trouble.map_or(now, |(_, since)| since);
        match (cause, primary) {
            (Cause::Planned, _) => self.claim(now, id, actions),
            (Cause::Lost, None) if now.since(since) >= NO_PRIMARY_TIME => {
                self.claim(now, id, actions);
            }
            (Cause::Lost, None) => {}
            (Cause::Lost, Some(member)) => {
                group.failover.phase = Phase::Asking {
                    until: now + ASK_TIME,
                    heard: BTreeMap::new(),
                };
                report(id, "asking the other VMs", Some(member.clone()), 0, actions);
                let group = id.clone();
                self.send_all_peers(&PoolMessage::AskContact { group, member }, actions);
            }
        }
    }
}

/// Returns the members that can say what they have received. Leaving ones confirm commits too, so
/// they count although they cannot become the primary.
fn voters(now: MonoTime, group: &Group) -> Vec<MemberId> {
    let can_answer = |id: &MemberId, member: &Member| {
        group.primary.as_ref() != Some(id) && member.down_since.is_none() && !member.is_gone(now)
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
    let may_lead = |id: &MemberId, member: &Member| {
        group.primary.as_ref() != Some(id)
            && member.draining_since.is_none()
            && member.missing_since.is_none()
            && member.down_since.is_none()
            && !member.is_gone(now)
            && !evacuated.contains(&member.entry.data_centre)
    };
    let members = group
        .members
        .iter()
        .filter(|(id, member)| may_lead(id, member));
    members.map(|(id, _)| id.clone()).collect()
}

fn report(
    group: &GroupId,
    step: &'static str,
    member: Option<MemberId>,
    token: u64,
    actions: &mut Vec<PoolAction>,
) {
    actions.push(PoolAction::Report(Report::Failover {
        group: group.clone(),
        step,
        member,
        token,
    }));
}
