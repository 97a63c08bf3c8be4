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

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::rendezvous_weight;

use crate::event::PoolAction;
use crate::event::PromotionOutcome;
use crate::event::Report;
use crate::event::WriteOutcome;
use crate::group::Group;
use crate::group::Member;
use crate::link::Link;
use crate::link::Owner;
use crate::link::Purpose;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::roster::FleetRecord;
use crate::statement::MemberAnswer;
use crate::statement::MemberCommand;

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

/// How long a primary denies the lead or is out of reach before the members are asked who leads.
const SEARCH_DELAY: Duration = Duration::from_millis(400);

/// Time between such questions.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Wait after another VM has reached the primary.
const REACHED_PAUSE: Duration = Duration::from_millis(500);

/// Time for members to tell their positions.
const SURVEY_TIME: Duration = Duration::from_millis(250);

/// Time between questions in one survey.
const SURVEY_REPEAT: Duration = Duration::from_millis(60);

/// Time for an order to be answered, and for the promoted member to lead.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Wait after a claim of another VM, which replaces the primary itself.
const YIELD_TIME: Duration = Duration::from_millis(2_000);

/// Wait after a failed step.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
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

    /// Asks the members who leads, once the one that the evidence names has denied it for a while.
    /// A VM without the store and the other VMs learns of a new primary only so.
    fn search_primary(&mut self, now: MonoTime, id: &GroupId, actions: &mut Vec<PoolAction>) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let primary = group
            .primary
            .as_ref()
            .and_then(|primary| group.members.get(primary));
        let is_denied = |member: &Member| {
            let denied = member
                .denied_since
                .is_some_and(|since| now.since(since) >= SEARCH_DELAY);
            denied
                || member
                    .down_since
                    .is_some_and(|since| now.since(since) >= SEARCH_DELAY)
        };
        if !primary.is_none_or(is_denied) || now < group.search_due {
            return;
        }
        group.search_due = now + SEARCH_INTERVAL;
        let reachable = group
            .members
            .iter()
            .filter(|(_, member)| member.down_since.is_none());
        let members: Vec<MemberId> = reachable.map(|(member, _)| member.clone()).collect();
        for member in members {
            self.ask_member(now, id, &member, MemberCommand::Status, actions);
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
            .denied_since
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

    /// Takes note of when another VM last heard a member.
    pub(crate) fn contact_answered(
        &mut self,
        now: MonoTime,
        from: &VmId,
        group: &GroupId,
        member: &MemberId,
        heard: Option<Duration>,
    ) {
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        let Phase::Asking { heard: answers, .. } = &mut group.failover.phase else {
            return;
        };
        if group.primary.as_ref() == Some(member) {
            let down = group
                .members
                .get(member)
                .and_then(|member| member.down_since);
            let outage = down.map_or(Duration::ZERO, |since| now.since(since));
            answers.insert(from.clone(), heard.filter(|heard| *heard < outage));
        }
    }

    /// Decides by what the other VMs said: one that reaches the primary, or too few answers to
    /// tell a lost primary from a cut of this VM, end the attempt.
    fn judge(&mut self, now: MonoTime, id: &GroupId, actions: &mut Vec<PoolAction>) {
        let vms = self.roster.len();
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let Phase::Asking { heard, .. } = &group.failover.phase else {
            return;
        };
        let is_missing = group
            .primary
            .as_ref()
            .and_then(|primary| group.members.get(primary))
            .is_none_or(|primary| primary.missing_since.is_some());
        let is_reached = heard.values().any(Option::is_some);
        let has_majority = (heard.len() + 1) * 2 > vms;
        let primary = group.primary.clone();
        if is_reached {
            report(id, "another VM reaches the primary", primary, 0, actions);
            return group.failover.pause(now, REACHED_PAUSE);
        }
        if !has_majority && !is_missing {
            report(id, "too few VMs answer", primary, 0, actions);
            return group.failover.pause(now, REACHED_PAUSE);
        }
        self.claim(now, id, actions);
    }

    fn claim(&mut self, now: MonoTime, id: &GroupId, actions: &mut Vec<PoolAction>) {
        let (name, expected) = self.group_record(id);
        self.claim_sequence += 1;
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        group.failover.phase = Phase::Claiming;
        group.failover.not_before = now;
        group.failover.claimed = group.primary.clone();
        let record = FleetRecord::Promotion {
            holder: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.claim_sequence,
            replaces: group.primary.clone(),
        };
        report(id, "claiming", group.primary.clone(), 0, actions);
        actions.push(PoolAction::WriteRecord {
            name,
            record,
            expected,
        });
    }

    pub(crate) fn claim_answered(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        outcome: WriteOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let own = FleetRecord::Promotion {
            holder: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.claim_sequence,
            replaces: self
                .groups
                .get(id)
                .and_then(|group| group.failover.claimed.clone()),
        };
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if !matches!(group.failover.phase, Phase::Claiming) {
            return;
        }
        let token = match outcome {
            WriteOutcome::Written(token) => token,
            // An earlier write without an answer took effect.
            WriteOutcome::Conflict {
                revision,
                record: Some(record),
            } if record == own => revision,
            WriteOutcome::Conflict { revision, record } => {
                let member = group.primary.clone();
                report(id, "another VM has claimed", member, revision, actions);
                let pause = if record.is_some() {
                    YIELD_TIME
                } else {
                    RETRY_PAUSE
                };
                return group.failover.pause(now, pause);
            }
            WriteOutcome::Unknown => {
                report(id, "claim has no answer", group.primary.clone(), 0, actions);
                return group.failover.pause(now, RETRY_PAUSE);
            }
        };
        if group.failover.trouble.is_none() {
            return group.failover.pause(now, Duration::ZERO);
        }
        report(id, "claimed", group.primary.clone(), token, actions);
        group.failover.phase = Phase::Surveying {
            token,
            until: now + SURVEY_TIME,
            repeat_at: now,
            received: BTreeMap::new(),
            handed_over: None,
        };
        self.run_failover(now, id, actions);
    }

    fn continue_survey(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        cause: Cause,
        actions: &mut Vec<PoolAction>,
    ) {
        let sync_replicas = self
            .catalogue
            .groups
            .get(id)
            .map_or(0, |rule| rule.sync_replicas);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let candidates = candidates(now, group, &self.evacuated);
        let Phase::Surveying {
            until,
            repeat_at,
            received,
            handed_over,
            ..
        } = &mut group.failover.phase
        else {
            return;
        };
        let answered = candidates
            .iter()
            .filter(|member| received.contains_key(*member))
            .count();
        let is_complete = answered == candidates.len() && answered > 0;
        let has_all = match (cause, *handed_over) {
            (Cause::Lost, _) => true,
            (Cause::Planned, None) => false,
            (Cause::Planned, Some(last)) => received
                .iter()
                .any(|(member, position)| candidates.contains(member) && *position >= last),
        };
        let is_due = now >= *until;
        // Where replicas confirm commits, each confirmed commit is in one of them: all must have
        // answered before the newest is known.
        let may_choose = sync_replicas == 0 || is_complete;
        if is_complete && has_all || is_due && answered > 0 && may_choose {
            return self.promote_newest(now, id, &candidates, actions);
        }
        if is_due {
            report(id, "no replica answers", group.primary.clone(), 0, actions);
            return group.failover.pause(now, RETRY_PAUSE);
        }
        if now >= *repeat_at {
            *repeat_at = now + SURVEY_REPEAT;
            let term = group.highest_term().next();
            let primary = group.primary.clone().filter(|_| cause == Cause::Planned);
            let pauses = sync_replicas > 0 && cause == Cause::Lost;
            for member in candidates {
                let command = if pauses {
                    MemberCommand::Pause(term)
                } else {
                    MemberCommand::Status
                };
                self.ask_member(now, id, &member, command, actions);
            }
            if let Some(primary) = primary {
                self.ask_member(now, id, &primary, MemberCommand::StepDown(term), actions);
            }
        }
    }

    /// Sends a command of the survey over a free connection or a new one.
    fn ask_member(
        &mut self,
        now: MonoTime,
        group: &GroupId,
        member: &MemberId,
        command: MemberCommand,
        actions: &mut Vec<PoolAction>,
    ) {
        let of_member = |link: &&Link| link.group == *group && link.member == *member;
        let is_asking = |link: &&Link| of_member(link) && link.owner == Owner::Pool;
        if self
            .links
            .values()
            .any(|link| is_asking(&link) && !link.is_quiet())
        {
            return;
        }
        let free = self
            .links
            .values()
            .find(|link| of_member(link) && link.is_free());
        let id = match free.map(|link| link.id) {
            Some(id) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.owner = Owner::Pool;
                }
                if let Some(member) = self.member_of(id) {
                    member.busy += 1;
                }
                Some(id)
            }
            None => self.open_own_link(now, group, member, actions),
        };
        if let Some(link) = id.and_then(|id| self.links.get_mut(&id)) {
            link.push(command, Purpose::Survey);
            link.send(now, actions);
        }
    }

    pub(crate) fn survey_answered(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        answer: &MemberAnswer,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let (group_id, member) = (link.group.clone(), link.member.clone());
        let Some(group) = self.groups.get_mut(&group_id) else {
            return;
        };
        let is_primary = group.primary.as_ref() == Some(&member);
        let status = answer.status.filter(|_| answer.result.is_ok());
        let denies = |primary: &MemberId| {
            let state = group.members.get(primary);
            state.is_some_and(|state| state.denied_since.is_some() || state.down_since.is_some())
        };
        if status.is_some_and(|status| status.is_primary)
            && !is_primary
            && group.primary.as_ref().is_none_or(denies)
        {
            group.found_primary(now, &member);
            return self.refresh_group(now, &group_id, actions);
        }
        let Phase::Surveying {
            received,
            handed_over,
            ..
        } = &mut group.failover.phase
        else {
            return;
        };
        let Some(status) = status else {
            return;
        };
        if is_primary && !status.is_primary {
            *handed_over = Some(status.received);
        } else {
            received.insert(member, status.received);
        }
        self.run_failover(now, &group_id, actions);
    }

    fn promote_newest(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        candidates: &[MemberId],
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let Phase::Surveying {
            token, received, ..
        } = &group.failover.phase
        else {
            return;
        };
        let token = *token;
        let newest = candidates
            .iter()
            .filter_map(|member| Some((received.get(member)?, Reverse(member), member)))
            .max();
        let Some((_, _, member)) = newest else {
            return;
        };
        let member = member.clone();
        report(id, "promoting", Some(member.clone()), token, actions);
        group.failover.phase = Phase::Promoting {
            token,
            member: member.clone(),
            until: now + SETTLE_TIME,
        };
        actions.push(PoolAction::Promote {
            group: id.clone(),
            member,
            token,
        });
    }

    pub(crate) fn promotion_answered(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        answered_token: u64,
        outcome: PromotionOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let Phase::Promoting { token, member, .. } = &group.failover.phase else {
            return;
        };
        if *token != answered_token {
            return;
        }
        let (token, member) = (*token, member.clone());
        match outcome {
            PromotionOutcome::Accepted => {
                report(id, "promoted", Some(member.clone()), token, actions);
                group.announce(member.clone(), token);
                let message = PoolMessage::Promoted {
                    group: id.clone(),
                    member,
                    token,
                };
                self.send_all_peers(&message, actions);
                self.refresh_group(now, id, actions);
            }
            PromotionOutcome::Refused => {
                report(id, "promotion refused", Some(member), token, actions);
                group.failover.pause(now, RETRY_PAUSE);
            }
            PromotionOutcome::Unknown => {
                report(id, "promotion has no answer", Some(member), token, actions);
                group.failover.pause(now, RETRY_PAUSE);
            }
        }
    }

    /// Ends a replacement that is complete or has taken too long.
    fn check_promotion(&mut self, now: MonoTime, id: &GroupId) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if let Phase::Promoting { until, member, .. } = &group.failover.phase
            && (now >= *until || group.primary.as_ref() == Some(member))
        {
            group.failover.pause(now, Duration::ZERO);
        }
    }
}

/// Returns the members that may become the primary.
fn candidates(
    now: MonoTime,
    group: &Group,
    evacuated: &std::collections::BTreeSet<lycheedoor_core::types::DataCentreId>,
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
