//! The declaration type of log events and the function that writes an event to the log.

use std::panic::Location;

use log::Level;
use log::Record;

/// The value of one field of a log event, as the structured logging of [`log`] takes it.
pub type FieldValue<'a> = log::kv::Value<'a>;

/// The declaration of a log event.
#[derive(Debug, PartialEq, Eq)]
pub struct EventKind {
    /// The stable code: `LD`, the first letter of the level, and four digits.
    pub code: &'static str,
    /// The stable name, which docs/events.md lists beside the code.
    pub name: &'static str,
    /// The severity; its first letter is part of the code.
    pub level: Level,
    /// The log target that filters select, as in `lycheedoor::platform=debug`.
    pub target: &'static str,
    /// The text of the log line between the code and the fields.
    pub message: &'static str,
    /// The names of the fields, in the order in which [`emit`] takes their values.
    pub fields: &'static [&'static str],
}

/// Creates a declaration; the parameters are in the order of the fields of [`EventKind`].
pub(crate) const fn event(
    code: &'static str,
    name: &'static str,
    level: Level,
    target: &'static str,
    message: &'static str,
    fields: &'static [&'static str],
) -> EventKind {
    EventKind {
        code,
        name,
        level,
        target,
        message,
        fields,
    }
}

/// Writes a log event with the values of its declared fields, in order.
///
/// In a release build, an event with a wrong number of values is still written: names without a
/// value and values without a name are left out. A debug build panics instead.
#[track_caller]
pub fn emit(event: &EventKind, values: &[FieldValue<'_>]) {
    if event.level > log::max_level() {
        return;
    }
    debug_assert_eq!(
        event.fields.len(),
        values.len(),
        "event {} declares another number of fields",
        event.code
    );
    let fields: Vec<_> = event.fields.iter().copied().zip(values).collect();
    let caller = Location::caller();
    log::logger().log(
        &Record::builder()
            .args(format_args!("{} {}", event.code, event.message))
            .level(event.level)
            .target(event.target)
            .file_static(Some(caller.file()))
            .line(Some(caller.line()))
            .key_values(&fields)
            .build(),
    );
}
