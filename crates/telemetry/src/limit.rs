//! Rate limits for log events that a lasting fault would repeat many times a second.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::event::EventKind;
use crate::event::FieldValue;
use crate::event::emit;
use crate::events::LINES_LEFT_OUT;

/// The shortest time between two lines of one event with the same cause, and the length of the
/// window of [`MAX_LINES_PER_INTERVAL`].
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

/// The number of causes whose last line is remembered. Events with further causes are dropped until
/// remembered ones are older than [`LIMIT_INTERVAL`].
const MAX_TRACKED_CAUSES: usize = 1_024;

/// When an event was last written, by event code and cause.
type LastWrites = BTreeMap<(&'static str, String), Instant>;

thread_local! {
    static LAST_WRITES: RefCell<LastWrites> = const { RefCell::new(BTreeMap::new()) };
}

/// Writes a log event unless it was written for the same cause less than a second ago. Otherwise a
/// target or platform that refuses every connection would fill the log.
#[track_caller]
pub fn emit_limited_by_cause(event: &'static EventKind, cause: &str, values: &[FieldValue<'_>]) {
    if LAST_WRITES
        .with_borrow_mut(|last_writes| is_due(last_writes, event.code, cause, Instant::now()))
    {
        emit(event, values);
    }
}

/// Returns whether an event may be written now and, if so, records the write.
fn is_due(last_writes: &mut LastWrites, code: &'static str, cause: &str, now: Instant) -> bool {
    let key = (code, cause.to_owned());
    let is_recent = |at: &Instant| now.duration_since(*at) < LIMIT_INTERVAL;
    if last_writes.get(&key).is_some_and(is_recent) {
        return false;
    }
    if last_writes.len() >= MAX_TRACKED_CAUSES {
        last_writes.retain(|_, at| is_recent(at));
    }
    if last_writes.len() >= MAX_TRACKED_CAUSES {
        return false;
    }
    last_writes.insert(key, now);
    true
}

/// The most lines of one event kind in a [`LIMIT_INTERVAL`]; further ones are counted and dropped.
const MAX_LINES_PER_INTERVAL: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct LineBudget {
    started_at: Option<Instant>,
    written: u32,
    dropped: u32,
}

thread_local! {
    static BUDGETS: RefCell<BTreeMap<&'static str, LineBudget>> =
        const { RefCell::new(BTreeMap::new()) };
}

/// Writes a log event unless its kind has used up its lines for the current second. The number of
/// dropped lines is written before the next line of this kind in a later second.
#[track_caller]
pub fn emit_limited_by_kind(event: &'static EventKind, values: &[FieldValue<'_>]) {
    let now = Instant::now();
    let (is_written, dropped) = BUDGETS.with_borrow_mut(|budgets| {
        let budget = budgets.entry(event.code).or_default();
        let mut dropped = 0;
        if budget
            .started_at
            .is_none_or(|started_at| now.duration_since(started_at) >= LIMIT_INTERVAL)
        {
            dropped = budget.dropped;
            *budget = LineBudget {
                started_at: Some(now),
                ..LineBudget::default()
            };
        }
        let is_written = budget.written < MAX_LINES_PER_INTERVAL;
        budget.written += u32::from(is_written);
        budget.dropped += u32::from(!is_written);
        (is_written, dropped)
    });
    if dropped > 0 {
        emit(&LINES_LEFT_OUT, &[event.code.into(), dropped.into()]);
    }
    if is_written {
        emit(event, values);
    }
}
