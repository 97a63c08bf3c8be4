//! Writes the pool's reports as log events and metrics.

use std::time::Duration;

use lycheedoor_pool::Access;
use lycheedoor_pool::CallerError;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::Report;
use lycheedoor_pool::usage_report::UsageNote;
use lycheedoor_telemetry::FieldValue;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::emit_limited_by_kind;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::metrics::CONFIG_VERSION;
use lycheedoor_telemetry::metrics::MEMBER_RAMP_SECONDS;
use lycheedoor_telemetry::metrics::MEMBER_SECONDS;
use lycheedoor_telemetry::metrics::MEMBERS_LEFT_OUT;
use lycheedoor_telemetry::metrics::MOVED_READS;
use lycheedoor_telemetry::metrics::READS;
use lycheedoor_telemetry::metrics::REFUSALS;
use lycheedoor_telemetry::metrics::ROOM_WANTS;
use lycheedoor_telemetry::metrics::STATEMENT_SECONDS;
use lycheedoor_telemetry::metrics::STATEMENTS;
use lycheedoor_telemetry::metrics::STORE_RESTORES;
use lycheedoor_telemetry::metrics::USAGE_LOST;
use lycheedoor_telemetry::metrics::USAGE_OLDEST_DUE_SECONDS;
use lycheedoor_telemetry::metrics::USAGE_WINDOWS;
use lycheedoor_telemetry::metrics::WAIT_SECONDS;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;

/// Written to the log in place of an unknown group, member or fault.
const ABSENT_VALUE: &str = "-";

