//! The log while nobody reads it.

use std::io::Read;
use std::io::pipe;
use std::thread;

use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::init_buffered_log;

/// More lines than the buffer and a pipe hold together.
const LINES: u64 = 5_000;

/// Guards against a process that waits for whoever reads its log, and against lines that are lost
/// without a trace or in the middle.
#[test]
fn unread_lines_are_dropped_whole_and_counted() {
    let log = init_buffered_log("info").unwrap();
    let (mut reader, writer) = pipe().unwrap();
    for number in 0..LINES {
        emit(&events::STORE_BACK, &[number.into()]);
        // Returns although the pipe is full.
        log.flush_to(&writer);
    }
    assert_eq!(
        log.take_dropped(),
        0,
        "counted before there is room to say so"
    );

    let read = thread::spawn(move || {
        let mut text = String::new();
        reader.read_to_string(&mut text).map(|_| text)
    });
    let mut dropped = 0;
    while dropped == 0 {
        log.flush_to(&writer);
        dropped = log.take_dropped();
        thread::yield_now();
    }
    drop(writer);
    let text = read.join().unwrap().unwrap();
    let is_whole = |line: &str| line.starts_with('{') && line.ends_with('}');
    assert!(text.lines().all(is_whole));
    assert_eq!(text.lines().count() as u64 + dropped, LINES);
}
