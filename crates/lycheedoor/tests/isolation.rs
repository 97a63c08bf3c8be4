//! Tests that callers do not affect each other or the control of members: prepared statements,
//! transactions, malformed frames, large answers and control commands.

mod common;

use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use common::VmProcess;
use common::query_text;
use common::raw::RawCaller;
use common::raw::first_error;
use common::raw::first_value;
use common::raw::frame_kinds;
use common::raw::parameter_status;
use common::start_primary;
use lycheedoor_frame::put_frame;

/// Guards against prepared statements that are missing, or belong to another caller, on the pooled
/// connection that runs them.
#[test]
fn prepared_statements_follow_their_caller_over_pooled_connections() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let mut first = vm.connect();
    let mut second = vm.connect();
    let statement = first.prepare("SELECT put('k', $1)").unwrap();
    let other = second.prepare("SELECT get($1)").unwrap();
    thread::scope(|scope| {
        // Occupies the connection on which both statements were prepared.
        let sleeping = scope.spawn(|| query_text(&mut vm.connect(), "SELECT sleep_ms(300)"));
        thread::sleep(Duration::from_millis(100));
        assert_eq!(first.execute(&statement, &[&"one"]).unwrap(), 1);
        let row = second.query_one(&other, &[&"k"]).unwrap();
        assert_eq!(row.get::<_, String>(0), "one");
        sleeping.join().unwrap();
    });
    for round in 0..20 {
        let value = round.to_string();
        first.execute(&statement, &[&value]).unwrap();
        let row = second.query_one(&other, &[&"k"]).unwrap();
        assert_eq!(row.get::<_, String>(0), value);
    }
}

#[test]
fn statement_that_fails_to_parse_leaves_the_caller_usable() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let mut client = vm.connect();
    for _ in 0..2 {
        let failed = client.prepare("SELEKT 1").unwrap_err();
        assert_eq!(failed.code().unwrap().code(), "42601");
        assert_eq!(query_text(&mut client, "SELECT workspace()"), "shop");
    }
}

#[test]
fn transactions_of_two_callers_do_not_mix() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let (mut first, mut second) = (vm.connect(), vm.connect());
    let mut open = first.transaction().unwrap();
    open.execute("SELECT put('k', 'uncommitted')", &[]).unwrap();
    let row = second.query_one("SELECT get('k')", &[]).unwrap();
    assert_eq!(row.get::<_, Option<String>>(0), None);
    let row = open.query_one("SELECT get('k')", &[]).unwrap();
    assert_eq!(row.get::<_, String>(0), "uncommitted");
    open.commit().unwrap();
    assert_eq!(query_text(&mut second, "SELECT get('k')"), "uncommitted");
}

/// Guards against an open transaction that stays on a pooled connection after its caller has
/// disconnected.
#[test]
fn transaction_of_a_disconnected_caller_is_rolled_back() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let mut leaving = vm.connect();
    leaving.simple_query("BEGIN; SELECT issue('s')").unwrap();
    drop(leaving);
    assert_eq!(query_text(&mut vm.connect(), "SELECT issue('s')"), "1");
}

#[test]
fn malformed_and_oversized_frames_close_only_their_connection() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let mut neighbour = vm.connect();
    let oversized = [b'Q', 0x7f, 0xff, 0xff, 0xff];
    let unknown = [b'!', 0, 0, 0, 4];
    let too_short = [b'Q', 0, 0, 0, 1];
    let unterminated = [b'Q', 0, 0, 0, 5, b'x'];
    for bytes in [&oversized[..], &unknown, &too_short, &unterminated] {
        let (mut caller, _) = RawCaller::log_in(vm.address);
        caller.write(bytes);
        let frames = caller.answer();
        let expected = ("LD010".to_owned(), "not run".to_owned());
        assert_eq!(first_error(&frames), Some(expected), "{bytes:?}");
        assert_eq!(frame_kinds(&frames), "E", "the connection must be closed");
        assert_eq!(query_text(&mut neighbour, "SELECT workspace()"), "shop");
    }
    let mut caller = RawCaller::connect(vm.address);
    caller.write(&[0xff; 64]);
    assert_eq!(first_error(&caller.answer()).unwrap().0, "LD010");
}

