//! The conditions under which a change to the fence is applied.

mod support;

use lycheedoor_core::membership::ChangeResult;
use lycheedoor_core::membership::Fence;
use lycheedoor_core::membership::FenceChange;
use lycheedoor_core::membership::IntentPhase;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Nonce;
use lycheedoor_core::types::Term;
use support::Simulation;
use support::member_id;

fn fence() -> Fence {
    let mut simulation = Simulation::new(1, 3, 0);
    simulation.create_roster();
    simulation.create_group();
    let mut fence = Fence::clone(&simulation.platform.fence);
    fence.nonce = Nonce(7);
    fence
}

fn group() -> GroupId {
    GroupId::from("g")
}

fn open(phase: IntentPhase) -> FenceChange {
    let promoter = "vm-0".into();
    FenceChange::OpenIntent {
        group: group(),
        from_term: Term(1),
        phase,
        promoter,
    }
}

fn cancel(nonce: u64) -> FenceChange {
    FenceChange::CancelIntent {
        group: group(),
        nonce: Nonce(nonce),
    }
}

fn start_fencing(nonce: u64) -> FenceChange {
    let promoter = "vm-1".into();
    FenceChange::StartFencing {
        group: group(),
        nonce: Nonce(nonce),
        promoter,
    }
}

fn complete(nonce: u64) -> FenceChange {
    FenceChange::CompletePromotion {
        group: group(),
        nonce: Nonce(nonce),
        member: member_id(1),
    }
}

/// Guards against cancelling an intent after members may have been fenced, and against completing
/// a promotion before its fencing phase or with the nonce of another intent.
#[test]
fn intent_is_cancelled_only_before_fencing_and_completed_only_after() {
    let mut fence = fence();
    assert_eq!(
        open(IntentPhase::Suspected).apply(&mut fence, true),
        ChangeResult::Applied
    );
    assert!(!fence.may_acknowledge(&group(), Term(1)));
    let never = [
        open(IntentPhase::Suspected),
        complete(7),
        cancel(8),
        start_fencing(8),
    ];
    for change in never {
        assert_eq!(
            change.apply(&mut fence, true),
            ChangeResult::Inapplicable,
            "{change:?}"
        );
    }
    assert_eq!(
        start_fencing(7).apply(&mut fence, true),
        ChangeResult::Applied
    );
    for change in [cancel(7), start_fencing(7), complete(8)] {
        assert_eq!(
            change.apply(&mut fence, true),
            ChangeResult::Inapplicable,
            "{change:?}"
        );
    }
    assert_eq!(complete(7).apply(&mut fence, true), ChangeResult::Applied);
    assert_eq!(
        (&fence.groups[&group()].primary, fence.intents.len()),
        (&member_id(1), 0)
    );
    assert!(fence.may_acknowledge(&group(), Term(2)) && !fence.may_acknowledge(&group(), Term(1)));
    assert_eq!(
        complete(7).apply(&mut fence, true),
        ChangeResult::Inapplicable
    );
}

/// Guards against reopening an intent with the nonce of a cancelled one, because it would inherit
/// the settlement of that intent.
#[test]
fn intent_takes_the_nonce_of_the_update_that_opens_it() {
    let mut fence = fence();
    for nonce in [7, 8] {
        fence.nonce = Nonce(nonce);
        assert_eq!(
            open(IntentPhase::Suspected).apply(&mut fence, true),
            ChangeResult::Applied
        );
        assert_eq!(fence.intents[&group()].nonce, Nonce(nonce));
        assert_eq!(cancel(nonce).apply(&mut fence, true), ChangeResult::Applied);
    }
}

/// Guards against a second change of the members before the first is settled, and against
/// reassigning the slots of a removed member before its lease has expired.
#[test]
fn members_change_only_after_the_last_change_is_settled() {
    let mut fence = fence();
    assert_eq!(
        FenceChange::AssignFreeSlots.apply(&mut fence, true),
        ChangeResult::Applied
    );
    let removed = fence.roster.members[0].key();
    let next = fence.roster.members[1].key();
    let remove = |member| FenceChange::Remove {
        members: vec![member],
    };
    assert_eq!(
        remove(removed).apply(&mut fence, true),
        ChangeResult::Applied
    );
    assert_eq!(
        remove(next).apply(&mut fence, false),
        ChangeResult::Deferred
    );
    assert_eq!(
        FenceChange::ClearPrevious.apply(&mut fence, false),
        ChangeResult::Inapplicable
    );
    assert_eq!(
        FenceChange::AssignFreeSlots.apply(&mut fence, true),
        ChangeResult::Inapplicable
    );
    assert!(!fence.roster.free_slots().is_empty());
    assert_eq!(
        FenceChange::ClearPrevious.apply(&mut fence, true),
        ChangeResult::Applied
    );
    assert_eq!(
        FenceChange::AssignFreeSlots.apply(&mut fence, true),
        ChangeResult::Applied
    );
    assert!(fence.roster.free_slots().is_empty());
}
