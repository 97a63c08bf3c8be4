//! What a VM knows about a member: its entry, its health and how much load it accepts.

use std::net::SocketAddr;
use std::time::Duration;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::cold::ColdBucket;
use crate::member_health::Health;
use crate::pace::Pace;
use crate::store_revision::StoreRevision;
use crate::usage::Usage;

/// How long a member whose entry disappeared is still used if it answers. Entries that expired
/// during an outage of the store are back within two seconds of its return.
const MISSING_ENTRY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay before the next attempt at a member that reported that it is not the primary. A promoted
/// member becomes primary some hundred milliseconds after the request.
const NOT_PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Delay after a member refused a connection before this VM again opens connections to it beyond
/// its own share.
const LENDING_RESUME_DELAY: Duration = Duration::from_secs(2);

/// Initial time during which a replica that lacked a required position gets only reads whose
/// position it is known to have reached.
const INITIAL_LAG_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The maximum of that time. Each read that finds a replica lagging costs a round trip, and perhaps
/// a connection.
const MAX_LAG_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Initial delay before a member that failed is tried again.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a member gets no statement after one of its connections was lost. When a member
/// terminates, the closes of all its connections arrive within a few milliseconds.
const CONNECTION_LOSS_DELAY: Duration = Duration::from_millis(10);

/// Maximum delay before a member that failed is tried again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// The expected answer time of a member that has not answered yet.
const INITIAL_ANSWER_TIME: Duration = Duration::from_millis(20);

/// The expected time to open a connection to a member that has not accepted one yet.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(20);

/// Each measurement contributes one part in this many to the moving averages of the answer time and
/// of the time to open a connection.
const AVERAGE_WEIGHT_DIVISOR: u32 = 8;

/// A member's entry in the registry, which the member writes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The name under which the member is registered.
    pub id: MemberId,
    /// The group that the member belongs to.
    pub group: GroupId,
    /// The address on which the member accepts connections for statements.
    pub address: SocketAddr,
    /// The data centre that the member runs in.
    pub data_centre: DataCentreId,
    /// How many statements the member runs at once.
    pub slots: u32,
    /// Whether the member has announced that it is leaving.
    pub is_draining: bool,
    /// Whether the member reports that it is the primary.
    pub claims_primary: bool,
    /// How much longer the member is slow after its start.
    pub cold_left: Duration,
    /// The start of the member in milliseconds of Unix time, which distinguishes restarts.
    pub started_unix_ms: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) entry: MemberEntry,
    /// The store revision at which the entry began to claim that the member is the primary; `None`
    /// while it does not claim so.
    pub(crate) claim_revision: Option<StoreRevision>,
    /// The store revision of the entry.
    revision: StoreRevision,
    pub(crate) draining_since: Option<MonoTime>,
    pub(crate) missing_since: Option<MonoTime>,
    pub(crate) last_answer_at: Option<MonoTime>,
    pub(crate) down_since: Option<MonoTime>,
    retry_at: MonoTime,
    may_open_from: MonoTime,
    may_lend_from: MonoTime,
    retry_delay: Duration,
    pub(crate) position: Option<Position>,
    lagging_until: MonoTime,
    lag_retry_delay: Duration,
    not_primary_until: MonoTime,
    /// Since when the member has reported that it is not the primary, without having proved the
    /// opposite in between.
    pub(crate) not_primary_since: Option<MonoTime>,
    answer_time: Duration,
    open_time: Duration,
    /// How many statements and new connections this VM keeps in progress at the member, if that is
    /// fewer than its connections.
    pub(crate) pace: Pace,
    pub(crate) health: Health,
    /// Statements of this VM in progress at the member.
    pub(crate) busy: u32,
    /// Connections of this VM that are open or being opened.
    pub(crate) links: u32,
    /// Which workspaces need connections to the member.
    pub(crate) usage: Usage,
    /// The statements that this VM may send while the member is cold.
    pub(crate) cold: ColdBucket,
}

