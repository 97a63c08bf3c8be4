//! Checks the invariants against what callers, targets and the platform observe.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberRole;

use crate::database::Answer;
use crate::database::Member;
use crate::database::StatementKind;
use crate::statements::Statement;
use crate::topology::*;

/// The time after which a published change must prevent new work.
const CHANGE_IN_FORCE_TIMEOUT_US: u64 = 5_000_000;

/// Records what callers, targets and the platform observe, and the first violation of an invariant.
#[derive(Debug, Default)]
pub struct Oracle {
    first_violation: Option<String>,
    config: Option<Config>,
    /// When keys were withdrawn. `out_since` and `leaving_since` say when data centres were taken
    /// out and members set to leaving.
    withdrawn_at: BTreeMap<(usize, u64), u64>,
    out_since: BTreeMap<usize, u64>,
    leaving_since: BTreeMap<usize, u64>,
    pub(crate) published_at: u64,
    /// Since when most VMs have been able to read the platform. While they cannot, VMs continue
    /// with the last configuration they read and cannot learn of a change (design page, section 4).
    pub(crate) platform_readable_since: u64,
    terms: [Term; GROUP_COUNT],
    /// Acknowledged operations, and whether each may be in the log more than once.
    acknowledged: [BTreeMap<u64, bool>; GROUP_COUNT],
    acknowledged_numbers: BTreeMap<(usize, u64), u64>,
    /// For each workspace, when each statement arrived at a VM and when it was sent to a target.
    admitted: [Vec<(u64, u64)>; WORKSPACE_COUNT],
}

impl Oracle {
    /// Records a violation of an invariant. Only the first one is kept.
    pub(crate) fn record_violation(&mut self, now: u64, invariant: u32, text: String) {
        self.first_violation
            .get_or_insert_with(|| format!("invariant {invariant} at {now} us: {text}"));
    }

    pub(crate) fn verdict(&self) -> Result<(), String> {
        self.first_violation.clone().map_or(Ok(()), Err)
    }

    /// Records a new version of the configuration, given the generation of the newest key of each
    /// workspace.
    pub(crate) fn record_config(
        &mut self,
        now: u64,
        config: &Config,
        newest_keys: [u64; WORKSPACE_COUNT],
    ) {
        self.published_at = now;
        for (workspace, newest) in newest_keys.into_iter().enumerate() {
            let keys = &config.workspaces[&workspace_id(workspace)].keys;
            for generation in 0..=newest {
                let key = (workspace, generation);
                if keys.contains(&key_digest(workspace, generation)) {
                    self.withdrawn_at.remove(&key);
                } else {
                    self.withdrawn_at.entry(key).or_insert(now);
                }
            }
        }
        for data_centre in 0..DATA_CENTRE_COUNT {
            let state = config.data_centres[&data_centre_id(data_centre)].state;
            let out = state == DataCentreState::Out;
            set_since(&mut self.out_since, data_centre, out, now);
        }
        for member in 0..MEMBER_COUNT {
            let group = &config.groups[&group_id(group_of(member))];
            let availability = group.members[&member_id(member)].availability;
            let leaving = availability == MemberAvailability::Leaving;
            set_since(&mut self.leaving_since, member, leaving, now);
        }
        self.config = Some(config.clone());
    }

    /// Returns the version of the newest configuration.
    pub(crate) fn newest_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    fn is_overdue(&self, now: u64, since: u64) -> bool {
        now > since.max(self.platform_readable_since) + CHANGE_IN_FORCE_TIMEOUT_US
    }

    /// Checks invariants 4 and 6: the key presented with a statement belongs to its workspace, and
    /// no withdrawal of it is overdue.
    pub(crate) fn check_key(&mut self, now: u64, request: u64, statement: &Statement) {
        if statement.route == RouteKind::Open {
            return;
        }
        let Some((workspace, generation)) = statement.key else {
            let text = format!("statement {request} runs without a key");
            return self.record_violation(now, 4, text);
        };
        if workspace_id(workspace) != statement.workspace {
            let text = format!("statement {request} runs with the key of workspace {workspace}");
            return self.record_violation(now, 4, text);
        }
        let withdrawn = self.withdrawn_at.get(&(workspace, generation));
        if let Some(at) = withdrawn.filter(|at| self.is_overdue(now, **at)) {
            let text = format!("statement {request} runs with a key withdrawn at {at} us");
            self.record_violation(now, 6, text);
        }
    }

    /// Checks invariants 8 and 12: no statement starts on a member that is leaving or whose data
    /// centre is out.
    pub(crate) fn check_target(&mut self, now: u64, request: u64, member: usize) {
        let out = self.out_since.get(&data_centre_of(member));
        if let Some(at) = out.filter(|at| self.is_overdue(now, **at)) {
            let text = format!("statement {request} starts on {member}, out since {at} us");
            self.record_violation(now, 8, text);
        }
        let leaving = self.leaving_since.get(&member);
        if let Some(at) = leaving.filter(|at| self.is_overdue(now, **at)) {
            let text = format!("statement {request} starts on {member}, leaving since {at} us");
            self.record_violation(now, 12, text);
        }
    }

