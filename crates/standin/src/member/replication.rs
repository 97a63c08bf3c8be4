//! Replication: a replica fetches log entries from the primary with control commands, on the port
//! that the primary also uses for statements.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_frame::rows;
use lycheedoor_target::TargetAnswer;
use lycheedoor_target::TargetCodec;
use lycheedoor_target::TargetOutput;
use lycheedoor_target::TargetRole;

use crate::member::data::Entry;
use crate::member::data::ReplicatedData;
use crate::member::state::Member;
use crate::member::state::State;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Fetches from whichever peer is primary, while the member is a replica.
pub(crate) fn fetch_loop(member: &Member) {
    while !member.is_stopped() {
        if member.lock().role == MemberRole::Primary {
            let state = member.lock();
            drop(member.wait(state, RETRY_INTERVAL));
            continue;
        }
        for (_, address) in &member.options.peers {
            // After any failure, including "not primary", the next peer is tried.
            let _ = follow_primary(member, *address);
        }
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Makes received entries visible to reads after the configured delay.
pub(crate) fn apply_loop(member: &Member) {
    let delay = member.options.apply_delay;
    let mut state = member.lock();
    while !state.stopped {
        let now = Instant::now();
        let due = |at: &Instant| *at + delay <= now;
        let mut length = state.applied_length;
        while state.received_at.get(length).is_some_and(due) {
            length += 1;
        }
        if length > state.applied_length {
            state.apply_up_to(length);
            member.notify();
        }
        let left = state
            .received_at
            .get(state.applied_length)
            .map(|at| (*at + delay).saturating_duration_since(now));
        state = member.wait(state, left.unwrap_or(Duration::from_millis(100)));
    }
}

fn follow_primary(member: &Member, address: SocketAddr) -> io::Result<()> {
    let mut connection = ControlConnection::open(address, &member.options.group)?;
    while !member.is_stopped() && member.lock().role == MemberRole::Replica {
        let from = member.lock().received_position();
        let answer = connection.command(&format!("LYCHEEDOOR FETCH {from}"))?;
        if answer.failed {
            return Err(io::ErrorKind::InvalidData.into());
        }
        store_entries(member, &answer.frames)?;
        thread::sleep(member.options.fetch_delay);
    }
    Ok(())
}

/// Appends fetched entries to the log, unless they come from a primary of an older term.
fn store_entries(member: &Member, frames: &[u8]) -> io::Result<()> {
    let mut rows = rows(frames).into_iter();
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let header = rows.next().ok_or_else(malformed)?;
    let number = |index: usize| header.get(index)?.as_deref()?.parse::<u64>().ok();
    let term = Term(number(0).ok_or_else(malformed)?);
    let common_length =
        usize::try_from(number(1).ok_or_else(malformed)?).map_err(|_| malformed())?;
    let entries = rows
        .map(|row| {
            let text = row.into_iter().next().flatten().ok_or_else(malformed)?;
            serde_json::from_str(&text).map_err(|_| malformed())
        })
        .collect::<io::Result<Vec<Entry>>>()?;
    let mut state = member.lock();
    if term < state.term || state.role == MemberRole::Primary || common_length > state.log.len() {
        return Err(malformed());
    }
    state.term = term;
    replace_log_after(&mut state, common_length, entries);
    drop(state);
    member.notify();
    Ok(())
}

/// Replaces the log after its first `common_length` entries; rebuilds the data if this discards
/// entries that were visible.
fn replace_log_after(state: &mut State, common_length: usize, entries: Vec<Entry>) {
    if common_length < state.log.len() {
        state.log.truncate(common_length);
        state.received_at.truncate(common_length);
    }
    let now = Instant::now();
    state
        .received_at
        .extend(std::iter::repeat_n(now, entries.len()));
    state.log.extend(entries);
    if state.applied_length > common_length {
        let visible = state.applied_length;
        state.applied_length = 0;
        state.data = ReplicatedData::default();
        state.apply_up_to(visible);
    }
}

/// A blocking connection for control commands.
struct ControlConnection {
    stream: TcpStream,
    codec: TargetCodec,
}

impl ControlConnection {
    fn open(address: SocketAddr, group: &str) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.set_nodelay(true)?;
        let mut out = BytesMut::new();
        let codec = TargetCodec::open(&mut out, TargetRole::Control, group);
        let mut connection = Self { stream, codec };
        connection.stream.write_all(&out)?;
        connection.read_output()?;
        Ok(connection)
    }

    fn command(&mut self, text: &str) -> io::Result<TargetAnswer> {
        let mut out = BytesMut::new();
        self.codec.send_command(&mut out, text);
        self.stream.write_all(&out)?;
        match self.read_output()? {
            TargetOutput::Answered(answer) => Ok(answer),
            TargetOutput::Opened => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    fn read_output(&mut self) -> io::Result<TargetOutput> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let mut out = BytesMut::new();
            let output = self
                .codec
                .next_output(&mut out)
                .map_err(|error| io::Error::other(error.to_string()))?;
            if let Some(output) = output {
                return Ok(output);
            }
            let count = self.stream.read(&mut buffer)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.codec.extend(buffer.get(..count).unwrap_or_default());
        }
    }
}