impl Member {
    pub(crate) fn new(entry: MemberEntry, revision: StoreRevision, now: MonoTime) -> Self {
        let claim_revision = entry.claims_primary.then_some(revision);
        let draining_since = entry.is_draining.then_some(now);
        Self {
            entry,
            claim_revision,
            revision,
            draining_since,
            missing_since: None,
            last_answer_at: None,
            down_since: None,
            retry_at: MonoTime::ZERO,
            may_open_from: MonoTime::ZERO,
            may_lend_from: MonoTime::ZERO,
            retry_delay: INITIAL_RETRY_DELAY,
            position: None,
            lagging_until: MonoTime::ZERO,
            lag_retry_delay: INITIAL_LAG_RETRY_DELAY,
            not_primary_until: MonoTime::ZERO,
            not_primary_since: None,
            answer_time: INITIAL_ANSWER_TIME,
            open_time: INITIAL_OPEN_TIME,
            pace: Pace::beginning(now),
            health: Health::default(),
            busy: 0,
            links: 0,
            usage: Usage::default(),
            cold: ColdBucket::default(),
        }
    }

    /// Applies a new version of the member's entry.
    ///
    /// The first version of an era may be older than what is known, since the store has come back
    /// from a copy. It then ends neither the drain of the member nor its claim to be the primary, and
    /// a claim that it adds ranks as one of the former era.
    pub(crate) fn update(&mut self, entry: MemberEntry, revision: StoreRevision, now: MonoTime) {
        self.missing_since = None;
        let is_former_start = self.has_started_after(&entry, revision);
        let former = std::mem::replace(&mut self.revision, revision);
        if is_former_start {
            return;
        }
        let may_be_older = revision.era > former.era;
        let is_same_start = entry.started_unix_ms == self.entry.started_unix_ms;
        let keeps_former = may_be_older && is_same_start;
        if !is_same_start {
            self.position = None;
            self.retry_at = now;
            self.pace.begin(now);
        }
        self.claim_revision = match (entry.claims_primary, self.claim_revision) {
            (false, since) => since.filter(|_| keeps_former),
            (true, Some(since)) if is_same_start => Some(since),
            (true, _) if keeps_former => Some(StoreRevision::new(former.era, revision.revision)),
            (true, _) => Some(revision),
        };
        self.draining_since = match (entry.is_draining, self.draining_since) {
            (false, since) => since.filter(|_| keeps_former),
            (true, since) => since.or(Some(now)),
        };
        self.entry = entry;
        self.entry.is_draining = self.draining_since.is_some();
    }

    /// Returns whether an entry of a later era, which the store has from a copy, was written before the
    /// latest start of the member.
    pub(crate) fn has_started_after(&self, entry: &MemberEntry, revision: StoreRevision) -> bool {
        revision.era > self.revision.era && entry.started_unix_ms < self.entry.started_unix_ms
    }

    /// Records an answer of the member; returns how long the member was considered down, if it was.
    pub(crate) fn note_answer(
        &mut self,
        now: MonoTime,
        position: Option<Position>,
    ) -> Option<Duration> {
        self.last_answer_at = Some(now);
        self.retry_delay = INITIAL_RETRY_DELAY;
        self.retry_at = now;
        if let Some(position) = position {
            self.position = Some(position);
        }
        let outage = self.down_since.take().map(|since| now.since(since));
        if outage.is_some() {
            self.pace.begin(now);
        }
        outage
    }

    /// Returns how many statements and new connections of this VM may be in progress at the member,
    /// not counting those on borrowed connections.
    pub(crate) fn limit(&self, budget: u32) -> u32 {
        let within = |count: &u32| f64::from(*count) <= self.pace.settled_limit();
        (1..=budget).rev().find(within).unwrap_or(1)
    }

    /// Records how long the member took to answer a statement.
    pub(crate) fn answered_in(&mut self, taken: Duration) {
        self.pace.answered();
        self.answer_time =
            (self.answer_time * (AVERAGE_WEIGHT_DIVISOR - 1) + taken) / AVERAGE_WEIGHT_DIVISOR;
    }

