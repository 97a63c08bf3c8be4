//! Tests of the commands against a stand-in platform and stand-in VMs: output, changes of the
//! configuration and exit codes. The support module checks for every run that no key or secret
//! appears in the output.

mod support;

use insta::assert_snapshot;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::config::TenantKey;
use lycheedoor_core::timeline::EventCode;
use lycheedoor_core::timeline::Subject;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_platform::read_config;
use lycheedoor_standin::platform::FaultMode;
use support::FakeVm;
use support::Fleet;
use support::KEY;
use support::record;
use support::run;
use support::status;

fn vms() -> Vec<FakeVm> {
    let of_request = |number, workspace: &str, reason, outcome| Subject {
        request: Some(RequestId(number)),
        workspace: Some(workspace.into()),
        reason,
        outcome,
        ..Subject::default()
    };
    let of_group = |reason| Subject {
        group: Some("invoices".into()),
        reason,
        ..Subject::default()
    };
    let retried = of_request(9, "acme", Some(Reason::ConnectionLost), None);
    let refused = of_request(9, "acme", Some(Reason::OverRate), Some(Outcome::NotRun));
    let to_primary = Subject {
        request: Some(RequestId(4)),
        ..of_group(Some(Reason::ReplicaBehind))
    };
    let suspected = of_group(Some(Reason::NoPrimary));
    let cancelled = of_group(Some(Reason::Requested));
    vec![
        FakeVm {
            status: status("vm-1", 1, 1),
            records: vec![
                record(0, 100, EventCode::RequestRetried, retried),
                record(1, 300, EventCode::RequestRefused, refused),
            ],
        },
        FakeVm {
            status: status("vm-2", 3, 0),
            records: vec![
                record(7, 200, EventCode::ReadRouted, to_primary),
                record(8, 2_000_000, EventCode::PrimarySuspected, suspected),
                record(9, 2_000_500, EventCode::IntentCancelled, cancelled),
            ],
        },
    ]
}

#[test]
fn help_texts_name_examples_and_exit_codes() {
    let texts: Vec<_> = [
        vec!["--help"],
        vec!["keys", "add", "--help"],
        vec!["timeline", "--help"],
        vec!["explain", "--help"],
    ]
    .iter()
    .map(|arguments| run(arguments, ""))
    .collect();
    assert_snapshot!(texts.join("---\n"));
}

#[test]
fn status_shows_the_fleet_with_disagreeing_and_silent_vms() {
    assert_snapshot!(Fleet::with_vms(vms()).run(&["status"], ""));
}

#[test]
fn status_of_named_vms_works_while_the_platform_is_down() {
    let fleet = Fleet::with_vms(vms());
    let address = vms().swap_remove(0).start();
    fleet.server.set_fault(FaultMode::Down);
    let text = fleet.run(&["status", "--vm-address", &address.to_string()], "");
    assert!(text.starts_with("exit code Some(0)"), "{text}");
    assert!(
        text.contains("version 1 (newest on a VM; platform cannot be reached)"),
        "{text}"
    );
    assert!(text.contains("vm-1"), "{text}");
}

#[test]
fn time_line_is_merged_by_clock_and_shows_gaps() {
    let fleet = Fleet::with_vms(vms());
    let all = fleet.run(&["timeline"], "");
    let json = fleet.run(
        &["timeline", "--json", "--vm", "vm-2", "--group", "invoices"],
        "",
    );
    assert_snapshot!([all, json].join("---\n"));
}

#[test]
fn time_line_filters_leave_only_matching_events() {
    let fleet = Fleet::with_vms(vms());
    for (filter, codes) in [
        (["--request", "9"], vec!["201", "200"]),
        (["--workspace", "acme"], vec!["201", "200"]),
        (["--group", "invoices"], vec!["210", "400", "402"]),
        (["--last-s", "1"], vec!["400", "402"]),
        (["--to-us", "1700000000000100"], vec!["201"]),
        (["--session", "1"], vec![]),
        (["--data-centre", "west"], vec![]),
    ] {
        let text = fleet.run(&["timeline", filter[0], filter[1]], "");
        // The line of an event has the process, time, sequence, code and name, in this order.
        let events = text.lines().filter(|line| line.contains(" #"));
        let shown: Vec<_> = events
            .filter_map(|line| line.split_whitespace().nth(3))
            .collect();
        assert_eq!(shown, codes, "{filter:?}: {text}");
        assert!(text.contains("vm-9/0 GAP"), "{filter:?}: {text}");
    }
}

