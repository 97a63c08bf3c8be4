//! Tests of cancel requests, lost targets, planned stops and the memory that idle callers use.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy exempts test functions but not their helpers"
)]

mod common;

use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::VmProcess;
use common::query_text;
use common::raw::RawCaller;
use common::raw::first_error;
use common::start_primary;
use postgres::NoTls;

/// The largest resident memory for each idle caller, as the design page requires.
const IDLE_CALLER_BYTES: usize = 12 * 1024;

fn terminate(vm: &VmProcess) {
    let id = vm.child.id().to_string();
    let status = Command::new("kill").args(["-TERM", &id]).status().unwrap();
    assert!(status.success());
}

fn wait_for_exit(vm: &mut VmProcess) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while Instant::now() < deadline {
        if let Some(status) = vm.child.try_wait().unwrap() {
            return assert!(status.success());
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("process did not exit");
}

fn resident_bytes(vm: &VmProcess) -> usize {
    let path = format!("/proc/{}/status", vm.child.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    let kilobytes = line.split_ascii_whitespace().nth(1).unwrap();
    kilobytes.parse::<usize>().unwrap() * 1024
}

#[test]
fn cancelled_statement_is_refused_and_the_caller_stays_connected() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let mut client = vm.connect();
    let token = client.cancel_token();
    let cancelling = thread::spawn(move || {
        thread::sleep(Duration::from_millis(200));
        token.cancel_query(NoTls).unwrap();
    });
    let started = Instant::now();
    let refused = client.simple_query("SELECT sleep_ms(20000)").unwrap_err();
    let refused = refused.as_db_error().unwrap();
    assert_eq!(refused.detail(), Some("unknown"));
    assert!(started.elapsed() < Duration::from_secs(10));
    cancelling.join().unwrap();
    assert_eq!(query_text(&mut client, "SELECT workspace()"), "shop");
}

/// Guards against a statement that goes on at the target, with its locks, after its caller has
/// disconnected.
#[test]
fn statement_of_a_disconnected_caller_is_cancelled_on_the_target() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let (mut caller, _) = RawCaller::log_in(vm.address);
    // The transaction holds the write lock until its statement ends.
    let holding: &[u8] = b"BEGIN; SELECT issue('s'); SELECT sleep_ms(20000)\0";
    caller.send(&[(b'Q', holding)]);
    thread::sleep(Duration::from_millis(100));
    drop(caller);
    let started = Instant::now();
    assert_eq!(query_text(&mut vm.connect(), "SELECT issue('s')"), "1");
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// Guards against cancelling another caller's statement by guessing its process ID.
#[test]
fn cancel_request_with_a_wrong_secret_has_no_effect() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let mut client = vm.connect();
    let forged = vm.address;
    let forging = thread::spawn(move || {
        thread::sleep(Duration::from_millis(50));
        let mut caller = RawCaller::connect(forged);
        caller.write(b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\x01\0\0\0\0");
        assert!(caller.frame().is_none());
    });
    assert_eq!(query_text(&mut client, "SELECT sleep_ms(300)"), "300");
    forging.join().unwrap();
}

/// Guards against an error that reports a statement as not run although it was sent, or as unknown
/// although it was not.
#[test]
fn lost_target_makes_a_running_statement_unknown_and_an_unsent_one_not_run() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let (mut caller, _) = RawCaller::log_in(vm.address);
    caller.send(&[(b'Q', b"SELECT sleep_ms(5000)\0")]);
    thread::sleep(Duration::from_millis(200));
    member.stop();
    let lost = first_error(&caller.answer()).unwrap();
    assert_eq!(lost, ("LD101".to_owned(), "unknown".to_owned()));
    caller.send(&[(b'Q', b"SELECT issue('s')\0")]);
    let refused = first_error(&caller.answer()).unwrap();
    assert_eq!(refused, ("LD008".to_owned(), "not run".to_owned()));
}

#[test]
fn planned_stop_finishes_statements_and_tells_idle_callers_to_reconnect() {
    let member = start_primary();
    let mut vm = VmProcess::start(member.address());
    let (mut idle, _) = RawCaller::log_in(vm.address);
    let (mut busy, _) = RawCaller::log_in(vm.address);
    let (mut open, _) = RawCaller::log_in(vm.address);
    open.send(&[(b'Q', b"BEGIN\0"), (b'Q', b"SELECT issue('s')\0")]);
    open.answer();
    open.answer();
    busy.send(&[(b'Q', b"SELECT sleep_ms(300)\0")]);
    thread::sleep(Duration::from_millis(100));
    terminate(&vm);
    assert_eq!(
        first_error(&busy.answer()),
        None,
        "statement was interrupted"
    );
    open.send(&[(b'Q', b"COMMIT\0")]);
    assert_eq!(
        first_error(&open.answer()),
        None,
        "transaction was interrupted"
    );
    for caller in [&mut idle, &mut busy, &mut open] {
        assert_eq!(first_error(&caller.answer()).unwrap().0, "57P01");
    }
    wait_for_exit(&mut vm);
}

#[test]
fn idle_callers_stay_within_the_memory_limit() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let log_in = |count: usize| -> Vec<RawCaller> {
        (0..count)
            .map(|_| {
                let (mut caller, _) = RawCaller::log_in(vm.address);
                caller.send(&[(b'Q', b"SELECT issue('s')\0")]);
                caller.answer();
                caller
            })
            .collect()
    };
    let warm = log_in(50);
    let before = resident_bytes(&vm);
    let idle = log_in(400);
    let each = resident_bytes(&vm).saturating_sub(before) / idle.len();
    println!("{each} bytes for an idle caller");
    assert!(
        each <= IDLE_CALLER_BYTES,
        "an idle caller uses {each} bytes of resident memory"
    );
    drop(warm);
}
