//! Decides which connections of clients are closed when a process reaches a limit; does no I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lycheedoor_core::types::MonoTime;

/// Descriptors that are not available for sockets.
const FILE_DESCRIPTORS: usize = 200;

/// Part of the sockets that is kept for connections to members and other VMs that are opened while
/// callers hold all the rest.
const RESERVED_SOCKETS_DIVISOR: usize = 8;

/// Part of the process's memory that may be held for clients. Each byte is copied several times
/// while it is decoded and passed on, and the state of the process itself needs the rest.
const HELD_MEMORY_DIVISOR: u64 = 4;

/// Time in which a new client is not closed for another one before it has opened a session. Clients
/// of the users' platform wait this long for a session.
const NEWCOMER_TIME: Duration = Duration::from_secs(2);

/// Part of the clients that may be newcomers without a session before they make room for each other.
/// A crowd that only connects would otherwise take the place of all idle sessions.
const MAX_NEWCOMERS_DIVISOR: usize = 8;

/// The limits on what clients may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Sockets that the process may have open, all purposes together.
    pub max_sockets: usize,
    /// Bytes that may be held for all clients together.
    pub max_held_bytes: usize,
    /// Statements that a client may send ahead of the one in progress; reading then pauses.
    pub max_statements_ahead: usize,
    /// Bytes of statements in progress or unsent output above which reading from a client pauses.
    pub max_unanswered_bytes: usize,
    /// Time for a client to open its session.
    pub start_timeout: Duration,
    /// Time for a message to arrive in full after its first byte.
    pub message_timeout: Duration,
    /// Time for a client to read all its output.
    pub output_timeout: Duration,
}

impl ClientLimits {
    /// Returns the limits for a process with this much memory and so many descriptors.
    pub fn for_process(memory_bytes: u64, max_descriptors: usize) -> Self {
        let held_bytes = usize::try_from(memory_bytes / HELD_MEMORY_DIVISOR);
        Self {
            max_sockets: max_descriptors.saturating_sub(FILE_DESCRIPTORS),
            max_held_bytes: held_bytes.unwrap_or(usize::MAX),
            max_statements_ahead: 16,
            max_unanswered_bytes: 256 * 1024,
            start_timeout: Duration::from_secs(30),
            message_timeout: Duration::from_secs(30),
            output_timeout: Duration::from_secs(30),
        }
    }

    /// Returns how many clients may be connected beside `other_sockets` of the process.
    pub fn max_clients(&self, other_sockets: usize) -> usize {
        let taken_sockets = self.reserved_sockets() + other_sockets;
        self.max_sockets.saturating_sub(taken_sockets)
    }

    /// Returns how many sockets are never used for clients.
    pub fn reserved_sockets(&self) -> usize {
        self.max_sockets / RESERVED_SOCKETS_DIVISOR
    }
}

/// The limit because of which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// The process has no socket for another client.
    Connections,
    /// The process holds too many bytes for clients, and this one holds the most.
    HeldBytes,
    /// The client has not opened a session.
    StartTimeout,
    /// The client has not completed a message.
    MessageTimeout,
    /// The client does not read its output.
    OutputTimeout,
}

impl ExceededLimit {
    /// Returns the name that is used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::HeldBytes => "held_bytes",
            Self::StartTimeout => "start_timeout",
            Self::MessageTimeout => "message_timeout",
            Self::OutputTimeout => "output_timeout",
        }
    }
}

/// What a client holds at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientUsage {
    /// Whether the client has opened a session.
    pub has_session: bool,
    /// Whether a request or transaction of the client is in progress.
    pub is_busy: bool,
    /// Whether a message has begun and is not complete although the process reads.
    pub has_partial_message: bool,
    /// Whether output waits for the client to read.
    pub has_unsent_output: bool,
    /// All bytes that the process holds for the client.
    pub held_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Client {
    usage: ClientUsage,
    connected_at: MonoTime,
    used_at: MonoTime,
    partial_since: Option<MonoTime>,
    unsent_since: Option<MonoTime>,
}

/// What all clients of a process hold.
#[derive(Debug)]
pub struct ClientLedger {
    limits: ClientLimits,
    clients: BTreeMap<u64, Client>,
    without_session: BTreeSet<u64>,
    held_bytes: usize,
}

