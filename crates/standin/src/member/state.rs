//! The state that the threads of a member share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::MemberState;

use crate::member::MemberOptions;
use crate::member::data::Entry;
use crate::member::data::Operation;
use crate::member::data::ReplicatedData;
use crate::member::data::position_of;
use crate::member::sql::SqlError;

/// How many received bytes are kept for searches; older ones are discarded.
const MAX_RECORDED_BYTES: usize = 8 * 1024 * 1024;

/// How long a write waits for another transaction to release the write lock.
const WRITE_LOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// A member with its options; all threads of the member share it.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) options: MemberOptions,
    state: Mutex<State>,
    changed: Condvar,
}

/// The state behind the lock of a [`Member`].
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) role: MemberRole,
    pub(crate) term: Term,
    pub(crate) log: Vec<Entry>,
    pub(crate) received_at: Vec<Instant>,
    pub(crate) applied_length: usize,
    pub(crate) data: ReplicatedData,
    pub(crate) stopped: bool,
    write_lock_holder: Option<u64>,
    cancelled: BTreeSet<u64>,
    connections: BTreeMap<u64, TcpStream>,
    last_connection_id: u64,
    recorded_bytes: Vec<u8>,
}

impl Member {
    pub(crate) fn new(options: MemberOptions) -> Self {
        let role = match options.name == options.primary {
            true => MemberRole::Primary,
            false => MemberRole::Replica,
        };
        let state = State {
            role,
            term: Term(options.term),
            log: Vec::new(),
            received_at: Vec::new(),
            applied_length: 0,
            data: ReplicatedData::default(),
            stopped: false,
            write_lock_holder: None,
            cancelled: BTreeSet::new(),
            connections: BTreeMap::new(),
            last_connection_id: 0,
            recorded_bytes: Vec::new(),
        };
        Self {
            options,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn notify(&self) {
        self.changed.notify_all();
    }

    /// Waits for a notification, at most for `time`.
    pub(crate) fn wait<'a>(
        &self,
        state: MutexGuard<'a, State>,
        time: Duration,
    ) -> MutexGuard<'a, State> {
        match self.changed.wait_timeout(state, time) {
            Ok((state, _)) => state,
            Err(poisoned) => poisoned.into_inner().0,
        }
    }

    /// Waits until `ready` returns a value, at most for `timeout`; returns `None` after that or
    /// when the member stops.
    pub(crate) fn wait_for<T>(
        &self,
        timeout: Duration,
        mut ready: impl FnMut(&mut State) -> Option<T>,
    ) -> Option<T> {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            if let Some(value) = ready(&mut state) {
                return Some(value);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || state.stopped {
                return None;
            }
            state = self.wait(state, left);
        }
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.lock().stopped
    }

    pub(crate) fn stop(&self) {
        let mut state = self.lock();
        state.stopped = true;
        for stream in state.connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.notify();
    }

    pub(crate) fn register(&self, stream: TcpStream) -> u64 {
        let mut state = self.lock();
        state.last_connection_id += 1;
        let connection_id = state.last_connection_id;
        state.connections.insert(connection_id, stream);
        connection_id
    }

    pub(crate) fn unregister(&self, connection_id: u64) {
        self.lock().connections.remove(&connection_id);
    }

    /// Cancels the statement that a connection is executing.
    pub(crate) fn cancel(&self, connection_id: u64) {
        self.lock().cancelled.insert(connection_id);
        self.notify();
    }

    /// Sleeps for `time`.
    ///
    /// # Errors
    ///
    /// Returns an error if the statement is cancelled meanwhile.
    pub(crate) fn sleep(&self, connection_id: u64, time: Duration) -> Result<(), SqlError> {
        let cancelled = self.wait_for(time, |state| {
            state.cancelled.remove(&connection_id).then_some(())
        });
        match cancelled {
            Some(()) => Err(SqlError::new("57014", "statement was cancelled")),
            None => Ok(()),
        }
    }

    pub(crate) fn record_received_bytes(&self, bytes: &[u8]) {
        let mut state = self.lock();
        // Discards half at once: moving the remaining bytes for each message would dominate the run
        // time.
        if state.recorded_bytes.len() + bytes.len() > MAX_RECORDED_BYTES {
            let half = state.recorded_bytes.len() / 2;
            state.recorded_bytes.drain(..half);
        }
        state.recorded_bytes.extend_from_slice(bytes);
    }

    pub(crate) fn has_received_bytes(&self, needle: &[u8]) -> bool {
        let state = self.lock();
        !needle.is_empty()
            && state
                .recorded_bytes
                .windows(needle.len())
                .any(|window| window == needle)
    }

    /// Acquires the write lock for a connection and returns the term of the write.
    pub(crate) fn begin_write(&self, connection_id: u64) -> Result<Term, SqlError> {
        self.wait_for(WRITE_LOCK_TIMEOUT, |state| {
            if let Err(error) = state.check_primary() {
                return Some(Err(error));
            }
            if state
                .write_lock_holder
                .is_some_and(|write_lock_holder| write_lock_holder != connection_id)
            {
                return None;
            }
            state.write_lock_holder = Some(connection_id);
            Some(Ok(state.term))
        })
        .unwrap_or_else(|| Err(SqlError::new("55P03", "write lock is not available")))
    }

    /// Appends the operations of a write to the log and releases the write lock.
    pub(crate) fn commit_write(
        &self,
        connection_id: u64,
        term: Term,
        operations: Vec<Operation>,
    ) -> Result<Position, SqlError> {
        let mut state = self.lock();
        let result = state.append_entry(term, operations);
        state.release_write_lock(connection_id);
        drop(state);
        self.notify();
        result
    }

    /// Releases the write lock without a write.
    pub(crate) fn abort_write(&self, connection_id: u64) {
        self.lock().release_write_lock(connection_id);
        self.notify();
    }
}

impl State {
    /// Returns the position up to which the member has received the log.
    pub(crate) fn received_position(&self) -> Position {
        position_of(&self.log, self.log.len())
    }

    /// Returns the position up to which the log is applied, and so visible to reads.
    pub(crate) fn applied_position(&self) -> Position {
        position_of(&self.log, self.applied_length)
    }

    pub(crate) fn member_state(&self) -> MemberState {
        MemberState {
            role: self.role,
            term: self.term,
            received: self.received_position(),
            applied: self.applied_position(),
        }
    }

    pub(crate) fn apply_up_to(&mut self, length: usize) {
        let length = length.min(self.log.len());
        for entry in self
            .log
            .get(self.applied_length..length)
            .unwrap_or_default()
        {
            for operation in &entry.operations {
                self.data.apply(operation);
            }
        }
        self.applied_length = self.applied_length.max(length);
    }

    fn check_primary(&self) -> Result<(), SqlError> {
        match self.role {
            MemberRole::Primary => Ok(()),
            MemberRole::Replica => Err(SqlError::new(
                "25006",
                "cannot write on a member that is not primary",
            )),
        }
    }

    fn append_entry(
        &mut self,
        term: Term,
        operations: Vec<Operation>,
    ) -> Result<Position, SqlError> {
        self.check_primary()?;
        if self.term != term {
            return Err(SqlError::new("25006", "term has changed since the write"));
        }
        if !operations.is_empty() {
            self.log.push(Entry { term, operations });
            self.received_at.push(Instant::now());
            self.apply_up_to(self.log.len());
        }
        Ok(self.received_position())
    }

    fn release_write_lock(&mut self, connection_id: u64) {
        if self.write_lock_holder == Some(connection_id) {
            self.write_lock_holder = None;
        }
    }
}
