//! Measures of messages, bytes, probes and platform calls of complete VMs in virtual time.

use super::Row;
use crate::fleet::Counts;
use crate::fleet::Fleet;
use crate::fleet::Shape;
use crate::sample;
use crate::sample::Size;

const CELL_VM_COUNTS: [usize; 4] = [4, 8, 12, 16];
const GROUP_COUNTS: [usize; 3] = [3, 12, 24];
const CELL_COUNTS: [usize; 3] = [1, 2, 4];
const WORKSPACE_COUNTS: [usize; 3] = [8, 32, 96];
const DISPATCH_GROUP_COUNTS: [usize; 3] = [3, 6, 9];
const STATEMENTS_PER_S: [usize; 3] = [100, 400, 800];
const CONFIG_WORKSPACE_COUNTS: [usize; 3] = [8, 64, 512];
const VM_COUNT: usize = 8;
const MESSAGE_KINDS: [&str; 5] = ["membership", "config", "failover", "rates", "dispatch"];
/// The time in which the VMs obtain their leases, slots and the configuration.
const WARM_UP_MS: u64 = 3_000;
const MEASUREMENT_MS: u64 = 2_000;

/// The counters of a measured fleet, which are read as rates.
pub struct Rates {
    counts: Counts,
    vms: f64,
    seconds: f64,
}

impl Rates {
    fn per_node_per_second(&self, value: u64) -> f64 {
        value as f64 / self.vms / self.seconds
    }

    /// Returns the messages of one kind that each node sends per second.
    pub fn messages(&self, kind: &str) -> f64 {
        self.per_node_per_second(self.counts.of(kind).messages)
    }

    /// Returns the messages of all kinds that each node sends per second.
    pub fn all_messages(&self) -> f64 {
        self.per_node_per_second(self.counts.total().messages)
    }

    /// Returns the commands to members that each node sends per second.
    pub fn probes(&self) -> f64 {
        self.per_node_per_second(self.counts.member_commands)
    }

    /// Returns the platform calls of the first cell per second.
    pub fn platform_calls(&self) -> f64 {
        let calls = self.counts.platform_reads + self.counts.platform_writes;
        calls as f64 / self.seconds
    }

    /// Returns the numbers of statements that were answered and that were refused.
    pub fn statements(&self) -> (u64, u64) {
        (self.counts.answered, self.counts.refused)
    }

    fn bytes(&self, kind: &str) -> f64 {
        self.per_node_per_second(self.counts.of(kind).bytes)
    }
}

/// Runs a fleet and returns its rates. `load` adds the callers that send statements, if any.
pub fn measure(shape: Shape, load: impl FnOnce(&mut Fleet)) -> Rates {
    let mut fleet = Fleet::new(shape);
    // A caller that connects before the VM has a configuration is refused.
    fleet.run_ms(WARM_UP_MS / 2);
    load(&mut fleet);
    fleet.run_ms(WARM_UP_MS / 2);
    Rates {
        counts: fleet.run_ms(MEASUREMENT_MS),
        vms: shape.vms_in_cell as f64,
        seconds: MEASUREMENT_MS as f64 / 1_000.0,
    }
}

fn cell(vms_in_cell: usize, size: Size) -> Shape {
    Shape {
        cells: 1,
        vms_in_cell,
        size,
    }
}

pub(super) fn rows() -> Vec<Row> {
    let mut rows = cell_rows();
    rows.extend(group_rows());
    rows.extend(fleet_rows());
    rows.extend(rate_rows());
    rows.extend(dispatch_rows());
    rows.push(push_row());
    rows
}

/// Returns the sizes of several measured fleets with one value of each.
fn points(runs: &[(f64, Rates)], value: impl Fn(&Rates) -> f64) -> Vec<(f64, f64)> {
    runs.iter().map(|(size, run)| (*size, value(run))).collect()
}

/// Measures all sizes concurrently, each on its own thread.
fn runs<const N: usize>(
    sizes: [usize; N],
    run: impl Fn(usize) -> Rates + Sync,
) -> Vec<(f64, Rates)> {
    std::thread::scope(|scope| {
        let run = &run;
        let started = sizes.map(|size| (size, scope.spawn(move || run(size))));
        let ended = started.into_iter();
        ended
            .filter_map(|(size, thread)| Some((size as f64, thread.join().ok()?)))
            .collect()
    })
}

fn cell_rows() -> Vec<Row> {
    let against = "VMs in the cell";
    let runs = runs(CELL_VM_COUNTS, |vms| {
        measure(cell(vms, Size::new(3, 8)), |_| {})
    });
    let mut rows = Vec::new();
    for kind in MESSAGE_KINDS {
        let messages = points(&runs, |run| run.messages(kind));
        rows.push(Row::new(
            kind,
            "idle, messages a node, 1/s",
            against,
            messages,
        ));
        let bytes = points(&runs, |run| run.bytes(kind));
        rows.push(Row::new(
            kind,
            "idle, bytes sent a node, 1/s",
            against,
            bytes,
        ));
    }
    let calls = points(&runs, Rates::platform_calls);
    rows.push(Row::new(
        "platform",
        "idle, calls a cell, 1/s",
        against,
        calls,
    ));
    rows
}

fn group_rows() -> Vec<Row> {
    let against = "groups in the cell";
    let runs = runs(GROUP_COUNTS, |groups| {
        measure(cell(VM_COUNT, Size::new(groups, 8)), |_| {})
    });
    let membership = points(&runs, |run| run.bytes("membership"));
    vec![
        Row::new(
            "failover",
            "probes a node in a cell of 8, 1/s",
            against,
            points(&runs, Rates::probes),
        ),
        Row::new(
            "failover",
            "bytes sent a node in a cell of 8, 1/s",
            against,
            points(&runs, |run| run.bytes("failover")),
        ),
        Row::new(
            "membership",
            "bytes sent a node in a cell of 8, 1/s",
            against,
            membership,
        ),
    ]
}

