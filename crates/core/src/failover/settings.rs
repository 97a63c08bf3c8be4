//! Intervals, timeouts and counts of observation and promotion.

use std::time::Duration;

/// The settings of `Failover`; all VMs of a cell must use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailoverSettings {
    /// How long a primary must be silent before a VM that observes it suspects it.
    pub suspicion_timeout: Duration,
    /// How long a primary must leave the probes of a majority of the observers unanswered before
    /// it is replaced.
    pub detection_time: Duration,
    /// How long a primary must leave the probes of a majority of all VMs unanswered before it is
    /// replaced although it still answers a minority.
    pub minority_override_timeout: Duration,
    /// How long a VM that is not an observer probes a primary after another VM reported a
    /// suspicion.
    pub assist_duration: Duration,
    /// The interval between probes of an idle replica.
    pub probe_interval: Duration,
    /// The interval between probes of an idle primary. A primary that serves statements is not
    /// probed; the detection time counts from the first probes that it leaves unanswered.
    pub primary_probe_interval: Duration,
    /// The delay after which an unanswered probe of the primary is repeated.
    pub reprobe_interval: Duration,
    /// The interval between two reports of a suspicion.
    pub report_interval: Duration,
    /// The maximum age of a report of another VM for its suspicion to count.
    pub report_max_age: Duration,
    /// How late this VM's own timer may fire before the VM is considered to have been paused.
    pub pause_threshold: Duration,
    /// The number of observers of a group.
    pub observer_count: usize,
    /// The minimum interval between requests for a change of the fence.
    pub request_interval: Duration,
    /// The minimum interval between repeated commands to a member: a few round trips.
    pub command_interval: Duration,
    /// The maximum age of the newest answered request of a member that counts as reachable.
    pub reachable_max_age: Duration,
    /// How long an observer waits for each observer of a lower rank before it acts itself.
    pub rank_delay: Duration,
    /// How long the other observers wait for the promoter of an intent in the fencing phase, and how
    /// long a member must refuse the current term before an intent is opened for a new one.
    pub takeover_delay: Duration,
    /// Intervals and timeouts of planned moves.
    pub moves: MoveSettings,
}

/// Intervals and timeouts for moving the primary away from a member that accepts no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveSettings {
    /// How long a group may stay paused before a VM ends the pause by itself; longer than
    /// `quiesce_timeout` and `catch_up_timeout` together.
    pub pause_timeout: Duration,
    /// How long the promoter waits for work in progress to finish.
    pub quiesce_timeout: Duration,
    /// How long the promoter waits for a VM that has not answered the request to pause at all.
    pub reply_timeout: Duration,
    /// The interval between two requests to pause; a request may get lost.
    pub pause_request_interval: Duration,
    /// How long a replica may take to catch up with the paused primary.
    pub catch_up_timeout: Duration,
    /// The minimum and maximum delay after a failed attempt.
    pub retry_delay_range: (Duration, Duration),
    /// How long a requested intent may still be opened: the lifetime of a request to the
    /// membership role plus the timeout of a platform call.
    pub intent_request_timeout: Duration,
    /// How long a promotion waits, beyond the fence quorum, for the former primary and for a
    /// member in service to be fenced.
    pub fencing_grace_period: Duration,
    /// How long a group stays paused, after the new term is known, for its primary to be promoted.
    pub promotion_timeout: Duration,
}

impl Default for MoveSettings {
    fn default() -> Self {
        Self {
            pause_timeout: Duration::from_secs(2),
            quiesce_timeout: Duration::from_secs(1),
            reply_timeout: Duration::from_millis(150),
            pause_request_interval: Duration::from_millis(25),
            catch_up_timeout: Duration::from_millis(500),
            retry_delay_range: (Duration::from_millis(500), Duration::from_secs(8)),
            intent_request_timeout: Duration::from_millis(350),
            fencing_grace_period: Duration::from_millis(100),
            promotion_timeout: Duration::from_millis(200),
        }
    }
}

impl Default for FailoverSettings {
    fn default() -> Self {
        Self {
            suspicion_timeout: Duration::from_millis(200),
            detection_time: Duration::from_millis(600),
            minority_override_timeout: Duration::from_millis(1_200),
            assist_duration: Duration::from_millis(500),
            probe_interval: Duration::from_millis(100),
            primary_probe_interval: Duration::from_millis(50),
            reprobe_interval: Duration::from_millis(25),
            report_interval: Duration::from_millis(25),
            report_max_age: Duration::from_millis(150),
            pause_threshold: Duration::from_millis(100),
            observer_count: 5,
            request_interval: Duration::from_millis(25),
            command_interval: Duration::from_millis(10),
            reachable_max_age: Duration::from_millis(300),
            rank_delay: Duration::from_millis(100),
            takeover_delay: Duration::from_millis(400),
            moves: MoveSettings::default(),
        }
    }
}
