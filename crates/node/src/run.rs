//! The event loop.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_core::types::VmId;
use lycheedoor_net::Listener;
use lycheedoor_pool::PoolSettings;
use lycheedoor_telemetry::LogBuffer;
use lycheedoor_telemetry::MetricsHandle;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::pipe;
use stakker::Fwd;
use stakker::Stakker;
use stakker::actor;
use stakker::fwd_to;
use stakker::ret_nop;
use stakker::ret_shutdown;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Events;
use stakker_mio::mio::Interest;
use stakker_mio::mio::Poll;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::net::UnixStream;

use crate::codecs::PromotionCodec;
use crate::codecs::StoreCodec;
use crate::codecs::WireProtocol;
use crate::driver::Driver;
use crate::reload::SettingsSource;

/// Events that one poll can report.
const MAX_EVENTS_PER_POLL: usize = 1024;

/// The longest wait of the event loop when no timer is set.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);

const POLL_PRIORITY: u32 = 10;

/// The encodings of what the VM talks to.
pub struct Codecs {
    /// Callers and members.
    pub protocol: Box<dyn WireProtocol>,
    /// The platform's store.
    pub store: Box<dyn StoreCodec>,
    /// Orders to promote a member.
    pub promotion: Box<dyn PromotionCodec>,
}

/// The addresses that a VM uses.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this VM takes callers.
    pub readiness: SocketAddr,
    /// Where other VMs connect.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where promotions are ordered.
    pub promotion: SocketAddr,
}

/// What the event loop needs.
pub struct NodeSetup {
    /// The name of the VM.
    pub vm: VmId,
    /// The settings of the pool.
    pub pool: PoolSettings,
    /// The addresses.
    pub addresses: Addresses,
    /// The encodings.
    pub codecs: Codecs,
    /// The recorded metrics.
    pub metrics: MetricsHandle,
    /// The log lines that wait to be written.
    pub log: LogBuffer,
    /// Where settings are read again.
    pub settings: Box<dyn SettingsSource>,
}

/// The event loop could not be set up or has failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address cannot be bound.
    #[error("cannot listen on {address} for {purpose}: {error}")]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The system refused an operation of the event loop.
    #[error("event loop failed: {0}")]
    Io(#[from] io::Error),
    /// An actor without which the process cannot work has failed.
    #[error("process cannot go on: {0}")]
    Actor(String),
}

/// Runs the event loop until the pool asks to exit.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or the event loop fails.
pub fn run(setup: NodeSetup) -> Result<(), RunError> {
    let callers = bind("callers", setup.addresses.callers)?;
    let readiness = bind("readiness", setup.addresses.readiness)?;
    let peers = bind("peers", setup.addresses.peers)?;
    let collectors = bind("metrics", setup.addresses.metrics)?;
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let events = Events::with_capacity(MAX_EVENTS_PER_POLL);
    let poll = MioPoll::new(stakker, Poll::new()?, events, POLL_PRIORITY)?;
    let log = setup.log.clone();
    let driver = actor!(stakker, Driver::init(setup), ret_shutdown!(stakker));
    let accepted = fwd_to!([driver], caller_accepted() as (TcpStream));
    let _callers = actor!(
        stakker,
        Listener::init(callers, accepted, "callers"),
        ret_nop!()
    );
    let accepted = fwd_to!([driver], probe_accepted() as (TcpStream));
    let _readiness = actor!(
        stakker,
        Listener::init(readiness, accepted, "probes"),
        ret_nop!()
    );
    let accepted = fwd_to!([driver], peer_accepted() as (TcpStream));
    let _peers = actor!(
        stakker,
        Listener::init(peers, accepted, "peers"),
        ret_nop!()
    );
    let accepted = fwd_to!([driver], collector_accepted() as (TcpStream));
    let _metrics = actor!(
        stakker,
        Listener::init(collectors, accepted, "metrics"),
        ret_nop!()
    );
    let stop = fwd_to!([driver], stop_signal_received() as (Ready));
    let _stop = watch_signals(&poll, &[SIGTERM, SIGINT], stop)?;
    let reload = fwd_to!([driver], reload_signal_received() as (Ready));
    let _reload = watch_signals(&poll, &[SIGHUP], reload)?;
    run_loop(stakker, &poll)?;
    log.flush();
    match stakker.shutdown_reason() {
        Some(stakker::StopCause::Failed(error)) => Err(RunError::Actor(error.to_string())),
        _ => Ok(()),
    }
}

fn run_loop(stakker: &mut Stakker, poll: &MioPoll) -> Result<(), RunError> {
    let mut idle_pending = stakker.run(Instant::now(), false);
    let mut io_pending = false;
    while stakker.not_shutdown() {
        let pending = idle_pending || io_pending;
        let wait = stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, pending);
        let activity;
        (activity, io_pending) = poll.poll(wait)?;
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    Ok(())
}

fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).map_err(|error| RunError::Listen {
        purpose,
        address,
        error,
    })
}

/// Reports signals through a pipe, which the event loop can wait for.
fn watch_signals(
    poll: &MioPoll,
    signals: &[i32],
    report: Fwd<Ready>,
) -> io::Result<MioSource<UnixStream>> {
    let (reader, writer) = UnixStream::pair()?;
    for signal in signals {
        let writer = writer.as_fd().try_clone_to_owned()?;
        pipe::register(*signal, writer)?;
    }
    poll.add(reader, Interest::READABLE, POLL_PRIORITY, report)
}
