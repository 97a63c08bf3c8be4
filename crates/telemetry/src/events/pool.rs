//! Log events of a VM that pools connections to the members.

use log::Level;

use crate::event::EventKind;
use crate::event::event;

const POOL: &str = "lycheedoor::pool";

/// LD-I-1101: settings were read again.
pub const SETTINGS_RELOADED: EventKind = event(
    "LD-I-1101",
    "settings_reloaded",
    Level::Info,
    POOL,
    "settings were read again",
    &["result"],
);

/// LD-I-1102: configuration version is in force.
pub const CONFIGURATION_IN_FORCE: EventKind = event(
    "LD-I-1102",
    "configuration_in_force",
    Level::Info,
    POOL,
    "configuration version is in force",
    &["version"],
);

/// LD-W-1103: object in the store cannot be used and is ignored.
pub const OBJECT_UNUSABLE: EventKind = event(
    "LD-W-1103",
    "object_unusable",
    Level::Warn,
    POOL,
    "object in the store cannot be used and is ignored",
    &["kind", "object", "error"],
);

/// LD-I-1104: member's entry in the store has changed.
pub const MEMBER_STATE: EventKind = event(
    "LD-I-1104",
    "member_state",
    Level::Info,
    POOL,
    "member's entry in the store has changed",
    &["group", "member", "state", "claims_primary", "revision"],
);

/// LD-I-1105: known primary of a group has changed.
pub const PRIMARY_BELIEVED: EventKind = event(
    "LD-I-1105",
    "primary_believed",
    Level::Info,
    POOL,
    "known primary of a group has changed",
    &["group", "member", "evidence"],
);

/// LD-W-1106: member does not answer.
pub const MEMBER_SUSPECTED: EventKind = event(
    "LD-W-1106",
    "member_suspected",
    Level::Warn,
    POOL,
    "member does not answer",
    &["group", "member", "cause", "silence_ms"],
);

/// LD-I-1107: member answers again.
pub const MEMBER_BACK: EventKind = event(
    "LD-I-1107",
    "member_back",
    Level::Info,
    POOL,
    "member answers again",
    &["group", "member", "outage_ms"],
);

/// LD-I-1108: failover has reached its next step.
pub const FAILOVER_STEP: EventKind = event(
    "LD-I-1108",
    "failover_step",
    Level::Info,
    POOL,
    "failover has reached its next step",
    &["group", "step", "member", "token"],
);

/// LD-I-1109: statement failed or its outcome is unknown.
pub const STATEMENT_FAILED: EventKind = event(
    "LD-I-1109",
    "statement_failed",
    Level::Info,
    POOL,
    "statement failed or its outcome is unknown",
    &[
        "caller",
        "statement",
        "workspace",
        "group",
        "member",
        "last_fault",
        "attempts",
        "error",
        "cause",
        "config_version",
        "elapsed_ms",
    ],
);

/// LD-I-1110: platform's store answers again.
pub const STORE_BACK: EventKind = event(
    "LD-I-1110",
    "store_back",
    Level::Info,
    POOL,
    "platform's store answers again",
    &["outage_ms"],
);

/// LD-W-1111: member's message is malformed; its connection is closed.
pub const MEMBER_MALFORMED: EventKind = event(
    "LD-W-1111",
    "member_malformed",
    Level::Warn,
    POOL,
    "member's message is malformed; its connection is closed",
    &["connection", "error"],
);

/// LD-W-1112: message to another VM was lost.
pub const PEER_LOST: EventKind = event(
    "LD-W-1112",
    "peer_lost",
    Level::Warn,
    POOL,
    "message to another VM was lost",
    &["vm", "error"],
);

/// LD-W-1113: log lines were dropped by a rate or size limit.
pub const LINES_LEFT_OUT: EventKind = event(
    "LD-W-1113",
    "lines_left_out",
    Level::Warn,
    POOL,
    "log lines were dropped by a rate or size limit",
    &["kind", "count"],
);

/// LD-I-1114: planned stop has begun.
pub const STOP_STARTED: EventKind = event(
    "LD-I-1114",
    "stop_started",
    Level::Info,
    POOL,
    "planned stop has begun",
    &["sessions"],
);