/// Measures an idle fleet of this many cells of 4 VMs, each of which is the home of 3 groups.
pub fn cells(cells: usize) -> Rates {
    let shape = Shape {
        cells,
        vms_in_cell: 4,
        size: Size::new(3 * cells, 8),
    };
    measure(shape, |_| {})
}

fn fleet_rows() -> Vec<Row> {
    let against = "cells of 4 VMs and 3 groups";
    let runs = runs(CELL_COUNTS, cells);
    vec![
        Row::new(
            "fleet",
            "messages a node, 1/s",
            against,
            points(&runs, Rates::all_messages),
        ),
        Row::new(
            "fleet",
            "probes a node, 1/s",
            against,
            points(&runs, Rates::probes),
        ),
        Row::new(
            "fleet",
            "platform calls a cell, 1/s",
            against,
            points(&runs, Rates::platform_calls),
        ),
    ]
}

/// Measures a cell in which each workspace sends 4 statements a second with a rate limit of 5,
/// through one VM or, with `spread`, through all.
fn rate_load(workspaces: usize, spread: bool) -> Rates {
    let size = Size {
        rate_per_s: 5,
        ..Size::new(3, workspaces)
    };
    measure(cell(VM_COUNT, size), |fleet| {
        for workspace in 0..workspaces {
            if spread {
                (0..VM_COUNT).for_each(|vm| fleet.offer_load(vm, workspace, 2_000_000));
            } else {
                fleet.offer_load(workspace % VM_COUNT, workspace, 250_000);
            }
        }
    })
}

/// Returns the bytes of rate messages that each node sends per second while each workspace uses one
/// VM.
pub(super) fn skewed_rate_bytes(workspaces: usize) -> f64 {
    rate_load(workspaces, false).bytes("rates")
}

/// Returns the bytes of rate messages that each node sends per second while each workspace uses all
/// VMs.
pub(super) fn spread_rate_bytes(workspaces: usize) -> f64 {
    rate_load(workspaces, true).bytes("rates")
}

fn rate_rows() -> Vec<Row> {
    let against = "active workspaces";
    let skewed = runs(WORKSPACE_COUNTS, |n| rate_load(n, false));
    let spread = runs(WORKSPACE_COUNTS, |n| rate_load(n, true));
    let mut rows = Vec::new();
    for (name, runs) in [("skewed", &skewed), ("spread", &spread)] {
        rows.push(Row::new(
            "rates",
            format!("{name}, statements refused, 1/s"),
            against,
            points(runs, |run| run.statements().1 as f64 / run.seconds),
        ));
        rows.push(Row::new(
            "rates",
            format!("{name}, messages a node, 1/s"),
            against,
            points(runs, |run| run.messages("rates")),
        ));
        rows.push(Row::new(
            "rates",
            format!("{name}, bytes sent a node, 1/s"),
            against,
            points(runs, |run| run.bytes("rates")),
        ));
    }
    rows
}

fn dispatch_rows() -> Vec<Row> {
    let load = |fleet: &mut Fleet, workspaces: usize, per_s: usize| {
        let every_us = (workspaces * VM_COUNT * 1_000_000 / per_s) as u64;
        for workspace in 0..workspaces {
            (0..VM_COUNT).for_each(|vm| fleet.offer_load(vm, workspace, every_us));
        }
    };
    let size = |groups| Size {
        rate_per_s: 10_000,
        slots: 3,
        ..Size::new(groups, groups)
    };
    let by_groups = runs(DISPATCH_GROUP_COUNTS, |groups| {
        let shape = cell(VM_COUNT, size(groups));
        measure(shape, |fleet| load(fleet, groups, 100 * groups))
    });
    let by_load = runs(STATEMENTS_PER_S, |per_s| {
        measure(cell(VM_COUNT, size(3)), |fleet| load(fleet, 3, per_s))
    });
    let mut rows = Vec::new();
    rows.push(Row::new(
        "dispatch",
        "statements answered, 1/s",
        "statements a second to 3 groups of 3 slots",
        points(&by_load, |run| run.statements().0 as f64 / run.seconds),
    ));
    for (against, runs) in [
        ("groups with 100 statements a second each", &by_groups),
        ("statements a second to 3 groups of 3 slots", &by_load),
    ] {
        rows.push(Row::new(
            "dispatch",
            "messages a node, 1/s",
            against,
            points(runs, |run| run.messages("dispatch")),
        ));
        rows.push(Row::new(
            "dispatch",
            "bytes sent a node, 1/s",
            against,
            points(runs, |run| run.bytes("dispatch")),
        ));
    }
    rows
}

/// Publishes one change and counts the bytes of configuration messages in the following second.
fn push_row() -> Row {
    let bytes = |workspaces: usize| {
        let size = Size::new(3, workspaces);
        let mut fleet = Fleet::new(cell(16, size));
        fleet.run_ms(WARM_UP_MS);
        fleet.publish(&sample::config(2, &size));
        let counts = fleet.run_ms(1_000);
        let bytes = counts.of("config").bytes as f64 / 16.0;
        (workspaces as f64, bytes)
    };
    Row::new(
        "configuration",
        "bytes received a node in the second of a change, cell of 16",
        "workspaces",
        CONFIG_WORKSPACE_COUNTS.map(bytes).to_vec(),
    )
}
