//! The kinds of events, with their stable numbers and names.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

macro_rules! event_codes {
    ($($(#[$meta:meta])* $variant:ident = $number:literal, $name:literal;)*) => {
        /// The kind of an event. Numbers and names are stable: they are never reused or changed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        #[non_exhaustive]
        pub enum EventCode {
            $($(#[$meta])* $variant,)*
            /// An event that only a newer version knows, by its number.
            Other(u16),
        }

        impl EventCode {
            /// All events that this version knows, in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$variant),*];

            /// Returns the stable number of the event.
            pub fn number(self) -> u16 {
                match self {
                    $(Self::$variant => $number,)*
                    Self::Other(number) => number,
                }
            }

            /// Returns the stable name of the event, or `other` for [`EventCode::Other`].
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                    Self::Other(_) => "other",
                }
            }

            /// Returns the event with this number, or [`EventCode::Other`] if this version does
            /// not know it.
            pub fn from_number(number: u16) -> Self {
                match number {
                    $($number => Self::$variant,)*
                    _ => Self::Other(number),
                }
            }
        }
    };
}

event_codes! {
    /// A caller was accepted.
    CallerAccepted = 100, "caller_accepted";
    /// A caller was refused when it connected.
    CallerRefused = 101, "caller_refused";
    /// A caller's connection ended.
    CallerClosed = 102, "caller_closed";
    /// A session token could not be used.
    TokenRejected = 110, "token_rejected";
    /// A request was refused, or its outcome is unknown.
    RequestRefused = 200, "request_refused";
    /// A request was retried.
    RequestRetried = 201, "request_retried";
    /// A read was routed to a member.
    ReadRouted = 210, "read_routed";
    /// The answer to a write was delivered to its caller.
    WriteDelivered = 220, "write_delivered";
    /// A transaction was aborted before its commit.
    TransactionEnded = 230, "transaction_ended";
    /// A VM acquired its membership lease.
    LeaseGained = 300, "lease_gained";
    /// A VM lost its membership lease.
    LeaseLost = 301, "lease_lost";
    /// The roster changed.
    RosterChanged = 310, "roster_changed";
    /// An observer began to suspect that a primary has failed.
    PrimarySuspected = 400, "primary_suspected";
    /// An intent to promote another member was written.
    IntentWritten = 401, "intent_written";
    /// An intent to promote another member was cancelled.
    IntentCancelled = 402, "intent_cancelled";
    /// A member was fenced for a new term.
    MemberFenced = 403, "member_fenced";
    /// A member carried out the command to become the primary.
    MemberPromoted = 404, "member_promoted";
    /// A VM switched to another primary.
    PrimaryChanged = 405, "primary_changed";
    /// The fencing of a group's members started.
    FencingStarted = 406, "fencing_started";
    /// The promotion of a member was requested.
    PromotionRequested = 407, "promotion_requested";
    /// A version of the configuration took effect.
    ConfigurationApplied = 500, "configuration_applied";
    /// A key of a workspace was withdrawn.
    KeyWithdrawn = 501, "key_withdrawn";
    /// A data centre was taken out of service.
    DataCentreOut = 510, "data_centre_out";
    /// A data centre was put back into service.
    DataCentreIn = 511, "data_centre_in";
    /// The configuration marked a member as leaving its group.
    MemberLeaving = 520, "member_leaving";
    /// A planned stop of a VM began.
    DrainBegun = 530, "drain_begun";
    /// A planned stop of a VM ended.
    DrainEnded = 531, "drain_ended";
    /// A connection to a member was opened.
    ConnectionOpened = 600, "connection_opened";
    /// A connection to a member was closed or lost.
    ConnectionClosed = 601, "connection_closed";
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

/// The error for a text that does not begin with the number of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event code does not begin with a number")]
pub struct ParseEventCodeError;

impl FromStr for EventCode {
    type Err = ParseEventCodeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.split(' ').next().unwrap_or_default();
        let number = number.parse().map_err(|_| ParseEventCodeError)?;
        Ok(Self::from_number(number))
    }
}

impl TryFrom<String> for EventCode {
    type Error = ParseEventCodeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<EventCode> for String {
    fn from(code: EventCode) -> Self {
        code.to_string()
    }
}
