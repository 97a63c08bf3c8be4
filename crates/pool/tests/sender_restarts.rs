//! Statements that a VM forwarded before it was restarted. The numbers of its sessions and statements
//! start again with each process, so the messages of the two processes have the same numbers.

mod support;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::VmId;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::TransactionState;
use support::PRIMARY;
use support::PoolHarness;
use support::RESTARTED;
use support::config;
use support::pair::ENTRY;
use support::pair::HOME;
use support::pair::Pair;
use support::pair::deliver;
use support::pair::has_open_transaction;
use support::pair::take_messages;
use support::peer_address;

impl Pair {
    /// Replaces the process that callers are connected to, whose connections to the home end.
    fn restart_entry(&mut self) {
        self.entry = PoolHarness::restart_as(ENTRY, &[HOME], config(1));
        self.entry.advance(1_000);
        let vm = VmId::from(ENTRY);
        let unsent = Vec::new();
        self.home.event(PoolEvent::PeerLost { vm, unsent });
        take_messages(&mut self.home);
    }

    /// Lets the home read that the VM of the callers has restarted.
    fn register_restart(&mut self) {
        let record = FleetRecord::Vm {
            incarnation: RESTARTED,
            address: peer_address(),
            accepts_forwarded: true,
            message_version: 0,
            data_centre: None,
        };
        let record = Some(ObjectValue::Fleet(record));
        let name = format!("vm.{ENTRY}");
        self.home.change_object(ObjectKind::Fleet, &name, record);
    }
}

fn sent_statements(harness: &PoolHarness) -> Vec<String> {
    let sent = harness.links.values().flat_map(|link| &link.sent);
    let ids = sent.filter_map(|command| match command {
        MemberCommand::Forward { id, .. } => Some(id.clone()),
        _ => None,
    });
    ids.collect()
}

/// Guards against a caller that gets the success of another caller's write, which the home has run
/// for the process before.
#[test]
fn result_for_the_process_before_is_not_given_to_a_caller() {
    let mut pair = Pair::new();
    let caller = pair.entry.open_session("primary-db");
    pair.entry.query(caller, "WRITE x 1");
    pair.deliver();
    pair.restart_entry();
    let next = pair.entry.open_session("primary-db");
    assert_eq!(next, caller, "the numbers of the sessions have to meet");
    pair.entry.query(next, "WRITE x 2");
    let held = take_messages(&mut pair.entry);
    pair.home.answer_all_commands(1);
    deliver(&mut pair.home, &mut pair.entry);
    assert_eq!(pair.entry.last_reply(next), None);
    for event in held {
        pair.home.event(event);
    }
    pair.home.accept_links();
    assert_eq!(sent_statements(&pair.home), ["id-WRITE x 2"]);
    pair.home.answer_all_commands(2);
    pair.deliver();
    assert!(pair.is_done(next));
}

/// Guards against a refusal that a caller gets for another caller's write, while its own one runs.
#[test]
fn refusal_for_the_process_before_is_not_given_to_a_caller() {
    let mut pair = Pair::new();
    let caller = pair.entry.open_session("primary-db");
    pair.entry.query(caller, "WRITE x 1");
    let held = take_messages(&mut pair.entry);
    pair.home.event(PoolEvent::StopRequested);
    pair.restart_entry();
    let next = pair.entry.open_session("primary-db");
    pair.entry.query(next, "WRITE x 2");
    take_messages(&mut pair.entry);
    for event in held {
        pair.home.event(event);
    }
    deliver(&mut pair.home, &mut pair.entry);
    assert!(
        pair.entry.links.is_empty(),
        "the write is run a second time"
    );
    assert_eq!(pair.entry.last_reply(next), None);
}

/// Guards against the end of a session of the process before that arrives late, over a connection of
/// its own, and ends the transaction of a session with the same number.
#[test]
fn end_of_a_session_of_the_process_before_ends_no_transaction() {
    let mut pair = Pair::new();
    let caller = pair.entry.open_session("primary-db");
    for number in 0..10 {
        pair.run(caller, "WRITE x 1", number);
    }
    pair.begin_transaction(caller);
    pair.entry.event(PoolEvent::CallerClosed { caller });
    let late = take_messages(&mut pair.entry);
    pair.restart_entry();
    let next = pair.open_transaction();
    assert_eq!(next, caller, "the numbers of the sessions have to meet");
    for event in late {
        pair.home.event(event);
    }
    pair.entry.query(next, "WRITE x 2");
    pair.deliver();
    assert_eq!(sent_statements(&pair.home), ["id-WRITE x 2"]);
}

/// Guards against a statement of the process before that arrives late and ends the transaction of a
/// session with the same number.
#[test]
fn statement_of_the_process_before_ends_no_transaction() {
    let mut pair = Pair::new();
    let caller = pair.entry.open_session("primary-db");
    pair.entry.query(caller, "WRITE x 1");
    let late = take_messages(&mut pair.entry);
    pair.restart_entry();
    let next = pair.open_transaction();
    assert_eq!(next, caller, "the numbers of the sessions have to meet");
    for event in late {
        pair.home.event(event);
    }
    pair.home.answer_all_commands(1);
    pair.deliver();
    pair.entry.query(next, "WRITE x 2");
    pair.deliver();
    assert_eq!(sent_statements(&pair.home), ["id-WRITE x 2"]);
}

/// Guards against transactions of a process that has ended, which hold locks and connections at the
/// member: no session of its successor continues them.
#[test]
fn transaction_of_the_process_before_is_rolled_back_once_its_successor_is_registered() {
    let mut pair = Pair::new();
    pair.open_transaction();
    pair.restart_entry();
    assert!(has_open_transaction(&pair.home));
    pair.register_restart();
    assert!(!has_open_transaction(&pair.home));
}

/// Guards against a transaction that is given up because the VM of its caller has been silent for so
/// long that its record was removed: its process goes on.
#[test]
fn transaction_of_a_vm_whose_record_was_removed_goes_on() {
    let mut pair = Pair::new();
    let caller = pair.open_transaction();
    let name = format!("vm.{ENTRY}");
    pair.home.change_object(ObjectKind::Fleet, &name, None);
    assert!(has_open_transaction(&pair.home));
    pair.entry.query(caller, "WRITE x 2");
    pair.deliver();
    assert_eq!(sent_statements(&pair.home), ["id-WRITE x 2"]);
}

/// Guards against a write of the process before that is cut off at the member when its successor is
/// registered: whether it has run would depend on chance, and its connection would be lost.
#[test]
fn statement_of_the_process_before_in_progress_is_not_cut_off() {
    let mut pair = Pair::new();
    let caller: CallerId = pair.entry.open_session("primary-db");
    pair.entry.query(caller, "WRITE x 1");
    pair.deliver();
    pair.home.accept_links();
    let (link, _) = pair.home.take_command(PRIMARY).unwrap();
    pair.restart_entry();
    pair.register_restart();
    assert!(pair.home.links.contains_key(&link));
    pair.home.succeed(link, TransactionState::Idle, 1);
    assert!(pair.home.links.contains_key(&link));
}
