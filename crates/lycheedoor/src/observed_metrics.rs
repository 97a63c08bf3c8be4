//! Metrics about the events and the state of the decision logic.

use std::time::Duration;

use lycheedoor_core::config::Config;
use lycheedoor_core::timeline::EventCode;
use lycheedoor_core::timeline::Record;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_core::vm::Vm;
use lycheedoor_telemetry::metrics as names;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;

use crate::observer::primary_of;

/// The label of workspaces that are not in the configuration. Callers that are refused may name any
/// workspace, and these names must not create time series.
const UNKNOWN_WORKSPACE: &str = "-";

/// Counts an event of the timeline in the metrics that it belongs to.
pub(crate) fn count_event(vm: &Vm, record: &Record) {
    let subject = &record.subject;
    let group = subject.group.as_ref().map_or("-", GroupId::as_str);
    let count_promotion = |result: &'static str| {
        let labels = [("group", group.to_owned()), ("result", result.to_owned())];
        counter!(names::PROMOTIONS.name, &labels).increment(1);
    };
    match record.code {
        EventCode::RequestRefused | EventCode::CallerRefused => {
            let workspace = workspace_label(vm, subject.workspace.as_ref()).to_owned();
            let sqlstate = subject.reason.map_or("-", |reason| reason.sqlstate());
            let labels = [("workspace", workspace), ("sqlstate", sqlstate.to_owned())];
            counter!(names::REFUSALS.name, &labels).increment(1);
        }
        EventCode::ReadRouted => {
            let primary = subject
                .group
                .as_ref()
                .and_then(|group| primary_of(vm, group));
            let by_primary = subject.member == primary;
            let served_by = if by_primary { "primary" } else { "replica" };
            let labels = [
                ("group", group.to_owned()),
                ("served_by", served_by.to_owned()),
            ];
            counter!(names::READS.name, &labels).increment(1);
        }
        EventCode::RequestRetried => {
            counter!(names::RETRIES.name, "group" => group.to_owned()).increment(1);
        }
        EventCode::LeaseLost => counter!(names::LEASE_LOSSES.name).increment(1),
        EventCode::MemberPromoted => count_promotion("promoted"),
        EventCode::IntentCancelled => count_promotion("cancelled"),
        _ => {}
    }
}

/// Records the time from the last answer of the former primary to the promotion of its successor.
pub(crate) fn record_failover_gap(group: &str, gap_us: u64) {
    let gap = Duration::from_micros(gap_us).as_secs_f64();
    histogram!(names::FAILOVER_GAP_SECONDS.name, "group" => group.to_owned()).record(gap);
}

/// Updates the gauges, and the counters whose totals the decision logic keeps.
pub(crate) fn update_state_metrics(vm: &Vm, now: MonoTime) {
    let membership = vm.membership();
    let remaining = membership.lease_until().map(|until| until.since(now));
    let remaining = remaining.unwrap_or_default().as_secs_f64();
    gauge!(names::LEASE_REMAINING_SECONDS.name).set(remaining);
    let fence = membership.fence();
    gauge!(names::ROSTER_VERSION.name).set(fence.map_or(0, |fence| fence.version) as f64);
    gauge!(names::CALLER_CONNECTIONS.name).set(vm.caller_count() as f64);
    counter!(names::TIMELINE_LOST.name).absolute(vm.timeline().dropped());
    counter!(names::LEASE_LOSSES.name).increment(0);
    let config = vm.config();
    gauge!(names::CONFIG_VERSION.name).set(config.map_or(0, |config| config.version) as f64);
    if let Some(config) = config {
        update_workspace_metrics(vm, config);
        update_group_metrics(vm, now, config);
    }
}

fn update_workspace_metrics(vm: &Vm, config: &Config) {
    for workspace in config.workspaces.keys() {
        let counts = vm.outcomes(workspace);
        for (outcome, total) in [
            ("answered", counts.answered),
            ("not_run", counts.not_run),
            ("unknown", counts.unknown),
        ] {
            let labels = [
                ("workspace", workspace.to_string()),
                ("outcome", outcome.to_owned()),
            ];
            counter!(names::STATEMENTS.name, &labels).absolute(total);
        }
        let queued = vm.queued_statement_count(workspace) as f64;
        gauge!(names::QUEUED_STATEMENTS.name, "workspace" => workspace.to_string()).set(queued);
    }
}

fn update_group_metrics(vm: &Vm, now: MonoTime, config: &Config) {
    let selector = vm.exchanges().selector();
    for (id, group) in &config.groups {
        let fence = vm.membership().fence();
        if let Some(state) = fence.and_then(|fence| fence.groups.get(id)) {
            gauge!(names::GROUP_TERM.name, "group" => id.to_string()).set(state.term.0 as f64);
        }
        for member in group.members.keys() {
            let labels = [("group", id.to_string()), ("member", member.to_string())];
            let open = vm.connection_count(id, member) as f64;
            gauge!(names::TARGET_CONNECTIONS.name, &labels).set(open);
            if let Some(age) = selector.applied_age(now, id, member) {
                gauge!(names::REPLICA_LAG_SECONDS.name, &labels).set(age.as_secs_f64());
            }
        }
    }
}

/// Returns the metric label of a workspace: its name if the configuration contains it.
fn workspace_label<'a>(vm: &Vm, workspace: Option<&'a WorkspaceId>) -> &'a str {
    let config = vm.config();
    let declared =
        |id: &&WorkspaceId| config.is_some_and(|config| config.workspaces.contains_key(*id));
    workspace
        .filter(declared)
        .map_or(UNKNOWN_WORKSPACE, WorkspaceId::as_str)
}
