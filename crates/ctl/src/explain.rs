//! The commands that explain why something happened, with the records that show it.

use std::collections::BTreeSet;

use clap::ArgMatches;
use lycheedoor_core::timeline::Entry;
use lycheedoor_core::timeline::Explanation;
use lycheedoor_core::timeline::Record;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::timeline::explain_promotion;
use lycheedoor_core::timeline::explain_read;
use lycheedoor_core::timeline::explain_refusal;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;

use crate::error::CtlError;
use crate::explain_log;
use crate::timeline;

/// Explains why one statement on a VM was refused or where it was routed.
type ExplainStatement = fn(&[Entry], &VmId, RequestId) -> Explanation;

pub(crate) fn run(command: &ArgMatches) -> Result<String, CtlError> {
    let Some((command_name, arguments)) = command.subcommand() else {
        return Err(CtlError::Usage("a command is missing".into()));
    };
    if command_name == "log" {
        return explain_log::run(arguments);
    }
    let entries = timeline::collect(arguments)?;
    match command_name {
        "promotion" => explain_promotion_of_group(&entries, arguments),
        "read" => explain_statement(&entries, arguments, explain_read),
        _ => explain_statement(&entries, arguments, explain_refusal),
    }
}

fn explain_statement(
    entries: &[Entry],
    arguments: &ArgMatches,
    explain: ExplainStatement,
) -> Result<String, CtlError> {
    let number = arguments.get_one("request").copied().unwrap_or_default();
    let request = RequestId(number);
    let vm = vm_of_request(entries, arguments, request)?;
    let explanation = explain(entries, &vm, request);
    render(&format!("statement {number} on {vm}"), &explanation)
}

/// Returns the VM named on the command line, or else the only VM with records of a statement.
fn vm_of_request(
    entries: &[Entry],
    arguments: &ArgMatches,
    request: RequestId,
) -> Result<VmId, CtlError> {
    if let Some(vm) = arguments.get_one::<String>("vm") {
        return Ok(vm.as_str().into());
    }
    let matching = entries.iter().filter(|entry| {
        let record = entry.record();
        record.is_some_and(|record| record.subject.request == Some(request))
    });
    let vms: BTreeSet<&VmId> = matching.map(|entry| &entry.process().vm).collect();
    let mut vms = vms.into_iter();
    match (vms.next(), vms.next()) {
        (Some(vm), None) => Ok(vm.clone()),
        (None, _) => Err(CtlError::NotFound(format!(
            "no record of statement {request}"
        ))),
        _ => Err(CtlError::Usage(format!(
            "several VMs have a statement {request}; select one with --vm"
        ))),
    }
}

fn explain_promotion_of_group(
    entries: &[Entry],
    arguments: &ArgMatches,
) -> Result<String, CtlError> {
    let group = arguments.get_one::<String>("group");
    let group = GroupId::from(group.map_or("", String::as_str));
    let (from, until) = timeline::period(arguments, entries);
    let explanation = explain_promotion(
        entries,
        &group,
        from.unwrap_or_default(),
        until.unwrap_or(WallTime(u64::MAX)),
    );
    render(&format!("group {group}"), &explanation)
}

fn render(subject: &str, explanation: &Explanation) -> Result<String, CtlError> {
    let Some(record) = explanation.decision.as_ref().and_then(Entry::record) else {
        let message = format!("{subject}: no record of the decision\n{explanation}");
        return Err(CtlError::NotFound(message.trim_end().to_owned()));
    };
    Ok(format!("{subject}: {}\n{explanation}", headline(record)))
}

fn headline(record: &Record) -> String {
    let name = record.code.name();
    let outcome = match record.subject.outcome {
        Some(Outcome::NotRun) => ", not run",
        Some(Outcome::Unknown) => ", outcome unknown",
        Some(Outcome::Answered) | None => "",
    };
    match record.subject.reason {
        Some(reason) => format!("{name}{outcome}: {reason} ({reason:?})"),
        None => format!("{name}{outcome}"),
    }
}
