//! Log events about the process, the platform, membership, failover and the configuration.

use log::Level;

use crate::event::EventKind;
use crate::event::event;

const PROCESS: &str = "lycheedoor::process";
const PLATFORM: &str = "lycheedoor::platform";
const MEMBERSHIP: &str = "lycheedoor::membership";
const FAILOVER: &str = "lycheedoor::failover";
const CONFIGURATION: &str = "lycheedoor::config";

/// LD-I-0101: process has started.
pub const STARTED: EventKind = event(
    "LD-I-0101",
    "started",
    Level::Info,
    PROCESS,
    "process has started",
    &["vm", "incarnation", "data_centre"],
);

/// LD-I-0102: process has stopped.
pub const STOPPED: EventKind = event(
    "LD-I-0102",
    "stopped",
    Level::Info,
    PROCESS,
    "process has stopped",
    &["reason"],
);

/// LD-E-0104: listen address cannot be bound.
pub const LISTEN_FAILED: EventKind = event(
    "LD-E-0104",
    "listen_failed",
    Level::Error,
    PROCESS,
    "listen address cannot be bound",
    &["purpose", "address", "error"],
);

/// LD-W-0105: process was paused for longer than a lease lasts.
pub const PAUSED: EventKind = event(
    "LD-W-0105",
    "paused",
    Level::Warn,
    PROCESS,
    "process was paused for longer than a lease lasts",
    &["pause_ms"],
);

/// LD-E-0106: connection cannot be accepted.
pub const SOCKET_LIMIT: EventKind = event(
    "LD-E-0106",
    "socket_limit",
    Level::Error,
    PROCESS,
    "connection cannot be accepted",
    &["purpose", "error"],
);

/// LD-E-0107: internal state is inconsistent; the affected connection or message is dropped.
pub const INTERNAL_FAULT: EventKind = event(
    "LD-E-0107",
    "internal_fault",
    Level::Error,
    PROCESS,
    "internal state is inconsistent; the affected connection or message is dropped",
    &["detail"],
);

/// LD-W-0201: platform is unavailable.
pub const PLATFORM_UNREACHABLE: EventKind = event(
    "LD-W-0201",
    "platform_unreachable",
    Level::Warn,
    PLATFORM,
    "platform is unavailable",
    &["call", "error"],
);

/// LD-I-0202: platform is available again.
pub const PLATFORM_BACK: EventKind = event(
    "LD-I-0202",
    "platform_back",
    Level::Info,
    PLATFORM,
    "platform is available again",
    &["outage_ms"],
);

/// LD-W-0203: platform's response does not conform to the object API.
pub const PLATFORM_ANSWER_MALFORMED: EventKind = event(
    "LD-W-0203",
    "platform_answer_malformed",
    Level::Warn,
    PLATFORM,
    "platform's response does not conform to the object API",
    &["call", "error"],
);

/// LD-I-0204: startup is waiting for the platform.
pub const WAITING_FOR_PLATFORM: EventKind = event(
    "LD-I-0204",
    "waiting_for_platform",
    Level::Info,
    PLATFORM,
    "startup is waiting for the platform",
    &["waited_ms"],
);

/// LD-D-0205: conditional update failed because of a concurrent update.
pub const UPDATE_CONFLICT: EventKind = event(
    "LD-D-0205",
    "update_conflict",
    Level::Debug,
    PLATFORM,
    "conditional update failed because of a concurrent update",
    &["object", "version"],
);

/// LD-I-0301: VM was added to the roster.
pub const ROSTER_JOINED: EventKind = event(
    "LD-I-0301",
    "roster_joined",
    Level::Info,
    MEMBERSHIP,
    "VM was added to the roster",
    &["roster_version", "slots"],
);

/// LD-I-0302: VM has left the roster.
pub const ROSTER_LEFT: EventKind = event(
    "LD-I-0302",
    "roster_left",
    Level::Info,
    MEMBERSHIP,
    "VM has left the roster",
    &["roster_version"],
);

