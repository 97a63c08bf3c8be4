//! What an attempt to replace a primary leaves at the members when it ends without a promotion: replicas
//! that stay paused, and a primary that has stepped down.

mod support;

use lycheedoor_core::types::Term;
use support::PRIMARY;
use support::fake_group::FakeGroup;
use support::fake_group::Platform;

/// Guards against a service without writes for ever: the replicas were paused before a promotion that the
/// platform did not accept, and the primary came back in the meantime.
#[test]
fn replicas_are_not_left_paused_when_the_primary_is_back_before_a_promotion() {
    let mut fake = FakeGroup::start(1);
    fake.platform = Platform::Unavailable;
    fake.lose_primary();
    fake.run(2_000);
    assert_eq!(fake.harness.paused.len(), 2);
    fake.down.clear();
    fake.run(1_000);
    fake.platform = Platform::Available;
    fake.run(3_000);
    assert_eq!(fake.harness.paused.len(), 0);
    assert_eq!(fake.harness.term, Term(2));
}

/// Guards against a pause that outlasts the process which requested it, also that of a single replica, and
/// against a pause that takes effect after its attempt has ended.
#[test]
fn pause_of_another_process_is_found() {
    for paused in [vec!["m2", "m3"], vec!["m3"]] {
        for calm_ms in [0, 10_000] {
            let mut fake = FakeGroup::start(1);
            fake.run(calm_ms);
            assert_eq!(fake.requests, []);
            for name in &paused {
                fake.pause(name);
            }
            fake.run(5_000);
            assert_eq!(fake.requests.len(), 1, "{paused:?}");
            assert_eq!(fake.harness.paused.len(), 0);
        }
    }
}

/// Guards against a service without writes for ever: a primary that has crashed is back under another
/// name, and its former one counts as a member that may have confirmed commits.
#[test]
fn pause_ends_although_a_former_member_may_have_confirmed_commits() {
    let mut fake = FakeGroup::start(1);
    fake.record_former_member();
    fake.run(1_000);
    for name in ["m2", "m3"] {
        fake.pause(name);
    }
    fake.run(6_000);
    assert_eq!(fake.requested_members(), [PRIMARY]);
    assert_eq!(fake.harness.paused.len(), 0);
}

/// Guards against a VM that interferes with the attempt of another one, and against repeated promotions
/// after a pause has ended.
#[test]
fn short_pause_is_left_to_the_attempt_that_requested_it() {
    let mut fake = FakeGroup::start(1);
    fake.run(2_000);
    for name in ["m2", "m3"] {
        fake.pause(name);
    }
    fake.run(400);
    fake.promote("m2");
    fake.run(10_000);
    assert_eq!(fake.requests, []);
}

/// Guards against comparing positions of members that go on to receive commits: they ignore a pause that
/// names a term which has begun already.
#[test]
fn members_that_ignore_a_pause_are_not_compared() {
    let mut fake = FakeGroup::start(1);
    // A promotion in which no commit followed: the logs do not show the term.
    fake.harness.term = Term(4);
    fake.platform = Platform::Unavailable;
    fake.lose_primary();
    for _ in 0..1_000 {
        fake.run(5);
        assert!(fake.requests.is_empty() || fake.harness.paused.len() == 2);
    }
    assert!(!fake.requests.is_empty());
}

/// Guards against comparing the position of a member that goes on to receive commits, since it has
/// started again after it was paused.
#[test]
fn member_whose_pause_has_ended_is_not_compared() {
    let mut fake = FakeGroup::start(1);
    fake.restarted = Some("m3");
    fake.lose_primary();
    fake.run(5_000);
    assert_eq!(fake.requests, []);
    assert!(fake.harness.paused.contains_key("m2"));
}

/// Guards against a service without a primary for ever: the old one has stepped down for an attempt that
/// ended, and the replicas are down.
#[test]
fn primary_that_has_stepped_down_can_be_promoted_again() {
    for sync_replicas in [0, 1] {
        let mut fake = FakeGroup::start(sync_replicas);
        fake.run(1_000);
        fake.primary = None;
        fake.down = match sync_replicas {
            0 => vec!["m2", "m3"],
            _ => vec!["m3"],
        };
        fake.received.insert(PRIMARY, 12);
        fake.write();
        fake.run(8_000);
        assert_eq!(fake.primary, Some(PRIMARY), "{sync_replicas}");
    }
}
