//! The timeline command, which shows the merged timeline of all VMs.

use std::time::Duration;

use clap::ArgMatches;
use lycheedoor_core::timeline::Entry;
use lycheedoor_core::timeline::Filter;
use lycheedoor_core::timeline::SessionId;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::timeline::merge;
use lycheedoor_core::types::RequestId;

use crate::error::CtlError;
use crate::fleet;

/// Returns the selected part of the merged timeline as text or JSON lines.
pub(crate) fn run(command: &ArgMatches) -> Result<String, CtlError> {
    let entries = collect(command)?;
    let filter = filter(command, &entries);
    let selected = filter.apply(&entries);
    if command.get_flag("json") {
        Ok(selected.map(json_line).collect())
    } else {
        Ok(selected.map(|entry| format!("{entry}\n")).collect())
    }
}

/// Reads and merges the timelines of all VMs.
pub(crate) fn collect(command: &ArgMatches) -> Result<Vec<Entry>, CtlError> {
    let vms = fleet::vms(command)?;
    Ok(merge(&fleet::fetch_timelines(
        &vms,
        fleet::timeout(command),
    )))
}

fn filter(command: &ArgMatches, entries: &[Entry]) -> Filter {
    let text_value = |name: &str| command.get_one::<String>(name).map(String::as_str);
    let number_value = |name: &str| command.get_one::<u64>(name).copied();
    let (from, until) = period(command, entries);
    Filter {
        group: text_value("group").map(Into::into),
        workspace: text_value("workspace").map(Into::into),
        session: number_value("session").map(SessionId),
        request: number_value("request").map(RequestId),
        data_centre: text_value("data-centre").map(Into::into),
        vm: text_value("vm").map(Into::into),
        from,
        until,
        ..Filter::default()
    }
}

/// Returns the earliest and the latest time that the command line selects.
pub(crate) fn period(
    command: &ArgMatches,
    entries: &[Entry],
) -> (Option<WallTime>, Option<WallTime>) {
    let number_value = |name: &str| command.get_one::<u64>(name).copied();
    let last = number_value("last-s").map(|seconds| {
        let newest = entries.iter().filter_map(Entry::record).next_back();
        let newest = newest.map_or(0, |record| record.time.physical.0);
        let micros = Duration::from_secs(seconds).as_micros();
        WallTime(newest.saturating_sub(u64::try_from(micros).unwrap_or(u64::MAX)))
    });
    let from = number_value("from-us").map(WallTime).max(last);
    (from, number_value("to-us").map(WallTime))
}

/// Returns an entry as one line of JSON. Writing to memory cannot fail, as all keys are text.
fn json_line(entry: &Entry) -> String {
    serde_json::to_string(entry).unwrap_or_default() + "\n"
}
