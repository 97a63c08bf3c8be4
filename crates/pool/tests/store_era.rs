//! One VM whose store comes back from an older copy: its claims, the evidence for the primary, what the
//! copy lacks, and news of both eras in either order.

mod support;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectCall;
use lycheedoor_pool::ObjectChange;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolMessage;
use lycheedoor_pool::Report;
use lycheedoor_pool::StoreRevision;
use lycheedoor_pool::StoreWatcher;
use lycheedoor_pool::WriteOutcome;
use support::GROUP;
use support::INCARNATION;
use support::PRIMARY;
use support::PoolHarness;
use support::dead_primary::PEERS;
use support::dead_primary::advance_with_dead_primary;
use support::dead_primary::claims;
use support::dead_primary::grant_claim;
use support::dead_primary::kill_primary;
use support::dead_primary::latest_claim;
use support::dead_primary::promoted;
use support::dead_primary::run_to_claim;
use support::member;

/// A revision that the store reached in its former era.
const FORMER_REVISION: u64 = 900;

/// The revision of the copy.
const COPY_REVISION: u64 = 5;

fn vm_record(data_centre: Option<&str>) -> ObjectValue {
    ObjectValue::Fleet(FleetRecord::Vm {
        incarnation: INCARNATION,
        address: support::peer_address(),
        accepts_forwarded: true,
        message_version: 1,
        data_centre: data_centre.map(DataCentreId::from),
    })
}

/// Answers the list of the records of the fleet with those of all VMs.
fn list_records(harness: &mut PoolHarness) {
    let names = ["vm-1"].into_iter().chain(PEERS);
    let records = names.map(|vm| (format!("vm.{vm}"), vm_record(None)));
    harness.load_objects(ObjectKind::Fleet, records.collect());
}

