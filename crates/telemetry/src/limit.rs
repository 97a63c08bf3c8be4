//! Rate limit of repeated warnings.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::event::EventKind;
use crate::event::FieldValue;
use crate::event::emit;
use crate::events::LINES_LEFT_OUT;

/// The shortest time between two warnings with the same cause.
const INTERVAL: Duration = Duration::from_secs(1);

/// Causes that are remembered; above it further causes are not written until some have aged.
const MAX_CAUSES: usize = 1_024;

type Causes = BTreeMap<(&'static str, String), Instant>;

thread_local! {
    static WRITTEN: RefCell<Causes> = const { RefCell::new(BTreeMap::new()) };
}

/// Writes a log event unless it was written for the same cause less than a second ago. A target or
/// platform that refuses every connection would otherwise fill the log.
#[track_caller]
pub fn emit_limited(event: &'static EventKind, cause: &str, values: &[FieldValue<'_>]) {
    if WRITTEN.with_borrow_mut(|written| is_due(written, event.code, cause, Instant::now())) {
        emit(event, values);
    }
}

fn is_due(written: &mut Causes, code: &'static str, cause: &str, now: Instant) -> bool {
    let key = (code, cause.to_owned());
    let recent = |at: &Instant| now.duration_since(*at) < INTERVAL;
    if written.get(&key).is_some_and(recent) {
        return false;
    }
    if written.len() >= MAX_CAUSES {
        written.retain(|_, at| recent(at));
    }
    if written.len() >= MAX_CAUSES {
        return false;
    }
    written.insert(key, now);
    true
}

/// Lines of one kind in a second; what is more is counted and left out.
const LINES_A_SECOND: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    since: Option<Instant>,
    written: u32,
    left_out: u32,
}

thread_local! {
    static BUDGETS: RefCell<BTreeMap<&'static str, Budget>> = const { RefCell::new(BTreeMap::new()) };
}

/// Writes a log event unless its kind has used up its lines of the current second; the number of
/// lines left out follows with the first line of a later second.
#[track_caller]
pub fn emit_budgeted(event: &'static EventKind, values: &[FieldValue<'_>]) {
    let now = Instant::now();
    let (is_written, left_out) = BUDGETS.with_borrow_mut(|budgets| {
        let budget = budgets.entry(event.code).or_default();
        let mut left_out = 0;
        if budget
            .since
            .is_none_or(|since| now.duration_since(since) >= INTERVAL)
        {
            left_out = budget.left_out;
            *budget = Budget {
                since: Some(now),
                ..Budget::default()
            };
        }
        let is_written = budget.written < LINES_A_SECOND;
        budget.written += u32::from(is_written);
        budget.left_out += u32::from(!is_written);
        (is_written, left_out)
    });
    if left_out > 0 {
        emit(&LINES_LEFT_OUT, &[event.code.into(), left_out.into()]);
    }
    if is_written {
        emit(event, values);
    }
}
