//! Sets up the listeners, the signals and the driver, and runs the event loop.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_core::types::VmId;
use lycheedoor_net::ClientLimits;
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
use crate::codecs::UsageCodec;
use crate::codecs::WireProtocol;
use crate::driver::Driver;
use crate::reload::SettingsSource;

/// Largest number of events that one poll returns.
const MAX_EVENTS_PER_POLL: usize = 1024;

/// Longest time that the event loop waits when no timer is set.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);

const POLL_PRIORITY: u32 = 10;

/// The encodings of callers, members and the platform.
pub struct Codecs {
    /// The protocol of callers and members.
    pub protocol: Box<dyn WireProtocol>,
    /// The calls of the platform's store.
    pub store: Box<dyn StoreCodec>,
    /// The requests to promote a member.
    pub promotion: Box<dyn PromotionCodec>,
    /// The reports of usage.
    pub usage: Box<dyn UsageCodec>,
}

/// The addresses that a VM listens on or connects to.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The listening address for callers.
    pub callers: SocketAddr,
    /// The listening address for the load balancer's readiness probe.
    pub readiness: SocketAddr,
    /// The listening address for other VMs.
    pub peers: SocketAddr,
    /// The listening address for metrics collectors.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the platform's interface that promotes members and takes reports of usage.
    pub promotion: SocketAddr,
}

/// Everything that [`run`] needs to start a VM.
pub struct NodeSetup {
    /// The name of this VM, which its messages to other VMs carry.
    pub vm: VmId,
    /// The settings of the pool, which makes all decisions.
    pub pool: PoolSettings,
    /// The addresses to listen on and to connect to.
    pub addresses: Addresses,
    /// The encodings of callers, members and the platform.
    pub codecs: Codecs,
    /// The limits on what callers may hold.
    pub client_limits: ClientLimits,
    /// Renders the recorded metrics for collectors.
    pub metrics: MetricsHandle,
    /// The log lines that have not been written yet.
    pub log: LogBuffer,
    /// The source from which settings are reloaded.
    pub settings: Box<dyn SettingsSource>,
}

/// The event loop could not be set up or has failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A listening address cannot be bound.
    #[error("cannot listen on {address} for {purpose}: {error}")]
    Listen {
        /// What connects to the address, such as `callers` or `metrics`.
        purpose: &'static str,
        /// The address that cannot be bound.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// An operation of the event loop failed in the operating system.
    #[error("event loop failed: {0}")]
    Io(#[from] io::Error),
    /// The driver, without which the process cannot run, has failed.
    #[error("internal error of the event loop: {0}")]
    Actor(String),
}

/// Runs the event loop until the pool requests the exit of the process.
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

/// Forwards signals through a socket pair, which the event loop can poll.
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
