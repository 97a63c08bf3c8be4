//! Reads that stay in the data centre where they arrive, and the position of the primary that they
//! get from the home of the writes.

mod support;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolMessage;
use support::GROUP;
use support::PRIMARY;
use support::PoolHarness;
use support::config;
use support::position;

const REPLICA: &str = "m2";
const OTHER: &str = "vm-2";

/// Starts a VM in the data centre of a replica, and another one in that of the primary.
fn start() -> PoolHarness {
    let mut harness = PoolHarness::start_as("vm-1", &[OTHER], config(1));
    harness.advance(1_000);
    for (vm, data_centre) in [("vm-1", "north"), (OTHER, "south")] {
        let record = FleetRecord::Vm {
            incarnation: Incarnation(7),
            address: support::peer_address(),
            accepts_forwarded: true,
            message_version: 0,
            data_centre: Some(DataCentreId::from(data_centre)),
        };
        let record = Some(ObjectValue::Fleet(record));
        harness.change_object(ObjectKind::Fleet, &format!("vm.{vm}"), record);
    }
    for (id, data_centre) in [(PRIMARY, "south"), (REPLICA, "north"), ("m3", "east")] {
        let mut entry = support::member(id, id == PRIMARY);
        entry.data_centre = DataCentreId::from(data_centre);
        let entry = Some(ObjectValue::Member(entry));
        harness.change_object(ObjectKind::Members, id, entry);
    }
    harness.advance(500);
    harness.other_actions.clear();
    harness
}

fn sent_messages(harness: &PoolHarness) -> impl Iterator<Item = &PoolMessage> {
    let actions = harness.other_actions.iter();
    actions.filter_map(|action| match action {
        PoolAction::SendPeer { to, message, .. } if *to == VmId::from(OTHER) => Some(message),
        _ => None,
    })
}

/// Returns the number of the latest request for a position.
fn requested_position(harness: &PoolHarness) -> Option<RequestId> {
    let numbers = sent_messages(harness).filter_map(|message| match message {
        PoolMessage::AskPosition { number, .. } => Some(*number),
        _ => None,
    });
    numbers.last()
}

fn answer_position(harness: &mut PoolHarness, incarnation: u64, number: RequestId, age_ms: u64) {
    receive(
        harness,
        PoolMessage::Position {
            group: GROUP.into(),
            incarnation: Incarnation(incarnation),
            number,
            position: position(42),
            age_ms,
        },
    );
}

fn receive(harness: &mut PoolHarness, message: PoolMessage) {
    harness.event(PoolEvent::PeerSent {
        from: VmId::from(OTHER),
        incarnation: Incarnation(7),
        message,
    });
}

/// Returns the position that the read sent to a member requires.
fn required_at(
    harness: &mut PoolHarness,
    member: &str,
) -> Option<Option<lycheedoor_core::types::Position>> {
    harness.accept_links();
    loop {
        let (link, command) = harness.take_command(member)?;
        match command {
            MemberCommand::Forward {
                required_position, ..
            } => return Some(required_position),
            _ => harness.succeed(link, lycheedoor_pool::TransactionState::Open, 50),
        }
    }
}

/// Guards against statements and results that cross data centres although the read could run beside
/// its caller.
#[test]
fn read_runs_at_the_replica_in_the_data_centre_where_it_arrives() {
    let mut harness = start();
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    let number = requested_position(&harness).unwrap();
    answer_position(&mut harness, 7, number, 3);
    assert_eq!(required_at(&mut harness, REPLICA), Some(Some(position(42))));
    assert!(sent_messages(&harness).all(|message| message.forwarded_statement().is_none()));
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "WRITE x 1");
    assert!(sent_messages(&harness).any(|message| message.forwarded_statement().is_some()));
}

/// Guards against a read that waits for the answer of a home that is out of reach.
#[test]
fn read_goes_to_the_primary_when_no_position_arrives() {
    let mut harness = start();
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    assert_eq!(required_at(&mut harness, PRIMARY), None);
    harness.advance(50);
    assert_eq!(required_at(&mut harness, PRIMARY), Some(None));
}

/// Guards against a stale read: the age of a position counts from before the request was sent.
#[test]
fn position_that_is_too_old_for_the_route_is_not_used() {
    let mut harness = start();
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    let number = requested_position(&harness).unwrap();
    harness.advance(20);
    // With the time on the way the sample is older than the bound of 1,500 ms less its margin.
    answer_position(&mut harness, 7, number, 1_390);
    harness.advance(50);
    assert_eq!(required_at(&mut harness, REPLICA), None);
    assert_eq!(required_at(&mut harness, PRIMARY), Some(None));
}

/// Guards against an answer to the earlier process of this VM, whose age counts from another request.
#[test]
fn position_for_an_earlier_process_or_request_is_not_used() {
    let mut harness = start();
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    let number = requested_position(&harness).unwrap();
    answer_position(&mut harness, 6, number, 3);
    answer_position(&mut harness, 7, RequestId(number.0 + 1), 3);
    harness.advance(50);
    assert_eq!(required_at(&mut harness, REPLICA), None);
}

/// Guards against an answer that does not hold the commits which were acknowledged before it was
/// asked for: a position is sampled for it unless a recent one is known.
#[test]
fn home_of_the_writes_takes_a_sample_for_the_answer() {
    let mut harness = PoolHarness::with_peers(&[OTHER]);
    let ask = |number| PoolMessage::AskPosition {
        group: GROUP.into(),
        incarnation: Incarnation(9),
        number: RequestId(number),
    };
    harness.sample_primary_position(5);
    harness.advance(600);
    harness.other_actions.clear();
    receive(&mut harness, ask(1));
    assert_eq!(sent_messages(&harness).count(), 0);
    harness.answer_all_commands(8);
    let answers: Vec<_> = sent_messages(&harness).cloned().collect();
    assert!(
        matches!(
            answers.as_slice(),
            [PoolMessage::Position {
                position: sampled,
                incarnation: Incarnation(9),
                age_ms: 1,
                ..
            }] if *sampled == position(8)
        ),
        "{answers:?}"
    );
    // The position is recent enough for another request, with its age.
    harness.advance(100);
    harness.other_actions.clear();
    receive(&mut harness, ask(2));
    assert!(
        sent_messages(&harness)
            .any(|message| matches!(message, PoolMessage::Position { age_ms: 101.., .. }))
    );
}

/// Guards against callers who get no result when the replica beside them fails.
#[test]
fn read_runs_elsewhere_when_the_replica_beside_it_is_lost() {
    let mut harness = start();
    let caller = harness.open_session("bounded-db");
    harness.query(caller, "READ x");
    let number = requested_position(&harness).unwrap();
    answer_position(&mut harness, 7, number, 3);
    assert!(required_at(&mut harness, REPLICA).is_some());
    let lost: Vec<_> = harness.links.keys().copied().collect();
    for link in lost {
        harness.links.remove(&link);
        harness.event(PoolEvent::LinkClosed { link });
    }
    for _ in 0..20 {
        harness.advance(20);
        harness.answer_all_commands(42);
    }
    assert!(matches!(
        harness.last_reply(caller),
        Some(CallerReply::Done { .. })
    ));
}