/// Writes a report to the log and updates the metrics.
pub(crate) fn write_report(report: &Report) {
    match report {
        Report::Usage(note) => write_usage_note(note),
        Report::ConfigurationApplied { version } => {
            // Versions are far below the largest integer that a floating point gauge holds exactly.
            gauge!(CONFIG_VERSION.name).set(*version as f64);
            emit(&events::CONFIGURATION_IN_FORCE, &[(*version).into()]);
        }
        Report::ObjectUnusable { kind, name, error } => {
            let values = [
                kind.as_str().into(),
                name.as_str().into(),
                error.as_str().into(),
            ];
            emit_limited_by_cause(&events::OBJECT_UNUSABLE, name, &values);
        }
        Report::MemberChanged {
            group,
            member,
            state,
            claims_primary,
            revision,
        } => {
            let revision = revision.to_string();
            let values = [
                group.as_str().into(),
                member.as_str().into(),
                (*state).into(),
                (*claims_primary).into(),
                revision.as_str().into(),
            ];
            emit_limited_by_kind(&events::MEMBER_STATE, &values);
        }
        Report::PrimaryChanged {
            group,
            member,
            evidence,
        } => {
            let member = member
                .as_ref()
                .map_or(ABSENT_VALUE, |member| member.as_str());
            let evidence = evidence.to_string();
            let values = [
                group.as_str().into(),
                member.into(),
                evidence.as_str().into(),
            ];
            emit_limited_by_kind(&events::PRIMARY_BELIEVED, &values);
        }
        Report::MemberSuspected {
            group,
            member,
            cause,
            silence,
        } => {
            let values = [
                group.as_str().into(),
                member.as_str().into(),
                (*cause).into(),
                millis(*silence),
            ];
            emit_limited_by_kind(&events::MEMBER_SUSPECTED, &values);
        }
        Report::MemberBack {
            group,
            member,
            outage,
        } => {
            let values = [
                group.as_str().into(),
                member.as_str().into(),
                millis(*outage),
            ];
            emit_limited_by_kind(&events::MEMBER_BACK, &values);
        }
        Report::MemberLeftOut {
            group,
            member,
            cause,
            agreeing,
        } => {
            let values = [
                group.as_str().into(),
                member.as_str().into(),
                (*cause).into(),
                (*agreeing).into(),
            ];
            emit_limited_by_kind(&events::MEMBER_LEFT_OUT, &values);
            counter!(MEMBERS_LEFT_OUT.name, "group" => group.to_string()).increment(1);
        }
        Report::MemberReadmitted {
            group,
            member,
            after,
        } => {
            let values = [
                group.as_str().into(),
                member.as_str().into(),
                millis(*after),
            ];
            emit_limited_by_kind(&events::MEMBER_READMITTED, &values);
        }
        Report::ReadMoved { group, member } => {
            let values = [group.as_str().into(), member.as_str().into()];
            emit_limited_by_kind(&events::READ_MOVED, &values);
            counter!(MOVED_READS.name, "group" => group.to_string()).increment(1);
        }
        Report::MemberAtPace {
            group,
            member,
            taken,
            cuts,
        } => {
            let values = [
                group.as_str().into(),
                member.as_str().into(),
                millis(*taken),
                (*cuts).into(),
            ];
            emit_limited_by_kind(&events::MEMBER_AT_PACE, &values);
            let histogram = histogram!(MEMBER_RAMP_SECONDS.name, "group" => group.to_string());
            histogram.record(taken.as_secs_f64());
        }
        Report::Failover {
            group,
            step,
            member,
            token,
        } => {
            let member = member
                .as_ref()
                .map_or(ABSENT_VALUE, |member| member.as_str());
            let values = [
                group.as_str().into(),
                (*step).into(),
                member.into(),
                (*token).into(),
            ];
            emit_limited_by_kind(&events::FAILOVER_STEP, &values);
        }
        Report::RoomWanted {
            group,
            member,
            priority,
        } => {
            let labels = [
                ("group", group.to_string()),
                ("priority", priority.to_string()),
            ];
            counter!(ROOM_WANTS.name, &labels).increment(1);
            let values = [
                group.as_str().into(),
                member.as_str().into(),
                u32::from(*priority).into(),
            ];
            emit_limited_by_kind(&events::ROOM_WANTED, &values);
        }
        Report::StatementDone { .. } => count_statement(report),
        Report::StatementFailed { .. } => write_statement_failure(report),
        Report::StatementLate {
            caller,
            id,
            group,
            member,
            last_fault,
            attempts,
            waited,
            elapsed,
        } => {
            let values = [
                caller.0.into(),
                id.as_str().into(),
                group.as_str().into(),
                member.as_str().into(),
                last_fault.map_or(ABSENT_VALUE, MemberFault::as_str).into(),
                (*attempts).into(),
                millis(*waited),
                millis(*elapsed),
            ];
            emit_limited_by_kind(&events::STATEMENT_LATE, &values);
        }
        Report::VmRemoved { vm, silence } => {
            emit_limited_by_kind(&events::VM_REMOVED, &[vm.as_str().into(), millis(*silence)]);
        }
        Report::PeerUnavailable { vm, cause } => {
            let values = [vm.as_str().into(), (*cause).into()];
            emit_limited_by_kind(&events::HOME_UNAVAILABLE, &values);
        }
        Report::PeerAvailable { vm } => {
            emit_limited_by_kind(&events::HOME_BACK, &[vm.as_str().into()]);
        }
        Report::ReplyIgnored {
            vm,
            incarnation,
            session,
            request,
            cause,
        } => {
            let values = [
                vm.as_str().into(),
                incarnation.0.into(),
                session.0.into(),
                request.0.into(),
                (*cause).into(),
            ];
            emit_limited_by_cause(&events::REPLY_IGNORED, cause, &values);
        }
        Report::RouteDiffers { vm, group, version } => {
            let values = [vm.as_str().into(), group.as_str().into(), (*version).into()];
            emit_limited_by_cause(&events::ROUTE_DIFFERS, vm.as_str(), &values);
        }
        Report::StoreSource { relay } => {
            let relay = relay.as_ref().map_or(ABSENT_VALUE, |vm| vm.as_str());
            emit_limited_by_kind(&events::STORE_SOURCE, &[relay.into()]);
        }
        Report::RelayLost { vm, cause } => {
            let values = [vm.as_str().into(), (*cause).into()];
            emit_limited_by_kind(&events::RELAY_LOST, &values);
        }
        Report::CommitHolders { group, members } => {
            emit(
                &events::COMMIT_HOLDERS,
                &[group.as_str().into(), (*members).into()],
            );
        }
        Report::WatchLost { kind, since } => {
            let since = since.to_string();
            let values = [kind.as_str().into(), since.as_str().into()];
            emit_limited_by_kind(&events::WATCH_LOST, &values);
        }
        Report::StoreRestored { era } => {
            counter!(STORE_RESTORES.name).increment(1);
            emit(&events::STORE_RESTORED, &[(*era).into()]);
        }
        Report::RestoredObjectMissing { kind, name } => {
            let values = [kind.as_str().into(), name.as_str().into()];
            emit_limited_by_kind(&events::RESTORED_OBJECT_MISSING, &values);
        }
        Report::RestoredObjectDropped { kind, name } => {
            let values = [kind.as_str().into(), name.as_str().into()];
            emit_limited_by_kind(&events::RESTORED_OBJECT_DROPPED, &values);
        }
        Report::StoreBack { outage } => emit(&events::STORE_BACK, &[millis(*outage)]),
        Report::StopStarted { sessions } => {
            emit(&events::STOP_STARTED, &[(*sessions).into()]);
        }
        Report::StopFinished { sessions } => {
            emit(&events::STOP_FINISHED, &[(*sessions).into()]);
        }
    }
}

