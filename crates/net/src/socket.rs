//! A non-blocking TCP stream with an output buffer that is given back when it is empty.

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

/// Bytes read at once; the buffer is on the stack, so that idle connections hold none.
const READ_BYTES: usize = 16 * 1024;

/// Reads that one connection may do before the others get their turn.
pub const READS_A_TURN: usize = 8;

const PRIORITY: u32 = 10;

/// Idle time before the first keep-alive probe. With the interval and the number of probes, a
/// silent connection ends after 2.5 to 3 s, within the time in which a change of the configuration
/// has to be in force.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer that end the connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Time in milliseconds that written data may stay unconfirmed.
const USER_TIMEOUT_MS: u32 = 2_500;

/// What a read has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes have arrived and more may be there.
    Data,
    /// The last bytes that were there have arrived; readiness is reported for further ones.
    LastData,
    /// Nothing is there; readiness is reported.
    WouldBlock,
    /// The other side has ended the connection.
    Closed,
}

impl ReadOutcome {
    /// Returns whether nothing is left to read until readiness is reported again.
    ///
    /// `is_read_closed` tells that the other side's close was reported together with the bytes; it
    /// is not reported again, so a further read has to find it.
    pub fn is_drained(self, is_read_closed: bool) -> bool {
        self == Self::LastData && !is_read_closed
    }
}

/// A stream that is registered with the event loop.
pub struct Socket {
    source: MioSource<TcpStream>,
    /// Bytes that wait to be written.
    pub out: BytesMut,
}

impl Socket {
    /// Registers a stream; `ready` is called when it can be read or written.
    pub fn register(core: &mut Core, stream: TcpStream, ready: Fwd<Ready>) -> io::Result<Self> {
        let poll = core.anymap_get::<MioPoll>();
        let interest = Interest::READABLE | Interest::WRITABLE;
        Ok(Self {
            source: poll.add(stream, interest, PRIORITY, ready)?,
            out: BytesMut::new(),
        })
    }

    /// Completes a non-blocking connect; returns false while it is still in progress.
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

    /// Writes what the socket takes and returns the number of bytes written.
    pub fn flush(&mut self) -> io::Result<usize> {
        let mut written = 0;
        while !self.out.is_empty() {
            match self.source.write(&self.out) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    written += count;
                    self.out.advance(count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(written),
                Err(error) => return Err(error),
            }
        }
        self.out = BytesMut::new();
        Ok(written)
    }

    /// Reads once and passes what arrived to `take`.
    ///
    /// A short read has emptied the socket, which saves the system call that would say so. A
    /// close that was reported together with the bytes needs a further read all the same.
    pub fn read(&mut self, take: impl FnOnce(&[u8])) -> io::Result<ReadOutcome> {
        let mut buffer = [0; READ_BYTES];
        loop {
            return match self.source.read(&mut buffer) {
                Ok(0) => Ok(ReadOutcome::Closed),
                Ok(count) => {
                    take(buffer.get(..count).unwrap_or_default());
                    Ok(if count < READ_BYTES {
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

    /// Tells the other side that nothing more will be written.
    pub fn shut_down_writes(&mut self) {
        // Fails only when the connection is gone already.
        let _ = self.source.shutdown(std::net::Shutdown::Write);
    }

    /// Lets the system end the connection when the other side has gone silent, also in the middle
    /// of a transfer.
    ///
    /// # Errors
    ///
    /// Returns an error when the system refuses the options.
    pub fn detect_silence(&mut self) -> io::Result<()> {
        let socket = self.source.as_fd();
        sockopt::set_socket_keepalive(socket, true)?;
        sockopt::set_tcp_keepidle(socket, KEEPALIVE_IDLE)?;
        sockopt::set_tcp_keepintvl(socket, KEEPALIVE_INTERVAL)?;
        sockopt::set_tcp_keepcnt(socket, KEEPALIVE_PROBES)?;
        sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS)?;
        Ok(())
    }

    /// Sends small messages at once.
    pub fn set_nodelay(&mut self) {
        // Without it statements are only slower.
        let _ = self.source.set_nodelay(true);
    }
}