impl ClientLedger {
    /// Creates a ledger without clients.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            clients: BTreeMap::new(),
            without_session: BTreeSet::new(),
            held_bytes: 0,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the number of clients.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Returns the bytes that are held for all clients.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the bytes that are held for a client.
    pub fn held_bytes_of(&self, number: u64) -> usize {
        let client = self.clients.get(&number);
        client.map_or(0, |client| client.usage.held_bytes)
    }

    /// Adds a client. Numbers increase, so that a lower one is an older connection.
    pub fn add(&mut self, number: u64, now: MonoTime) {
        let client = Client {
            usage: ClientUsage::default(),
            connected_at: now,
            used_at: now,
            partial_since: None,
            unsent_since: None,
        };
        self.clients.insert(number, client);
        self.without_session.insert(number);
    }

    /// Removes a client and what it held.
    pub fn remove(&mut self, number: u64) {
        if let Some(client) = self.clients.remove(&number) {
            self.held_bytes -= client.usage.held_bytes;
            self.without_session.remove(&number);
        }
    }

    /// Records what a client holds now.
    pub fn update(&mut self, number: u64, usage: ClientUsage, now: MonoTime) {
        let Some(client) = self.clients.get_mut(&number) else {
            return;
        };
        self.held_bytes = self.held_bytes - client.usage.held_bytes + usage.held_bytes;
        if usage.has_session {
            self.without_session.remove(&number);
        }
        let since = |flag: bool, since: Option<MonoTime>| flag.then(|| since.unwrap_or(now));
        client.partial_since = since(usage.has_partial_message, client.partial_since);
        client.unsent_since = since(usage.has_unsent_output, client.unsent_since);
        client.used_at = now;
        client.usage = usage;
    }

    /// Records that a message of a client was complete, so that the next one has its full time.
    pub fn message_completed(&mut self, number: u64) {
        if let Some(client) = self.clients.get_mut(&number) {
            client.partial_since = None;
        }
    }

    /// Returns whether there is room for another client beside `other_sockets` of the process.
    pub fn has_room(&self, other_sockets: usize) -> bool {
        self.clients.len() < self.limits.max_clients(other_sockets)
    }

    /// Returns the client that is closed to make room, in this order: the oldest one without a
    /// session, if it had time to open one or if there are many of them; the session that has been
    /// idle for longest; the oldest one without a session. A client with a request or transaction in
    /// progress is not closed for another.
    pub fn least_needed(&self, now: MonoTime) -> Option<u64> {
        let without_session = self.without_session.first().copied();
        let is_late = |number: &u64| {
            let client = self.clients.get(number);
            client.is_some_and(|client| now.since(client.connected_at) > NEWCOMER_TIME)
        };
        let max_newcomers = self.clients.len() / MAX_NEWCOMERS_DIVISOR;
        if self.without_session.len() > max_newcomers
            || without_session.as_ref().is_some_and(is_late)
        {
            return without_session;
        }
        let is_idle = |client: &Client| client.usage.has_session && !client.usage.is_busy;
        let idle = self.clients.iter().filter(|(_, client)| is_idle(client));
        let oldest = idle.min_by_key(|(_, client)| client.used_at);
        oldest.map(|(number, _)| *number).or(without_session)
    }

    /// Returns the client that holds the most if all of them together hold too much.
    pub fn over_budget(&self) -> Option<u64> {
        if self.held_bytes <= self.limits.max_held_bytes {
            return None;
        }
        let largest = self.clients.iter().max_by_key(|(_, c)| c.usage.held_bytes);
        largest.map(|(number, _)| *number)
    }

    /// Returns the clients that have exceeded a time limit.
    pub fn overdue(&self, now: MonoTime) -> Vec<(u64, ExceededLimit)> {
        let limits = &self.limits;
        let exceeds = |since: Option<MonoTime>, limit| since.is_some_and(|s| now.since(s) > limit);
        let overdue = self.clients.iter().filter_map(|(number, client)| {
            let connected_at = Some(client.connected_at).filter(|_| !client.usage.has_session);
            let limit = if exceeds(client.unsent_since, limits.output_timeout) {
                ExceededLimit::OutputTimeout
            } else if exceeds(client.partial_since, limits.message_timeout) {
                ExceededLimit::MessageTimeout
            } else if exceeds(connected_at, limits.start_timeout) {
                ExceededLimit::StartTimeout
            } else {
                return None;
            };
            Some((*number, limit))
        });
        overdue.collect()
    }
}
