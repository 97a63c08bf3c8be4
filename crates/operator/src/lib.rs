//! HTTP endpoints of a VM for operators, and their client side.
//!
//! | Request | Answer |
//! | --- | --- |
//! | `GET /status` | 200 with a [`Status`] in JSON |
//! | `GET /timeline?since=SEQ` | 200 with an [`Export`] in JSON: the records from sequence number SEQ on, at most [`MAX_PAGE_RECORDS`] |
//! | `GET /metrics` | 200 in the Prometheus text format |
//! | `GET /health` | 200 while the VM accepts new work, otherwise 503; the body is the name of the [`Phase`] |
//!
//! All other requests are answered with 400 or 404. Bodies never contain keys, secrets or session
//! tokens.
//!
//! This crate opens no sockets: the process on the VM passes requests to [`handle_request`].
//!
//! [`Export`]: lycheedoor_core::timeline::Export

mod client;
mod server;
mod status;

pub use client::OperatorError;
pub use client::decode_status;
pub use client::decode_timeline;
pub use client::encode_status_request;
pub use client::encode_timeline_request;
pub use server::OperatorView;
pub use server::handle_request;
pub use status::DataCentreStatus;
pub use status::GroupStatus;
pub use status::MemberStatus;
pub use status::Phase;
pub use status::Status;
pub use status::WorkspaceStatus;

/// Maximum number of records in one answer to a timeline request. A client fetches the rest with
/// further requests.
pub const MAX_PAGE_RECORDS: usize = 2_000;