/// LD-I-1115: planned stop has ended; open sessions are closed.
pub const STOP_FINISHED: EventKind = event(
    "LD-I-1115",
    "stop_finished",
    Level::Info,
    POOL,
    "planned stop has ended; open sessions are closed",
    &["sessions"],
);

/// LD-I-1116: statement took longer than the latency objective of its route.
pub const STATEMENT_LATE: EventKind = event(
    "LD-I-1116",
    "statement_late",
    Level::Info,
    POOL,
    "statement took longer than the latency objective of its route",
    &[
        "caller",
        "statement",
        "group",
        "member",
        "last_fault",
        "attempts",
        "waited_ms",
        "elapsed_ms",
    ],
);

/// LD-W-1117: another VM is considered dead; its record is removed.
pub const VM_REMOVED: EventKind = event(
    "LD-W-1117",
    "vm_removed",
    Level::Warn,
    POOL,
    "another VM is considered dead; its record is removed",
    &["vm", "silence_ms"],
);

/// LD-I-1118: load of this process since the previous line.
pub const VM_LOAD: EventKind = event(
    "LD-I-1118",
    "vm_load",
    Level::Info,
    POOL,
    "load of this process since the previous line",
    &[
        "span_ms",
        "cpu_ms",
        "timer_lag_ms",
        "statements",
        "connections_opened",
        "peer_messages",
        "peer_bytes",
        "store_calls",
    ],
);

/// LD-W-1119: another VM does not accept forwarded statements; they run elsewhere.
pub const HOME_UNAVAILABLE: EventKind = event(
    "LD-W-1119",
    "home_unavailable",
    Level::Warn,
    POOL,
    "another VM does not accept forwarded statements; they run elsewhere",
    &["vm", "cause"],
);

/// LD-I-1120: another VM accepts forwarded statements again.
pub const HOME_BACK: EventKind = event(
    "LD-I-1120",
    "home_back",
    Level::Info,
    POOL,
    "another VM accepts forwarded statements again",
    &["vm"],
);

/// LD-I-1121: changes of the store are read from another source.
pub const STORE_SOURCE: EventKind = event(
    "LD-I-1121",
    "store_source",
    Level::Info,
    POOL,
    "changes of the store are read from another source; without a relay from the store itself",
    &["relay"],
);

/// LD-W-1122: the VM that passed on changes of the store has failed.
pub const RELAY_LOST: EventKind = event(
    "LD-W-1122",
    "relay_lost",
    Level::Warn,
    POOL,
    "the VM that passed on changes of the store has failed",
    &["vm", "cause"],
);

/// LD-I-1123: a reply of another VM to a forwarded statement was not used.
pub const REPLY_IGNORED: EventKind = event(
    "LD-I-1123",
    "reply_ignored",
    Level::Info,
    POOL,
    "a reply of another VM to a forwarded statement was not used",
    &["vm", "incarnation", "session", "request", "cause"],
);

/// LD-I-1124: the configuration of a statement's home leads to another group.
pub const ROUTE_DIFFERS: EventKind = event(
    "LD-I-1124",
    "route_differs",
    Level::Info,
    POOL,
    "the configuration of a statement's home leads to another group; it runs on this VM",
    &["vm", "group", "version"],
);

/// LD-W-1125: watch did not return changes that the store has.
pub const WATCH_LOST: EventKind = event(
    "LD-W-1125",
    "watch_lost",
    Level::Warn,
    POOL,
    "watch did not return changes that the store has; it is sent again over a new connection",
    &["kind", "revision"],
);

/// LD-I-1126: record of the members that may hold confirmed commits was written.
pub const COMMIT_HOLDERS: EventKind = event(
    "LD-I-1126",
    "commit_holders",
    Level::Info,
    POOL,
    "record of the members of a group that may hold confirmed commits was written",
    &["group", "members"],
);

/// LD-I-1130: this VM now reports usage to the platform.
pub const USAGE_CLAIMED: EventKind = event(
    "LD-I-1130",
    "usage_claimed",
    Level::Info,
    POOL,
    "this VM now reports usage to the platform",
    &["token"],
);

/// LD-I-1131: this VM no longer reports usage.
pub const USAGE_ENDED: EventKind = event(
    "LD-I-1131",
    "usage_ended",
    Level::Info,
    POOL,
    "this VM no longer reports usage",
    &["token", "cause"],
);

