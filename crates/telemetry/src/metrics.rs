//! Declarations of all metrics.

/// The type of a metric, as Prometheus defines it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricType {
    /// A number that only increases.
    Counter,
    /// A number that increases and decreases.
    Gauge,
    /// A distribution of observed values.
    Histogram,
}

impl MetricType {
    /// Returns the name of the type in docs/metrics.md.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// The declaration of a metric.
#[derive(Debug, PartialEq, Eq)]
pub struct MetricKind {
    /// The stable name; ends in `_total` for a counter, otherwise in the unit unless that is a
    /// count.
    pub name: &'static str,
    /// Whether the metric is a counter, a gauge or a histogram.
    pub metric_type: MetricType,
    /// The unit of the values: count, seconds or bytes.
    pub unit: metrics::Unit,
    /// The names of the labels, which docs/metrics.md lists.
    pub labels: &'static [&'static str],
    /// What the metric measures, as its help text and docs/metrics.md have it.
    pub description: &'static str,
}

/// The number of statements by outcome: answered, not_run or unknown.
pub const STATEMENTS: MetricKind = MetricKind {
    name: "lycheedoor_statements_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["workspace", "outcome"],
    description: "statements by outcome: answered, not_run or unknown",
};

/// The number of refused statements and logins by SQLSTATE, or by kind of refusal where there is
/// none.
pub const REFUSALS: MetricKind = MetricKind {
    name: "lycheedoor_refusals_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["workspace", "sqlstate"],
    description: "refused statements and log-ins by SQLSTATE, or by kind of refusal where there is none",
};

/// The number of reads by the role of the member that served them: primary or replica.
pub const READS: MetricKind = MetricKind {
    name: "lycheedoor_reads_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["group", "served_by"],
    description: "reads by the role of the member that served them: primary or replica",
};

/// The number of times that statements of a priority lacked room at members of a group.
pub const ROOM_WANTS: MetricKind = MetricKind {
    name: "lycheedoor_room_wants_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["group", "priority"],
    description: "times that statements of a priority lacked room at members of a group",
};

/// The time from the arrival of a statement to its answer.
pub const STATEMENT_SECONDS: MetricKind = MetricKind {
    name: "lycheedoor_statement_seconds",
    metric_type: MetricType::Histogram,
    unit: metrics::Unit::Seconds,
    labels: &["route"],
    description: "time from the arrival of a statement to its answer",
};

/// The time from the arrival of a statement until a connection was assigned to it.
pub const WAIT_SECONDS: MetricKind = MetricKind {
    name: "lycheedoor_wait_seconds",
    metric_type: MetricType::Histogram,
    unit: metrics::Unit::Seconds,
    labels: &["route"],
    description: "time from the arrival of a statement until it was given to a connection",
};

/// The time that a member took for a statement, including the opening of a connection.
pub const MEMBER_SECONDS: MetricKind = MetricKind {
    name: "lycheedoor_member_seconds",
    metric_type: MetricType::Histogram,
    unit: metrics::Unit::Seconds,
    labels: &["group"],
    description: "time that a member took for a statement, with the opening of a connection",
};

/// The time until a member that started or recovered got its full load from this VM.
pub const MEMBER_RAMP_SECONDS: MetricKind = MetricKind {
    name: "lycheedoor_member_ramp_seconds",
    metric_type: MetricType::Histogram,
    unit: metrics::Unit::Seconds,
    labels: &["group"],
    description: "time until a member that started or recovered got its full load",
};

/// How often this VM left a member that answered badly to probes.
pub const MEMBERS_LEFT_OUT: MetricKind = MetricKind {
    name: "lycheedoor_members_left_out_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["group"],
    description: "times that a member was left to probes because it answered badly",
};

/// The number of reads that were repeated because their answers were overdue.
pub const MOVED_READS: MetricKind = MetricKind {
    name: "lycheedoor_moved_reads_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["group"],
    description: "reads repeated over another connection because the answer was overdue",
};

/// The number of statements that wait in the queue.
pub const QUEUED_STATEMENTS: MetricKind = MetricKind {
    name: "lycheedoor_queued_statements",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Count,
    labels: &["workspace"],
    description: "statements in the queue",
};

/// The number of retries of statements.
pub const RETRIES: MetricKind = MetricKind {
    name: "lycheedoor_retries_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["group"],
    description: "retried statements",
};

/// The number of open connections from callers.
pub const CALLER_CONNECTIONS: MetricKind = MetricKind {
    name: "lycheedoor_caller_connections",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Count,
    labels: &[],
    description: "open connections of callers",
};

/// The number of open connections to targets.
pub const TARGET_CONNECTIONS: MetricKind = MetricKind {
    name: "lycheedoor_target_connections",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Count,
    labels: &["group", "member"],
    description: "open connections to targets",
};

/// The time until the membership lease expires; 0 once it has.
pub const LEASE_REMAINING_SECONDS: MetricKind = MetricKind {
    name: "lycheedoor_lease_remaining_seconds",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Seconds,
    labels: &[],
    description: "time until the membership lease runs out; 0 when it has",
};

/// How many times the membership lease has expired.
pub const LEASE_LOSSES: MetricKind = MetricKind {
    name: "lycheedoor_lease_losses_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &[],
    description: "times that the membership lease ran out",
};

/// The version of the roster that the VM knows.
pub const ROSTER_VERSION: MetricKind = MetricKind {
    name: "lycheedoor_roster_version",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Count,
    labels: &[],
    description: "version of the roster that the VM knows",
};

/// The term of the group that the VM knows.
pub const GROUP_TERM: MetricKind = MetricKind {
    name: "lycheedoor_group_term",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Count,
    labels: &["group"],
    description: "term of the group",
};

