//! Sockets, a clock and a timer for processes that run on the stakker event loop.

mod boot_clock;
mod client_limits;
mod deadline_timer;
mod listener;
mod socket;

pub use boot_clock::BootClock;
pub use boot_clock::process_time;
pub use client_limits::ClientLedger;
pub use client_limits::ClientLimits;
pub use client_limits::ClientUsage;
pub use client_limits::ExceededLimit;
pub use deadline_timer::DeadlineTimer;
pub use listener::Listener;
pub use socket::MAX_READS_PER_TURN;
pub use socket::ReadOutcome;
pub use socket::Socket;
