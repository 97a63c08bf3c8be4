//! The status command, which shows the fleet on one screen.

use std::collections::BTreeMap;

use clap::ArgMatches;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_operator::GroupStatus;
use lycheedoor_operator::MemberStatus;
use lycheedoor_operator::Phase;
use lycheedoor_operator::Status;
use lycheedoor_operator::WorkspaceStatus;
use lycheedoor_platform::PlatformError;
use lycheedoor_platform::PublishedConfig;
use lycheedoor_platform::VmListing;
use lycheedoor_platform::VmState;
use lycheedoor_platform::read_config;

use crate::error::CtlError;
use crate::fleet;
use crate::fleet::VmError;
use crate::table;

/// A VM, and its status or why it cannot be shown.
type VmAnswer = (VmListing, Result<Status, VmError>);

pub(crate) fn run(command: &ArgMatches) -> Result<String, CtlError> {
    // While the platform is down, operators can still query the VMs that they name.
    let published = match command.contains_id("platform") {
        true => Some(read_config(&crate::client(command)?)),
        false => None,
    };
    let answers = fleet::fetch_statuses(&fleet::vms(command)?, fleet::timeout(command));
    Ok(render(published, &answers))
}

fn render(
    published: Option<Result<PublishedConfig, PlatformError>>,
    answers: &[VmAnswer],
) -> String {
    let statuses: Vec<&Status> = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok())
        .collect();
    [
        headline(published, &statuses, answers.len()),
        vm_table(answers),
        group_table(&statuses),
        data_centre_table(&statuses),
        workspace_table(&statuses),
    ]
    .join("\n")
}

fn headline(
    published: Option<Result<PublishedConfig, PlatformError>>,
    statuses: &[&Status],
    vms: usize,
) -> String {
    let newest = statuses.iter().map(|status| status.config_version).max();
    let (version, source) = match published {
        Some(Ok(published)) => (published.config.version, "on the platform".to_owned()),
        Some(Err(error)) => (newest.unwrap_or(0), format!("newest on a VM; {error}")),
        None => (newest.unwrap_or(0), "newest on a VM".to_owned()),
    };
    let current = statuses
        .iter()
        .filter(|status| status.config_version == version)
        .count();
    format!("configuration version {version} ({source}), in force on {current} of {vms} VMs\n")
}

fn vm_table(answers: &[VmAnswer]) -> String {
    let rows: Vec<_> = answers.iter().map(vm_row).collect();
    let head = [
        "VM",
        "data centre",
        "state",
        "config",
        "roster",
        "slots",
        "lease ms",
        "platform",
        "callers",
    ];
    table::render("VMs", &head, &rows)
}

fn vm_row((listing, answer): &VmAnswer) -> Vec<String> {
    let (vm, data_centre) = match answer {
        Ok(status) => (&status.vm, &status.data_centre),
        Err(_) => (&listing.vm, &listing.data_centre),
    };
    let name = vec![vm.to_string(), data_centre.to_string()];
    let state = match answer {
        Ok(status) => vec![
            phase_text(listing, status.phase),
            status.config_version.to_string(),
            status.roster_version.to_string(),
            slots_text(&status.slots),
            status.lease_remaining_ms.to_string(),
            if status.platform_serves { "up" } else { "down" }.into(),
            status.callers.to_string(),
        ],
        Err(error) => vec![error.to_string()],
    };
    [name, state].concat()
}

fn phase_text(listing: &VmListing, phase: Phase) -> String {
    match listing.state {
        VmState::Leaving => format!("{phase}, leaving"),
        VmState::Live => phase.to_string(),
    }
}

fn slots_text(slots: &[u32]) -> String {
    if slots.is_empty() {
        return "none".into();
    }
    let numbers: Vec<_> = slots.iter().map(u32::to_string).collect();
    numbers.join(",")
}