    /// Records how long the member took to open a connection.
    pub(crate) fn opened_in(&mut self, taken: Duration) {
        self.open_time =
            (self.open_time * (AVERAGE_WEIGHT_DIVISOR - 1) + taken) / AVERAGE_WEIGHT_DIVISOR;
    }

    /// Returns the average time to an answer.
    pub(crate) fn average_answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Returns the average time to open a connection, which occupies a slot of the member for that
    /// time.
    pub(crate) fn average_open_time(&self) -> Duration {
        self.open_time
    }

    /// Records a failed attempt to reach the member; returns whether the member was considered up
    /// until now.
    pub(crate) fn failed(&mut self, now: MonoTime) -> bool {
        self.retry_at = now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        let is_first = self.down_since.is_none();
        self.down_since.get_or_insert(now);
        is_first
    }

    /// Records that a connection was lost while others are open. Nothing is sent until it is clear
    /// whether the others close as well.
    pub(crate) fn lost_connection(&mut self, now: MonoTime) {
        self.retry_at = self.retry_at.max(now + CONNECTION_LOSS_DELAY);
    }

    /// Records that the member refused a connection. Open connections are not affected.
    pub(crate) fn refused_connection(&mut self, now: MonoTime) {
        self.may_open_from = now + INITIAL_RETRY_DELAY;
        self.may_lend_from = now + LENDING_RESUME_DELAY;
    }

    /// Returns whether the member may be asked for another connection.
    pub(crate) fn may_open(&self, now: MonoTime) -> bool {
        self.may_open_from <= now
    }

    /// Returns whether the member has not refused a connection lately, so that this VM may open
    /// connections beyond its own share.
    pub(crate) fn may_lend(&self, now: MonoTime) -> bool {
        self.may_lend_from <= now
    }

    /// Records that the member's log lacked a required position.
    pub(crate) fn lagged(&mut self, now: MonoTime) {
        // Answers to reads that were in progress at the same time count once.
        if now >= self.lagging_until {
            self.lagging_until = now + self.lag_retry_delay;
            self.lag_retry_delay = (self.lag_retry_delay * 2).min(MAX_LAG_RETRY_DELAY);
        }
    }

    /// Records that the member's log had the position that a read required.
    pub(crate) fn kept_up(&mut self) {
        self.lag_retry_delay = INITIAL_LAG_RETRY_DELAY;
    }

    /// Records that the member reported that it is not the primary.
    pub(crate) fn note_not_primary(&mut self, now: MonoTime) {
        self.not_primary_until = now + NOT_PRIMARY_RETRY_DELAY;
        self.not_primary_since.get_or_insert(now);
    }

    /// Returns whether the member reported within the last `NOT_PRIMARY_RETRY_DELAY` that it is not
    /// the primary.
    pub(crate) fn is_known_not_primary(&self, now: MonoTime) -> bool {
        self.not_primary_until > now
    }

    /// Returns whether statements and connection attempts to the member have to wait.
    pub(crate) fn is_paused(&self, now: MonoTime) -> bool {
        self.retry_at > now
    }

    pub(crate) fn is_gone(&self, now: MonoTime) -> bool {
        self.missing_since.is_some_and(|since| {
            now.since(since) >= MISSING_ENTRY_TIMEOUT
                || self
                    .last_answer_at
                    .is_none_or(|answered_at| answered_at < since)
        })
    }

    /// Returns whether a read that requires the position `required` may be sent to the member.
    pub(crate) fn may_have_position(&self, now: MonoTime, required: Position) -> bool {
        self.position.is_some_and(|position| position >= required) || self.lagging_until <= now
    }

    /// Returns the expected time to an answer for one more statement, which grows with the number
    /// of statements in progress.
    pub(crate) fn expected_answer_time(&self) -> Duration {
        self.answer_time * (self.busy + 1)
    }
}