/// Returns a harness whose primary is dead and which has claimed its group.
fn harness_with_claim() -> PoolHarness {
    let mut harness = PoolHarness::with_peers(&PEERS);
    kill_primary(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    harness
}

fn forget_claims(harness: &mut PoolHarness) {
    let is_claim = |action: &PoolAction| matches!(action, PoolAction::WriteRecord { .. });
    harness.other_actions.retain(|action| !is_claim(action));
}

fn restored_primary(harness: &PoolHarness) -> Option<&MemberId> {
    let mut actions = harness.other_actions.iter().rev();
    actions.find_map(|action| match action {
        PoolAction::Report(Report::PrimaryChanged { member, .. }) => member.as_ref(),
        _ => None,
    })
}

/// Guards against tokens that repeat or fall: the store gives out the same revisions in each era. Also
/// against tokens below those of the builds that used the revision alone, and above what every JSON
/// parser keeps.
#[test]
fn tokens_rise_with_eras_and_revisions() {
    let eras = [0, 1, 2, 8_191];
    let revisions = [1, 2, FORMER_REVISION, (1 << 40) - 1];
    let all = eras.map(|era| revisions.map(|revision| StoreRevision::new(era, revision)));
    let all: Vec<StoreRevision> = all.into_iter().flatten().collect();
    assert!(all.is_sorted());
    assert!(all.windows(2).all(|pair| pair[0].token() < pair[1].token()));
    assert!(
        all.iter()
            .all(|one| StoreRevision::from_token(one.token()) == *one)
    );
    assert!(all.iter().all(|one| one.token() < 1 << 53));
    assert_eq!(
        StoreRevision::from(FORMER_REVISION).token(),
        FORMER_REVISION
    );
}

/// Guards against a promotion by a claim that the store has lost before its answer arrived, also when
/// that answer arrives while the next claim has none.
#[test]
fn claim_whose_answer_is_of_a_former_era_is_not_used() {
    let mut harness = harness_with_claim();
    harness.restore_store(COPY_REVISION);
    grant_claim(&mut harness, FORMER_REVISION);
    advance_with_dead_primary(&mut harness, 400);
    assert_eq!(promoted(&harness), None);

    forget_claims(&mut harness);
    list_records(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    grant_claim(&mut harness, FORMER_REVISION);
    advance_with_dead_primary(&mut harness, 200);
    assert_eq!(promoted(&harness), None);

    forget_claims(&mut harness);
    harness.event(PoolEvent::StoreProbed { is_answered: true });
    assert!(run_to_claim(&mut harness, 2_000, None));
    let claim = StoreRevision::new(1, COPY_REVISION + 3);
    grant_claim(&mut harness, claim);
    advance_with_dead_primary(&mut harness, 400);
    assert_eq!(promoted(&harness), Some(("m3".to_owned(), claim.token())));
    assert!(claim.token() > FORMER_REVISION);
}

/// Guards against a promotion by a claim that the store loses while the members are asked for their
/// positions. Another VM may hold a claim that the store gave out since.
#[test]
fn granted_claim_is_dropped_when_the_store_is_restored() {
    let mut harness = harness_with_claim();
    grant_claim(&mut harness, FORMER_REVISION);
    harness.restore_store(COPY_REVISION);
    advance_with_dead_primary(&mut harness, 400);
    assert_eq!(promoted(&harness), None);
}

/// Guards against a claim with an expected revision of the former era, before the records of the new
/// one have been listed.
#[test]
fn group_is_not_claimed_before_the_records_are_listed_again() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    kill_primary(&mut harness);
    harness.restore_store(COPY_REVISION);
    assert!(!run_to_claim(&mut harness, 2_000, None));
    list_records(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    let expected = harness
        .other_actions
        .iter()
        .find_map(|action| match action {
            PoolAction::WriteRecord { expected, .. } => Some(*expected),
            _ => None,
        });
    assert_eq!(expected, Some(None));
}

/// Guards against the use of a claim without an answer which the copy shows: another VM may have
/// claimed the group since, in what the store has lost.
#[test]
fn unanswered_claim_of_a_former_era_is_not_continued() {
    let mut harness = harness_with_claim();
    let written = latest_claim(&harness);
    let name = format!("group.{GROUP}");
    harness.event(PoolEvent::RecordWritten {
        name: name.clone(),
        outcome: WriteOutcome::Unknown,
    });
    let is_answered = true;
    harness.event(PoolEvent::StoreProbed { is_answered });
    harness.restore_store(COPY_REVISION);
    list_records(&mut harness);
    forget_claims(&mut harness);
    assert!(run_to_claim(&mut harness, 2_000, None));
    harness.event(PoolEvent::RecordWritten {
        name,
        outcome: WriteOutcome::Conflict {
            revision: StoreRevision::new(1, COPY_REVISION),
            record: written,
        },
    });
    advance_with_dead_primary(&mut harness, 400);
    assert_eq!(promoted(&harness), None);
}

/// Guards against a promotion with a lower token than one that another VM has used in the new era, by a
/// VM that is cut off from the store and learns of that era from the other one alone. It may not know
/// the promoted member yet.
#[test]
fn promotion_of_a_later_era_ends_an_attempt_of_a_former_one() {
    for id in ["m2", "m9"] {
        let mut harness = harness_with_claim();
        grant_claim(&mut harness, FORMER_REVISION);
        harness.event(PoolEvent::PeerSent {
            from: VmId::from("vm-2"),
            incarnation: INCARNATION,
            message: PoolMessage::Promoted {
                group: GroupId::from(GROUP),
                member: MemberId::from(id),
                token: StoreRevision::new(1, COPY_REVISION + 1).token(),
            },
        });
        advance_with_dead_primary(&mut harness, 400);
        assert_eq!(promoted(&harness), None, "{id}");
    }
}

/// Guards against a primary that was replaced and gets the statements again, because the copy has the
/// entry in which it was the primary.
#[test]
fn claims_of_members_in_the_copy_do_not_outrank_a_promotion() {
    let mut harness = PoolHarness::with_peers(&PEERS);
    let entry = |id, is_primary| Some(ObjectValue::Member(member(id, is_primary)));
    harness.change_object(ObjectKind::Members, PRIMARY, entry(PRIMARY, false));
    harness.change_object(ObjectKind::Members, "m2", entry("m2", true));
    assert_eq!(restored_primary(&harness), Some(&MemberId::from("m2")));
    harness.restore_store(COPY_REVISION);
    let members = [(PRIMARY, true), ("m2", false), ("m3", false)];
    let members = members.map(|(id, is_primary)| (id.to_owned(), entry(id, is_primary).unwrap()));
    harness.load_objects(ObjectKind::Members, members.into());
    assert_eq!(restored_primary(&harness), Some(&MemberId::from("m2")));

    // A claim that is written in the new era counts.
    harness.change_object(ObjectKind::Members, "m2", entry("m2", false));
    harness.change_object(ObjectKind::Members, "m3", entry("m3", true));
    assert_eq!(restored_primary(&harness), Some(&MemberId::from("m3")));
}

/// Guards against a primary that is leaving and is not replaced, because the copy has its entry from
/// before.
#[test]
fn member_that_was_leaving_goes_on_leaving() {
    let mut harness = PoolHarness::new();
    let mut leaving = member(PRIMARY, true);
    leaving.is_draining = true;
    let leaving = Some(ObjectValue::Member(leaving));
    harness.change_object(ObjectKind::Members, PRIMARY, leaving);
    harness.restore_store(COPY_REVISION);
    let members = [PRIMARY, "m2", "m3"];
    let members = members.map(|id| {
        (
            id.to_owned(),
            ObjectValue::Member(member(id, id == PRIMARY)),
        )
    });
    harness.load_objects(ObjectKind::Members, members.into());
    forget_claims(&mut harness);
    list_records(&mut harness);
    harness.advance(300);
    assert_eq!(claims(&harness), 1);
}

/// Guards against a member that gets no statements although it runs, because the copy is from before it
/// registered; and against one that stays although nobody writes its entry again.
#[test]
fn member_that_the_copy_lacks_stays_for_a_time() {
    let mut harness = PoolHarness::new();
    harness.restore_store(COPY_REVISION);
    let copied = [PRIMARY, "m3"].map(|id| {
        let entry = member(id, id == PRIMARY);
        (id.to_owned(), ObjectValue::Member(entry))
    });
    harness.load_objects(ObjectKind::Members, copied.into());
    let is_gone = |harness: &PoolHarness| {
        harness.other_actions.iter().any(|action| {
            matches!(action, PoolAction::Report(Report::MemberChanged { member, state: "gone", .. })
                if member.as_str() == "m2")
        })
    };
    harness.advance(2_500);
    assert!(!is_gone(&harness));
    harness.advance(1_500);
    assert!(is_gone(&harness));
}

/// Guards against a data centre that is used again before operators have withdrawn its evacuation,
/// which the copy lacks; and against one that is never used again.
#[test]
fn evacuation_that_the_copy_lacks_stays_in_force_for_a_time() {
    let mut harness = PoolHarness::new();
    let evacuation = Some(ObjectValue::Evacuation);
    harness.change_object(ObjectKind::Evacuations, "north", evacuation);
    harness.restore_store(COPY_REVISION);
    harness.load_objects(ObjectKind::Evacuations, Vec::new());
    harness.advance(9_000);
    harness.links.clear();
    harness.replies.clear();
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    assert!(harness.links.is_empty());
    harness.advance(3_000);
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    assert!(!harness.links.is_empty());
}

fn page(revision: StoreRevision, objects: Vec<ObjectChange>) -> ObjectAnswer {
    ObjectAnswer::Page {
        objects,
        next_after: None,
        revision,
    }
}

fn events(revision: StoreRevision, changes: Vec<ObjectChange>) -> ObjectAnswer {
    ObjectAnswer::Events { changes, revision }
}

fn object(name: &str, revision: StoreRevision) -> ObjectChange {
    ObjectChange {
        name: name.to_owned(),
        revision,
        value: Some(ObjectValue::Evacuation),
    }
}

/// Returns a watcher that has listed the objects at a revision.
fn listed(revision: StoreRevision, names: &[&str]) -> StoreWatcher {
    let mut watcher = StoreWatcher::new(ObjectKind::Evacuations);
    let now = MonoTime::from_millis(1_000);
    assert!(watcher.next_call(now).is_some());
    let objects = names.iter().map(|name| object(name, revision)).collect();
    watcher.answered(now, page(revision, objects));
    watcher
}

/// Guards against a state of the former era that undoes the new one: a watch is answered after the
/// relay has passed on the new list, or a relay is a step behind the answer to the own list.
#[test]
fn news_of_two_eras_end_in_the_new_one_in_either_order() {
    let (old, late, new) = (
        StoreRevision::new(0, 900),
        StoreRevision::new(0, 901),
        StoreRevision::new(1, 20),
    );
    let now = MonoTime::from_millis(2_000);
    let relay_in_new_era = listed(new, &["dc-2"]);
    let mut relay_behind = listed(old, &["dc-1"]);
    assert!(relay_behind.next_call(now).is_some());
    relay_behind.answered(now, events(late, vec![object("dc-1", late)]));

    let mut follower = listed(old, &["dc-1"]);
    assert!(follower.next_call(now).is_some());
    let update = relay_in_new_era.update_since(old).unwrap();
    let names = |changes: Vec<ObjectChange>| -> Vec<String> {
        changes.into_iter().map(|change| change.name).collect()
    };
    assert_eq!(names(follower.apply(update)), ["dc-1", "dc-2"]);
    let answer = events(late, vec![object("dc-3", late)]);
    assert_eq!(follower.answered(now, answer), []);
    assert_eq!(follower.revision(), Some(new));

    let mut reader = listed(new, &["dc-2"]);
    assert_eq!(relay_behind.update_since(new), None);
    let update = relay_behind.update_since(old).unwrap();
    assert_eq!(reader.apply(update), []);
    assert_eq!(reader.revision(), Some(new));
    assert!(reader.next_call(now).is_some());
    assert_eq!(reader.answered(now, page(old, Vec::new())), []);
    assert_eq!(reader.revision(), Some(new));
}

/// Guards against changes that are missed because the store, after its restore, has reached the
/// revision that a watch waits for; and against a list whose pages are of two eras.
#[test]
fn answers_that_do_not_continue_their_era_lead_to_a_new_list() {
    let now = MonoTime::from_millis(2_000);
    let is_first_list =
        |call: Option<ObjectCall>| matches!(call, Some(ObjectCall::List { after: None, .. }));
    let mut watcher = listed(StoreRevision::new(0, 90), &["dc-1"]);
    assert!(watcher.next_call(now).is_some());
    let new = StoreRevision::new(1, 95);
    assert_eq!(
        watcher.answered(now, events(new, vec![object("dc-2", new)])),
        []
    );
    assert!(is_first_list(watcher.next_call(now)));
    let first = ObjectAnswer::Page {
        objects: vec![object("dc-1", new)],
        next_after: Some("dc-1".to_owned()),
        revision: new,
    };
    assert_eq!(watcher.answered(now, first), []);
    assert!(watcher.next_call(now).is_some());
    let next = StoreRevision::new(2, 80);
    assert_eq!(
        watcher.answered(now, page(next, vec![object("dc-2", next)])),
        []
    );
    assert!(is_first_list(watcher.next_call(now)));
    assert_eq!(watcher.answered(now, page(next, Vec::new())).len(), 1);
    assert_eq!(watcher.revision(), Some(next));
}

/// Guards against a VM that relies on a relay which does not know yet that the store was restored.
#[test]
fn relay_in_the_former_era_does_not_satisfy_a_vm_that_knows_the_new_one() {
    let mut harness = PoolHarness::with_peers(&["vm-2"]);
    let record = Some(vm_record(Some("north")));
    harness.change_object(ObjectKind::Fleet, "vm.vm-2", record);
    let requested_era = |action: &PoolAction| match action {
        PoolAction::SendPeer {
            message: PoolMessage::SubscribeStore { era, .. },
            ..
        } => Some(*era),
        _ => None,
    };
    let news = |era| PoolEvent::PeerSent {
        from: VmId::from("vm-2"),
        incarnation: INCARNATION,
        message: PoolMessage::StoreUpdates {
            era,
            updates: Vec::new(),
            answered_ms: 0,
        },
    };
    let probe = PoolAction::ReadObjects(ObjectCall::Probe);
    let answer_for_3_s = |harness: &mut PoolHarness, era| {
        let mut all = Vec::new();
        for _ in 0..600 {
            harness.advance(5);
            for action in std::mem::take(&mut harness.other_actions) {
                if requested_era(&action).is_some() {
                    harness.event(news(era));
                } else if action == probe {
                    harness.event(PoolEvent::StoreProbed { is_answered: true });
                }
                all.push(action);
            }
        }
        all
    };
    answer_for_3_s(&mut harness, 0);
    harness.event(PoolEvent::StoreEraSeen { era: 1 });
    let actions = answer_for_3_s(&mut harness, 0);
    assert!(actions.iter().filter_map(requested_era).all(|era| era == 1));
    let is_list =
        |action: &PoolAction| matches!(action, PoolAction::ReadObjects(ObjectCall::List { .. }));
    assert!(actions.iter().any(is_list));
}

/// Guards against a relay that goes on with the former era although one of its followers knows the new
/// one, and against a follower that is refused by it.
#[test]
fn relay_learns_of_the_restore_from_its_follower() {
    let mut harness = PoolHarness::with_peers(&["vm-2"]);
    let record = Some(vm_record(Some("north")));
    harness.change_object(ObjectKind::Fleet, "vm.vm-1", record);
    harness.advance(500);
    harness.event(PoolEvent::PeerSent {
        from: VmId::from("vm-2"),
        incarnation: INCARNATION,
        message: PoolMessage::SubscribeStore {
            era: 1,
            revisions: Vec::new(),
        },
    });
    harness.event(PoolEvent::StoreProbed { is_answered: true });
    let answered_era = harness
        .other_actions
        .iter()
        .find_map(|action| match action {
            PoolAction::SendPeer {
                message: PoolMessage::StoreUpdates { era, .. },
                ..
            } => Some(*era),
            _ => None,
        });
    assert_eq!(answered_era, Some(1));
    let report = PoolAction::Report(Report::StoreRestored { era: 1 });
    assert!(harness.other_actions.contains(&report));
}
