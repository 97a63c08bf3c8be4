//! The event loop of the process.

use std::io;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::time::Duration;
use std::time::Instant;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::pipe;
use stakker::Fwd;
use stakker::Stakker;
use stakker::actor;
use stakker::call;
use stakker::fwd_to;
use stakker::ret_shutdown;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Events;
use stakker_mio::mio::Interest;
use stakker_mio::mio::Poll;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::net::UnixStream;

use crate::control::ControlLinks;
use crate::control::Identity;
use crate::control::PlatformEndpoint;
use crate::decision_logic::DecisionLogic;
use crate::vm::VmActor;
use lycheedoor_net::BootClock;
use lycheedoor_net::Listener;

/// The largest number of events that one poll reports.
const MAX_EVENTS_PER_POLL: usize = 1024;

/// The longest time that the event loop waits for I/O when no timer is set.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_PRIORITY: u32 = 10;

/// The listening sockets of a VM, bound before the event loop starts.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts connections of callers.
    pub callers: TcpListener,
    /// Accepts connections of other VMs.
    pub peers: TcpListener,
    /// Accepts HTTP connections of operators.
    pub operators: TcpListener,
}

/// Everything that the process needs besides its decision logic.
pub struct Setup {
    /// The listening sockets, already bound.
    pub listeners: Listeners,
    /// The name and incarnation that this VM sends to other VMs.
    pub identity: Identity,
    /// The platform's address and encoding; when `None`, every platform call is answered with
    /// `PlatformAnswer::Unreachable`.
    pub platform: Option<PlatformEndpoint>,
}

/// An error that keeps the event loop from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The operating system returned an error to the event loop.
    #[error("event loop failed: {0}")]
    Io(#[from] io::Error),
    /// The actor that owns the decision logic has failed.
    #[error("VM actor failed: {0}")]
    Actor(String),
}

/// Runs the actors until the decision logic requests the exit of the process.
///
/// # Errors
///
/// Returns an error when the event loop cannot be set up, when polling fails or when the VM actor
/// fails.
pub fn run(setup: Setup, decision_logic: Box<dyn DecisionLogic>) -> Result<(), RunError> {
    let started_at = Instant::now();
    let mut stakker = Stakker::new(started_at);
    let stakker = &mut stakker;
    let events = Events::with_capacity(MAX_EVENTS_PER_POLL);
    let poll = MioPoll::new(stakker, Poll::new()?, events, POLL_PRIORITY)?;
    let control = ControlLinks::new(setup.identity, setup.platform);
    let vm = actor!(
        stakker,
        VmActor::init(decision_logic, control, BootClock::start()),
        ret_shutdown!(stakker)
    );
    let accepted = fwd_to!([vm], caller_accepted() as (TcpStream));
    let caller_listener = actor!(
        stakker,
        Listener::init(setup.listeners.callers, accepted, "callers"),
        stakker::ret_nop!()
    );
    call!([vm], set_caller_listener(caller_listener));
    let accepted = fwd_to!([vm], peer_accepted() as (TcpStream));
    let _peer_listener = actor!(
        stakker,
        Listener::init(setup.listeners.peers, accepted, "peers"),
        stakker::ret_nop!()
    );
    let accepted = fwd_to!([vm], operator_accepted() as (TcpStream));
    let _operator_listener = actor!(
        stakker,
        Listener::init(setup.listeners.operators, accepted, "operators"),
        stakker::ret_nop!()
    );
    let stop = fwd_to!([vm], stop_signal() as (Ready));
    let _signals = watch_signals(&poll, stop)?;
    let mut idle_pending = stakker.run(Instant::now(), false);
    let mut io_pending = false;
    while stakker.not_shutdown() {
        let pending = idle_pending || io_pending;
        let timeout = stakker.next_wait_max(Instant::now(), MAX_POLL_TIMEOUT, pending);
        let activity;
        (activity, io_pending) = poll.poll(timeout)?;
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    match stakker.shutdown_reason() {
        Some(stakker::StopCause::Failed(error)) => Err(RunError::Actor(error.to_string())),
        _ => Ok(()),
    }
}

/// Reports SIGTERM and SIGINT through a socket pair, which the event loop can poll.
fn watch_signals(poll: &MioPoll, stop: Fwd<Ready>) -> io::Result<MioSource<UnixStream>> {
    let (reader, writer) = UnixStream::pair()?;
    for signal in [SIGTERM, SIGINT] {
        let writer = writer.as_fd().try_clone_to_owned()?;
        pipe::register(signal, writer)?;
    }
    poll.add(reader, Interest::READABLE, POLL_PRIORITY, stop)
}