fn write_usage_note(note: &UsageNote) {
    match note {
        UsageNote::Claimed { token } => emit(&events::USAGE_CLAIMED, &[(*token).into()]),
        UsageNote::Ended { token, cause } => {
            gauge!(USAGE_OLDEST_DUE_SECONDS.name).set(0.0);
            emit(&events::USAGE_ENDED, &[(*token).into(), (*cause).into()]);
        }
        UsageNote::Reported {
            window,
            operations,
            age,
        } => {
            counter!(USAGE_WINDOWS.name, "result" => "reported").increment(1);
            let values = [(*window).into(), (*operations).into(), millis(*age)];
            emit(&events::USAGE_REPORTED, &values);
        }
        UsageNote::Missed { window, windows } => {
            counter!(USAGE_WINDOWS.name, "result" => "missed").increment(*windows);
            let values = [(*window).into(), (*windows).into()];
            emit(&events::USAGE_MISSED, &values);
        }
        UsageNote::Lost { operations } => {
            counter!(USAGE_LOST.name).increment(*operations);
            emit_limited_by_kind(&events::USAGE_LOST, &[(*operations).into()]);
        }
        UsageNote::OldestDue { age } => {
            gauge!(USAGE_OLDEST_DUE_SECONDS.name).set(age.as_secs_f64());
        }
    }
}

fn count_statement(report: &Report) {
    let Report::StatementDone {
        workspace,
        route,
        group,
        access,
        by_primary,
        waited,
        elapsed,
    } = report
    else {
        return;
    };
    let labels = [
        ("workspace", workspace.to_string()),
        ("outcome", "answered".to_owned()),
    ];
    counter!(STATEMENTS.name, &labels).increment(1);
    if *access == Access::Read {
        let served_by = if *by_primary { "primary" } else { "replica" };
        let labels = [
            ("group", group.to_string()),
            ("served_by", served_by.to_owned()),
        ];
        counter!(READS.name, &labels).increment(1);
    }
    histogram!(STATEMENT_SECONDS.name, "route" => route.clone()).record(elapsed.as_secs_f64());
    histogram!(WAIT_SECONDS.name, "route" => route.clone()).record(waited.as_secs_f64());
    let member_time = elapsed.saturating_sub(*waited);
    histogram!(MEMBER_SECONDS.name, "group" => group.to_string()).record(member_time.as_secs_f64());
}

fn write_statement_failure(report: &Report) {
    let Report::StatementFailed {
        caller,
        id,
        workspace,
        group,
        member,
        last_fault,
        attempts,
        error,
        cause,
        version,
        elapsed,
    } = report
    else {
        return;
    };
    let labels = [
        ("workspace", workspace.to_string()),
        ("sqlstate", error.as_str().to_owned()),
    ];
    counter!(REFUSALS.name, &labels).increment(1);
    let outcome = match error {
        CallerError::InDoubt | CallerError::TimedOut | CallerError::Failed => "unknown",
        _ => "not_run",
    };
    let labels = [
        ("workspace", workspace.to_string()),
        ("outcome", outcome.to_owned()),
    ];
    counter!(STATEMENTS.name, &labels).increment(1);
    let values = [
        caller.0.into(),
        id.as_str().into(),
        workspace.as_str().into(),
        group
            .as_ref()
            .map_or(ABSENT_VALUE, |group| group.as_str())
            .into(),
        member
            .as_ref()
            .map_or(ABSENT_VALUE, |member| member.as_str())
            .into(),
        last_fault.map_or(ABSENT_VALUE, MemberFault::as_str).into(),
        (*attempts).into(),
        error.as_str().into(),
        (*cause).into(),
        (*version).into(),
        millis(*elapsed),
    ];
    emit_limited_by_kind(&events::STATEMENT_FAILED, &values);
}

fn millis(span: Duration) -> FieldValue<'static> {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX).into()
}
