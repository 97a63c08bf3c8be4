//! Log events about callers, targets, peers, planned stops and operator requests.

use log::Level;

use crate::event::EventKind;
use crate::event::event;

const CALLERS: &str = "lycheedoor::callers";
const TARGETS: &str = "lycheedoor::targets";
const PEERS: &str = "lycheedoor::peers";
const DRAIN: &str = "lycheedoor::drain";
const OPERATORS: &str = "lycheedoor::operators";

/// LD-I-0601: caller could not log in.
pub const CALLER_REFUSED: EventKind = event(
    "LD-I-0601",
    "caller_refused",
    Level::Info,
    CALLERS,
    "caller could not log in",
    &["caller", "workspace", "reason"],
);

/// LD-D-0602: caller has logged in.
pub const CALLER_ACCEPTED: EventKind = event(
    "LD-D-0602",
    "caller_accepted",
    Level::Debug,
    CALLERS,
    "caller has logged in",
    &["caller", "workspace"],
);

/// LD-W-0603: caller's message is malformed; its connection is closed.
pub const CALLER_MALFORMED: EventKind = event(
    "LD-W-0603",
    "caller_malformed",
    Level::Warn,
    CALLERS,
    "caller's message is malformed; its connection is closed",
    &["caller", "error"],
);

/// LD-D-0605: statement was refused.
pub const STATEMENT_REFUSED: EventKind = event(
    "LD-D-0605",
    "statement_refused",
    Level::Debug,
    CALLERS,
    "statement was refused",
    &["caller", "request", "reason", "outcome"],
);

/// LD-W-0606: outcome of a statement is unknown.
pub const OUTCOME_UNKNOWN: EventKind = event(
    "LD-W-0606",
    "outcome_unknown",
    Level::Warn,
    CALLERS,
    "outcome of a statement is unknown",
    &["request", "group", "reason"],
);

/// LD-W-0701: connection to a target cannot be opened.
pub const TARGET_UNREACHABLE: EventKind = event(
    "LD-W-0701",
    "target_unreachable",
    Level::Warn,
    TARGETS,
    "connection to a target cannot be opened",
    &["target", "error"],
);

/// LD-W-0702: connection to a target was lost.
pub const TARGET_LOST: EventKind = event(
    "LD-W-0702",
    "target_lost",
    Level::Warn,
    TARGETS,
    "connection to a target was lost",
    &["group", "member", "reason"],
);

/// LD-D-0703: connection to a target is being opened.
pub const TARGET_CONNECTED: EventKind = event(
    "LD-D-0703",
    "target_connected",
    Level::Debug,
    TARGETS,
    "connection to a target is being opened",
    &["group", "member"],
);

/// LD-W-0704: target's message is malformed; its connection is closed.
pub const TARGET_MALFORMED: EventKind = event(
    "LD-W-0704",
    "target_malformed",
    Level::Warn,
    TARGETS,
    "target's message is malformed; its connection is closed",
    &["target", "error"],
);

/// LD-W-0706: answer arrived after its statement had ended and was dropped.
pub const LATE_ANSWER_DROPPED: EventKind = event(
    "LD-W-0706",
    "late_answer_dropped",
    Level::Warn,
    TARGETS,
    "answer arrived after its statement had ended and was dropped",
    &["connection", "request"],
);

/// LD-W-0801: another VM cannot be reached.
pub const PEER_UNREACHABLE: EventKind = event(
    "LD-W-0801",
    "peer_unreachable",
    Level::Warn,
    PEERS,
    "another VM cannot be reached",
    &["vm"],
);

/// LD-I-0802: another VM can be reached again.
pub const PEER_BACK: EventKind = event(
    "LD-I-0802",
    "peer_back",
    Level::Info,
    PEERS,
    "another VM can be reached again",
    &["vm"],
);

/// LD-W-0803: message of another VM is malformed.
pub const PEER_MALFORMED: EventKind = event(
    "LD-W-0803",
    "peer_malformed",
    Level::Warn,
    PEERS,
    "message of another VM is malformed",
    &["error"],
);

/// LD-I-0901: planned stop has begun.
pub const DRAIN_STARTED: EventKind = event(
    "LD-I-0901",
    "drain_started",
    Level::Info,
    DRAIN,
    "planned stop has begun",
    &["statements", "transactions", "callers"],
);

/// LD-I-0902: planned stop has completed all work.
pub const DRAIN_FINISHED: EventKind = event(
    "LD-I-0902",
    "drain_finished",
    Level::Info,
    DRAIN,
    "planned stop has completed all work",
    &["duration_ms"],
);

/// LD-E-0903: planned stop has timed out.
pub const DRAIN_OVERDUE: EventKind = event(
    "LD-E-0903",
    "drain_overdue",
    Level::Error,
    DRAIN,
    "planned stop has timed out",
    &["statements"],
);

/// LD-D-1001: operator request arrived.
pub const OPERATOR_REQUEST: EventKind = event(
    "LD-D-1001",
    "operator_request",
    Level::Debug,
    OPERATORS,
    "operator request arrived",
    &["path"],
);

/// LD-W-1002: operator request is malformed.
pub const OPERATOR_MALFORMED: EventKind = event(
    "LD-W-1002",
    "operator_malformed",
    Level::Warn,
    OPERATORS,
    "operator request is malformed",
    &["error"],
);
