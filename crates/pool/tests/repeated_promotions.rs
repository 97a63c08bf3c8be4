//! Promotions that have been requested and may still take effect, also after the VM that requested them has
//! ended: which member later attempts promote, by whichever process.

mod support;

use lycheedoor_core::types::Term;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::RequestedPromotion;
use support::INCARNATION;
use support::PRIMARY;
use support::dead_primary::answer_contact_requests;
use support::dead_primary::claims;
use support::dead_primary::grant_claim;
use support::dead_primary::grant_writes;
use support::dead_primary::latest_claim;
use support::fake_group::FakeGroup;
use support::fake_group::GROUP_RECORD;
use support::fake_group::Platform;
use support::member;
use support::position;

fn record(requested: Option<RequestedPromotion>) -> FleetRecord {
    FleetRecord::Promotion {
        holder: "vm-2".into(),
        incarnation: INCARNATION,
        sequence: 4,
        replaces: Some(PRIMARY.into()),
        requested,
    }
}

/// Guards against two promotions in one term of different members: the platform may carry out the first
/// one after its answer was given up, and the second one then lacks commits that were confirmed since.
#[test]
fn promotion_without_an_answer_is_repeated_for_the_same_member() {
    let mut fake = FakeGroup::start(1);
    fake.platform = Platform::Unavailable;
    fake.lose_primary();
    fake.run(1_500);
    assert_eq!(fake.requested_members()[0], "m2");
    // The other replica would be preferred now.
    let mut leaving = member("m2", false);
    leaving.is_draining = true;
    let entry = Some(ObjectValue::Member(leaving));
    fake.harness.change_object(ObjectKind::Members, "m2", entry);
    fake.run(3_000);
    let members = fake.requested_members();
    assert!(members.len() > 2, "{members:?}");
    assert!(members.iter().all(|name| *name == "m2"), "{members:?}");
    let tokens: Vec<u64> = fake.requests.iter().map(|(_, token)| *token).collect();
    assert!(tokens.is_sorted_by(|earlier, later| earlier < later));
}

/// Guards against a process that does not know of a promotion that another one requested before it ended,
/// and against waiting for a member that is gone.
#[test]
fn recorded_promotion_is_repeated_until_the_platform_refuses_it() {
    let mut fake = FakeGroup::start(1);
    let requested = RequestedPromotion {
        member: "m4".into(),
        ended_term: Term(1),
        received: position(9),
    };
    fake.change_record(GROUP_RECORD, record(Some(requested)));
    fake.platform = Platform::Unavailable;
    fake.lose_primary();
    fake.run(4_000);
    let members = fake.requested_members();
    assert!(members.len() > 1 && members.iter().all(|name| *name == "m4"));
    fake.platform = Platform::Refusing;
    fake.run(2_000);
    fake.platform = Platform::Available;
    fake.run(4_000);
    assert_eq!(fake.requested_members().last(), Some(&"m2"));
    assert_eq!(fake.primary, Some("m2"));
}

/// Guards against repeating the promotion of a term that has ended.
#[test]
fn promotion_of_an_earlier_term_is_not_repeated() {
    let mut fake = FakeGroup::start(1);
    let requested = RequestedPromotion {
        member: "m3".into(),
        ended_term: Term(0),
        received: position(9),
    };
    fake.change_record(GROUP_RECORD, record(Some(requested)));
    fake.lose_primary();
    fake.run(3_000);
    assert_eq!(fake.requested_members(), ["m2"]);
}

/// Guards against promoting a member that has lost its log since the promotion was recorded.
#[test]
fn promotion_of_a_member_that_started_anew_is_not_repeated() {
    let mut fake = FakeGroup::start(1);
    let requested = RequestedPromotion {
        member: "m2".into(),
        ended_term: Term(1),
        received: position(9),
    };
    fake.change_record(GROUP_RECORD, record(Some(requested)));
    fake.received.insert("m2", 0);
    fake.lose_primary();
    fake.run(4_000);
    assert_eq!(fake.requested_members(), ["m3"]);
}

/// Guards against a promotion that the store does not know of, so that no other process can repeat it.
#[test]
fn promotion_is_recorded_before_it_is_requested() {
    let mut fake = FakeGroup::start(1);
    fake.lose_primary();
    let mut recorded = None;
    for _ in 0..600 {
        fake.harness.advance(5);
        fake.answer_members();
        answer_contact_requests(&mut fake.harness, None);
        if let Some(FleetRecord::Promotion { requested, .. }) = latest_claim(&fake.harness) {
            recorded = requested;
        }
        let is_requested = |action: &PoolAction| matches!(action, PoolAction::Promote { .. });
        if fake.harness.other_actions.iter().any(is_requested) {
            break;
        }
        grant_writes(&mut fake.harness);
    }
    let expected = RequestedPromotion {
        member: "m2".into(),
        ended_term: Term(1),
        received: position(9),
    };
    assert_eq!(recorded, Some(expected));
}

/// Guards against a record that names the wrong term, so that other processes do not repeat the
/// promotion: another one has begun a term, and has paused the replicas in it, since the claim.
#[test]
fn promotion_is_recorded_with_the_term_that_it_ends() {
    let mut fake = FakeGroup::start(1);
    fake.lose_primary();
    while fake.record.is_none() {
        fake.run(5);
    }
    fake.harness.term = Term(4);
    for name in ["m2", "m3"] {
        fake.pause(name);
    }
    fake.run(4_000);
    assert_eq!(fake.requested_members(), ["m2"]);
    let Some(FleetRecord::Promotion { requested, .. }) = fake.record else {
        panic!("no promotion is recorded");
    };
    assert_eq!(requested.unwrap().ended_term, Term(4));
}

/// Guards against taking the late answer to a claim, which was read from the store before, for the answer
/// to the record of the promotion.
#[test]
fn late_answer_to_a_claim_does_not_stand_for_the_record() {
    let mut fake = FakeGroup::start(1);
    fake.lose_primary();
    let harness = &mut fake.harness;
    while claims(harness) == 0 {
        harness.advance(5);
        support::dead_primary::advance_with_dead_primary(harness, 5);
        answer_contact_requests(harness, None);
    }
    let claim = latest_claim(harness).map(ObjectValue::Fleet);
    harness.change_object(ObjectKind::Fleet, GROUP_RECORD, claim);
    let revision = harness.store_revision();
    harness.other_actions.clear();
    support::dead_primary::advance_with_dead_primary(harness, 200);
    assert_eq!(claims(harness), 1);
    grant_claim(harness, revision);
    assert_eq!(support::dead_primary::promoted(harness), None);
    grant_writes(harness);
    let token = harness.revision;
    let promoted = support::dead_primary::promoted(harness);
    assert_eq!(promoted, Some(("m3".to_owned(), token)));
}

/// Guards against a service without writes for ever: a primary that has crashed is back under another
/// name, and its former one counts as a member that may have confirmed commits.
#[test]
fn recorded_promotion_is_repeated_although_a_former_member_may_have_confirmed_commits() {
    let mut fake = FakeGroup::start(1);
    let requested = RequestedPromotion {
        member: "m2".into(),
        ended_term: Term(1),
        received: position(9),
    };
    fake.record_former_member();
    fake.change_record(GROUP_RECORD, record(Some(requested)));
    fake.run(1_000);
    for name in ["m2", "m3"] {
        fake.pause(name);
    }
    fake.run(6_000);
    assert_eq!(fake.requested_members(), ["m2"]);
    assert_eq!(fake.harness.paused.len(), 0);
}