/// The number of promotions that the VM took part in, by result: promoted or cancelled.
pub const PROMOTIONS: MetricKind = MetricKind {
    name: "lycheedoor_promotions_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["group", "result"],
    description: "promotions that the VM took part in, by result: promoted or cancelled",
};

/// The time from the last answer of the old primary, as this VM saw it, to the promotion of the new
/// one.
pub const FAILOVER_GAP_SECONDS: MetricKind = MetricKind {
    name: "lycheedoor_failover_gap_seconds",
    metric_type: MetricType::Histogram,
    unit: metrics::Unit::Seconds,
    labels: &["group"],
    description: "time from the last answer of the old primary, as this VM saw it, to the promotion of the new one",
};

/// The age of the newest applied data that a replica has reported.
pub const REPLICA_LAG_SECONDS: MetricKind = MetricKind {
    name: "lycheedoor_replica_lag_seconds",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Seconds,
    labels: &["group", "member"],
    description: "age of the newest applied data that a replica has reported",
};

/// The version of the configuration in force.
pub const CONFIG_VERSION: MetricKind = MetricKind {
    name: "lycheedoor_config_version",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Count,
    labels: &[],
    description: "version of the configuration in force",
};

/// The number of calls to the platform by kind and result.
pub const PLATFORM_CALLS: MetricKind = MetricKind {
    name: "lycheedoor_platform_calls_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["call", "result"],
    description: "calls to the platform by kind and result",
};

/// The duration of calls to the platform, excluding watches.
pub const PLATFORM_CALL_SECONDS: MetricKind = MetricKind {
    name: "lycheedoor_platform_call_seconds",
    metric_type: MetricType::Histogram,
    unit: metrics::Unit::Seconds,
    labels: &["call"],
    description: "time of calls to the platform, watches excluded",
};

/// The number of messages sent to or received from other VMs.
pub const PEER_MESSAGES: MetricKind = MetricKind {
    name: "lycheedoor_peer_messages_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["direction"],
    description: "messages sent to or received from other VMs",
};

/// The number of bytes sent to or received from other VMs.
pub const PEER_BYTES: MetricKind = MetricKind {
    name: "lycheedoor_peer_bytes_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Bytes,
    labels: &["direction"],
    description: "bytes sent to or received from other VMs",
};

/// The number of timeline events that later ones have overwritten.
pub const TIMELINE_LOST: MetricKind = MetricKind {
    name: "lycheedoor_timeline_lost_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &[],
    description: "time line events that later ones have overwritten",
};

/// The number of windows whose usage was due while this VM reported it, by result: reported or missed.
pub const USAGE_WINDOWS: MetricKind = MetricKind {
    name: "lycheedoor_usage_windows_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["result"],
    description: "windows whose usage was due while this VM reported it, by result: reported or missed",
};

/// The time since the end of the oldest window that is due and not reported; 0 if none is.
pub const USAGE_OLDEST_DUE_SECONDS: MetricKind = MetricKind {
    name: "lycheedoor_usage_oldest_due_seconds",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Seconds,
    labels: &[],
    description: "time since the end of the oldest window that is due and not reported; 0 if none is",
};

/// The number of operations that this VM counted and that are in no report.
pub const USAGE_LOST: MetricKind = MetricKind {
    name: "lycheedoor_usage_lost_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &[],
    description: "operations that this VM counted and that are in no report",
};

/// The number of restores of the store that a VM has noticed.
pub const STORE_RESTORES: MetricKind = MetricKind {
    name: "lycheedoor_store_restores_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &[],
    description: "restores of the platform's store from an older copy that the VM has noticed",
};

/// The number of bytes that a VM holds for its callers.
pub const CALLER_HELD_BYTES: MetricKind = MetricKind {
    name: "lycheedoor_caller_held_bytes",
    metric_type: MetricType::Gauge,
    unit: metrics::Unit::Bytes,
    labels: &[],
    description: "bytes that a VM on the users' platform holds for its callers",
};

/// The number of caller connections that were closed by a limit.
pub const CALLERS_CLOSED: MetricKind = MetricKind {
    name: "lycheedoor_callers_closed_total",
    metric_type: MetricType::Counter,
    unit: metrics::Unit::Count,
    labels: &["limit"],
    description: "connections of callers that a VM on the users' platform closed because of a limit",
};

/// All metrics, in the order of docs/metrics.md.
pub const ALL: &[&MetricKind] = &[
    &STATEMENTS,
    &REFUSALS,
    &READS,
    &ROOM_WANTS,
    &STATEMENT_SECONDS,
    &WAIT_SECONDS,
    &MEMBER_SECONDS,
    &MEMBER_RAMP_SECONDS,
    &MEMBERS_LEFT_OUT,
    &MOVED_READS,
    &QUEUED_STATEMENTS,
    &RETRIES,
    &CALLER_CONNECTIONS,
    &TARGET_CONNECTIONS,
    &LEASE_REMAINING_SECONDS,
    &LEASE_LOSSES,
    &ROSTER_VERSION,
    &GROUP_TERM,
    &PROMOTIONS,
    &FAILOVER_GAP_SECONDS,
    &REPLICA_LAG_SECONDS,
    &CONFIG_VERSION,
    &PLATFORM_CALLS,
    &PLATFORM_CALL_SECONDS,
    &PEER_MESSAGES,
    &PEER_BYTES,
    &TIMELINE_LOST,
    &USAGE_WINDOWS,
    &USAGE_OLDEST_DUE_SECONDS,
    &USAGE_LOST,
    &STORE_RESTORES,
    &CALLER_HELD_BYTES,
    &CALLERS_CLOSED,
];
