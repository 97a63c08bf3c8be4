//! Records of VMs that are gone, and a VM that reaches nobody.

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
use support::Rig;

fn removals(rig: &Rig) -> Vec<&str> {
    let names = rig.others.iter().filter_map(|action| match action {
        PoolAction::RemoveRecord { name, .. } => Some(name.as_str()),
        _ => None,
    });
    names.collect()
}

fn answer_pings(rig: &mut Rig) {
    let is_ping = |action: &PoolAction| {
        matches!(
            action,
            PoolAction::SendPeer {
                message: PoolMessage::Ping,
                ..
            }
        )
    };
    let pinged: Vec<_> = rig
        .others
        .iter()
        .filter(|action| is_ping(action))
        .filter_map(|action| match action {
            PoolAction::SendPeer { to, .. } => Some(to.clone()),
            _ => None,
        })
        .collect();
    rig.others.retain(|action| !is_ping(action));
    for from in pinged {
        let event = PoolEvent::PeerSent {
            from,
            incarnation: Incarnation(7),
            message: PoolMessage::Pong,
        };
        rig.event(event);
    }
}

fn lose_store(rig: &mut Rig) {
    for kind in ObjectKind::ALL {
        let answer = ObjectAnswer::Unavailable;
        rig.event(PoolEvent::ObjectsRead { kind, answer });
    }
}

fn is_served(rig: &mut Rig) -> bool {
    let caller = rig.session("primary-db");
    rig.query(caller, "WRITE x 1");
    rig.serve(1);
    matches!(rig.last_reply(caller), Some(CallerReply::Done { .. }))
}

/// Guards against shares of rates and connections that are lost with each replaced VM.
#[test]
fn record_of_a_vm_that_is_gone_is_removed() {
    let mut rig = Rig::with_peers(&["vm-2", "vm-3"]);
    rig.advance(26_000);
    assert_eq!(removals(&rig), ["vm.vm-2"]);
}

/// Guards against the removal of a VM that runs.
#[test]
fn record_of_a_vm_that_answers_is_kept() {
    let mut rig = Rig::with_peers(&["vm-2", "vm-3"]);
    for _ in 0..60 {
        rig.advance(500);
        answer_pings(&mut rig);
    }
    assert!(removals(&rig).is_empty());
}

/// Guards against a removal by a VM that is itself cut off.
#[test]
fn vm_without_the_store_removes_nobody() {
    let mut rig = Rig::with_peers(&["vm-2", "vm-3"]);
    lose_store(&mut rig);
    rig.advance(40_000);
    assert!(removals(&rig).is_empty());
}

/// Guards against a share that is spent twice, by its cut off holder and by the others.
#[test]
fn vm_that_reaches_nobody_spends_nothing_before_it_can_be_removed() {
    let mut rig = Rig::with_peers(&["vm-2", "vm-3"]);
    lose_store(&mut rig);
    rig.advance(10_000);
    assert!(is_served(&mut rig));
    rig.advance(8_000);
    assert!(!is_served(&mut rig));
}

/// Guards against refusals in a long outage of the store while other VMs are in reach.
#[test]
fn outage_of_the_store_alone_does_not_stop_service() {
    let mut rig = Rig::with_peers(&["vm-2", "vm-3"]);
    lose_store(&mut rig);
    for _ in 0..120 {
        rig.advance(500);
        answer_pings(&mut rig);
    }
    assert!(is_served(&mut rig));
}

/// Guards against a VM that is gone for the others although it runs.
#[test]
fn vm_whose_record_was_removed_records_itself_again() {
    let mut rig = Rig::with_peers(&["vm-2"]);
    rig.change(ObjectKind::Fleet, "vm.vm-1", None);
    rig.advance(1_000);
    let is_own = |action: &PoolAction| matches!(action, PoolAction::WriteRecord { name, expected: None, .. } if name == "vm.vm-1");
    assert!(rig.others.iter().any(is_own));
    let record = FleetRecord::Vm {
        incarnation: Incarnation(7),
        address: ([127, 0, 0, 1], 7_560).into(),
    };
    rig.change(
        ObjectKind::Fleet,
        "vm.vm-1",
        Some(ObjectValue::Fleet(record)),
    );
    rig.advance(1_000);
    assert!(is_served(&mut rig));
}