fn group_table(statuses: &[&Status]) -> String {
    let mut views_by_group: BTreeMap<&GroupId, Vec<&GroupStatus>> = BTreeMap::new();
    for group in statuses.iter().flat_map(|status| &status.groups) {
        views_by_group.entry(&group.group).or_default().push(group);
    }
    let rows: Vec<_> = views_by_group
        .values()
        .flat_map(|views| group_rows(views))
        .collect();
    let head = [
        "group",
        "term",
        "member",
        "role",
        "data centre",
        "answers",
        "lag ms",
        "connections",
    ];
    table::render("Groups", &head, &rows)
}

/// Returns a row for each member of a group, with the newest term that any VM knows and what the
/// VMs that know this term report about the members.
fn group_rows(views: &[&GroupStatus]) -> Vec<Vec<String>> {
    let term = views.iter().map(|view| view.term).max().unwrap_or_default();
    let views: Vec<_> = views.iter().filter(|view| view.term == term).collect();
    let mut members: BTreeMap<_, Vec<&MemberStatus>> = BTreeMap::new();
    for member in views.iter().flat_map(|view| &view.members) {
        members.entry(&member.member).or_default().push(member);
    }
    let primary = views.iter().find_map(|view| view.primary.as_ref());
    let is_promoting = views.iter().any(|view| view.promotion_in_progress);
    let group = views.first().map(|view| view.group.to_string());
    members
        .into_iter()
        .map(|(name, reports)| {
            let role = if Some(name) == primary {
                "primary"
            } else {
                "replica"
            };
            let promotion = if is_promoting { ", promotion" } else { "" };
            [
                vec![
                    group.clone().unwrap_or_default(),
                    format!("{}{promotion}", term.0),
                    name.to_string(),
                    role.into(),
                ],
                member_cells(&reports),
            ]
            .concat()
        })
        .collect()
}

fn member_cells(reports: &[&MemberStatus]) -> Vec<String> {
    let answering = reports.iter().filter(|member| member.answers).count();
    let lag_ms = reports.iter().filter_map(|member| member.lag_ms).min();
    let connections: u32 = reports.iter().map(|member| member.connections).sum();
    let leaving = reports
        .iter()
        .any(|member| member.availability == MemberAvailability::Leaving);
    let data_centre = reports.first().map(|member| member.data_centre.to_string());
    vec![
        data_centre.unwrap_or_default(),
        format!(
            "{answering} of {}{}",
            reports.len(),
            if leaving { ", leaving" } else { "" }
        ),
        lag_ms.map_or("-".into(), |lag_ms| lag_ms.to_string()),
        connections.to_string(),
    ]
}

/// Shows the states of data centres in the newest configuration that any VM has in force.
fn data_centre_table(statuses: &[&Status]) -> String {
    let newest = statuses.iter().max_by_key(|status| status.config_version);
    let rows: Vec<_> = newest
        .iter()
        .flat_map(|status| &status.data_centres)
        .map(|data_centre| {
            let state = match data_centre.state {
                DataCentreState::In => "in",
                DataCentreState::Out => "out",
            };
            vec![data_centre.data_centre.to_string(), state.into()]
        })
        .collect();
    table::render("Data centres", &["data centre", "state"], &rows)
}

fn workspace_table(statuses: &[&Status]) -> String {
    let mut totals: BTreeMap<&WorkspaceId, WorkspaceStatus> = BTreeMap::new();
    for workspace in statuses.iter().flat_map(|status| &status.workspaces) {
        totals
            .entry(&workspace.workspace)
            .and_modify(|total| {
                total.admitted += workspace.admitted;
                total.refused += workspace.refused;
                total.unknown += workspace.unknown;
                total.queued += workspace.queued;
            })
            .or_insert_with(|| workspace.clone());
    }
    let rows: Vec<_> = totals
        .values()
        .map(|total| {
            vec![
                total.workspace.to_string(),
                total.admitted.to_string(),
                total.refused.to_string(),
                total.unknown.to_string(),
                total.queued.to_string(),
            ]
        })
        .collect();
    let head = ["workspace", "admitted", "refused", "unknown", "queued"];
    table::render("Workspaces", &head, &rows)
}
