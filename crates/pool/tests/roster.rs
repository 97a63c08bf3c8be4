//! Records of VMs that have left the fleet, and a VM that is cut off from the store and its peers.

mod support;

use lycheedoor_core::types::Incarnation;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolMessage;
use support::PoolHarness;

fn removals(harness: &PoolHarness) -> Vec<&str> {
    let names = harness
        .other_actions
        .iter()
        .filter_map(|action| match action {
            PoolAction::RemoveRecord { name, .. } => Some(name.as_str()),
            _ => None,
        });
    names.collect()
}

fn answer_pings(harness: &mut PoolHarness) {
    let is_ping = |action: &PoolAction| {
        matches!(
            action,
            PoolAction::SendPeer {
                message: PoolMessage::Ping,
                ..
            }
        )
    };
    let pinged: Vec<_> = harness
        .other_actions
        .iter()
        .filter(|action| is_ping(action))
        .filter_map(|action| match action {
            PoolAction::SendPeer { to, .. } => Some(to.clone()),
            _ => None,
        })
        .collect();
    harness.other_actions.retain(|action| !is_ping(action));
    for from in pinged {
        let event = PoolEvent::PeerSent {
            from,
            incarnation: Incarnation(7),
            message: PoolMessage::Pong,
        };
        harness.event(event);
    }
}

fn lose_store(harness: &mut PoolHarness) {
    for kind in ObjectKind::ALL {
        let answer = ObjectAnswer::Unavailable;
        harness.event(PoolEvent::ObjectsRead { kind, answer });
    }
}

fn is_served(harness: &mut PoolHarness) -> bool {
    let caller = harness.open_session("primary-db");
    harness.query(caller, "WRITE x 1");
    harness.answer_all_commands(1);
    matches!(harness.last_reply(caller), Some(CallerReply::Done { .. }))
}

/// Guards against a share of rates and connections that is lost for most of a minute with each VM that
/// is replaced.
#[test]
fn record_of_a_vm_that_stays_silent_is_removed() {
    let mut harness = PoolHarness::with_peers(&["vm-2", "vm-3"]);
    harness.advance(14_000);
    assert_eq!(removals(&harness), ["vm.vm-2"]);
}

/// Guards against the removal of a VM that is running.
#[test]
fn record_of_a_vm_that_answers_is_kept() {
    let mut harness = PoolHarness::with_peers(&["vm-2", "vm-3"]);
    for _ in 0..60 {
        harness.advance(500);
        answer_pings(&mut harness);
    }
    assert!(removals(&harness).is_empty());
}

/// Guards against removals by a VM that is itself cut off.
#[test]
fn vm_without_the_store_removes_no_record() {
    let mut harness = PoolHarness::with_peers(&["vm-2", "vm-3"]);
    lose_store(&mut harness);
    harness.advance(40_000);
    assert!(removals(&harness).is_empty());
}

/// Guards against a share that is spent twice, by its isolated holder and by the VMs that took it
/// over.
#[test]
fn isolated_vm_stops_spending_its_share_before_it_can_be_removed() {
    let mut harness = PoolHarness::with_peers(&["vm-2", "vm-3"]);
    lose_store(&mut harness);
    harness.advance(4_000);
    assert!(is_served(&mut harness));
    // Its latest answer may have been 2 s before, and it may have noticed the loss 2 s later.
    harness.advance(3_000);
    assert!(!is_served(&mut harness));
}

/// Guards against refusals during a long outage of the store while other VMs are reachable.
#[test]
fn outage_of_the_store_alone_does_not_stop_service() {
    let mut harness = PoolHarness::with_peers(&["vm-2", "vm-3"]);
    lose_store(&mut harness);
    for _ in 0..120 {
        harness.advance(500);
        answer_pings(&mut harness);
    }
    assert!(is_served(&mut harness));
}

/// Guards against a VM that stays unregistered although it is running.
#[test]
fn vm_whose_record_was_removed_records_itself_again() {
    let mut harness = PoolHarness::with_peers(&["vm-2"]);
    harness.change_object(ObjectKind::Fleet, "vm.vm-1", None);
    harness.advance(1_000);
    let is_own = |action: &PoolAction| matches!(action, PoolAction::WriteRecord { name, expected: None, .. } if name == "vm.vm-1");
    assert!(harness.other_actions.iter().any(is_own));
    let record = FleetRecord::Vm {
        incarnation: Incarnation(7),
        address: ([127, 0, 0, 1], 7_560).into(),
        accepts_forwarded: true,
        message_version: 0,
        data_centre: None,
    };
    harness.change_object(
        ObjectKind::Fleet,
        "vm.vm-1",
        Some(ObjectValue::Fleet(record)),
    );
    harness.advance(1_000);
    assert!(is_served(&mut harness));
}

/// Guards against statements that are forwarded to a build which does not understand them: as a relay
/// it passes on the records of VMs in another form, in which its own one says that it does. Builds
/// before message version 1 do not understand the request either, and close the connection.
#[test]
fn vm_of_a_build_with_other_messages_is_not_followed() {
    for (accepts_forwarded, message_version) in [(true, 1), (true, 0), (false, 1), (false, 0)] {
        let mut harness = PoolHarness::with_peers(&["vm-2"]);
        let record = FleetRecord::Vm {
            incarnation: Incarnation(7),
            address: ([127, 0, 0, 1], 7_560).into(),
            accepts_forwarded,
            message_version,
            data_centre: Some("north".into()),
        };
        let record = Some(ObjectValue::Fleet(record));
        harness.change_object(ObjectKind::Fleet, "vm.vm-2", record);
        harness.advance(3_000);
        let is_request = |action: &PoolAction| {
            matches!(
                action,
                PoolAction::SendPeer {
                    message: PoolMessage::SubscribeStore { .. },
                    ..
                }
            )
        };
        let is_asked = harness.other_actions.iter().any(is_request);
        assert_eq!(is_asked, accepts_forwarded && message_version == 1);
    }
}