    /// Records the term of a group that was stored on the platform. Returns whether it began with a
    /// promotion.
    pub(crate) fn record_term(&mut self, group: usize, term: Term) -> bool {
        let former = std::mem::replace(&mut self.terms[group], term);
        former != Term(0) && term > former
    }

    pub(crate) fn term(&self, group: usize) -> Term {
        self.terms[group]
    }

    /// Checks invariants 1 and 2 when an answer is delivered.
    pub(crate) fn check_delivered_answer(
        &mut self,
        now: u64,
        request: u64,
        statement: &Statement,
        answer: &Answer,
    ) {
        if answer.failed {
            return;
        }
        let newest = self.terms[statement.group];
        if statement.kind != StatementKind::Read {
            if answer.term < newest {
                let (term, text) = (answer.term, "is acknowledged for term");
                let text = format!("write {request} {text} {term} after {newest} began");
                self.record_violation(now, 2, text);
            }
            return self.acknowledge(now, statement, answer);
        }
        if !answer.missing.is_empty() {
            let text = format!("read {request} does not show {:?}", answer.missing);
            self.record_violation(now, 1, text);
        }
        let as_primary = statement.sent_as_primary.is_some_and(|term| term < newest);
        if as_primary && answer.role == MemberRole::Primary && answer.term < newest {
            let term = answer.term;
            let text = format!("primary read {request} of term {term} after {newest} began");
            self.record_violation(now, 2, text);
        }
    }

    fn acknowledge(&mut self, now: u64, statement: &Statement, answer: &Answer) {
        if statement.kind != StatementKind::Write {
            return;
        }
        let (group, operation) = (statement.group, statement.operation);
        self.acknowledge_operation(group, operation, statement.route == RouteKind::Upsert);
        let Some(number) = answer
            .number
            .filter(|_| statement.route == RouteKind::Write)
        else {
            return;
        };
        let known = self.acknowledged_numbers.insert((group, number), operation);
        if let Some(other) = known.filter(|other| *other != operation) {
            let text = format!("number {number} goes to {other} and to {operation}");
            self.record_violation(now, 2, text);
        }
    }

    pub(crate) fn acknowledge_operation(&mut self, group: usize, operation: u64, repeats: bool) {
        self.acknowledged[group].insert(operation, repeats);
    }

    /// Returns an acknowledged write that is missing from the log of a member.
    pub(crate) fn missing_writes(&self, members: &[Member], member: usize) -> Option<u64> {
        let log = &members[member].log;
        let held: BTreeSet<u64> = log.iter().map(|entry| entry.operation).collect();
        let mut acknowledged = self.acknowledged[group_of(member)].keys();
        acknowledged
            .find(|operation| !held.contains(operation))
            .copied()
    }

    /// Checks invariants 2 and 11 at the end of a run: the log of the last primary contains each
    /// acknowledged write, and no operation twice except those in `repeats`.
    pub(crate) fn check_log(
        &mut self,
        now: u64,
        members: &[Member],
        member: usize,
        repeats: &BTreeSet<u64>,
    ) {
        if let Some(operation) = self.missing_writes(members, member) {
            let text = format!("acknowledged write {operation} is not on primary {member}");
            self.record_violation(now, 2, text);
        }
        let group = group_of(member);
        let mut seen = BTreeSet::new();
        for (at, entry) in members[member].log.iter().enumerate() {
            if !seen.insert(entry.operation) && !repeats.contains(&entry.operation) {
                let text = format!("operation {} is in the log twice", entry.operation);
                self.record_violation(now, 11, text);
            }
            let number = at as u64 + 1;
            let known = self.acknowledged_numbers.get(&(group, number));
            if known.is_some_and(|operation| *operation != entry.operation) {
                let text = format!("number {number} was acknowledged to another operation");
                self.record_violation(now, 2, text);
            }
        }
    }

    /// Records the admission of a statement, which happened between its arrival and its first send.
    pub(crate) fn record_admitted(&mut self, workspace: usize, arrived_at: u64, sent_at: u64) {
        self.admitted[workspace].push((arrived_at, sent_at));
    }

    /// Checks invariant 7. A statement is admitted between its arrival at the VM and its first
    /// send, so one with both times inside a window was certainly admitted in that window.
    pub(crate) fn check_rates(&mut self, now: u64) {
        for (workspace, (rate, burst)) in RATE_LIMITS.into_iter().enumerate() {
            let mut spans = std::mem::take(&mut self.admitted[workspace]);
            spans.sort_by_key(|(_, sent)| *sent);
            for from in spans.iter().map(|(arrived, _)| *arrived) {
                let mut count = 0u64;
                for (_, to) in spans.iter().filter(|(arrived, _)| *arrived >= from) {
                    count += 1;
                    let window = (to - from) * (1_000_000 + MAX_CLOCK_DRIFT_PPM) / 1_000_000;
                    let allowed = u64::from(rate) * window + u64::from(burst) * 1_000_000;
                    if count * 1_000_000 > allowed {
                        let text = format!("ws{workspace} runs {count} from {from} us to {to} us");
                        return self.record_violation(now, 7, text);
                    }
                }
            }
        }
    }
}

fn set_since(since: &mut BTreeMap<usize, u64>, index: usize, is_active: bool, now: u64) {
    if is_active {
        since.entry(index).or_insert(now);
    } else {
        since.remove(&index);
    }
}