#[test]
fn explanations_name_reason_and_evidence() {
    let fleet = Fleet::with_vms(vms());
    let texts: Vec<_> = [
        ["explain", "refusal", "9"],
        ["explain", "read", "4"],
        ["explain", "promotion", "invoices"],
        ["explain", "refusal", "4"],
        ["explain", "read", "1"],
    ]
    .iter()
    .map(|arguments| fleet.run(arguments, ""))
    .collect();
    assert_snapshot!(texts.join("---\n"));
}

#[test]
fn changes_are_written_and_repetitions_are_not() {
    let fleet = Fleet::start();
    let digest = TenantKey::new(KEY).digest();
    let line = format!("{KEY}\n");
    let texts: Vec<_> = [
        vec!["keys", "add", "acme"],
        vec!["data-centre", "out", "east"],
        vec!["data-centre", "out", "east"],
        vec!["member", "leave", "invoices", "invoices-2"],
    ]
    .iter()
    .map(|arguments| fleet.run(arguments, &line))
    .collect();
    assert_snapshot!(texts.join("---\n"));
    let config = read_config(&fleet.client).unwrap().config;
    assert_eq!(config.workspaces["acme"].keys, [digest]);
    assert_eq!(config.data_centres["east"].state, DataCentreState::Out);
    let leaving = &config.groups["invoices"].members["invoices-2"];
    assert_eq!(leaving.availability, MemberAvailability::Leaving);

    let digest = String::from(digest);
    fleet.run(&["keys", "withdraw", "acme", "--digest", &digest], "");
    fleet.run(&["data-centre", "in", "east"], "");
    fleet.run(&["member", "return", "invoices", "invoices-2"], "");
    let published = read_config(&fleet.client).unwrap();
    assert!(published.config.workspaces["acme"].keys.is_empty());
    assert_eq!(published.operator.keys_withdrawn["acme"].len(), 1);
    assert_eq!(
        published.config.data_centres["east"].state,
        DataCentreState::In
    );
    assert_eq!(published.config.version, 7);
}

#[test]
fn failures_have_their_exit_codes_and_quote_no_key() {
    let fleet = Fleet::start();
    let mut texts: Vec<_> = [
        vec!["keys", "add", "globex"],
        vec!["keys", "add", "acme", "--digest", KEY],
        vec!["data-centre", "out", "north"],
        vec!["member", "leave", "invoices", "invoices-8"],
        vec!["member", "leave", "billing", "invoices-1"],
    ]
    .iter()
    .map(|arguments| fleet.run(arguments, KEY))
    .collect();
    texts.push(fleet.run(&["keys", "add", "acme"], "\n"));
    fleet.server.set_fault(FaultMode::Down);
    texts.push(fleet.run(&["data-centre", "out", "east"], ""));
    texts.push(fleet.run(&["status"], ""));
    fleet.server.set_fault(FaultMode::Up);
    fleet.server.set_fault(FaultMode::LosePutAnswers(1));
    texts.push(fleet.run(&["data-centre", "out", "east"], ""));
    assert_snapshot!(texts.join("---\n"));
}

#[test]
fn hash_key_prints_the_digest_of_the_key_without_its_line_end() {
    let digest = String::from(TenantKey::new(KEY).digest());
    for input in [KEY.to_owned(), format!("{KEY}\n"), format!("{KEY}\r\n")] {
        assert_eq!(
            run(&["hash-key"], &input),
            format!("exit code Some(0)\n{digest}\n")
        );
    }
    assert!(run(&["hash-key"], "").starts_with("exit code Some(2)"));
    assert!(run(&["hash-key"], &KEY.repeat(400)).starts_with("exit code Some(2)"));
}
