//! A stand-in database member: the PostgreSQL v3 protocol over a small replicated data model.
//!
//! The model supports gap-free sequences, keys with values, transactions, and idempotency keys that
//! are stored with the write, so that tests can check consistency as a database client sees it.
//! Each connection has its own thread.

mod command;
mod control;
mod data;
mod protocol;
mod replication;
mod session;
mod sql;
mod state;

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub use command::command;
pub use command::run;

use crate::member::state::Member;

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// The member's name, which the SQL function `member()` returns.
    pub name: String,
    /// The group that the member belongs to.
    pub group: String,
    /// The names and addresses of the other members of the group.
    pub peers: Vec<(String, SocketAddr)>,
    /// The name of the member that is primary at the start.
    pub primary: String,
    /// The term at the start.
    pub term: u64,
    /// How long after its receipt an entry becomes visible to reads on a replica.
    pub apply_delay: Duration,
    /// How long a replica waits after each fetch before the next one.
    pub fetch_delay: Duration,
}

/// A running member; its threads run until `stop` is called.
#[derive(Debug)]
pub struct RunningMember {
    address: SocketAddr,
    member: Arc<Member>,
}

impl RunningMember {
    /// Returns the address on which the member accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the member: closes its listener and all connections immediately.
    pub fn stop(&self) {
        self.member.stop();
        // Unblocks the accept loop, which then sees that the member is stopped.
        let _ = TcpStream::connect(self.address);
    }

    /// Returns whether the member has recently received these bytes on any connection.
    pub fn has_received_bytes(&self, needle: &[u8]) -> bool {
        self.member.has_received_bytes(needle)
    }
}

/// Starts a member on a bound listener.
///
/// # Errors
///
/// Returns an error if the address of the listener cannot be read or a thread cannot be started.
pub fn start(listener: TcpListener, options: MemberOptions) -> io::Result<RunningMember> {
    let address = listener.local_addr()?;
    let member = Arc::new(Member::new(options));
    for run_loop in [replication::fetch_loop, replication::apply_loop] {
        let member = Arc::clone(&member);
        thread::Builder::new().spawn(move || run_loop(&member))?;
    }
    let accepting_member = Arc::clone(&member);
    thread::Builder::new().spawn(move || accept_loop(&listener, &accepting_member))?;
    Ok(RunningMember { address, member })
}

fn accept_loop(listener: &TcpListener, member: &Arc<Member>) {
    for stream in listener.incoming() {
        if member.is_stopped() {
            return;
        }
        let Ok(stream) = stream else { continue };
        let connection_id = match stream.try_clone() {
            Ok(clone) => member.register(clone),
            Err(_) => continue,
        };
        let session_member = Arc::clone(member);
        let spawned = thread::Builder::new().spawn(move || {
            let _ = stream.set_nodelay(true);
            protocol::serve(&stream, connection_id, &session_member);
            session_member.unregister(connection_id);
            let _ = stream.shutdown(Shutdown::Both);
        });
        if spawned.is_err() {
            member.unregister(connection_id);
        }
    }
}