/// Guards against answers that are reordered, and answers that lack the session token or expose
/// the target's position.
#[test]
fn pipelined_statements_are_answered_in_order_with_session_tokens() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let (mut caller, start_up) = RawCaller::log_in(vm.address);
    assert_eq!(
        parameter_status(&start_up, "server_version").unwrap(),
        "17.0"
    );
    assert_eq!(
        parameter_status(&start_up, "lycheedoor.session").unwrap(),
        ""
    );
    let mut frames: Vec<(u8, &[u8])> = vec![(b'Q', b"SELECT issue('s')\0"); 100];
    frames.insert(50, (b'Q', b"SET lycheedoor.idempotency_key = 'k'\0"));
    frames.push((b'S', b""));
    caller.send(&frames);
    for index in 0..101 {
        let answer = caller.answer();
        if index == 50 {
            assert_eq!(frame_kinds(&answer), "CZ");
            continue;
        }
        // All statements after the idempotency key was set share it, and hence the answer.
        let number = if index < 50 { index + 1 } else { 51 };
        assert_eq!(first_value(&answer), Some(number.to_string()));
        assert!(parameter_status(&answer, "lycheedoor.session").is_some());
        assert!(parameter_status(&answer, "lycheedoor.position").is_none());
    }
    assert_eq!(frame_kinds(&caller.answer()), "Z");
}

/// Guards against an answer that exhausts memory, and against reporting its statement as not run.
#[test]
fn answer_over_the_size_limit_is_reported_as_outcome_unknown() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let (mut caller, _) = RawCaller::log_in(vm.address);
    let half: &[u8] = b"SELECT repeat('0123456789', 900000)\0";
    let twice: &[u8] =
        b"SELECT repeat('0123456789', 900000); SELECT repeat('0123456789', 900000)\0";
    caller.send(&[(b'Q', half)]);
    assert_eq!(first_value(&caller.answer()).unwrap().len(), 9_000_000);
    caller.send(&[(b'Q', twice)]);
    let expected = ("54000".to_owned(), "unknown".to_owned());
    assert_eq!(first_error(&caller.answer()), Some(expected));
    caller.send(&[(b'Q', b"SELECT workspace()\0")]);
    assert_eq!(first_value(&caller.answer()).unwrap(), "shop");
}

#[test]
fn caller_cannot_send_control_commands() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let mut client = vm.connect();
    for command in ["LYCHEEDOOR FENCE 9", "SELECT 1; LYCHEEDOOR PROMOTE 9"] {
        let refused = client.simple_query(command).unwrap_err();
        assert_eq!(refused.code().unwrap().code(), "42501");
    }
    assert_eq!(query_text(&mut client, "SELECT issue('s')"), "1");
}

#[test]
fn encryption_request_is_declined_and_the_start_up_continues() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let mut caller = RawCaller::connect(vm.address);
    caller.write(&[0, 0, 0, 8, 4, 210, 22, 47]);
    let mut reply = [0; 1];
    std::io::Read::read_exact(&mut caller.stream, &mut reply).unwrap();
    assert_eq!(&reply, b"N");
    caller.write(b"\0\0\0\x13\0\x03\0\0user\0shop\0\0");
    let mut password = BytesMut::new();
    put_frame(&mut password, b'p', &[b"x\0"]);
    caller.write(&password);
    assert!(frame_kinds(&caller.answer()).starts_with("RR"));
}

/// Guards against an error that reports the running statement as not run, although it may have been
/// run.
#[test]
fn malformed_frame_during_a_statement_reports_an_unknown_outcome() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let (mut caller, _) = RawCaller::log_in(vm.address);
    caller.send(&[(b'Q', b"SELECT sleep_ms(500)\0")]);
    thread::sleep(Duration::from_millis(100));
    caller.send(&[(b'!', b"")]);
    let expected = ("LD010".to_owned(), "unknown".to_owned());
    let frames = caller.answer();
    assert_eq!(first_error(&frames), Some(expected));
    assert_eq!(frame_kinds(&frames), "E");
}

/// Guards against a caller that is never resumed after its output limit was reached, and against
/// one that blocks other callers.
#[test]
fn caller_that_pauses_reading_receives_all_answers_afterwards() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let (mut caller, _) = RawCaller::log_in(vm.address);
    let query: &[u8] = b"SELECT repeat('0123456789', 400000)\0";
    caller.send(&[(b'Q', query); 40]);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(query_text(&mut vm.connect(), "SELECT workspace()"), "shop");
    for _ in 0..40 {
        assert_eq!(first_value(&caller.answer()).unwrap().len(), 4_000_000);
    }
}
