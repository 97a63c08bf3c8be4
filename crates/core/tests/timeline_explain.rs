//! Filters, explanations and serialized forms of recorded events.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use lycheedoor_core::timeline::Entry;
use lycheedoor_core::timeline::EventCode;
use lycheedoor_core::timeline::Export;
use lycheedoor_core::timeline::Filter;
use lycheedoor_core::timeline::Process;
use lycheedoor_core::timeline::Subject;
use lycheedoor_core::timeline::Timeline;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::timeline::explain_promotion;
use lycheedoor_core::timeline::explain_read;
use lycheedoor_core::timeline::explain_refusal;
use lycheedoor_core::timeline::merge;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

struct TwoTimelines {
    vms: [Timeline; 2],
    millis: u64,
}

fn group(name: &str) -> Subject {
    let group = Some(GroupId::from(name));
    Subject {
        group,
        ..Subject::default()
    }
}

impl TwoTimelines {
    fn new(capacity: usize) -> Self {
        let timeline = |vm, data_centre| {
            let process = Process {
                vm: VmId::from(vm),
                incarnation: Incarnation(1),
                data_centre: DataCentreId::from(data_centre),
            };
            Timeline::new(process, capacity)
        };
        let vms = [timeline("vm-1", "east"), timeline("vm-2", "west")];
        Self { vms, millis: 0 }
    }

    fn record(&mut self, vm: usize, code: EventCode, subject: Subject) {
        self.millis += 1;
        self.vms[vm].record(WallTime(self.millis * 1_000), code, subject);
    }

    fn merged(&mut self) -> Vec<Entry> {
        let wall = WallTime(self.millis * 1_000);
        let exports: Vec<Export> = self
            .vms
            .iter_mut()
            .map(|vm| vm.export(wall, 0, usize::MAX))
            .collect();
        merge(&exports)
    }

    /// Records a failover of group `g`, an event of group `h`, and two requests to group `g`.
    fn failover() -> Self {
        let mut timelines = Self::new(100);
        let member = |name, term| Subject {
            member: Some(MemberId::from(name)),
            term: Some(Term(term)),
            ..group("g")
        };
        timelines.record(0, EventCode::PrimarySuspected, group("h"));
        timelines.record(1, EventCode::CallerAccepted, caller(3));
        timelines.record(1, EventCode::CallerAccepted, caller(4));
        timelines.record(0, EventCode::PrimarySuspected, member("a", 1));
        timelines.record(1, EventCode::PrimarySuspected, member("a", 1));
        timelines.record(0, EventCode::IntentWritten, member("a", 1));
        let read = Subject {
            reason: Some(Reason::NoSessionEvidence),
            ..request(5)
        };
        timelines.record(1, EventCode::ReadRouted, read);
        let refused = Subject {
            reason: Some(Reason::NoPrimary),
            outcome: Some(Outcome::NotRun),
            ..request(7)
        };
        timelines.record(1, EventCode::RequestRefused, refused);
        timelines.record(0, EventCode::MemberFenced, member("b", 2));
        timelines.record(0, EventCode::MemberPromoted, member("b", 2));
        timelines.record(1, EventCode::PrimaryChanged, member("b", 2));
        timelines
    }
}

fn caller(number: u64) -> Subject {
    let caller = Some(CallerId(number));
    Subject {
        caller,
        ..Subject::default()
    }
}

fn request(number: u64) -> Subject {
    Subject {
        request: Some(RequestId(number)),
        caller: Some(CallerId(3)),
        workspace: Some(WorkspaceId::from("alder")),
        ..group("g")
    }
}

