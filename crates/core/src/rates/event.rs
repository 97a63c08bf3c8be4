//! The events that [`Rates`](crate::rates::Rates) handles, and its actions.

use std::sync::Arc;

use crate::config::Config;
use crate::rates::RatesMessage;
use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::RosterView;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// An event that [`Rates::handle`](crate::rates::Rates::handle) takes.
#[derive(Clone, Debug)]
pub enum RatesEvent {
    /// The roster has changed; the view also gives the end of the lease.
    Roster(RosterView),
    /// The membership lease has been extended.
    LeaseExtended {
        /// When the lease ends now.
        until: MonoTime,
    },
    /// The membership lease has been lost before its end.
    LeaseLost,
    /// The VM has applied a version of the configuration.
    Configured(Arc<Config>),
    /// A request needs a token.
    Admit {
        /// The workspace whose rate limit applies.
        workspace: WorkspaceId,
        /// Identifies the request in the later action or cancellation.
        request: RequestId,
        /// When the request expires, and its wait for a token ends at the latest.
        deadline: MonoTime,
        /// The priority of the request among those of its workspace; 0 is the highest.
        priority: u8,
    },
    /// A request no longer needs a token.
    Cancelled {
        /// The request that was passed with [`RatesEvent::Admit`].
        request: RequestId,
    },
    /// A message from a peer has arrived.
    Received {
        /// The VM that sent the message.
        from: VmId,
        /// The sender's incarnation; the message is ignored unless the roster lists it.
        incarnation: Incarnation,
        /// What the sender asks for or answers.
        message: RatesMessage,
    },
    /// A planned stop has begun: no more is lent, and outstanding loans are recalled.
    StopRequested,
    /// The last request of a planned stop has finished: loans are returned, and the VM's own tokens
    /// are transferred to its peers.
    StopFinished,
    /// The time returned by [`Rates::next_deadline`](crate::rates::Rates::next_deadline) has come.
    DeadlineReached,
}

/// An action that the caller of [`Rates::handle`](crate::rates::Rates::handle) carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RatesAction {
    /// Admit the request: it has received a token.
    Admitted {
        /// The request that was passed with [`RatesEvent::Admit`].
        request: RequestId,
    },
    /// Refuse the request: it receives no token.
    Refused {
        /// The request that was passed with [`RatesEvent::Admit`].
        request: RequestId,
        /// Why the request is refused.
        reason: Reason,
    },
    /// Send a message to another VM.
    Send {
        /// The VM that receives the message.
        to: VmId,
        /// A loan request or an answer to one.
        message: RatesMessage,
    },
    /// A planned stop has ended and no loan of this VM is outstanding; its slots may be released.
    LoansReturned,
}

/// What VMs lend each other. All modes but the first exist for comparison in tests and benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LendingMode {
    /// Tokens when they are needed, and parts of the refill rate for sustained demand.
    #[default]
    TokensAndRefillRate,
    /// Tokens only, fetched ahead of the predicted demand.
    TokensOnly,
    /// Nothing: each VM has only its own share.
    Off,
}