/// LD-I-1132: the platform has accepted the usage of a window.
pub const USAGE_REPORTED: EventKind = event(
    "LD-I-1132",
    "usage_reported",
    Level::Info,
    POOL,
    "the platform has accepted the usage of a window",
    &["window", "operations", "age_ms"],
);

/// LD-W-1133: usage of windows was not reported in time.
pub const USAGE_MISSED: EventKind = event(
    "LD-W-1133",
    "usage_missed",
    Level::Warn,
    POOL,
    "usage of windows was not reported in time",
    &["window", "windows"],
);

/// LD-W-1134: operations that this VM counted are not in any report.
pub const USAGE_LOST: EventKind = event(
    "LD-W-1134",
    "usage_lost",
    Level::Warn,
    POOL,
    "operations that this VM counted are not in any report",
    &["operations"],
);

/// LD-I-1160: member that started or recovered gets its full load.
pub const MEMBER_AT_PACE: EventKind = event(
    "LD-I-1160",
    "member_at_pace",
    Level::Info,
    POOL,
    "member that started or recovered gets its full load from this VM",
    &["group", "member", "taken_ms", "cuts"],
);

/// LD-W-1161: member answers badly; it gets only probes.
pub const MEMBER_LEFT_OUT: EventKind = event(
    "LD-W-1161",
    "member_left_out",
    Level::Warn,
    POOL,
    "member answers badly; reads run elsewhere except for probes",
    &["group", "member", "cause", "agreeing"],
);

/// LD-I-1162: member that was left to probes is used again.
pub const MEMBER_READMITTED: EventKind = event(
    "LD-I-1162",
    "member_readmitted",
    Level::Info,
    POOL,
    "member that was left to probes is used again",
    &["group", "member", "after_ms"],
);

/// LD-I-1163: read whose answer was overdue is repeated over another connection.
pub const READ_MOVED: EventKind = event(
    "LD-I-1163",
    "read_moved",
    Level::Info,
    POOL,
    "read whose answer was overdue is repeated over another connection",
    &["group", "member"],
);

/// LD-W-1140: platform's store has come back from an older copy.
pub const STORE_RESTORED: EventKind = event(
    "LD-W-1140",
    "store_restored",
    Level::Warn,
    POOL,
    "platform's store has come back from an older copy",
    &["era"],
);

/// LD-I-1141: object that the copy of the store lacks stays in use until it is written again.
pub const RESTORED_OBJECT_MISSING: EventKind = event(
    "LD-I-1141",
    "restored_object_missing",
    Level::Info,
    POOL,
    "object that the copy of the store lacks stays in use until it is written again",
    &["kind", "object"],
);

/// LD-W-1142: object that the copy of the store lacks was not written again in time.
pub const RESTORED_OBJECT_DROPPED: EventKind = event(
    "LD-W-1142",
    "restored_object_dropped",
    Level::Warn,
    POOL,
    "object that the copy of the store lacks was not written again in time",
    &["kind", "object"],
);

/// LD-I-1170: statements of a priority lack room at a member, and lower ones are held back there.
pub const ROOM_WANTED: EventKind = event(
    "LD-I-1170",
    "room_wanted",
    Level::Info,
    POOL,
    "statements of a priority lack room at a member; lower ones are held back",
    &["group", "member", "priority"],
);

/// LD-W-1150: connection of a caller was closed by a limit.
pub const CALLER_CLOSED_BY_LIMIT: EventKind = event(
    "LD-W-1150",
    "caller_closed_by_limit",
    Level::Warn,
    POOL,
    "connection of a caller was closed by a limit",
    &["caller", "limit", "held_bytes", "all_held_bytes", "callers"],
);

/// LD-W-1151: connection was closed at once because there is no room for it.
pub const CONNECTION_REFUSED: EventKind = event(
    "LD-W-1151",
    "connection_refused",
    Level::Warn,
    POOL,
    "connection was closed at once because there is no room for it",
    &["purpose", "connections"],
);

/// LD-W-1152: connection to an address that is not for callers was closed to make room for another.
pub const CONNECTION_REPLACED: EventKind = event(
    "LD-W-1152",
    "connection_replaced",
    Level::Warn,
    POOL,
    "connection to an address that is not for callers was closed to make room for another",
    &["purpose", "connections"],
);
