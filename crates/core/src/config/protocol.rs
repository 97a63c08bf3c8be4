//! The events, actions and peer messages of the configuration watcher.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::types::VmId;
use crate::vm::PlatformAnswer;
use crate::vm::PlatformRequest;

/// An event that the configuration watcher handles.
#[derive(Clone, Debug)]
pub enum ConfigWatcherEvent {
    /// The VM has started, or the time of `ConfigWatcher::next_deadline` has been reached.
    Tick,
    /// The set of the other VMs has changed.
    PeersChanged {
        /// All other VMs.
        peers: Vec<VmId>,
    },
    /// This VM has become a relay, or is no longer one.
    RelayChanged {
        /// Whether this VM watches the platform and pushes new versions to the others.
        is_relay: bool,
    },
    /// The VM has gained its membership lease. Without the lease it may have missed a version. The
    /// driver discards the answer to a call that was open before, because it may be out of date.
    LeaseGained,
    /// The platform has answered the watcher's open call.
    PlatformAnswered {
        /// The answer; `Unreachable` if the call failed.
        answer: PlatformAnswer,
    },
    /// Another VM has sent a message.
    PeerReceived {
        /// The sender.
        from: VmId,
        /// The message.
        message: ConfigMessage,
    },
}

/// A message about the configuration, from one VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// Reports the version that the sender holds.
    Version {
        /// The version, or 0 if the sender holds none.
        version: u64,
        /// The time in milliseconds since the platform confirmed that this version was the newest;
        /// `None` if it never did.
        confirmed_age_ms: Option<u64>,
    },
    /// Asks whether the receiver holds a newer version. The receiver always answers, with `Push`
    /// or `Version`.
    Ask {
        /// The version that the sender holds.
        version: u64,
    },
    /// Requests a version newer than this one; answered with `Push` if the receiver holds one.
    Pull {
        /// The version that the sender holds.
        version: u64,
    },
    /// Sends a complete version of the configuration.
    Push {
        /// The configuration.
        config: Arc<Config>,
    },
}

/// An action that the watcher requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigWatcherAction {
    /// Call the platform. At most one call is open at a time.
    CallPlatform(PlatformRequest),
    /// Send a message to another VM.
    SendPeer {
        /// The VM that receives the message.
        to: VmId,
        /// The message.
        message: ConfigMessage,
    },
    /// Use this configuration from now on.
    Apply(Arc<Config>),
    /// The platform's value is not a valid configuration and was rejected; the one in force stays.
    RejectValue {
        /// The version of the platform object whose value could not be parsed.
        object_version: u64,
        /// The error of the parser.
        cause: String,
    },
}
