//! A non-blocking TCP stream with an output buffer that is freed when it is empty.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::os::fd::AsFd;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use rustix::net::sockopt;
use stakker::Core;
use stakker::Fwd;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;

/// Size of the read buffer, which is on the stack so that idle connections hold no buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of reads from one connection per iteration of the event loop, so that a busy
/// connection does not starve the others.
pub const MAX_READS_PER_TURN: usize = 8;

const POLL_PRIORITY: u32 = 10;

/// Idle time before the first keep-alive probe. Together with the probe interval, the number of
/// probes and the user timeout, it makes the kernel close an unresponsive connection after 2.5 to
/// 3 s, within the time in which a configuration change has to take effect.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);

/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the kernel closes the connection.
const MAX_UNANSWERED_KEEPALIVE_PROBES: u32 = 2;

/// Time that written data may stay unacknowledged before the kernel closes the connection, in
/// milliseconds.
const TCP_USER_TIMEOUT_MS: u32 = 2_500;

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes were read and more may be available.
    Data,
    /// All available bytes were read. The event loop reports readiness when further ones arrive.
    LastData,
    /// No bytes are available. The event loop reports readiness when some arrive.
    WouldBlock,
    /// The peer has closed its side of the connection.
    Closed,
}

impl ReadOutcome {
    /// Returns whether there is nothing left to read until readiness is reported again.
    ///
    /// `is_read_closed` says that the peer's close was reported together with the bytes. It is not
    /// reported again, so another read is needed to detect it.
    pub fn is_drained(self, is_read_closed: bool) -> bool {
        self == Self::LastData && !is_read_closed
    }
}

/// A stream that is registered with the event loop.
pub struct Socket {
    source: MioSource<TcpStream>,
    /// Bytes that have not been written yet; [`flush`](Self::flush) writes them.
    pub pending_output: BytesMut,
}

impl Socket {
    /// Registers a stream with the event loop, which calls `ready` when it is readable or writable.
    ///
    /// # Errors
    ///
    /// Returns an error when the event loop cannot register the stream.
    pub fn register(core: &mut Core, stream: TcpStream, ready: Fwd<Ready>) -> io::Result<Self> {
        let poll = core.anymap_get::<MioPoll>();
        let interest = Interest::READABLE | Interest::WRITABLE;
        Ok(Self {
            source: poll.add(stream, interest, POLL_PRIORITY, ready)?,
            pending_output: BytesMut::new(),
        })
    }

    /// Checks a non-blocking connect. Returns true once it is complete and false while it is in
    /// progress.
    ///
    /// # Errors
    ///
    /// Returns an error when the connect has failed.
    pub fn finish_connect(&mut self) -> io::Result<bool> {
        if let Some(error) = self.source.take_error()? {
            return Err(error);
        }
        match self.source.peer_addr() {
            Ok(_) => {
                self.source.set_nodelay(true)?;
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Writes as much of the output buffer as the socket accepts, and returns the number of bytes
    /// written.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection can no longer be written to.
    pub fn flush(&mut self) -> io::Result<usize> {
        let mut written = 0;
        while !self.pending_output.is_empty() {
            match self.source.write(&self.pending_output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    written += count;
                    self.pending_output.advance(count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if written > self.pending_output.len() {
                        // The rest would keep the memory of what was written.
                        self.pending_output = BytesMut::from(self.pending_output.as_ref());
                    }
                    return Ok(written);
                }
                Err(error) => return Err(error),
            }
        }
        self.pending_output = BytesMut::new();
        Ok(written)
    }

    /// Reads once and passes the bytes to `consume`.
    ///
    /// A read that does not fill the buffer has emptied the socket, which saves the system call
    /// that would return `WouldBlock`. A close that was reported together with the bytes still
    /// needs another read.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection can no longer be read from.
    pub fn read(&mut self, consume: impl FnOnce(&[u8])) -> io::Result<ReadOutcome> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            return match self.source.read(&mut buffer) {
                Ok(0) => Ok(ReadOutcome::Closed),
                Ok(count) => {
                    consume(buffer.get(..count).unwrap_or_default());
                    Ok(if count < READ_BUFFER_BYTES {
                        ReadOutcome::LastData
                    } else {
                        ReadOutcome::Data
                    })
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(ReadOutcome::WouldBlock),
                Err(error) => Err(error),
            };
        }
    }

    /// Shuts down the writing side of the connection.
    pub fn shut_down_writes(&mut self) {
        // Fails only when the connection is already closed.
        let _ = self.source.shutdown(std::net::Shutdown::Write);
    }

    /// Makes the kernel close the connection when the peer stops responding, also while written
    /// data is unacknowledged.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket option cannot be set.
    pub fn enable_keepalive(&mut self) -> io::Result<()> {
        let socket = self.source.as_fd();
        sockopt::set_socket_keepalive(socket, true)?;
        sockopt::set_tcp_keepidle(socket, KEEPALIVE_IDLE_TIME)?;
        sockopt::set_tcp_keepintvl(socket, KEEPALIVE_INTERVAL)?;
        sockopt::set_tcp_keepcnt(socket, MAX_UNANSWERED_KEEPALIVE_PROBES)?;
        sockopt::set_tcp_user_timeout(socket, TCP_USER_TIMEOUT_MS)?;
        Ok(())
    }

    /// Disables Nagle's algorithm, so that small messages are sent without delay.
    pub fn set_nodelay(&mut self) {
        // On failure, statements are only slower.
        let _ = self.source.set_nodelay(true);
    }
}