/// LD-W-0303: membership lease is lost; statements are refused.
pub const LEASE_LOST: EventKind = event(
    "LD-W-0303",
    "lease_lost",
    Level::Warn,
    MEMBERSHIP,
    "membership lease is lost; statements are refused",
    &["cause"],
);

/// LD-I-0304: membership lease is valid again.
pub const LEASE_BACK: EventKind = event(
    "LD-I-0304",
    "lease_back",
    Level::Info,
    MEMBERSHIP,
    "membership lease is valid again",
    &["gap_ms"],
);

/// LD-W-0308: lease is renewed by a majority of peers because the platform is unavailable.
pub const PEERS_VOUCH: EventKind = event(
    "LD-W-0308",
    "peers_vouch",
    Level::Warn,
    MEMBERSHIP,
    "lease is renewed by a majority of peers because the platform is unavailable",
    &["members"],
);

/// LD-W-0309: another VM is no longer in the roster.
pub const MEMBER_REMOVED: EventKind = event(
    "LD-W-0309",
    "member_removed",
    Level::Warn,
    MEMBERSHIP,
    "another VM is no longer in the roster",
    &["vm", "roster_version"],
);

/// LD-W-0401: primary does not answer.
pub const PRIMARY_SUSPECTED: EventKind = event(
    "LD-W-0401",
    "primary_suspected",
    Level::Warn,
    FAILOVER,
    "primary does not answer",
    &["group", "member", "since_answer_ms"],
);

/// LD-W-0403: promotion intent was written to the platform.
pub const INTENT_WRITTEN: EventKind = event(
    "LD-W-0403",
    "intent_written",
    Level::Warn,
    FAILOVER,
    "promotion intent was written to the platform",
    &["group", "agreeing", "observers"],
);

/// LD-I-0404: promotion intent was cancelled.
pub const INTENT_CANCELLED: EventKind = event(
    "LD-I-0404",
    "intent_cancelled",
    Level::Info,
    FAILOVER,
    "promotion intent was cancelled",
    &["group", "reason"],
);

/// LD-W-0405: member was fenced and refuses older terms.
pub const MEMBER_FENCED: EventKind = event(
    "LD-W-0405",
    "member_fenced",
    Level::Warn,
    FAILOVER,
    "member was fenced and refuses older terms",
    &["group", "member", "term"],
);

/// LD-W-0406: member has confirmed its promotion.
pub const PROMOTED: EventKind = event(
    "LD-W-0406",
    "promoted",
    Level::Warn,
    FAILOVER,
    "member has confirmed its promotion",
    &["group", "member", "term", "gap_ms"],
);

/// LD-I-0409: group has a new term.
pub const TERM_CHANGED: EventKind = event(
    "LD-I-0409",
    "term_changed",
    Level::Info,
    FAILOVER,
    "group has a new term",
    &["group", "term", "primary"],
);

/// LD-I-0501: configuration is in force.
pub const CONFIG_APPLIED: EventKind = event(
    "LD-I-0501",
    "config_applied",
    Level::Info,
    CONFIGURATION,
    "configuration is in force",
    &["version"],
);

/// LD-I-0503: data centre was taken out of service or brought back.
pub const DATA_CENTRE_CHANGED: EventKind = event(
    "LD-I-0503",
    "data_centre_changed",
    Level::Info,
    CONFIGURATION,
    "data centre was taken out of service or brought back",
    &["data_centre", "state"],
);

/// LD-I-0504: member is leaving or has returned.
pub const MEMBER_CHANGED: EventKind = event(
    "LD-I-0504",
    "member_changed",
    Level::Info,
    CONFIGURATION,
    "member is leaving or has returned",
    &["group", "member", "availability"],
);

/// LD-I-0505: keys of a workspace have changed.
pub const KEYS_CHANGED: EventKind = event(
    "LD-I-0505",
    "keys_changed",
    Level::Info,
    CONFIGURATION,
    "keys of a workspace have changed",
    &["workspace", "added", "withdrawn"],
);
