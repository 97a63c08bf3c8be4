//! The stand-in platform: serves the object API of `lycheedoor-platform` and injects faults.
//!
//! In addition to the object API it serves requests for tests, which work in every fault mode:
//!
//! | Request | Effect |
//! | --- | --- |
//! | `POST /faults {"mode": MODE}` | sets a fault (see [`FaultMode`]); responds with 200 or 400 |
//! | `GET /counts` | returns the [`Counts`] of requests since the start |
//! | `POST /vms [VmListing, ...]` | replaces the list of VMs |

mod command;
mod fault;
mod server;
mod store;

pub use command::command;
pub use command::run;
pub use fault::FaultMode;
pub use fault::ParseFaultModeError;
pub use server::Server;
pub use store::Counts;
