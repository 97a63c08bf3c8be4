//! The buffered log while its reader does not read.

use std::io::Read;
use std::io::pipe;
use std::thread;

use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::init_buffered_log;

/// More lines than the buffer and a pipe can hold together.
const LINE_COUNT: u64 = 5_000;

/// Guards against a process that blocks on a full log pipe, and against lines that are dropped
/// without being counted or are cut off.
#[test]
fn unread_lines_are_dropped_whole_and_counted() {
    let log = init_buffered_log("info").unwrap();
    let (mut reader, writer) = pipe().unwrap();
    for number in 0..LINE_COUNT {
        emit(&events::STORE_BACK, &[number.into()]);
        // Does not block once the pipe is full.
        log.flush_to(&writer);
    }
    assert_eq!(
        log.take_dropped_count(),
        0,
        "the dropped lines are reported before the buffer is empty"
    );

    let read = thread::spawn(move || {
        let mut text = String::new();
        reader.read_to_string(&mut text).map(|_| text)
    });
    let mut dropped = 0;
    while dropped == 0 {
        log.flush_to(&writer);
        dropped = log.take_dropped_count();
        thread::yield_now();
    }
    drop(writer);
    let text = read.join().unwrap().unwrap();
    let is_whole = |line: &str| line.starts_with('{') && line.ends_with('}');
    assert!(text.lines().all(is_whole));
    assert_eq!(text.lines().count() as u64 + dropped, LINE_COUNT);
}
