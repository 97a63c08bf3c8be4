//! The evidence in the timeline records of a failover.

#![allow(clippy::unwrap_used)]

mod vm_harness;

use std::time::Duration;

use lycheedoor_core::timeline::EventCode;
use lycheedoor_core::timeline::Evidence;
use lycheedoor_core::timeline::Record;
use lycheedoor_core::types::Reason;
use vm_harness::VmHarness;
use vm_harness::settings;

fn records_with_code(harness: &VmHarness, code: EventCode) -> Vec<Record> {
    let records = harness.vm.timeline().records_from(0);
    records
        .filter(|record| record.code == code)
        .cloned()
        .collect()
}

fn first_evidence(harness: &VmHarness, code: EventCode) -> Evidence {
    let found = records_with_code(harness, code);
    let evidence = found
        .first()
        .and_then(|record| record.subject.evidence.clone());
    *evidence.unwrap()
}

/// Guards against records of a decision that lack the evidence for it, and against a first primary
/// that is recorded as a failover.
#[test]
fn records_of_a_failover_hold_their_evidence() {
    let mut harness = VmHarness::start(settings("vm-1", 0));
    harness.silent_member = Some("a".into());
    harness.advance(Duration::from_secs(5));
    assert!(first_evidence(&harness, EventCode::PrimarySuspected).silent_us >= Some(100_000));
    for code in [EventCode::IntentWritten, EventCode::FencingStarted] {
        let agreed = first_evidence(&harness, code);
        assert_eq!(
            (agreed.agreeing, agreed.observers),
            (vec!["vm-1".into()], Some(1))
        );
        assert!(agreed.silent_us >= Some(100_000));
    }
    let promotion = first_evidence(&harness, EventCode::PromotionRequested);
    assert!(
        promotion
            .fenced
            .iter()
            .all(|fenced| fenced.member != "a".into())
    );
    assert_eq!(promotion.fenced.len(), 2);
    assert_eq!(promotion.acknowledged, ["vm-1".into()]);
    assert_eq!(promotion.waited_for_leases, Some(false));
    let confirmed = first_evidence(&harness, EventCode::MemberFenced);
    assert_eq!(confirmed.fenced.len(), 1);
    let changes = records_with_code(&harness, EventCode::PrimaryChanged);
    let reasons: Vec<_> = changes.iter().map(|record| record.subject.reason).collect();
    assert_eq!(reasons, [None, Some(Reason::NoPrimary)]);
    let text = records_with_code(&harness, EventCode::PromotionRequested)[0].to_string();
    assert!(
        text.contains(" fenced=b@1:0,c@1:0 acknowledged=vm-1 waited_for_leases=false"),
        "unexpected evidence in the text of the record: {text}"
    );

    let records: Vec<Record> = harness.vm.timeline().records_from(0).cloned().collect();
    let bytes = rmp_serde::to_vec(&records).unwrap();
    assert_eq!(
        rmp_serde::from_slice::<Vec<Record>>(&bytes).unwrap(),
        records
    );
    let json = serde_json::to_vec(&records).unwrap();
    assert_eq!(
        serde_json::from_slice::<Vec<Record>>(&json).unwrap(),
        records
    );
}