/// Guards against explanations that omit evidence or contain events of other groups and callers.
#[test]
fn explanation_of_a_request_contains_the_events_behind_its_reason() {
    let merged = TwoTimelines::failover().merged();
    let text = explain_refusal(&merged, &VmId::from("vm-2"), RequestId(7)).to_string();
    insta::assert_snapshot!(text, @r#"
    decision: vm-2/1 0.008000+0 #4 200 request_refused group=g workspace=alder request=7 caller=3 outcome=not_run reason="group has no usable primary"
    evidence: vm-1/1 0.004000+0 #1 400 primary_suspected group=g member=a term=1
    evidence: vm-2/1 0.005000+0 #2 400 primary_suspected group=g member=a term=1
    evidence: vm-1/1 0.006000+0 #2 401 intent_written group=g member=a term=1
    "#);
    let read = explain_read(&merged, &VmId::from("vm-2"), RequestId(5)).to_string();
    insta::assert_snapshot!(read, @r#"
    decision: vm-2/1 0.007000+0 #3 210 read_routed group=g workspace=alder request=5 caller=3 reason="session has no usable evidence of what it has seen"
    evidence: vm-2/1 0.002000+0 #0 100 caller_accepted caller=3
    "#);
    let other_vm = explain_refusal(&merged, &VmId::from("vm-1"), RequestId(7));
    assert_eq!(
        other_vm.decision, None,
        "request numbers are unique only on one VM"
    );
}

/// Guards against an explanation of a promotion that omits steps of the failover, and against no
/// explanation when the promotion was cancelled.
#[test]
fn explanation_of_a_promotion_contains_all_steps_of_the_failover() {
    let (start, end) = (WallTime(0), WallTime(1_000_000));
    let merged = TwoTimelines::failover().merged();
    let explanation = explain_promotion(&merged, &GroupId::from("g"), start, end);
    insta::assert_snapshot!(explanation.to_string(), @r#"
    decision: vm-1/1 0.010000+0 #4 404 member_promoted group=g member=b term=2
    evidence: vm-1/1 0.004000+0 #1 400 primary_suspected group=g member=a term=1
    evidence: vm-2/1 0.005000+0 #2 400 primary_suspected group=g member=a term=1
    evidence: vm-1/1 0.006000+0 #2 401 intent_written group=g member=a term=1
    evidence: vm-1/1 0.009000+0 #3 403 member_fenced group=g member=b term=2
    evidence: vm-2/1 0.011000+0 #5 405 primary_changed group=g member=b term=2
    "#);

    let mut timelines = TwoTimelines::new(100);
    timelines.record(0, EventCode::PrimarySuspected, group("g"));
    timelines.record(0, EventCode::IntentWritten, group("g"));
    timelines.record(0, EventCode::IntentCancelled, group("g"));
    let explanation = explain_promotion(&timelines.merged(), &GroupId::from("g"), start, end);
    let code = explanation.decision.unwrap().record().unwrap().code;
    assert_eq!(
        (code, explanation.evidence.len()),
        (EventCode::IntentCancelled, 2)
    );
}

/// Guards against an explanation that appears complete although events were overwritten.
#[test]
fn explanation_contains_gaps() {
    let mut timelines = TwoTimelines::new(2);
    timelines.record(0, EventCode::LeaseLost, Subject::default());
    for _ in 0..3 {
        let reason = Some(Reason::LeaseLost);
        timelines.record(
            0,
            EventCode::RequestRefused,
            Subject {
                reason,
                ..request(9)
            },
        );
    }
    let explanation = explain_refusal(&timelines.merged(), &VmId::from("vm-1"), RequestId(9));
    assert_eq!(explanation.gaps.len(), 1);
    assert!(explanation.to_string().contains("2 events lost"));
}

/// Guards against filters that drop matching events, or gaps whose missing events might match.
#[test]
fn filters_select_by_each_field() {
    let mut timelines = TwoTimelines::failover();
    timelines.vms[0].record(WallTime(1_000), EventCode::DrainBegun, Subject::default());
    let merged = timelines.merged();
    let count = |filter: Filter| filter.apply(&merged).count();
    let all = Filter::default();
    assert_eq!(count(all.clone()), 12);
    assert_eq!(
        count(Filter {
            group: Some("h".into()),
            ..all.clone()
        }),
        1
    );
    assert_eq!(
        count(Filter {
            workspace: Some("alder".into()),
            ..all.clone()
        }),
        2
    );
    assert_eq!(
        count(Filter {
            request: Some(RequestId(7)),
            ..all.clone()
        }),
        1
    );
    assert_eq!(
        count(Filter {
            caller: Some(CallerId(4)),
            ..all.clone()
        }),
        1
    );
    assert_eq!(
        count(Filter {
            data_centre: Some("west".into()),
            ..all.clone()
        }),
        6
    );
    assert_eq!(
        count(Filter {
            vm: Some("vm-1".into()),
            ..all.clone()
        }),
        6
    );
    assert_eq!(
        count(Filter {
            member: Some("b".into()),
            ..all.clone()
        }),
        3
    );
    assert_eq!(
        count(Filter {
            codes: vec![EventCode::DrainBegun],
            ..all.clone()
        }),
        1
    );
    let (from, until) = (Some(WallTime(2_000)), Some(WallTime(4_000)));
    assert_eq!(
        count(Filter {
            from,
            until,
            ..all.clone()
        }),
        3
    );

    let mut overwritten = TwoTimelines::new(1);
    overwritten.record(0, EventCode::DrainBegun, Subject::default());
    overwritten.record(0, EventCode::DrainEnded, Subject::default());
    let merged = overwritten.merged();
    let filter = Filter {
        group: Some("g".into()),
        ..all
    };
    assert_eq!(
        filter.apply(&merged).count(),
        1,
        "the gap must be selected: its missing events may be of the group"
    );
}

/// Guards against event numbers that change their meaning or that other versions cannot read.
#[test]
fn event_numbers_are_unique_and_survive_their_text_and_binary_forms() {
    let numbers: BTreeSet<u16> = EventCode::ALL.iter().map(|code| code.number()).collect();
    let names: BTreeSet<&str> = EventCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(
        (numbers.len(), names.len()),
        (EventCode::ALL.len(), EventCode::ALL.len())
    );
    for code in EventCode::ALL {
        assert_eq!(code.to_string().parse(), Ok(*code));
    }
    assert_eq!("999 of_a_newer_version".parse(), Ok(EventCode::Other(999)));
    let catalogue: Vec<String> = EventCode::ALL.iter().map(EventCode::to_string).collect();
    insta::assert_snapshot!(catalogue.join("\n"), @r#"
    100 caller_accepted
    101 caller_refused
    102 caller_closed
    110 token_rejected
    200 request_refused
    201 request_retried
    210 read_routed
    220 write_delivered
    230 transaction_ended
    300 lease_gained
    301 lease_lost
    310 roster_changed
    400 primary_suspected
    401 intent_written
    402 intent_cancelled
    403 member_fenced
    404 member_promoted
    405 primary_changed
    406 fencing_started
    407 promotion_requested
    500 configuration_applied
    501 key_withdrawn
    510 data_centre_out
    511 data_centre_in
    520 member_leaving
    530 drain_begun
    531 drain_ended
    600 connection_opened
    601 connection_closed
    "#);

    let merged = TwoTimelines::failover().merged();
    let bytes = rmp_serde::to_vec(&merged).unwrap();
    assert_eq!(rmp_serde::from_slice::<Vec<Entry>>(&bytes).unwrap(), merged);
    let bytes = rmp_serde::to_vec_named(&merged).unwrap();
    assert_eq!(rmp_serde::from_slice::<Vec<Entry>>(&bytes).unwrap(), merged);
}
