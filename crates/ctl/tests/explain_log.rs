//! Tests of `explain log`, which finds the log lines about a statement and the related events.

#[allow(dead_code, reason = "this file uses a part")]
mod support;

use std::fs;
use std::path::PathBuf;

use support::run;

const STATEMENT: &str = "903436ce2443323d";

/// The log of a VM whose name is in its first line.
const NORTH: &str = r#"{"timestamp":"2026-05-21T15:39:55.000000+00:00","message":"LD-I-0101 process has started","kvs":{"vm":"vm-north"}}
thread 'main' panicked at a line that is no event
{"timestamp":"2026-05-21T15:40:07.900000+00:00","message":"LD-I-1109 statement failed or its outcome is unknown","kvs":{"cause":"over the rate","group":"ledger","statement":"other"}}
{"timestamp":"2026-05-21T15:40:08.500000+00:00","message":"LD-I-1109 statement failed or its outcome is unknown","kvs":{"cause":"connection lost after the write was sent","elapsed_ms":452,"error":"in_doubt","group":"ledger","member":"m1","statement":"903436ce2443323d"}}
{"timestamp":"2026-05-21T15:40:08.600000+00:00","message":"LD-W-0201 platform is unavailable","kvs":{"call":"put"}}
"#;

/// The log of several VMs, from a collector that puts the name of the VM before each line.
const SOUTH: &str = r#"vm-south {"timestamp":"2026-05-21T15:39:40.000000+00:00","message":"LD-W-1106 member does not answer","kvs":{"group":"ledger","member":"m1"}}
vm-south {"timestamp":"2026-05-21T15:40:08.100000+00:00","message":"LD-W-1106 member does not answer","kvs":{"group":"ledger","member":"m1"}}
vm-south {"timestamp":"2026-05-21T15:40:08.200000+00:00","message":"LD-W-1106 member does not answer","kvs":{"group":"notes","member":"m7"}}
vm-west {"timestamp":"2026-05-21T15:40:08.300000+00:00","message":"LD-W-1106 member does not answer","kvs":{"group":"ledger","member":"m1"}}
vm-south {"timestamp":"2026-05-21T15:40:08.400000+00:00","message":"LD-W-0201 platform is unavailable","kvs":{"call":"put"}}
vm-south {"timestamp":"2026-05-21T15:40:12.000000+00:00","message":"LD-I-1107 member answers again","kvs":{"group":"ledger","member":"m1"}}
"#;

fn write_log(name: &str, text: &str) -> PathBuf {
    let number = std::process::id();
    let path = std::env::temp_dir().join(format!("lycheedoor-{name}-{number}.log"));
    fs::write(&path, text).unwrap();
    path
}

/// Guards against a report that lacks related events of other VMs, or that has lines about other
/// statements, other groups and other times.
#[test]
fn report_has_the_statement_and_related_events_only() {
    let logs = [write_log("south", SOUTH), write_log("north", NORTH)];
    let [south, north] = logs.each_ref().map(|path| path.to_str().unwrap());
    let report = run(&["explain", "log", STATEMENT, south, north], "");
    insta::assert_snapshot!(report, @r#"
    exit code Some(0)
    2026-05-21T15:40:08.500Z vm-north: LD-I-1109 statement failed or its outcome is unknown cause="connection lost after the write was sent" elapsed_ms=452 error="in_doubt" group="ledger" member="m1" statement="903436ce2443323d"

    Related events around that time:
    2026-05-21T15:40:08.100Z vm-south and 1 more: LD-W-1106 member does not answer group="ledger" member="m1"
    2026-05-21T15:40:08.600Z vm-north: LD-W-0201 platform is unavailable call="put"
    "#);
    for log in logs {
        fs::remove_file(log).unwrap();
    }
}

/// Guards against empty output and exit code 0 when no line matches or a file cannot be read.
#[test]
fn unknown_statement_and_unreadable_log_are_errors() {
    let log = write_log("unknown", NORTH);
    let path = log.to_str().unwrap();
    insta::assert_snapshot!(run(&["explain", "log", "none", path], ""), @r"
    exit code Some(1)
    lycheedoor-ctl: no log line about statement none
    ");
    fs::remove_file(log).unwrap();
    insta::assert_snapshot!(run(&["explain", "log", "none", "/nowhere/a.log"], ""), @r"
    exit code Some(2)
    lycheedoor-ctl: cannot read the log /nowhere/a.log: No such file or directory (os error 2)
    ");
}
