//! Messages of the platform object API.
//!
//! The platform stores named objects. Each object has a version, which increases by one with every
//! accepted write, and a value of at most [`MAX_VALUE_BYTES`] bytes. Messages are HTTP/1.1 with
//! JSON bodies.
//!
//! | Request | Response |
//! | --- | --- |
//! | `GET /objects/NAME?known=VERSION` | 200 [`ObjectBody`]; 304 without a body if VERSION is current and not 0 |
//! | `GET /objects/NAME?known=VERSION&wait_ms=N` | as above, but waits up to N ms while VERSION (including 0) is current |
//! | `PUT /objects/NAME?expected=VERSION` with a [`ValueBody`] | 200 or 409 [`VersionBody`]; 413 if the value is too large |
//! | `GET /objects?prefix=P` | 200 with a list of [`ObjectListing`], sorted by name |
//! | `GET /vms` | 200 with a list of [`VmListing`], sorted by name; may be out of date |
//!
//! An object that does not exist has version 0 and an empty value. A write that expects version
//! 0 creates the object. The response to a malformed request is 400, to an unknown path 404. A
//! 503, a closed connection and a missing response are equivalent: the platform is unavailable,
//! and a write may or may not have taken effect.
//!
//! Bytes of a name or prefix other than letters, digits and `-._~/` are percent-encoded.
//! A value that is printable UTF-8 text is sent as a JSON string, any other value as
//! `{"hex": "..."}`, so that a body is at most twice as long as the value plus a small constant.
//!
//! lycheedoor uses the objects [`CONFIG_OBJECT`] and [`FENCE_OBJECT`], and one [`status_object`]
//! for each VM.
//!
//! The configuration object holds a [`PublishedConfig`]. Operator tools modify it only through
//! [`update_config`], a read-modify-write of the whole object with a compare-and-set on its
//! version, so that concurrent operators never overwrite each other's accepted changes.
//!
//! Except for [`Client`], which the command-line tools use, nothing here opens sockets or blocks.

mod call;
mod change;
mod client;
mod error;
mod merge;
mod message;
mod name;
mod published;
mod serve;
mod update;
mod value;

pub use call::decode_answer;
pub use call::decode_objects;
pub use call::decode_vms;
pub use call::encode_call;
pub use call::encode_list_objects;
pub use call::encode_list_vms;
pub use change::ChangeError;
pub use change::OperatorChange;
pub use client::Client;
pub use client::random_nonce;
pub use error::PlatformError;
pub use merge::MergeConflict;
pub use merge::Publication;
pub use message::ObjectBody;
pub use message::ObjectListing;
pub use message::ValueBody;
pub use message::VersionBody;
pub use message::VmListing;
pub use message::VmState;
pub use published::OperatorChanges;
pub use published::PublishedConfig;
pub use serve::ServerCall;
pub use serve::decode_server_call;
pub use serve::encode_json;
pub use update::EXIT_OUTCOME_UNKNOWN;
pub use update::EXIT_REFUSED;
pub use update::EXIT_UNAVAILABLE;
pub use update::ObjectStore;
pub use update::UpdateError;
pub use update::UpdateResult;
pub use update::read_config;
pub use update::update_config;
pub use value::Value;

use lycheedoor_core::types::VmId;
use lycheedoor_http::Limits;

/// The maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The HTTP size limits with which both sides of the object API accept a value of the maximum size.
pub const WIRE_LIMITS: Limits = Limits {
    head_bytes: 8 * 1024,
    body_bytes: 2 * MAX_VALUE_BYTES + 4 * 1024,
};

/// How long the platform may delay the response to a watch of an unchanged object, in milliseconds.
pub const WATCH_WAIT_MS: u64 = 10_000;

/// The name of the object that holds the configuration.
pub const CONFIG_OBJECT: &str = "config";

/// The name of the object that holds roster versions, promotion intents and group terms.
pub const FENCE_OBJECT: &str = "fence";

/// Returns the name of the object that holds the status of a VM.
pub fn status_object(vm: &VmId) -> String {
    format!("status/{vm}")
}
